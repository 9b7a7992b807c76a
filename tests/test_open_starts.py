"""Proofs that a start without an answer is over: what they count from, and what they overlook."""

import asyncio
import unittest
from collections.abc import Callable, Sequence
from functools import partial

from curranthall.cells.dispatcher import RUNS_PER_EPOCH
from curranthall.cells.open_starts import MAX_PUBLISHED, StartRow
from curranthall.cells.owner import Details
from curranthall.cells.ports import Ending, EndKind, ListedRun, StartResult, StartTask
from curranthall.dag import TaskId
from curranthall.dag.progress import decode_progress
from curranthall.model import HostState
from tests.cell_fixtures import BORN, EPOCH, Cell, ended, host, job, listed, step
from tests.cluster import now
from tests.test_late_starts import (
    LAST_S,
    LASTING_LAST_S,
    OTHER,
    SHORT_S,
    STOPPED_S,
    WORKER,
    LateStarts,
)
from tests.test_returned_workers import LATE_CALL_S, LONG_S, WORKERS, Returns
from tests.test_takeover import POLL_S

# A lasting task may wait this long for the worker that left its start unanswered.
LASTING_WAIT_S = 6.0
# The longest lease, and what clocks and the answer to the last call may add.
LEASE_S = 6.0
SLACK_S = 1.0
# The platform lets a job go without a run this long where there is room.
STANDSTILL_S = 3.0
# Just before the end of a lease of 6 s.
LEASED_S = 5.9
# A start that its worker left unanswered is over on the boot it was sent to after this time.
DEADLINE_S = 1.6
JOB = "1" * 16
# The platform's limit of a row, workers of a cell at the size that sites grow to, and a date.
MAX_ROW_BYTES = 65_536
LARGE_CELL = 300
START_MS = 1_780_000_000_000


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


class Ends(LateStarts):
    """A finite task runs elsewhere once no boot can execute its start any more, and not later."""

    def check_runs_by(self, limit_s: float, prepare: Callable[[Returns], None]) -> None:
        """Check that the task runs on another worker some seconds after its start was sent."""

        async def scene(returns: Returns) -> None:
            loss = await self.lose(returns)
            sent_at = loss.last_at - LAST_S
            prepare(returns)
            while not {*self.runs(returns, loss.job)} - {WORKER}:
                self.assertLess(now(), sent_at + limit_s)
                await asyncio.sleep(POLL_S)

        self.check(scene)

    def test_a_task_of_a_worker_that_answers_runs_elsewhere(self) -> None:
        def leave(returns: Returns) -> None:
            returns.cluster.announce(WORKER, LONG_S)

        self.check_runs_by(LATE_CALL_S + STANDSTILL_S, leave)

    def test_a_task_of_a_worker_that_is_lost_runs_elsewhere(self) -> None:
        def crash(returns: Returns) -> None:
            returns.cluster.crash_worker(WORKER)

        self.check_runs_by(LATE_CALL_S + LEASE_S + SLACK_S, crash)

    def test_a_task_of_a_worker_that_is_cut_off_runs_elsewhere(self) -> None:
        def cut(returns: Returns) -> None:
            returns.isolate(WORKER)

        self.check_runs_by(LATE_CALL_S + LEASE_S + SLACK_S, cut)

    def test_a_task_of_a_worker_that_answers_holds_but_no_start_runs_elsewhere(self) -> None:
        async def scene(returns: Returns) -> None:
            lost = returns.cluster.withhold("start", OTHER)
            job = returns.new_job(1, 60.0)
            await returns.submit("b-e1", job)
            while not lost:
                await asyncio.sleep(POLL_S)
            sent_at = now()
            while not self.runs(returns, job):
                self.assertLess(now(), sent_at + LONG_S)
                await asyncio.sleep(POLL_S)

        self.check(scene)


