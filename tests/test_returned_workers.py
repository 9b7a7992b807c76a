"""Workers that are back under their ids: calls to a former boot reach the present one."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from curranthall.dag import Job
from curranthall.standin.runner import Runner
from tests import takeover
from tests.cluster import Effect, now
from tests.reborn import Reborn
from tests.test_takeover import CELL, POLL_S, SplitCell, make_job, make_step
from tests.virtual import run

WORKERS = tuple(f"{CELL}-w{number}" for number in range(4))
# Age of the former boots: their clocks are far ahead of those of the next ones.
AGE_S = 20.0
# All cores but those kept for short tasks.
FULL = 28
# A call without an answer is executed within this time; less, so that a restart fits in.
LATE_CALL_S = 12.0
OPEN_S = 9.0
# Longer than any lease, any late call and the wait for a list of ends.
LONG_S = 30.0
# A worker that is back is used again within this time.
USED_AGAIN_S = 1.0
# The same after an outage of the store.
USED_AFTER_OUTAGE_S = 2.0
# Seeds of random simulations that failed before.
SEEDS = (4, 16, 25, 40, 56)


class Returns(SplitCell):
    """A cell of four workers that run since long; one of them is lost and comes back."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed)
        self.jobs = 0

    async def start(self) -> None:
        """Start the cluster and wait until all boots are old."""
        await super().start()
        self.close_cells("b", "c")
        await asyncio.sleep(AGE_S)

    def runner(self, worker: str) -> Runner:
        """Return a worker's present boot."""
        return self.cluster.runners[worker]

    def new_job(self, width: int, seconds: float) -> Job:
        """Build a job of finite tasks that run for some seconds, or of lasting ones if 0."""
        self.jobs += 1
        job = make_job(self.jobs, make_step(width, lasting=not seconds))
        self.cluster.work[job.id] = seconds
        return job

    async def lose_start(self, seconds: float) -> tuple[str, list[Effect]]:
        """Submit a task whose start gets no answer; return its worker and the start."""
        starts = {worker: self.cluster.withhold("start", worker) for worker in WORKERS}
        await self.submit("b-e1", self.new_job(1, seconds))
        while not any(starts.values()):
            await asyncio.sleep(POLL_S)
        self.cluster.withheld.clear()
        return next((worker, lost) for worker, lost in starts.items() if lost)

    async def lose_hold(self, worker: str) -> list[Effect]:
        """Let a worker answer no hold until one was sent to it; return the hold."""
        holds = self.cluster.withhold("hold", worker)
        while not holds:
            await asyncio.sleep(POLL_S)
        del self.cluster.withheld["hold", worker]
        return holds[:1]

    async def execute(self, worker: str, calls: list[Effect]) -> None:
        """Let a worker execute calls that got no answer."""
        for call in calls:
            await self.cluster.execute(worker, call)

    async def restart(self, worker: str, down_s: float = 0.2) -> None:
        """Let a worker crash and start again under its id."""
        self.cluster.crash_worker(worker)
        await asyncio.sleep(down_s)
        self.cluster.add_worker(worker, CELL)

    async def hear_of(self, worker: str) -> None:
        """Wait until the holder has heard from a worker's present boot."""
        while True:
            holder = self.cluster.holder(CELL)
            members = self.held(holder)[CELL].dispatcher.members if holder else {}
            if worker in members and members[worker].born == self.runner(worker).born:
                return
            await asyncio.sleep(0.001)

    def isolate(self, worker: str) -> None:
        """Cut a worker off from all entries."""
        for name in self.cluster.entries:
            self.cut(name, worker)

    def running(self) -> int:
        """Return the number of runs on all workers."""
        return sum(len(runner.running) for runner in self.cluster.runners.values())


Scene = Callable[[Returns], Coroutine[Any, Any, None]]


class ReturnedWorkers(unittest.TestCase):
    def check(self, scene: Scene) -> None:
        """Play a scene, wait until all calls and leases are over, and check the rules."""

        async def main() -> list[str]:
            returns = Returns()
            await returns.start()
            await scene(returns)
            await asyncio.sleep(LONG_S)
            returns.cluster.close()
            return returns.cluster.judge.broken

        self.assertEqual(run(main()), [])


