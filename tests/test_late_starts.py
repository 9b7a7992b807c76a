"""Starts without an answer, executed by a worker's next boot once their tasks run elsewhere."""

import asyncio
import unittest
from collections.abc import Callable
from functools import partial
from typing import NamedTuple
from unittest import mock

from curranthall.cells.options import Options
from curranthall.cells.ports import EndKind, StartResult, StartTask
from curranthall.cells.preemption import MIN_RUN_S
from curranthall.dag import Job, Step, TaskId
from curranthall.errors import ConnectFailed
from curranthall.model import Size
from tests import test_takeover
from tests.cluster import Cluster, Effect, now
from tests.preempting import LOW
from tests.test_returned_workers import LONG_S, WORKERS, ReturnedWorkers, Returns, Scene
from tests.test_takeover import CELL, POLL_S, make_job, make_step

# Just before the last moment at which a call without an answer is executed (12 s).
LAST_S = 11.9
# Just before the platform expects a lasting task to run again after its last run (6 s and 3 s).
LASTING_LAST_S = 8.9
# A start without an answer is stopped this long after it was sent.
STOPPED_S = 0.6
# Shorter than the pause of a worker that has refused a start.
SHORT_S = 0.1
# By then holders have read a change of the list of workers, and a renewal is confirmed.
LISTED_S = 1.5
# A worker that departs moves its lasting tasks in this time.
EXIT_S = 4.0
CORES = 8
# Where starts are lost, and where else tasks run: it comes first of those with equal room.
OTHER, WORKER = WORKERS[:2]


class Loss(NamedTuple):
    """A start that a worker left without an answer.

    Until `last_at` a later boot may execute it, and the task may wait.
    """

    job: Job
    starts: list[Effect]
    last_at: float


class LateStarts(ReturnedWorkers):
    """A start without an answer that a worker's next boot executes before it has answered."""

    def build_job(self, returns: Returns, step: Step, seconds: float) -> Job:
        """Build a job of which each task runs for some seconds, unless it is lasting."""
        returns.jobs += 1
        job = make_job(returns.jobs, step)
        returns.cluster.work[job.id] = seconds
        return job

    async def use_only(self, returns: Returns, worker: str) -> None:
        """Let all other workers announce their shutdown."""
        for name in WORKERS:
            if name != worker:
                returns.cluster.announce(name, LONG_S)
        await asyncio.sleep(LISTED_S)

    async def use_all(self, returns: Returns) -> None:
        """Let no worker announce its shutdown."""
        returns.cluster.leaving.clear()
        await asyncio.sleep(LISTED_S)

    async def fill(
        self, returns: Returns, worker: str, tasks: int, step: Step | None = None
    ) -> Job:
        """Let a worker run tasks of a new job; so it is chosen before those with more room."""
        cluster = returns.cluster
        await self.use_only(returns, worker)
        job = self.build_job(returns, (step or make_step(1))._replace(width=tasks), 60.0)
        await returns.submit("b-e1", job)
        while len(self.runs(returns, job)) < tasks:
            await asyncio.sleep(POLL_S)
        cluster.leaving.clear()
        await asyncio.sleep(LISTED_S)
        return job

    def runs(self, returns: Returns, job: Job) -> list[str]:
        """Return the worker of each run of a job."""
        return [
            name
            for name, runner in returns.cluster.runners.items()
            for task in runner.running
            if task.job == job.id
        ]

    def end_runs(
        self, returns: Returns, job: Job, worker: str, kind: EndKind, count: int | None = None
    ) -> None:
        """End all or some runs of a job on a worker."""
        runner = returns.runner(worker)
        for task in [task for task in runner.running if task.job == job.id][:count]:
            runner.end(task, kind)

    async def lose(
        self,
        returns: Returns,
        lasting: bool = False,
        step: Step | None = None,
        prepare: Scene | None = None,
        seconds: float = 60.0,
        queue: str = "q",
    ) -> Loss:
        """Submit a task, one that has run before if it is lasting, whose start gets no answer.

        Without `prepare`, which is called before, `WORKER` is the only one that takes tasks.
        """
        cluster = returns.cluster
        await self.use_only(returns, WORKER)
        step = step or make_step(1, lasting=lasting)
        job = self.build_job(returns, step, seconds)._replace(queue=queue)
        if lasting:
            await returns.submit("b-e1", job)
            while not self.runs(returns, job):
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(1.0)
        if prepare is not None:
            await prepare(returns)
        lost = cluster.withhold("start", WORKER)
        ended_at = now()
        if lasting:
            (first,) = self.runs(returns, job)
            self.end_runs(returns, job, first, EndKind.FAILED)
        else:
            await returns.submit("b-e1", job)
        async with asyncio.timeout(LONG_S):
            while not lost:
                await asyncio.sleep(0.001)
        cluster.withheld.clear()
        cluster.leaving.clear()
        return Loss(job, lost, ended_at + LASTING_LAST_S if lasting else now() + LAST_S)

    async def wait_for_run(self, returns: Returns, loss: Loss) -> None:
        """Wait until the task runs on another worker, or a late start's time is almost over."""
        while now() < loss.last_at and not {*self.runs(returns, loss.job)} - {WORKER}:
            await asyncio.sleep(POLL_S)

    async def return_and_execute(self, returns: Returns, loss: Loss) -> None:
        """Let the worker's next boot execute the start before it answers, as late as possible."""
        await self.wait_for_run(returns, loss)
        await self.execute_late(returns, loss)

    async def execute_late(self, returns: Returns, loss: Loss) -> None:
        """Let the worker's next boot execute the start before it answers."""
        await returns.restart(WORKER, 0.05)
        self.assertLess(now(), loss.last_at + SHORT_S)
        await returns.execute(WORKER, loss.starts)

    async def lose_in_full_cell(self, returns: Returns, width: int = 1) -> Loss:
        """Lose the start of a task; one that goes first takes the last core of the cell then.

        Of a wider step, the other tasks run.
        """
        others = [name for name in WORKERS if name != WORKER]
        for name in others:
            await self.fill(returns, name, CORES - (width - 1 if name == OTHER else 0))
        await self.fill(returns, WORKER, CORES - 1)
        step = make_step(1)._replace(width=width, estimate_ms=20_000)
        loss = await self.lose(returns, step=step, prepare=self.use_all)
        await returns.submit("b-e1", returns.new_job(1, 60.0))
        while len(returns.runner(WORKER).running) < CORES and now() < loss.last_at:
            await asyncio.sleep(POLL_S)
        return loss

    def refuse(self, returns: Returns, worker: str, answer: Callable[[], StartResult]) -> list[int]:
        """Let a worker refuse the next start; return the list that takes its run."""
        runner, refused = returns.runner(worker), list[int]()
        start = runner.start

        def refuse(token: int, order: StartTask) -> StartResult:
            if refused:
                return start(token, order)
            refused.append(order.run)
            return answer()

        runner.start = refuse  # type: ignore[method-assign]
        return refused