class ListedRuns(LateStarts):
    """The holder finds the late start's run, after a later start of the task had no effect."""

    def test_a_lasting_task_whose_later_start_was_refused_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            cluster, refused = returns.cluster, list[str]()
            loss = await self.lose(returns, lasting=True)
            cluster.announce(WORKER, LONG_S)

            def refuse(worker: str, *order: object) -> StartResult:
                refused.append(worker)
                return StartResult.NO_ROOM

            for name in {*WORKERS} - {WORKER}:
                runner = returns.runner(name)
                runner.start = partial(refuse, name)  # type: ignore[assignment]
            while not refused:
                await asyncio.sleep(POLL_S)
            await self.execute_late(returns, loss)
            await returns.hear_of(WORKER)
            await asyncio.sleep(STOPPED_S)
            self.assertEqual(self.runs(returns, loss.job), [WORKER])
            for name in {*WORKERS} - {WORKER}:
                del returns.runner(name).start  # type: ignore[method-assign]
            returns.isolate(WORKER)
            cluster.kill(returns.former)

        self.check(scene)


class Restarts(LateStarts):
    """A lasting task starts again on the worker of its open start once it may go anywhere."""

    def test_a_run_on_the_worker_of_an_open_start_does_not_lapse_before_that_is_over(self) -> None:
        async def scene(returns: Returns) -> None:
            cluster = returns.cluster
            loss = await self.lose(returns, lasting=True)
            sent_at = now()
            for name in WORKERS:
                cluster.announce(name, LONG_S)
            await asyncio.sleep(sent_at + LASTING_WAIT_S + SHORT_S - now())
            cluster.leaving.discard(WORKER)
            while not self.runs(returns, loss.job):
                await asyncio.sleep(POLL_S)
            self.assertEqual(self.runs(returns, loss.job), [WORKER])
            self.assertLess(now(), sent_at + LAST_S - LEASE_S / 2)
            cluster.leaving.clear()
            returns.isolate(WORKER)
            await returns.restart(WORKER, 0.05)
            await asyncio.sleep(sent_at + LAST_S - now())
            await returns.execute(WORKER, loss.starts)

        self.check(scene)


class PausedHolders(LateStarts):
    """A start leaves its process some time after it was placed."""

    def check_paused(self, pause_s: float) -> None:
        """Pause the holder as it sends the start; let a later boot execute it just in time."""

        async def scene(returns: Returns) -> None:
            cluster, sent = returns.cluster, list[float]()
            note_sent = cluster.judge.note_sent

            def pause(task: object, worker: str) -> None:
                note_sent(task, worker)  # type: ignore[arg-type]
                if not sent:
                    cluster.freeze(returns.former)
                    sent.append(now() + pause_s)
                    asyncio.get_running_loop().call_later(pause_s, cluster.thaw, returns.former)

            running = await self.fill(returns, WORKER, 4)
            cluster.judge.note_sent = pause  # type: ignore[method-assign]
            loss = await self.lose(returns)
            cluster.announce(WORKER, LONG_S)
            self.assertGreaterEqual(now(), sent[0])
            await asyncio.sleep(sent[0] - pause_s + LATE_CALL_S + SHORT_S - now())
            # Each end answers a hold; the second one was sent after the start's time by the plan.
            for _ in range(2):
                self.end_runs(returns, running, WORKER, EndKind.DONE, count=1)
                await asyncio.sleep(SHORT_S)
            while now() < sent[0] + LAST_S and not {*self.runs(returns, loss.job)} - {WORKER}:
                await asyncio.sleep(POLL_S)
            await returns.restart(WORKER, 0.05)
            self.assertLess(now(), sent[0] + LAST_S + SHORT_S)
            await returns.execute(WORKER, loss.starts)

        self.check(scene)

    def test_a_start_sent_by_a_process_that_was_paused_for_a_second_has_its_full_time(self) -> None:
        self.check_paused(1.0)

    def test_a_start_sent_by_a_process_that_was_paused_for_two_seconds_has_its_full_time(
        self,
    ) -> None:
        self.check_paused(2.0)


