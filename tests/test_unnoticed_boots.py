"""A worker that is back under its id answers a start before its holder notices the restart."""

import asyncio
import unittest
from unittest import mock

import tests.cluster
from tests.cluster import Effect, now
from tests.test_returned_workers import LONG_S, WORKERS, ReturnedWorkers, Returns
from tests.test_takeover import POLL_S

# Of the former boot's hold: when it is executed late, before the lease that it gave is over.
LATE_HOLD_S = 5.9
# The platform lists a worker for this long after its last report.
LISTED_S = 4.5
# How long a hold on a busy worker waits for its answer.
HOLD_TIMEOUT_S = 1.6
# The start is sent this long after the hold.
START_AFTER_S = 1.4


class AnsweredStarts(ReturnedWorkers):
    """The worker is cut off right after the start, so that nothing else tells of the restart."""

    async def start_on_next_boot(
        self, returns: Returns, seconds: float, after_s: float = 0.0
    ) -> tuple[str, list[Effect]]:
        """Let a worker's next boot answer a start; return the worker and a hold sent before."""
        cluster, worker = returns.cluster, WORKERS[0]
        for other in WORKERS[1:]:
            cluster.announce(other, LONG_S)
        await asyncio.sleep(1.0)
        with mock.patch.object(tests.cluster, "TIMEOUT_S", HOLD_TIMEOUT_S):
            holds = await returns.lose_hold(worker)
            sent_at = now()
            cluster.withhold("hold", worker)
            await returns.restart(worker, 0.05)
            await asyncio.sleep(max(0.0, sent_at + after_s - now()))
            await returns.submit("b-e1", returns.new_job(1, seconds))
            while not returns.runner(worker).running and now() < sent_at + HOLD_TIMEOUT_S:
                await asyncio.sleep(POLL_S)
        self.assertTrue(returns.runner(worker).running)
        returns.isolate(worker)
        cluster.leaving.clear()
        return worker, holds

    async def unlist(self, returns: Returns, worker: str) -> None:
        """Let the platform list a worker no more."""
        await asyncio.sleep(LISTED_S)
        returns.cluster.unlisted.add(worker)

    def check_late_hold(self, seconds: float, is_listed: bool) -> None:
        """Let the boot execute the hold of the former one before that one's lease is over."""

        async def scene(returns: Returns) -> None:
            worker, holds = await self.start_on_next_boot(returns, seconds)
            begun_at = now()
            if not is_listed:
                await self.unlist(returns, worker)
            await asyncio.sleep(begun_at + LATE_HOLD_S - now())
            await returns.execute(worker, holds)

        self.check(scene)

    def check_start(self, seconds: float, is_listed: bool) -> None:
        """Let only the start give the boot a lease, later than any lease that its holder knows."""

        async def scene(returns: Returns) -> None:
            worker, _ = await self.start_on_next_boot(returns, seconds, START_AFTER_S)
            if not is_listed:
                await self.unlist(returns, worker)

        self.check(scene)

    def test_a_lasting_task_does_not_run_twice_after_a_late_hold(self) -> None:
        self.check_late_hold(0.0, is_listed=True)

    def test_a_finite_task_does_not_run_twice_after_a_late_hold(self) -> None:
        self.check_late_hold(60.0, is_listed=True)

    def test_a_finite_task_of_an_unlisted_worker_does_not_run_twice_after_a_late_hold(self) -> None:
        self.check_late_hold(60.0, is_listed=False)

    def test_a_lasting_task_does_not_run_twice_under_the_lease_of_its_start(self) -> None:
        self.check_start(0.0, is_listed=True)

    def test_a_finite_task_does_not_run_twice_under_the_lease_of_its_start(self) -> None:
        self.check_start(60.0, is_listed=True)

    def test_a_finite_task_of_an_unlisted_worker_does_not_run_twice_under_the_lease_of_its_start(
        self,
    ) -> None:
        self.check_start(60.0, is_listed=False)


if __name__ == "__main__":
    unittest.main()