class Unavailable(LateStarts):
    """The worker answers, but takes no task when the one of the start is planned again."""

    def check_quarantined(self, lasting: bool) -> None:
        """Let runs fail on the worker, so that it gets no new ones for a while."""

        async def scene(returns: Returns) -> None:
            failing = await self.fill(returns, WORKER, 4)
            loss = await self.lose(returns, lasting)
            self.end_runs(returns, failing, WORKER, EndKind.FAILED)
            await self.return_and_execute(returns, loss)

        self.check(scene)

    def test_a_finite_task_of_a_quarantined_worker_does_not_run_twice(self) -> None:
        self.check_quarantined(False)

    def test_a_lasting_task_of_a_quarantined_worker_does_not_run_twice(self) -> None:
        self.check_quarantined(True)

    def check_paused(self, lasting: bool) -> None:
        """Let the worker refuse another task just before the start is known to be over."""

        async def scene(returns: Returns) -> None:
            running = await self.fill(returns, WORKER, 4)
            loss = await self.lose(returns, lasting)
            await asyncio.sleep(STOPPED_S)
            refused = self.refuse(returns, WORKER, lambda: StartResult.NO_ROOM)
            await returns.submit("b-e1", returns.new_job(1, 60.0))
            while not refused:
                await asyncio.sleep(POLL_S)
            # Each end answers a hold; the second one was sent after the answer of the stop.
            for _ in range(2):
                self.end_runs(returns, running, WORKER, EndKind.DONE, count=1)
                await asyncio.sleep(SHORT_S)
            await self.return_and_execute(returns, loss)

        self.check(scene)

    def test_a_finite_task_of_a_worker_that_refused_another_one_does_not_run_twice(self) -> None:
        self.check_paused(False)

    def test_a_lasting_task_of_a_worker_that_refused_another_one_does_not_run_twice(self) -> None:
        self.check_paused(True)

    def check_refused(self, lasting: bool) -> None:
        """Let the worker refuse the task's second start, or its call not be sent."""

        def fail() -> StartResult:
            raise ConnectFailed(peer=WORKER, why="refused")

        answers: dict[str, Callable[[], StartResult]] = {
            "room": lambda: StartResult.NO_ROOM,
            "health": lambda: StartResult.UNHEALTHY,
            "late": lambda: StartResult.TOO_LATE,
            "unsent": fail,
        }
        for name, answer in answers.items():
            with self.subTest(name):

                async def scene(
                    returns: Returns, answer: Callable[[], StartResult] = answer
                ) -> None:
                    await self.fill(returns, WORKER, 4)
                    loss = await self.lose(returns, lasting)
                    refused = self.refuse(returns, WORKER, answer)
                    while not refused and now() < loss.last_at:
                        await asyncio.sleep(POLL_S)
                    await self.return_and_execute(returns, loss)

                self.check(scene)

    def test_a_finite_task_whose_second_start_is_refused_does_not_run_twice(self) -> None:
        self.check_refused(False)

    def test_a_lasting_task_whose_second_start_is_refused_does_not_run_twice(self) -> None:
        self.check_refused(True)

    def test_a_task_of_a_worker_that_others_have_filled_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            loss = await self.lose_in_full_cell(returns)
            runner = returns.runner(OTHER)
            runner.end(next(iter(runner.running)), EndKind.DONE)
            await self.return_and_execute(returns, loss)

        self.check(scene)


