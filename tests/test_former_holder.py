"""How long a new holder waits for leases of a former one that has ended."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from curranthall.cells.fencing import Fencing
from curranthall.cells.owner import LEASE_SLACK_S
from curranthall.cells.tracking import Bounds
from tests.cluster import now
from tests.test_takeover import CELL, POLL_S, SplitCell, make_job, make_step
from tests.virtual import run

TASKS = 14
# How long a former holder is away: others have taken its cell by then.
AWAY_S = 3.0
# The longest that anything lasts which a holder sent before it ended.
LONGEST_S = Bounds().max_hold_s * 1.03 + LEASE_SLACK_S
# To ask the former holder, and to claim and start the tasks once nothing may run them.
START_S = 1.5

Lose = Callable[[SplitCell], Coroutine[Any, Any, None]]


async def kill(split: SplitCell) -> None:
    """Kill the holder and start it again."""
    split.cluster.kill(split.former)
    await asyncio.sleep(AWAY_S)
    split.cluster.restart(split.former)


async def freeze(split: SplitCell) -> None:
    """Suspend the holder."""
    split.cluster.freeze(split.former)
    await asyncio.sleep(AWAY_S)
    split.cluster.thaw(split.former)


class FormerHolder(unittest.TestCase):
    def play(self, lose: Lose) -> tuple[float, list[str]]:
        """Lose a worker and its holder; return the wait of the worker's tasks, broken rules."""

        async def main() -> tuple[float, list[str]]:
            split = SplitCell(1)
            for runner in split.cluster.runners.values():
                runner.clock_rate = 0.98
            await split.start()
            split.close_cells("b", "c")
            await split.submit("b-e1", make_job(1, make_step(TASKS, lasting=True)))
            await asyncio.sleep(2)
            runners = split.cluster.runners
            split.cluster.crash_worker(
                min(name for name, each in runners.items() if name[0] == CELL and each.running)
            )
            began = now()
            fault = asyncio.ensure_future(lose(split))
            while sum(len(each.running) for each in runners.values()) < TASKS:
                if now() - began > 60.0:
                    break
                await asyncio.sleep(POLL_S)
            waited_s = now() - began
            await fault
            await asyncio.sleep(15)
            split.cluster.close()
            return waited_s, split.cluster.judge.broken

        found: tuple[float, list[str]] = run(main())
        return found

    def check(self, lose: Lose) -> None:
        """Check that the tasks wait no longer than leases last after the holder's end."""
        waited_s, broken = self.play(lose)
        self.assertEqual(broken, [])
        self.assertLess(waited_s, AWAY_S + LONGEST_S + START_S)

    def test_a_holder_that_was_killed_and_is_back_is_not_waited_for_any_longer(self) -> None:
        self.check(kill)

    def test_a_holder_that_was_suspended_and_is_back_is_not_waited_for_any_longer(self) -> None:
        self.check(freeze)

    def test_a_later_end_of_the_former_holder_prolongs_no_wait(self) -> None:
        fencing = Fencing()
        fencing.take_over(["w1", "w2"], 112.0, {"w2": 103.0}, 100.0)
        fencing.shorten(107.0, 100.0)
        fencing.shorten(110.0, 103.0)
        self.assertEqual([fencing.lease_end("w1"), fencing.lease_end("w2")], [107.0, 103.0])


if __name__ == "__main__":
    unittest.main()
