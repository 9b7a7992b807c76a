"""Holders of one cell that are lost one after another: how long the cell's tasks wait."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from curranthall.cells.owner import LEASE_SLACK_S, ORDER_LIMIT_S, RENEW_S, Owner
from tests.cluster import now
from tests.test_takeover import CELL, POLL_S, SplitCell, make_job, make_step
from tests.virtual import run

# Leases that a holder granted last for at most this long after its last written row was read.
LONGEST_LEASE_S = ORDER_LIMIT_S + LEASE_SLACK_S + RENEW_S
# The platform's bound: a lasting task runs again 6 s after its last run, and at most 3 s later.
LOST_AFTER_S = 9.0
# What a new holder needs to load, claim and start the tasks, once nothing may run them.
START_S = 1.0

Lose = Callable[[SplitCell, str], Coroutine[Any, Any, None]]


async def kill(split: SplitCell, holder: str) -> None:
    """Kill a holder and start it again."""
    split.cluster.kill(holder)
    await asyncio.sleep(1.0)
    split.cluster.restart(holder)


async def kill_for_long(split: SplitCell, holder: str) -> None:
    """Kill a holder for longer than another entry needs to take the cell."""
    split.cluster.kill(holder)
    await asyncio.sleep(6.0)
    split.cluster.restart(holder)


async def leave(split: SplitCell, holder: str) -> None:
    """Shut a holder down in order, and start it again."""
    await split.cluster.entries[holder].succession.leave()
    await kill(split, holder)


async def freeze(split: SplitCell, holder: str) -> None:
    """Suspend a holder for longer than another entry needs to take the cell."""
    split.cluster.freeze(holder)
    await asyncio.sleep(6.0)
    split.cluster.thaw(holder)


async def cut_off(split: SplitCell, holder: str) -> None:
    """Cut a holder off from the store, but not from its workers."""
    split.cut(holder, "store")
    await asyncio.sleep(6.0)
    split.cluster.cuts.discard(frozenset((holder, "store")))


class TakeoversInSeries(unittest.TestCase):
    """A cell of four workers whose holders are lost soon after they took it."""

    TASKS = 14

    async def start(self, seed: int, width: int = TASKS) -> SplitCell:
        """Start a cell with a lasting job."""
        split = SplitCell(seed)
        for runner in split.cluster.runners.values():
            runner.clock_rate = 0.98
        await split.start()
        split.close_cells("b", "c")
        await split.submit("b-e1", make_job(1, make_step(width, lasting=True)))
        await asyncio.sleep(1 + 0.3 * seed)
        return split

    def count_runs(self, split: SplitCell) -> int:
        """Return the number of runs on all workers."""
        return sum(len(each.running) for each in split.cluster.runners.values())

    def busy(self, split: SplitCell) -> list[str]:
        """Return the cell's workers with runs."""
        runners = split.cluster.runners.items()
        return sorted(name for name, runner in runners if name[0] == CELL and runner.running)

    # How long a holder lives after it took the cell: it renews its row meanwhile.
    LIFE_S = RENEW_S

    async def next_owner(self, split: SplitCell, epoch: int) -> Owner:
        """Wait until a holder after the given epoch has taken the cell."""
        while (owner := await split.cluster.owner(CELL)) is None or owner.epoch <= epoch:
            await asyncio.sleep(POLL_S)
        return owner

    async def lose_in_turn(self, split: SplitCell, losses: list[Lose]) -> None:
        """Lose the cell's holder, then each of its successors."""
        faults: list[asyncio.Future[None]] = []
        epoch = 0
        for lose in losses:
            owner = await self.next_owner(split, epoch)
            epoch = owner.epoch
            await asyncio.sleep(self.LIFE_S if faults else RENEW_S)
            faults.append(asyncio.ensure_future(lose(split, owner.holder)))
        await asyncio.gather(*faults)

    def play(self, losses: list[Lose], seed: int) -> tuple[float, list[str]]:
        """Lose a busy worker, then holders in turn; return the tasks' wait and broken rules."""

        async def main() -> tuple[float, list[str]]:
            split = await self.start(seed)
            lost, *_ = self.busy(split)
            split.cluster.crash_worker(lost)
            began = now()
            faults = asyncio.ensure_future(self.lose_in_turn(split, losses))
            while self.count_runs(split) < self.TASKS:
                if now() - began > 60.0:
                    break
                await asyncio.sleep(POLL_S)
            waited_s = now() - began
            await faults
            await asyncio.sleep(15)
            split.cluster.close()
            return waited_s, split.cluster.judge.broken

        found: tuple[float, list[str]] = run(main())
        return found

    def check(self, losses: list[Lose]) -> None:
        """Check that the tasks of a lost worker wait no longer than for one takeover."""
        for seed in range(4):
            with self.subTest(seed=seed):
                waited_s, broken = self.play(losses, seed)
                self.assertEqual(broken, [])
                self.assertLess(waited_s, RENEW_S + LONGEST_LEASE_S + START_S)

    def test_holders_killed_in_series_do_not_prolong_the_wait_for_a_lost_worker(self) -> None:
        self.check([kill_for_long] * 3)

    def test_holders_that_restart_in_series_do_not_prolong_the_wait_for_a_lost_worker(self) -> None:
        self.check([kill] * 5)

    def test_holders_frozen_in_series_do_not_prolong_the_wait_for_a_lost_worker(self) -> None:
        self.check([freeze] * 3)

    def test_holders_cut_off_in_series_do_not_prolong_the_wait_for_a_lost_worker(self) -> None:
        self.check([cut_off] * 3)

    def test_a_killed_holder_has_stored_the_lease_end_of_a_silent_worker(self) -> None:
        async def main() -> float:
            split = await self.start(1)
            lost, *_ = self.busy(split)
            split.cluster.crash_worker(lost)
            began = now()
            await asyncio.sleep(3.0)
            split.cluster.kill(split.former)
            while self.count_runs(split) < self.TASKS:
                self.assertLess(now() - began, 60.0)
                await asyncio.sleep(POLL_S)
            waited_s = now() - began
            await asyncio.sleep(15)
            split.cluster.close()
            self.assertEqual(split.cluster.judge.broken, [])
            return waited_s

        self.assertLess(run(main()), LOST_AFTER_S)

    def test_an_outage_of_the_store_after_a_holder_was_killed_does_not_prolong_the_wait(
        self,
    ) -> None:
        async def main() -> float:
            split = await self.start(1)
            lost, *_ = self.busy(split)
            split.cluster.kill(split.former)
            split.cluster.crash_worker(lost)
            began = now()
            await asyncio.sleep(0.5)
            split.cluster.store_down = True
            await asyncio.sleep(8.0)
            split.cluster.store_down = False
            while self.count_runs(split) < self.TASKS:
                self.assertLess(now() - began, 60.0)
                await asyncio.sleep(POLL_S)
            waited_s = now() - began
            await asyncio.sleep(15)
            split.cluster.close()
            self.assertEqual(split.cluster.judge.broken, [])
            return waited_s

        self.assertLess(run(main()), RENEW_S + LONGEST_LEASE_S + START_S)

    def test_a_holder_cut_off_does_not_extend_leases_beyond_their_stored_end(self) -> None:
        async def main() -> list[str]:
            split = await self.start(1)
            worker, *_ = self.busy(split)
            for name in split.cluster.entries:
                split.cut(name, worker)
            await asyncio.sleep(2.5)
            split.cut(split.former, "store")
            split.cluster.cuts.discard(frozenset((split.former, worker)))
            await asyncio.sleep(25)
            split.cluster.close()
            self.assertGreater(split.cluster.judge.starts, self.TASKS)
            return split.cluster.judge.broken

        self.assertEqual(run(main()), [])