class MovedTasks(LateStarts):
    """The task of the start is moved to another cell."""

    def test_a_job_that_has_no_room_in_the_cell_any_more_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            loss = await self.lose_in_full_cell(returns)
            returns.close_cells("c")
            await self.return_and_execute(returns, loss)

        self.check(scene)

    def test_a_task_of_a_job_that_runs_on_in_the_cell_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            loss = await self.lose_in_full_cell(returns, width=2)
            self.assertEqual(self.runs(returns, loss.job), [OTHER])
            returns.close_cells("c")
            while len(self.runs(returns, loss.job)) < 2 and now() < loss.last_at:
                await asyncio.sleep(POLL_S)
            await self.execute_late(returns, loss)

        self.check(scene)

    def check_closed(self, lasting: bool) -> None:
        """Take the cell out of service and give the others back."""

        async def scene(returns: Returns) -> None:
            loss = await self.lose(returns, lasting)
            returns.close_cells(CELL)
            await self.return_and_execute(returns, loss)

        self.check(scene)

    def test_a_finite_task_of_a_cell_that_is_taken_out_does_not_run_twice(self) -> None:
        self.check_closed(False)

    def test_a_lasting_task_of_a_cell_that_is_taken_out_does_not_run_twice(self) -> None:
        self.check_closed(True)


class Successors(LateStarts):
    """The next holder hears from the boot that left the start unanswered, then that restarts."""

    def check_successor(
        self, lasting: bool, lose_cell: Scene, prepare: Scene | None = None
    ) -> None:
        """Let another dispatcher take the cell while the start is open."""

        async def scene(returns: Returns) -> None:
            await self.fill(returns, OTHER, 4)
            epoch = returns.held(returns.former)[CELL].dispatcher.epoch
            loss = await self.lose(returns, lasting, prepare=prepare)
            await lose_cell(returns)
            await self.return_and_execute(returns, loss)
            holder = returns.cluster.holder(CELL)
            assert holder is not None
            self.assertGreater(returns.held(holder)[CELL].dispatcher.epoch, epoch)

        self.check(scene)

    async def leave(self, returns: Returns) -> None:
        """Let the holder shut down."""
        await returns.cluster.entries[returns.former].succession.leave()

    async def kill(self, returns: Returns) -> None:
        """Kill the holder."""
        returns.cluster.kill(returns.former)

    async def restart_holder(self, returns: Returns) -> None:
        """Restart the holder's process."""
        returns.cluster.kill(returns.former)
        await asyncio.sleep(0.3)
        returns.cluster.restart(returns.former)

    async def cut_off(self, returns: Returns) -> None:
        """Cut the holder off from most workers."""
        await self.use_all(returns)
        others = {name for name in WORKERS if name != WORKER}
        returns.cut(returns.former, *others)
        members = returns.held(returns.former)[CELL].dispatcher.members
        while any(members[name].silent_since is None for name in others):
            await asyncio.sleep(POLL_S)

    async def cut_all_off(self, returns: Returns) -> None:
        """Cut the holder off from most workers, and the other entries from all."""
        for name in returns.others():
            returns.cut(name, *WORKERS)
        await self.cut_off(returns)

    async def give_up(self, returns: Returns) -> None:
        """Wait until the holder has given its cell back."""
        while CELL in returns.held(returns.former):
            await asyncio.sleep(POLL_S)

    async def take_again(self, returns: Returns) -> None:
        """Let the holder give its cell back, and be the only one that may take it."""
        await self.give_up(returns)
        for name in WORKERS:
            returns.cluster.cuts.discard(frozenset((returns.former, name)))

    def test_a_finite_task_of_a_cell_that_is_released_does_not_run_twice(self) -> None:
        self.check_successor(False, self.leave)

    def test_a_lasting_task_of_a_cell_that_is_released_does_not_run_twice(self) -> None:
        self.check_successor(True, self.leave)

    def test_a_finite_task_of_a_holder_that_is_cut_off_does_not_run_twice(self) -> None:
        self.check_successor(False, self.give_up, self.cut_off)

    def test_a_lasting_task_of_a_holder_that_is_cut_off_does_not_run_twice(self) -> None:
        self.check_successor(True, self.give_up, self.cut_off)

    def test_a_finite_task_of_a_holder_that_takes_its_cell_again_does_not_run_twice(self) -> None:
        self.check_successor(False, self.take_again, self.cut_all_off)

    def test_a_finite_task_of_a_killed_holder_does_not_run_twice(self) -> None:
        self.check_successor(False, self.kill)

    def test_a_lasting_task_of_a_killed_holder_does_not_run_twice(self) -> None:
        self.check_successor(True, self.kill)

    def test_a_finite_task_of_a_holder_that_restarts_does_not_run_twice(self) -> None:
        self.check_successor(False, self.restart_holder)

    def test_a_lasting_task_of_a_holder_that_restarts_does_not_run_twice(self) -> None:
        self.check_successor(True, self.restart_holder)