def make_cell() -> Cell:
    """Build a cell of two workers, the second of which takes no tasks."""
    return Cell(host("w1"), host("w2", state=HostState.LEAVING), max_attempts=9)


class SeveralStarts(unittest.TestCase):
    """Several starts of one task got no answer; a boot may still execute the first of them."""

    def setUp(self) -> None:
        """Track a finite task."""
        self.cell = make_cell()
        self.cell.add(job(JOB, step(1)))

    def answer(
        self, running: Sequence[ListedRun] = (), ends: Sequence[Ending] = (), born: int = BORN
    ) -> None:
        """Let both workers answer."""
        self.cell.answer("w2")
        self.cell.answer("w1", list(running), list(ends), born)

    def start(self) -> StartTask:
        """Place the task on the first worker."""
        (order,) = self.cell.plan()
        self.assertEqual(order.worker, "w1")
        return order

    def lose(self) -> StartTask:
        """Place the task on the first worker, which leaves the start unanswered."""
        order = self.start()
        self.cell.dispatcher.on_start_unanswered(order, self.cell.now)
        self.cell.now += DEADLINE_S
        self.answer()
        return order

    def leave(self) -> None:
        """Let the second worker take tasks, and the first one no more."""
        self.cell.dispatcher.update_host(host("w1", state=HostState.LEAVING))
        self.cell.dispatcher.update_host(host("w2"))

    def check_bound(self, sent_at: float) -> None:
        """Check that the task doesn't leave its worker before a late start's time is over."""
        self.leave()
        self.assertLess(self.cell.now, sent_at + LATE_CALL_S - 1.0)
        self.assertEqual(self.cell.plan(), [])

    def test_an_answered_start_between_two_lost_ones_does_not_hide_the_first(self) -> None:
        cell, sent_at = self.cell, self.cell.now
        self.lose()
        second = self.start()
        cell.started(second)
        self.answer([listed(second)])
        self.answer(ends=[ended(1, second, EndKind.STOPPED)])
        third = self.lose()
        # A later boot executes the third start, and may execute the first one once it has ended.
        self.answer([listed(third)], born=BORN + 1)
        self.answer(ends=[ended(1, third, EndKind.STOPPED)], born=BORN + 1)
        self.check_bound(sent_at)

    def test_a_later_start_that_begins_under_the_next_holder_does_not_hide_the_first(self) -> None:
        sent_at = self.cell.now
        self.lose()
        second = self.lose()
        rows, at = self.cell.dispatcher.list_open_starts(self.cell.now, 0.0), self.cell.now
        self.cell = make_cell()
        self.cell.now = at
        self.cell.dispatcher.open_starts.inherit(rows)
        self.cell.add(job(JOB, step(1)))
        self.answer([listed(second)], born=BORN + 1)
        self.answer(ends=[ended(1, second, EndKind.STOPPED)], born=BORN + 1)
        self.check_bound(sent_at)

    def test_an_answer_asked_for_before_the_time_of_a_late_start_is_over_proves_nothing(
        self,
    ) -> None:
        sent_at = self.cell.now
        self.lose()
        self.leave()
        self.cell.now = sent_at + LATE_CALL_S + SHORT_S
        self.cell.answer("w2")
        self.cell.answer("w1", asked_at=sent_at + LAST_S)
        self.assertEqual(self.cell.plan(), [])
        self.cell.answer("w1")
        self.assertEqual([order.worker for order in self.cell.plan()], ["w2"])

    def test_two_lost_starts_of_which_a_boot_executes_the_second_bind_the_task(self) -> None:
        sent_at = self.cell.now
        self.lose()
        second = self.lose()
        self.answer([listed(second)], born=BORN + 1)
        self.answer(ends=[ended(1, second, EndKind.STOPPED)], born=BORN + 1)
        self.check_bound(sent_at)