class TakeoversAtOnce(TakeoversInSeries):
    """The same, but each successor is lost before its first renewal."""

    LIFE_S = 0.0


class CutOffWorker(unittest.TestCase):
    """Holders lost in series while a worker is cut off, runs on and is listed as up."""

    def check(self, losses: list[Lose], life_s: float) -> None:
        """Check that the tasks of the worker wait no longer than for one takeover."""

        async def main(seed: int) -> tuple[float, list[str]]:
            played = TakeoversInSeries()
            played.LIFE_S = life_s
            split = await played.start(seed)
            lost = played.busy(split)[0]
            for name in split.cluster.entries:
                split.cut(name, lost)
            began = now()
            faults = asyncio.ensure_future(played.lose_in_turn(split, losses))
            # Its own runs lapse meanwhile.
            await asyncio.sleep(6.5)
            while played.count_runs(split) < played.TASKS and now() - began < 60.0:
                await asyncio.sleep(POLL_S)
            waited_s = now() - began
            await faults
            await asyncio.sleep(15)
            split.cluster.close()
            return waited_s, split.cluster.judge.broken

        for seed in range(2):
            with self.subTest(seed=seed):
                waited_s, broken = run(main(seed))
                self.assertEqual(broken, [])
                self.assertLess(waited_s, RENEW_S + LONGEST_LEASE_S + START_S)

    def test_holders_killed_in_series_do_not_prolong_the_wait(self) -> None:
        self.check([kill_for_long] * 3, RENEW_S)

    def test_holders_that_restart_in_series_do_not_prolong_the_wait(self) -> None:
        self.check([kill] * 5, RENEW_S)

    def test_holders_killed_before_their_first_renewal_do_not_prolong_the_wait(self) -> None:
        self.check([kill_for_long] * 4, 0.0)

    def test_holders_that_restart_before_their_first_renewal_do_not_prolong_the_wait(self) -> None:
        self.check([kill] * 6, 0.0)

    def test_holders_frozen_before_their_first_renewal_do_not_prolong_the_wait(self) -> None:
        self.check([freeze] * 4, 0.0)

    def test_takers_of_released_cells_that_are_killed_at_once_do_not_prolong_the_wait(self) -> None:
        self.check([leave, kill_for_long] * 4, 0.0)

    def test_holders_that_release_in_series_do_not_prolong_the_wait(self) -> None:
        self.check([leave] * 8, 0.0)


class OutageAfterLoss(unittest.TestCase):
    def test_an_outage_of_the_store_does_not_prolong_the_wait_for_a_holder_lost_before_it(
        self,
    ) -> None:
        async def main(seed: int) -> tuple[float, list[str]]:
            played = TakeoversInSeries()
            split = await played.start(seed)
            split.cluster.crash_worker(played.busy(split)[0])
            split.cluster.kill(split.former)
            began = now()
            split.cluster.store_down = True
            await asyncio.sleep(9.0)
            split.cluster.store_down = False
            while played.count_runs(split) < played.TASKS and now() - began < 60.0:
                await asyncio.sleep(POLL_S)
            split.cluster.close()
            return now() - began, split.cluster.judge.broken

        for seed in range(2):
            with self.subTest(seed=seed):
                waited_s, broken = run(main(seed))
                self.assertEqual(broken, [])
                self.assertLess(waited_s, RENEW_S + LONGEST_LEASE_S + START_S)


if __name__ == "__main__":
    unittest.main()