class LateStarts(ReturnedWorkers):
    """A start that the former boot left without an answer."""

    async def leave_start_open(
        self, returns: Returns, seconds: float
    ) -> tuple[str, list[Effect], float]:
        """Lose a start on a worker that gets no more tasks; return both and when it was sent.

        Wait until the task runs elsewhere, or long enough for a boot to execute the start yet.
        """
        worker, starts = await returns.lose_start(seconds)
        sent_at = now()
        returns.cluster.announce(worker, LONG_S)
        while not returns.running() and now() < sent_at + OPEN_S:
            await asyncio.sleep(POLL_S)
        self.assertFalse(returns.runner(worker).running)
        # A finite task waits for its worker; a lasting one runs elsewhere by then.
        self.assertEqual(returns.running(), 0 if seconds else 1)
        return worker, starts, sent_at

    async def execute_late(
        self, returns: Returns, worker: str, starts: list[Effect], sent_at: float
    ) -> None:
        """Execute a start that was sent less than LATE_CALL_S ago."""
        self.assertLess(now() - sent_at, LATE_CALL_S)
        await returns.execute(worker, starts)

    def check_fenced(self, seconds: float, restarts: int = 1) -> None:
        """Let a boot that has answered twice execute a start of a former one."""

        async def scene(returns: Returns) -> None:
            worker, starts, sent_at = await self.leave_start_open(returns, seconds)
            for _ in range(restarts):
                await returns.restart(worker)
                await returns.hear_of(worker)
            await asyncio.sleep(0.5)
            await self.execute_late(returns, worker, starts, sent_at)

        self.check(scene)

    def test_a_finite_task_is_not_started_by_a_boot_that_has_answered(self) -> None:
        self.check_fenced(8.0)

    def test_a_lasting_task_started_elsewhere_is_not_started_by_a_boot_that_has_answered(
        self,
    ) -> None:
        self.check_fenced(0.0)

    def test_a_task_is_not_started_after_two_restarts_in_a_second(self) -> None:
        self.check_fenced(8.0, restarts=2)

    def test_a_task_is_not_started_beside_one_that_a_boot_starts_before_it_has_answered(
        self,
    ) -> None:
        async def scene(returns: Returns) -> None:
            worker, starts, sent_at = await self.leave_start_open(returns, 8.0)
            await returns.restart(worker)
            await self.execute_late(returns, worker, starts, sent_at)

        self.check(scene)

    def test_a_task_that_has_ended_is_not_started_by_a_boot_that_has_answered(self) -> None:
        async def scene(returns: Returns) -> None:
            worker, starts = await returns.lose_start(0.5)
            sent_at = now()
            await self.wait_for_end(returns)
            await asyncio.sleep(1.0)
            await returns.restart(worker)
            await returns.hear_of(worker)
            await asyncio.sleep(0.5)
            await self.execute_late(returns, worker, starts, sent_at)

        self.check(scene)

    async def wait_for_end(self, returns: Returns) -> None:
        """Wait until a task has run and ended."""
        while not returns.running():
            await asyncio.sleep(POLL_S)
        while returns.running():
            await asyncio.sleep(POLL_S)

    def test_a_boot_cut_off_after_its_first_answer_that_starts_a_task_late_is_waited_for(
        self,
    ) -> None:
        async def scene(returns: Returns) -> None:
            worker, starts = await returns.lose_start(0.0)
            sent_at = now()
            await returns.restart(worker)
            await returns.hear_of(worker)
            returns.isolate(worker)
            await asyncio.sleep(sent_at + 5.0 - now())
            await returns.execute(worker, starts)

        self.check(scene)

    def test_a_boot_cut_off_before_its_first_answer_that_starts_a_task_late_is_waited_for(
        self,
    ) -> None:
        async def scene(returns: Returns) -> None:
            worker, starts = await returns.lose_start(0.0)
            sent_at = now()
            returns.isolate(worker)
            await returns.restart(worker)
            await asyncio.sleep(sent_at + 5.0 - now())
            await returns.execute(worker, starts)

        self.check(scene)

    def test_a_boot_that_is_cut_off_and_not_listed_and_starts_a_task_late_is_waited_for(
        self,
    ) -> None:
        async def scene(returns: Returns) -> None:
            worker, starts = await returns.lose_start(0.0)
            sent_at = now()
            returns.isolate(worker)
            await returns.restart(worker)
            returns.cluster.unlisted.add(worker)
            await asyncio.sleep(sent_at + 5.0 - now())
            await returns.execute(worker, starts)

        self.check(scene)

    def test_a_boot_cut_off_that_starts_a_task_late_is_waited_for_by_the_next_holder(self) -> None:
        async def scene(returns: Returns) -> None:
            worker, starts = await returns.lose_start(0.0)
            sent_at = now()
            returns.isolate(worker)
            await returns.restart(worker)
            # The holder has stored the worker's lease end by then.
            await asyncio.sleep(2.5)
            returns.cluster.kill(returns.former)
            await asyncio.sleep(sent_at + 5.5 - now())
            await returns.execute(worker, starts)

        self.check(scene)

    def test_a_boot_is_fenced_soon_whenever_it_begins(self) -> None:
        for down_s in (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9):
            with self.subTest(down_s=down_s):

                async def scene(returns: Returns, down_s: float = down_s) -> None:
                    worker, starts = await returns.lose_start(0.5)
                    sent_at = now()
                    await self.wait_for_end(returns)
                    await asyncio.sleep(1.0)
                    await returns.restart(worker, down_s)
                    await asyncio.sleep(0.2)
                    await self.execute_late(returns, worker, starts, sent_at)

                self.check(scene)

    def test_a_task_on_the_worker_that_left_its_start_unanswered_does_not_run_twice(self) -> None:
        for cut_off in (False, True):
            with self.subTest(cut_off=cut_off):

                async def scene(returns: Returns, cut_off: bool = cut_off) -> None:
                    cluster = returns.cluster
                    cluster.announce(WORKERS[0], LONG_S)
                    await asyncio.sleep(1.0)
                    worker, starts = await returns.lose_start(60.0)
                    sent_at = now()
                    # The first worker has as little room, and comes before this one.
                    cluster.withhold("stop", worker)
                    cluster.leaving.clear()
                    await asyncio.sleep(0.4)
                    await returns.submit("b-e1", returns.new_job(14, 60.0))
                    while returns.running() < 14:
                        await asyncio.sleep(POLL_S)
                    cluster.withheld.clear()
                    while returns.running() < 15:
                        await asyncio.sleep(POLL_S)
                    await returns.restart(worker)
                    if cut_off:
                        returns.isolate(worker)
                        await asyncio.sleep(sent_at + 5.0 - now())
                    await returns.execute(worker, starts)

                self.check(scene)

    def test_a_worker_that_was_dropped_and_is_back_does_not_start_a_task_of_its_former_life(
        self,
    ) -> None:
        async def scene(returns: Returns) -> None:
            worker, starts, _ = await self.leave_start_open(returns, 0.0)
            returns.cluster.crash_worker(worker)
            members = returns.held(returns.former)[CELL].dispatcher.members
            while worker in members:
                await asyncio.sleep(POLL_S)
            returns.cluster.add_worker(worker, CELL)
            await returns.hear_of(worker)
            await asyncio.sleep(0.5)
            await returns.execute(worker, starts)

        self.check(scene)