class Gangs(unittest.TestCase):
    """A gang of which one member left a start unanswered."""

    def test_no_member_moves_while_one_is_bound_to_a_worker(self) -> None:
        cell = Cell(host("w1", cores=1), host("w2", cores=1))
        cell.add(job(JOB, step(2, gang=True)))
        first, second = cell.plan()
        cell.started(first)
        cell.answer(first.worker, [listed(first)])
        cell.dispatcher.on_start_unanswered(second, cell.now)
        cell.now += DEADLINE_S
        cell.answer(second.worker)
        cell.answer(first.worker, ended=[ended(1, first, EndKind.STOPPED)])
        cell.dispatcher.update_host(host(second.worker, state=HostState.LEAVING))
        self.assertEqual(cell.plan(), [])
        cell.now += 1.0
        self.assertEqual(cell.dispatcher.stranded(0.0, cell.now), [])
        cell.now += LATE_CALL_S
        cell.answer(second.worker)
        self.assertEqual(len(cell.dispatcher.stranded(0.0, cell.now)), 1)


class LastingTasks(unittest.TestCase):
    """A lasting task with an open start."""

    def setUp(self) -> None:
        """Start the only task of a lasting job on the first worker, unanswered so far."""
        self.cell = make_cell()
        self.cell.add(job(JOB, step(1, lasting=True)))
        (self.order,) = self.cell.plan()

    def swap(self) -> None:
        """Let the second worker take tasks, and the first one no more."""
        self.cell.dispatcher.update_host(host("w1", state=HostState.LEAVING))
        self.cell.dispatcher.update_host(host("w2"))

    def wait(self, seconds: float) -> None:
        """Let time pass until both workers answer without any run."""
        self.cell.now += seconds
        self.cell.answer("w1")
        self.cell.answer("w2")


class Places(LastingTasks):
    """What a successor reads of a late start that the holder has found."""

    def lose(self) -> None:
        """Let the start get no answer, and another worker take the task 6 s later."""
        self.cell.dispatcher.on_start_unanswered(self.order, self.cell.now)
        self.wait(DEADLINE_S)
        self.swap()
        self.wait(LASTING_WAIT_S)

    def place(self) -> str:
        """Return the worker that the job's row names once it is written."""
        self.cell.record()
        progress = self.cell.dispatcher.tracked[JOB].progress
        return (decode_progress(progress.encode()).places or {})[0, 0, 0].worker

    def test_a_late_start_that_is_found_before_the_next_one_is_sent_is_in_the_row(self) -> None:
        cell = self.cell
        self.lose()
        cell.dispatcher.plan(cell.now)
        self.assertEqual(self.place(), "w2")
        cell.answer("w1", [listed(self.order)], born=BORN + 1)
        cell.dispatcher.send_recorded(cell.now)
        self.assertEqual(cell.take(StartTask), [])
        self.assertEqual(self.place(), "w1")

    def test_a_duplicate_that_outlives_the_last_run_is_in_the_row(self) -> None:
        cell = self.cell
        self.lose()
        (second,) = cell.plan()
        cell.started(second)
        cell.answer("w2", [listed(second)])
        cell.answer("w1", [listed(self.order)], born=BORN + 1)
        cell.answer("w2", ended=[ended(1, second, EndKind.FAILED)])
        self.assertEqual([run.worker for run in cell.member("w1").runs.values()], ["w1"])
        self.assertEqual(self.place(), "w1")


