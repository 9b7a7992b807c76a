"""Documented fields of the log lines for starts, ends and adoptions."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any
from unittest.mock import patch

from curranthall import events
from curranthall.cells.balance import Balancer, CellLoads, group_kinds
from curranthall.cells.ports import EndKind, StartResult, StartTask
from curranthall.cells.records import StoredJob, create_job
from curranthall.cells.runtime import CellRuntime
from curranthall.cells.tracking import TrackedJob
from curranthall.dag import Phase, Progress
from curranthall.dag.progress import decode_progress
from curranthall.standin.store import MemoryStore
from curranthall.store import Committed
from tests.cell_fixtures import (
    BORN,
    CELL,
    EPOCH,
    SERVICE,
    Cell,
    claimed_progress,
    ended,
    host,
    job,
    listed,
    step,
    task,
)
from tests.test_balance import rooms
from tests.test_runtime import make_runtime
from tests.virtual import run


class LogRecorder:
    """Log writer that keeps all lines."""

    def __init__(self) -> None:
        self.records: list[dict[str, Any]] = []

    def write(self, event: Enum, fields: dict[str, object]) -> None:
        """Append a line."""
        self.records.append({"name": event.name, **fields})

    def named(self, name: str) -> list[dict[str, Any]]:
        """Return the lines of an event."""
        return [line for line in self.records if line["name"] == name]


class LogTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.lines = LogRecorder()
        patcher = patch.object(events, "_writer", self.lines)
        patcher.start()
        self.addCleanup(patcher.stop)


class StartLines(LogTestCase):
    def started(self, *hosts: str) -> Cell:
        """Start the one task of a job."""
        cell = Cell(*(host(name) for name in hosts))
        cell.add(job("0" * 16, step(1)), version=5)
        self.first = cell.plan()[0]
        cell.started(self.first)
        return cell

    def restart_line(self, cell: Cell) -> dict[str, Any]:
        """Have the task started again; return its log line."""
        cell.plan()
        _, line = self.lines.named("RUN_PLACED")
        return line

    def test_a_start_logs_its_cell_epoch_and_row_version(self) -> None:
        self.started("w1")
        (line,) = self.lines.named("RUN_PLACED")
        expected = {"cell": CELL, "epoch": EPOCH, "version": 5, "prior": False, "fenced": True}
        self.assertEqual({key: line[key] for key in expected}, expected)
        self.assertIsNone(line["after"])

    def test_a_start_before_all_workers_are_fenced_is_marked(self) -> None:
        cell = Cell(settled=False)
        cell.dispatcher.take_over([host("w1"), host("w2")], cell.now + 9)
        cell.answer("w1")
        cell.add(job("0" * 16, step(1)))
        cell.plan()
        (line,) = self.lines.named("RUN_PLACED")
        self.assertFalse(line["fenced"])

    def test_a_start_after_a_failure_logs_the_failed_run(self) -> None:
        cell = self.started("w1")
        cell.answer("w1", [], [ended(1, self.first, EndKind.FAILED)])
        self.assertEqual(self.restart_line(cell)["after"], ["ended failed", self.first.run, "w1"])

    def test_a_start_after_a_refusal_logs_the_refused_run(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("0" * 16, step(1)))
        (first,) = cell.plan()
        cell.dispatcher.on_start_result(first, StartResult.OLD_RUN, cell.now)
        self.assertEqual(self.restart_line(cell)["after"], ["refused old-run", first.run, "w1"])
        self.assertEqual(self.lines.named("RUN_REFUSED")[0]["run"], first.run)

    def start_lasting(self) -> Cell:
        """Start the one task of a lasting job."""
        cell = Cell(host("w1"))
        cell.add(job("0" * 16, step(1, lasting=True)))
        self.first = cell.plan()[0]
        cell.started(self.first)
        return cell

    def gaps(self) -> list[int | None]:
        """Return the logged times without a run before each start."""
        return [line["gap_ms"] for line in self.lines.named("RUN_PLACED")]

    def test_a_start_of_a_lasting_task_logs_the_time_since_its_last_run(self) -> None:
        cell = self.start_lasting()
        cell.answer("w1", [], [ended(1, self.first, EndKind.FAILED)])
        cell.now += 9.5
        cell.answer("w1")
        cell.plan()
        self.assertEqual(self.gaps(), [None, 9500])
        self.assertTrue(self.lines.named("RUN_ENDED")[0]["lasting"])

    def test_the_time_since_the_last_run_includes_starts_without_effect(self) -> None:
        cell = self.start_lasting()
        cell.answer("w1", [], [ended(1, self.first, EndKind.FAILED)])
        for result in (StartResult.OLD_RUN, StartResult.OLD_RUN, StartResult.STARTED):
            # The refusal pauses the worker.
            cell.now += 3
            cell.answer("w1")
            (order,) = cell.plan()
            cell.dispatcher.on_start_result(order, result, cell.now)
        self.assertEqual(self.gaps(), [None, 3000, 6000, 9000])
        cell.answer("w1", [], [ended(2, order, EndKind.FAILED)])
        cell.now += 1
        cell.plan()
        self.assertEqual(self.gaps()[4:], [1000])

    def test_a_task_that_never_ran_here_logs_no_time_since_its_last_run(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("0" * 16, step(1, lasting=True)))
        (first,) = cell.plan()
        cell.dispatcher.on_start_result(first, StartResult.OLD_RUN, cell.now)
        cell.now += 1
        cell.plan()
        self.assertEqual(self.gaps(), [None, None])

    def test_a_task_that_was_moved_and_is_back_logs_no_time_since_its_last_run(self) -> None:
        for numbers in ([0], None):
            self.lines.records.clear()
            cell = self.start_lasting()
            cell.answer("w1", [], [ended(1, self.first, EndKind.FAILED)])
            tracked = cell.dispatcher.tracked["0" * 16]
            batch = tracked.batches[0, 0]
            cell.dispatcher.move(tracked, batch, numbers, "south", cell.now)
            tracked.progress.move_job(CELL, EPOCH)
            tracked.progress.move_tasks([batch.key(0)], CELL, EPOCH)
            cell.now += 30
            cell.answer("w1")
            cell.dispatcher.move(tracked, batch, [], CELL, cell.now)
            cell.plan()
            self.assertEqual(self.gaps(), [None, None])

    def test_lines_of_other_tasks_are_not_marked_as_lasting(self) -> None:
        cell = self.started("w1")
        cell.answer("w1", [], [ended(1, self.first, EndKind.FAILED)])
        for name in ("RUN_PLACED", "RUN_ENDED"):
            (line,) = self.lines.named(name)
            self.assertFalse({"lasting", "gap_ms"} & line.keys())

    def vanished_line(self, why: str) -> dict[str, Any]:
        """Return the only line about a run without a listed end."""
        (line,) = self.lines.named("RUN_VANISHED")
        self.assertEqual((line["why"], line["run"], line["worker"]), (why, self.first.run, "w1"))
        self.assertEqual((line["cell"], line["epoch"]), (CELL, EPOCH))
        return line

    def test_a_run_that_is_no_longer_listed_is_logged(self) -> None:
        cell = self.started("w1")
        cell.now += 1
        cell.answer("w1")
        self.assertEqual(self.vanished_line("vanished")["state"], "running")
        self.assertEqual(self.restart_line(cell)["after"], ["vanished", self.first.run, "w1"])

    def test_a_restart_of_the_worker_is_logged(self) -> None:
        cell = self.started("w1")
        cell.now += 1
        cell.answer("w1", born=BORN + 1)
        self.vanished_line("reborn")
        self.assertEqual(self.restart_line(cell)["after"], ["reborn", self.first.run, "w1"])

    def test_a_lapsed_lease_is_logged_for_each_run(self) -> None:
        cell = self.started("w1", "w2")
        worker = self.first.worker
        cell.dispatcher.on_silence(worker, cell.now)
        cell.now += 20
        cell.dispatcher.tick(cell.now, cell.now)
        (line,) = self.lines.named("RUN_VANISHED")
        self.assertEqual((line["why"], line["worker"]), ("lapsed", worker))

    def test_a_worker_that_is_gone_is_logged_for_each_run(self) -> None:
        cell = self.started("w1")
        cell.dispatcher.on_gone("w1", cell.now)
        self.vanished_line("gone")

    def test_an_unsent_start_is_logged(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("0" * 16, step(1)))
        (self.first,) = cell.plan()
        cell.dispatcher.on_start_unsent(self.first, cell.now)
        self.assertEqual(self.vanished_line("unsent")["state"], "starting")

    def test_a_listed_end_is_not_logged_as_vanished(self) -> None:
        cell = self.started("w1")
        cell.answer("w1", [], [ended(1, self.first, EndKind.DONE)])
        self.assertEqual(self.lines.named("RUN_VANISHED"), [])
        self.assertEqual(cell.dispatcher.tracked["0" * 16].former, {})


class EndsOfUnknownJobs(LogTestCase):
    """The first snapshot after a takeover lists ends of jobs that are not loaded yet."""

    def ended_kinds(self, kind: EndKind) -> list[str]:
        """List the end of a run before its job is known; return the kinds of all logged ends."""
        cell = Cell(host("w1"))
        order = StartTask("w1", task(), 3_000_001, "spec", "", 0)
        cell.answer("w1", [], [ended(1, order, kind)])
        cell.add(job(), prior=True)
        return [line["how"] for line in self.lines.named("RUN_ENDED")]

    def test_each_kind_of_end_is_logged_once(self) -> None:
        for kind in EndKind:
            self.lines.records.clear()
            self.assertEqual(self.ended_kinds(kind), [kind.value])


class DuplicateLines(LogTestCase):
    def test_a_second_run_of_a_task_is_logged_with_the_first(self) -> None:
        cell = Cell(host("w1"), host("w2"))
        cell.add(job("0" * 16, step(1)))
        (first,) = cell.plan()
        cell.started(first)
        other = "w2" if first.worker == "w1" else "w1"
        second = first._replace(run=first.run + 1)
        cell.answer(other, [listed(second)])
        (line,) = self.lines.named("RUN_DUPLICATE")
        self.assertEqual((line["run"], line["worker"], line["done"]), (second.run, other, False))
        self.assertEqual(line["others"], [[first.run, first.worker]])

    def test_a_run_of_a_done_task_is_logged(self) -> None:
        cell = Cell(host("w1"), host("w2"))
        cell.add(job("0" * 16, step(2)))
        first = cell.plan()[0]
        cell.answer(first.worker, [], [ended(1, first, EndKind.DONE)])
        cell.answer("w2", [listed(first._replace(run=first.run + 9))])
        self.assertTrue(self.lines.named("RUN_DUPLICATE")[0]["done"])

    def test_copies_of_a_task_may_run_twice(self) -> None:
        cell = Cell(host("w1"), host("w2"))
        cell.add(job("0" * 16, step(1, copies=True)))
        (first,) = cell.plan()
        cell.answer("w2", [listed(first._replace(run=first.run + 1))])
        self.assertEqual(self.lines.named("RUN_DUPLICATE"), [])


class AdoptionLines(LogTestCase):
    def adopted_line(self, by: str) -> dict[str, Any]:
        """Return the only line about an adopted job."""
        (line,) = self.lines.named("JOB_ADOPTED")
        self.assertEqual((line["cell"], line["epoch"], line["by"]), (CELL, EPOCH, by))
        return line

    def play(self, scenario: Callable[[MemoryStore, CellRuntime], Awaitable[None]]) -> None:
        """Run a scenario on a cell whose loops have not been started."""

        async def main() -> None:
            store = MemoryStore(lambda: 0.0)
            await scenario(store, make_runtime(store, [], asyncio.get_running_loop().time))

        run(main())

    async def store_job(self, store: MemoryStore, progress: Progress) -> StoredJob:
        answer = await create_job(store, job(), progress)
        assert isinstance(answer, Committed)
        return StoredJob(job(), progress, answer.version)

    async def follow(self, runtime: CellRuntime) -> None:
        loop = asyncio.create_task(runtime._load_jobs())
        await asyncio.sleep(1.0)
        loop.cancel()

    def test_a_job_loaded_at_a_takeover_is_marked_as_prior(self) -> None:
        async def scenario(store: MemoryStore, runtime: CellRuntime) -> None:
            self.version = (await self.store_job(store, claimed_progress(EPOCH - 1))).version
            await self.follow(runtime)

        self.play(scenario)
        line = self.adopted_line("rows")
        self.assertEqual((line["prior"], line["version"]), (True, self.version))

    def test_a_new_job_is_adopted_from_a_message(self) -> None:
        async def scenario(store: MemoryStore, runtime: CellRuntime) -> None:
            await self.follow(runtime)
            runtime.offer(await self.store_job(store, claimed_progress()))

        self.play(scenario)
        self.assertFalse(self.adopted_line("message")["prior"])

    def test_a_job_without_a_message_is_adopted_from_the_feed(self) -> None:
        async def scenario(store: MemoryStore, runtime: CellRuntime) -> None:
            loop = asyncio.create_task(runtime._load_jobs())
            await asyncio.sleep(0.5)
            await self.store_job(store, claimed_progress())
            await asyncio.sleep(6.0)
            loop.cancel()

        self.play(scenario)
        self.assertFalse(self.adopted_line("feed")["prior"])

    def test_a_job_is_adopted_from_a_listed_run(self) -> None:
        async def scenario(store: MemoryStore, runtime: CellRuntime) -> None:
            stored = await self.store_job(store, claimed_progress(EPOCH - 1))
            runtime.loaded = True
            runtime.dispatcher.unknown_jobs.add(stored.job.id)
            await runtime._resolve_unknown()

        self.play(scenario)
        self.assertTrue(self.adopted_line("listed run")["prior"])

    def test_an_adoption_logs_the_cell_that_counts_the_job(self) -> None:
        async def scenario(store: MemoryStore, runtime: CellRuntime) -> None:
            await self.follow(runtime)
            progress = Progress("south", Phase.RUNNING, moved_to={(0, 0, 0): CELL})
            runtime.offer(await self.store_job(store, progress))

        self.play(scenario)
        line = self.adopted_line("message")
        self.assertEqual((line["home"], line["begun"]), ("south", True))

    def test_a_loaded_cell_logs_its_count(self) -> None:
        async def scenario(store: MemoryStore, runtime: CellRuntime) -> None:
            await self.store_job(store, claimed_progress())
            await self.follow(runtime)

        self.play(scenario)
        (line,) = self.lines.named("CELL_LOADED")
        self.assertEqual((line["epoch"], line["jobs"], line["waiting"]), (EPOCH, 1, {"q": 1}))


class MoveLines(LogTestCase):
    def moved(self, numbers: list[int] | None) -> tuple[Cell, TrackedJob]:
        """Give tasks of a waiting job to another cell, or all; they are not stored there yet."""
        cell = Cell()
        cell.add(job("0" * 16, step(2)), version=5)
        tracked = cell.dispatcher.tracked["0" * 16]
        cell.dispatcher.move(tracked, tracked.batches[0, 0], numbers, "south", cell.now)
        self.assertEqual(self.lines.named("JOB_REASSIGNED"), [])
        return cell, tracked

    def store(self, cell: Cell, tracked: TrackedJob, version: int) -> None:
        """Confirm the row of a job as stored."""
        committed = decode_progress(tracked.progress.encode())
        cell.dispatcher.confirm(tracked, committed, tracked.change, version)

    def expect_reassigned(self, to: str, version: int, by: str) -> None:
        """Check the last line about a job that counts in another cell from then on."""
        line = self.lines.named("JOB_REASSIGNED")[-1]
        expected = {"job": "0" * 16, "cell": CELL, "epoch": EPOCH}
        expected |= {"to": to, "version": version, "by": by}
        self.assertEqual({key: line[key] for key in expected}, expected)

    def test_a_moved_job_is_logged_once_its_row_is_stored(self) -> None:
        cell, tracked = self.moved(None)
        self.assertEqual(cell.dispatcher.waiting_jobs(), {"q": 1})
        self.store(cell, tracked, 6)
        self.assertEqual(cell.dispatcher.waiting_jobs(), {})
        self.expect_reassigned("south", 6, "commit")

    def test_a_moved_job_is_logged_when_only_its_row_tells_that_it_was_stored(self) -> None:
        cell, tracked = self.moved(None)
        row = decode_progress(tracked.progress.encode())
        cell.dispatcher.refresh(tracked.job.id, row, 7, cell.now)
        self.expect_reassigned("south", 7, "row")

    def test_a_job_that_comes_back_is_logged(self) -> None:
        cell, tracked = self.moved(None)
        self.store(cell, tracked, 6)
        cell.dispatcher.refresh(tracked.job.id, Progress(CELL, moves=2), 9, cell.now)
        self.assertEqual(cell.dispatcher.waiting_jobs(), {"q": 1})
        self.expect_reassigned(CELL, 9, "row")
        self.assertEqual(len(self.lines.named("JOB_REASSIGNED")), 2)

    def test_a_job_of_which_some_tasks_move_still_counts_here(self) -> None:
        cell, tracked = self.moved([0])
        self.store(cell, tracked, 6)
        self.assertEqual(self.lines.named("JOB_REASSIGNED"), [])

    def test_a_move_logs_the_cell_that_decided_it(self) -> None:
        cell = Cell(host("w1", cores=1))
        cell.add(job("0" * 16, step(1, cores=2)), version=5)
        for _ in range(2):
            cell.plan()
            cell.now += 0.5
        kinds = group_kinds([host("s1", cores=16, domain="south")])
        south = CellLoads("south", {SERVICE: rooms(4)}, 3, kinds["south"])
        Balancer().move_stranded(cell.dispatcher, [south], cell.now)
        (line,) = self.lines.named("JOB_MOVED")
        expected = {"cell": CELL, "epoch": EPOCH, "to": "south", "version": 5, "whole": True}
        self.assertEqual({key: line[key] for key in expected}, expected)
        self.assertFalse({"lasting", "slots", "left"} & line.keys())

    def test_a_move_of_lasting_tasks_logs_what_was_seen(self) -> None:
        """Two tasks move to a cell with three slots, then one to what is left."""
        cell, balancer = Cell(host("w1", cores=1)), Balancer()
        for number, width in ((0, 2), (1, 1)):
            cell.add(job(str(number) * 16, step(width, cores=2, lasting=True)))
        cell.plan()
        cell.now += 0.5
        kinds = group_kinds([host("s1", cores=16, domain="south")])
        south = CellLoads(
            "south", {SERVICE: rooms(2, 2, 2, lasting=6, largest_lasting=2)}, 3, kinds["south"], 700
        )
        balancer.move_stranded(cell.dispatcher, [south], cell.now)
        lines = self.lines.named("JOB_MOVED")
        expected = {"why": "stranded", "cores": 2, "waited_s": 0.5, "must_start": False}
        for line, left in zip(lines, (3, 1), strict=True):
            seen = {**expected, "row_age_ms": 700, "lasting": True, "slots": 3, "left": left}
            self.assertEqual({key: line[key] for key in seen}, seen)

    def test_a_move_out_of_a_closed_cell_says_so(self) -> None:
        cell = Cell(host("w1", cores=1))
        cell.add(job("0" * 16, step(1, cores=2)))
        cell.plan()
        cell.dispatcher.closed = True
        Balancer().move_stranded(
            cell.dispatcher, [CellLoads("south", {SERVICE: rooms(4)})], cell.now
        )
        (line,) = self.lines.named("JOB_MOVED")
        self.assertEqual((line["why"], line["waited_s"], line["row_age_ms"]), ("closed", 0, None))


class BegunLines(LogTestCase):
    def test_a_job_is_logged_as_begun_by_its_first_confirmed_start(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("0" * 16, step(2)))
        first, second = cell.plan()
        self.assertEqual(self.lines.named("JOB_BEGUN"), [])
        cell.started(first)
        cell.started(second)
        (line,) = self.lines.named("JOB_BEGUN")
        expected = {"job": "0" * 16, "cell": CELL, "epoch": EPOCH, "run": first.run, "worker": "w1"}
        self.assertEqual({key: line[key] for key in expected}, expected)

    def test_a_refused_start_begins_no_job(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("0" * 16, step(1)))
        (first,) = cell.plan()
        cell.dispatcher.on_start_result(first, StartResult.NO_ROOM, cell.now)
        self.assertEqual(self.lines.named("JOB_BEGUN"), [])


if __name__ == "__main__":
    unittest.main()