class LateLeases(ReturnedWorkers):
    """A hold that the former boot left without an answer extends a lease of the next one."""

    def check_extended(self, seconds: float, restarts: int = 1, listed: bool = True) -> None:
        """Cut a boot off as soon as it runs tasks, and extend their lease seconds later."""

        async def scene(returns: Returns) -> None:
            cluster, worker = returns.cluster, WORKERS[0]
            await returns.submit("b-e1", returns.new_job(FULL, seconds))
            await asyncio.sleep(2.0)
            holds = await returns.lose_hold(worker)
            sent_at = now()
            for _ in range(restarts):
                await returns.restart(worker)
                await returns.hear_of(worker)
            while not returns.runner(worker).running or returns.runner(worker).lease_left_s() < 5.5:
                self.assertLess(now() - sent_at, 4.0)
                await asyncio.sleep(0.001)
            cluster.add_worker("a-w9", CELL)
            returns.isolate(worker)
            if not listed:
                cluster.unlisted.add(worker)
            await asyncio.sleep(sent_at + 5.9 - now())
            self.assertTrue(returns.runner(worker).running)
            await returns.execute(worker, holds)
            await asyncio.sleep(LONG_S)
            self.assertTrue(cluster.runners["a-w9"].running)

        self.check(scene)

    def test_a_boot_that_is_cut_off_does_not_run_lasting_tasks_for_longer_than_waited_for(
        self,
    ) -> None:
        self.check_extended(0.0)

    def test_a_boot_that_is_cut_off_does_not_run_finite_tasks_for_longer_than_waited_for(
        self,
    ) -> None:
        self.check_extended(60.0, listed=False)

    def test_a_boot_after_two_restarts_does_not_run_tasks_for_longer_than_waited_for(self) -> None:
        self.check_extended(0.0, restarts=2)