class Waits(LastingTasks):
    """What the wait for the worker of an open start costs."""

    def test_the_wait_counts_from_the_loss_of_the_last_run(self) -> None:
        cell = self.cell
        cell.started(self.order)
        cell.answer("w1", [listed(self.order)])
        cell.dispatcher.update_host(host("w2"))
        cell.answer("w2")
        lost_at = cell.now
        cell.dispatcher.on_silence("w1", cell.now)
        while not (orders := cell.plan()):
            cell.now += 0.1
            cell.answer("w2")
            cell.dispatcher.tick(cell.now, cell.now)
        self.assertEqual(orders[0].worker, "w2")
        cell.dispatcher.on_start_unanswered(orders[0], cell.now)
        cell.dispatcher.update_host(host("w3"))
        cell.now += DEADLINE_S
        cell.answer("w2")
        cell.answer("w3")
        cell.dispatcher.update_host(host("w2", state=HostState.LEAVING))
        while not (orders := cell.plan()):
            cell.now += 0.1
            cell.answer("w2")
            cell.answer("w3")
        self.assertEqual(orders[0].worker, "w3")
        self.assertLess(cell.now, lost_at + LASTING_LAST_S)

    def test_a_task_that_waits_for_its_worker_keeps_no_other_worker_from_short_tasks(self) -> None:
        cell = self.cell
        cell.dispatcher.on_start_unanswered(self.order, cell.now)
        self.wait(DEADLINE_S)
        self.swap()
        self.wait(0.1)
        cell.add(job("2" * 16, step(1)))
        self.assertEqual([order.worker for order in cell.plan()], ["w2"])

    def test_a_run_that_may_start_only_here_again_is_not_stopped_for_a_shutdown(self) -> None:
        cell = self.cell
        cell.dispatcher.on_start_unanswered(self.order, cell.now)
        self.wait(DEADLINE_S)
        (second,) = cell.plan()
        cell.started(second)
        cell.answer("w1", [listed(second, 100)])
        cell.stops()
        cell.dispatcher.update_host(host("w1", state=HostState.LEAVING, remaining_ms=3_500))
        cell.dispatcher.update_host(host("w2"))
        cell.now += 0.1
        cell.answer("w2")
        cell.plan()
        stops = cell.stops()
        cell.answer("w1", ended=[ended(1, second, EndKind.STOPPED)])
        # The task starts elsewhere at once, or it isn't stopped.
        self.assertEqual(bool(stops), bool(cell.plan()))


class Clocks(unittest.TestCase):
    """The clock in an answer to a start, which names no boot."""

    def test_an_answer_that_a_later_one_has_overtaken_shows_no_restart(self) -> None:
        cell = Cell(host("w1"))
        cell.now += 1.0
        asked_at, clock_ms = cell.now, int(cell.now * 1000)
        cell.now += 0.1
        cell.answer("w1")
        cell.now += 0.01
        self.assertFalse(cell.dispatcher.note_clock("w1", clock_ms, asked_at, cell.now))
        self.assertTrue(cell.member("w1").is_usable(cell.now))


class Rows(unittest.TestCase):
    """The details row, which the holder writes together with the renewal of its cell."""

    def test_as_many_open_starts_as_are_published_fit_in_the_row_of_a_large_cell(self) -> None:
        cell = Cell()
        names = [f"i-{number:010x}" for number in range(LARGE_CELL)]
        tasks = [TaskId(f"{number:016x}", 0, 0, 0) for number in range(2 * MAX_PUBLISHED)]
        cell.dispatcher.open_starts.inherit(
            StartRow(names[number % LARGE_CELL], task, EPOCH * RUNS_PER_EPOCH + number, cell.now)
            for number, task in enumerate(tasks)
        )
        rows = cell.dispatcher.list_open_starts(cell.now, 0.0)
        self.assertTrue(rows)
        starts = tuple(
            (row.worker, str(row.task), row.run, int(row.sent_at * 1000) + START_MS) for row in rows
        )
        details = Details([host(name) for name in names], open_starts=starts)
        self.assertLess(len(details._replace(open_starts=()).encode()), MAX_ROW_BYTES)
        self.assertLess(len(details.encode()), MAX_ROW_BYTES)


if __name__ == "__main__":
    unittest.main()
