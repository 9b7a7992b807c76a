"""Proofs that a start without an answer is over: what they count from, and what they overlook."""

import asyncio
import unittest

from tests.cluster import now
from tests.test_late_starts import LAST_S, WORKER, LateStarts
from tests.test_returned_workers import LONG_S, Returns

# A lasting task may wait this long for the worker that left its start unanswered.
LASTING_WAIT_S = 6.0
# Just before the end of a lease of 6 s.
LEASED_S = 5.9
# A start that its worker left unanswered is over on the boot it was sent to after this time.
DEADLINE_S = 1.6
JOB = "1" * 16


class LateLeases(LateStarts):
    """The next boot of a worker executes a start, then a hold that was sent 10 s after it."""

    def check_successor(self, release_s: float, is_listed: bool, is_killed: bool = False) -> None:
        """Let another holder take the cell some seconds after the start was sent."""

        async def scene(returns: Returns) -> None:
            cluster = returns.cluster
            loss = await self.lose(returns)
            sent_at = loss.last_at - LAST_S
            cluster.announce(WORKER, LONG_S)
            await asyncio.sleep(sent_at + 10.0 - now())
            holds = await returns.lose_hold(WORKER)
            cluster.withhold("hold", WORKER)
            returns.isolate(WORKER)
            await returns.restart(WORKER, 0.05)
            if not is_listed:
                cluster.unlisted.add(WORKER)
            if is_killed:
                cluster.kill(returns.former)
            await asyncio.sleep(loss.last_at - now())
            await returns.execute(WORKER, loss.starts)
            if not is_killed:
                await asyncio.sleep(sent_at + release_s - now())
                await cluster.entries[returns.former].succession.leave()
            await asyncio.sleep(loss.last_at + LEASED_S - now())
            await returns.execute(WORKER, holds)

        self.check(scene)

    def test_a_task_of_a_cell_that_is_released_later_does_not_run_twice(self) -> None:
        self.check_successor(13.0, is_listed=True)

    def test_a_task_of_an_unlisted_worker_does_not_run_twice_after_a_release(self) -> None:
        self.check_successor(13.0, is_listed=False)

    def test_a_task_of_an_unlisted_worker_of_a_killed_holder_does_not_run_twice(self) -> None:
        self.check_successor(0.0, is_listed=False, is_killed=True)

    def test_a_task_under_the_same_holder_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            loss = await self.lose(returns)
            sent_at = loss.last_at - LAST_S
            returns.cluster.announce(WORKER, LONG_S)
            await asyncio.sleep(sent_at + 10.0 - now())
            holds = await returns.lose_hold(WORKER)
            returns.isolate(WORKER)
            await returns.restart(WORKER, 0.05)
            returns.cluster.unlisted.add(WORKER)
            await asyncio.sleep(loss.last_at - now())
            await returns.execute(WORKER, loss.starts)
            await asyncio.sleep(LEASED_S)
            await returns.execute(WORKER, holds)

        self.check(scene)


if __name__ == "__main__":
    unittest.main()