class DroppedWorkers(LateStarts):
    """The worker is dropped, or moves, while a start to it is open; then it is back."""

    def check_replaced(self, lasting: bool) -> None:
        """Let another worker answer at the address for a while (status 421)."""

        async def scene(returns: Returns) -> None:
            loss = await self.lose(returns, lasting)
            cluster = returns.cluster
            cluster.gone.add(WORKER)
            cluster.crash_worker(WORKER)
            members = returns.held(returns.former)[CELL].dispatcher.members
            while WORKER in members:
                await asyncio.sleep(POLL_S)
            await self.wait_for_run(returns, loss)
            cluster.gone.clear()
            cluster.add_worker(WORKER, CELL)
            await returns.execute(WORKER, loss.starts)

        self.check(scene)

    def test_a_finite_task_of_a_worker_replaced_for_a_while_does_not_run_twice(self) -> None:
        self.check_replaced(False)

    def test_a_lasting_task_of_a_worker_replaced_for_a_while_does_not_run_twice(self) -> None:
        self.check_replaced(True)

    def check_moved(self, lasting: bool) -> None:
        """Let the platform list the worker at another address."""

        async def scene(returns: Returns) -> None:
            loss = await self.lose(returns, lasting)
            runner = returns.runner(WORKER)
            runner.host = runner.host._replace(address="elsewhere")
            await self.return_and_execute(returns, loss)

        self.check(scene)

    def test_a_finite_task_of_a_worker_that_moves_does_not_run_twice(self) -> None:
        self.check_moved(False)

    def test_a_lasting_task_of_a_worker_that_moves_does_not_run_twice(self) -> None:
        self.check_moved(True)


class SeveralStarts(LateStarts):
    """Two starts of a task to one worker get no answer, and its next boot executes both."""

    async def lose_two(self, returns: Returns, lasting: bool, seconds: float) -> list[Loss]:
        """Lose the first two starts of a task, if both are sent soon enough."""
        first = await self.lose(returns, lasting, seconds=seconds)
        starts = returns.cluster.withhold("start", WORKER)
        while not starts and now() < first.last_at - 1.0:
            await asyncio.sleep(0.001)
        returns.cluster.withheld.clear()
        last_at = first.last_at if lasting else now() + LAST_S
        return [first, Loss(first.job, starts, last_at)]

    def check_cut_off(self, lasting: bool) -> None:
        """Cut the next boot off, and let it execute each start as late as possible."""

        async def scene(returns: Returns) -> None:
            first, second = await self.lose_two(returns, lasting, 0.2)
            returns.isolate(WORKER)
            await returns.restart(WORKER)
            await asyncio.sleep(first.last_at - now() - 0.5)
            await returns.execute(WORKER, first.starts)
            self.assertEqual(self.runs(returns, first.job), [WORKER])
            await asyncio.sleep(second.last_at - now())
            await returns.execute(WORKER, second.starts)
            self.assertEqual(self.runs(returns, first.job), [WORKER])

        self.check(scene)

    def test_a_finite_task_does_not_run_beside_either_of_two_late_starts(self) -> None:
        self.check_cut_off(False)

    def test_a_lasting_task_does_not_run_beside_either_of_two_late_starts(self) -> None:
        self.check_cut_off(True)

    def test_a_task_done_by_a_late_start_is_not_started_by_the_next_late_start(self) -> None:
        async def scene(returns: Returns) -> None:
            first, second = await self.lose_two(returns, False, 0.01)
            await self.execute_late(returns, first)
            while self.runs(returns, first.job):
                await asyncio.sleep(0.001)
            await returns.execute(WORKER, second.starts)

        self.check(scene)