class LateCursors(ReturnedWorkers):
    """A hold of the former boot acknowledges ends of the next one."""

    def check_forgotten(self, restarts: int = 1) -> None:
        """Let a boot forget an end before the holder has listed it."""

        async def scene(returns: Returns) -> None:
            cluster, worker = returns.cluster, WORKERS[0]
            others = [name for name in WORKERS if name != worker]
            # Both boots number ends from 1.
            await returns.submit("b-e1", returns.new_job(FULL, 0.5))
            await asyncio.sleep(3.0)
            holds = await returns.lose_hold(worker)
            for name in others:
                cluster.announce(name, LONG_S)
            for _ in range(restarts):
                await returns.restart(worker)
                await returns.hear_of(worker)
            await returns.submit("b-e1", returns.new_job(1, 2.0))
            while not returns.runner(worker).running:
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(1.5)
            returns.isolate(worker)
            await asyncio.sleep(0.7)
            self.assertFalse(returns.runner(worker).running)
            await returns.execute(worker, holds)
            cluster.cuts.clear()

        self.check(scene)

    def test_an_end_that_was_not_listed_is_not_forgotten(self) -> None:
        self.check_forgotten()

    def test_an_end_that_was_not_listed_is_not_forgotten_after_two_restarts(self) -> None:
        self.check_forgotten(restarts=2)

    def test_a_cursor_that_was_answered_is_not_sent_again(self) -> None:
        async def scene(returns: Returns) -> None:
            worker = WORKERS[0]
            for name in WORKERS[1:]:
                returns.cluster.announce(name, LONG_S)
            await returns.submit("b-e1", returns.new_job(4, 0.5))
            await asyncio.sleep(3.0)
            holds = returns.cluster.withhold("hold", worker)
            starts = returns.cluster.withhold("start", worker)
            while not holds:
                await asyncio.sleep(POLL_S)
            await returns.submit("b-e1", returns.new_job(1, 0.5))
            while not starts:
                await asyncio.sleep(POLL_S)
            returns.cluster.withheld.clear()
            returns.isolate(worker)
            await returns.restart(worker)
            await returns.execute(worker, starts[:1])
            self.assertTrue(returns.runner(worker).running)
            await asyncio.sleep(1.0)
            await returns.execute(worker, holds[:1])
            returns.cluster.cuts.clear()

        self.check(scene)


class UsedAgain(unittest.TestCase):
    """A worker that is back, in a cell without other room."""

    def play(self, scene: Scene) -> None:
        """Play a scene in which all cores have a finite task, and check the rules."""

        async def main() -> list[str]:
            returns = Returns()
            await returns.start()
            await returns.submit("b-e1", returns.new_job(FULL, 60.0))
            await asyncio.sleep(2.0)
            self.assertEqual(returns.running(), FULL)
            await scene(returns)
            returns.cluster.close()
            return returns.cluster.judge.broken

        self.assertEqual(run(main()), [])

    async def time_until_used(self, returns: Returns, worker: str, limit_s: float) -> float:
        """Return after how many seconds a worker runs a task."""
        began = now()
        while not returns.runner(worker).running and now() - began < limit_s:
            await asyncio.sleep(0.001)
        return now() - began

    def test_a_worker_that_is_back_in_an_outage_of_the_store_is_used_only_after_it(self) -> None:
        for down_s in (0.2, 0.5, 1.5):
            with self.subTest(down_s=down_s):

                async def scene(returns: Returns, down_s: float = down_s) -> None:
                    returns.cluster.store_down = True
                    await returns.restart(WORKERS[0], down_s)
                    await returns.hear_of(WORKERS[0])
                    await asyncio.sleep(3.0)
                    self.assertFalse(returns.runner(WORKERS[0]).running)
                    returns.cluster.store_down = False
                    limit_s = USED_AFTER_OUTAGE_S
                    used_s = await self.time_until_used(returns, WORKERS[0], limit_s)
                    self.assertLess(used_s, limit_s)

                self.play(scene)

    def test_a_worker_that_is_back_obeys_the_next_holder(self) -> None:
        for released in (False, True):
            with self.subTest(released=released):

                async def scene(returns: Returns, released: bool = released) -> None:
                    cluster, worker = returns.cluster, WORKERS[0]
                    for _ in range(3):
                        await returns.restart(worker)
                        await returns.hear_of(worker)
                        await asyncio.sleep(1.0)
                    self.assertTrue(returns.runner(worker).running)
                    if released:
                        await cluster.entries[returns.former].succession.leave()
                    cluster.kill(returns.former)
                    await returns.wait_for_successor()
                    await asyncio.sleep(1.0)
                    cluster.crash_worker(WORKERS[1])
                    cluster.add_worker("a-w9", CELL)
                    await asyncio.sleep(15.0)
                    self.assertEqual(returns.running(), FULL)
                    await returns.restart(worker)
                    used_s = await self.time_until_used(returns, worker, USED_AGAIN_S)
                    self.assertLess(used_s, USED_AGAIN_S)

                self.play(scene)

    def test_a_worker_that_is_back_is_used_within_a_second(self) -> None:
        for down_s in (0.0, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0):
            with self.subTest(down_s=down_s):

                async def scene(returns: Returns, down_s: float = down_s) -> None:
                    await returns.restart(WORKERS[0], down_s)
                    used_s = await self.time_until_used(returns, WORKERS[0], USED_AGAIN_S)
                    self.assertLess(used_s, USED_AGAIN_S)

                self.play(scene)


class RegressionSeeds(unittest.TestCase):
    def test_no_task_runs_twice_beside_workers_that_are_back_and_cut_off(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(takeover.play(seed, Reborn), [])


if __name__ == "__main__":
    unittest.main()