class EndedTasks(LateStarts):
    """Another run of the task ends as done before the start is executed."""

    async def wait_until_done(self, returns: Returns, loss: Loss) -> None:
        """Wait until the end of the task's only step is acknowledged."""
        task = loss.job.id
        while now() < loss.last_at and task not in {
            each.job for each in returns.cluster.judge.acked
        }:
            await asyncio.sleep(POLL_S)

    def test_a_task_that_is_done_on_the_same_worker_is_not_started(self) -> None:
        async def scene(returns: Returns) -> None:
            loss = await self.lose(returns, seconds=0.5)
            await self.wait_until_done(returns, loss)
            await self.execute_late(returns, loss)

        self.check(scene)

    def test_a_task_that_is_done_on_another_worker_is_not_started(self) -> None:
        async def scene(returns: Returns) -> None:
            failing = await self.fill(returns, WORKER, 4)
            loss = await self.lose(returns, seconds=0.5)
            self.end_runs(returns, failing, WORKER, EndKind.FAILED)
            await self.wait_until_done(returns, loss)
            await self.execute_late(returns, loss)

        self.check(scene)


class SecondRuns(LateStarts):
    """The task runs on the same worker again, and its run ends there before the start may."""

    async def run_again(self, returns: Returns, loss: Loss) -> TaskId:
        """Wait until the task's second start has effect; return the task."""
        while not self.runs(returns, loss.job) and now() < loss.last_at:
            await asyncio.sleep(POLL_S)
        self.assertEqual(self.runs(returns, loss.job), [WORKER])
        return TaskId(loss.job.id, 0, 0, 0)

    def check_departing(self, lasting: bool) -> None:
        """Let the worker announce its shutdown, exit, and be back."""

        async def scene(returns: Returns) -> None:
            loss = await self.lose(returns, lasting)
            await self.run_again(returns, loss)
            returns.cluster.announce(WORKER, EXIT_S)
            await self.return_and_execute(returns, loss._replace(last_at=now() + EXIT_S))

        self.check(scene)

    def test_a_lasting_task_that_leaves_a_departing_worker_does_not_run_twice(self) -> None:
        self.check_departing(True)

    def test_a_finite_task_of_a_departing_worker_does_not_run_twice(self) -> None:
        self.check_departing(False)

    def test_a_task_that_stands_still_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            loss = await self.lose(returns)
            task = await self.run_again(returns, loss)
            returns.runner(WORKER).running[task].pace = 0
            await self.return_and_execute(returns, loss)

        self.check(scene)

    def test_a_task_that_fails_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            loss = await self.lose(returns)
            task = await self.run_again(returns, loss)
            returns.runner(WORKER).end(task, EndKind.FAILED)
            await self.return_and_execute(returns, loss)

        self.check(scene)

    def test_a_task_that_is_preempted_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            long = make_step(1)._replace(estimate_ms=60_000)
            for name in WORKERS:
                cores = CORES - (4 if name == WORKER else 1)
                await self.fill(returns, name, cores, long)
            step = long._replace(checkpointing=True)
            loss = await self.lose(returns, step=step, queue=LOW.name)
            await self.run_again(returns, loss)
            await asyncio.sleep(MIN_RUN_S + SHORT_S)
            urgent = self.build_job(returns, make_step(1)._replace(size=Size(4, 1_000)), 60.0)
            await returns.submit("b-e1", urgent)
            await self.return_and_execute(returns, loss)

        cluster = partial(Cluster, options=Options(preemption=True), queues=(LOW,))
        with mock.patch.object(test_takeover, "Cluster", cluster):
            self.check(scene)


if __name__ == "__main__":
    unittest.main()
