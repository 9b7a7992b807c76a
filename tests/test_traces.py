"""What the log and the figures tell of starts, ends and waits: fields that the pages name."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any
from unittest.mock import patch

from curranthall import events
from curranthall.cells.ports import EndKind, StartResult, StartTask
from curranthall.cells.records import StoredJob, create_job
from curranthall.cells.runtime import CellRuntime
from curranthall.dag import Progress
from curranthall.standin.store import MemoryStore
from curranthall.store import Committed
from tests.cell_fixtures import (
    BORN,
    CELL,
    EPOCH,
    Cell,
    ended,
    granted,
    host,
    job,
    listed,
    step,
    task,
)
from tests.test_runtime import make_runtime
from tests.virtual import run


class Lines:
    """Keeps what is logged."""

    def __init__(self) -> None:
        self.found: list[dict[str, Any]] = []

    def write(self, event: Enum, fields: dict[str, object]) -> None:
        """Keep a line."""
        self.found.append({"name": event.name, **fields})

    def of(self, name: str) -> list[dict[str, Any]]:
        """Give the lines of an event."""
        return [line for line in self.found if line["name"] == name]


class Logged(unittest.TestCase):
    def setUp(self) -> None:
        self.lines = Lines()
        patched = patch.object(events, "_writer", self.lines)
        patched.start()
        self.addCleanup(patched.stop)


class Starts(Logged):
    def started(self, *hosts: str) -> Cell:
        """Start the one task of a job."""
        cell = Cell(*(host(name) for name in hosts))
        cell.add(job("0" * 16, step(1)), version=5)
        self.first = cell.plan()[0]
        cell.started(self.first)
        return cell

    def again(self, cell: Cell) -> dict[str, Any]:
        """Have the task started again; give the line."""
        cell.plan()
        _, line = self.lines.of("RUN_PLACED")
        return line

    def test_a_start_names_its_cell_and_epoch_and_what_the_holder_knew(self) -> None:
        self.started("w1")
        (line,) = self.lines.of("RUN_PLACED")
        wanted = {"cell": CELL, "epoch": EPOCH, "version": 5, "prior": False, "fenced": True}
        self.assertEqual({key: line[key] for key in wanted}, wanted)
        self.assertIsNone(line["after"])

    def test_a_start_before_all_workers_are_fenced_shows(self) -> None:
        cell = Cell(settled=False)
        cell.core.take_over([host("w1"), host("w2")], cell.now + 9)
        cell.answer("w1")
        cell.add(job("0" * 16, step(1)))
        cell.plan()
        (line,) = self.lines.of("RUN_PLACED")
        self.assertFalse(line["fenced"])

    def test_a_start_after_a_failure_names_the_failed_run(self) -> None:
        cell = self.started("w1")
        cell.answer("w1", [], [ended(1, self.first, EndKind.FAILED)])
        self.assertEqual(self.again(cell)["after"], ["ended failed", self.first.run, "w1"])

    def test_a_start_after_a_refusal_names_it(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("0" * 16, step(1)))
        (first,) = cell.plan()
        cell.core.on_start_result(first, StartResult.OLD_RUN, cell.now)
        self.assertEqual(self.again(cell)["after"], ["refused old-run", first.run, "w1"])
        self.assertEqual(self.lines.of("RUN_REFUSED")[0]["run"], first.run)

    def vanished(self, why: str) -> dict[str, Any]:
        """Give the one line about a run without a listed end."""
        (line,) = self.lines.of("RUN_VANISHED")
        self.assertEqual((line["why"], line["run"], line["worker"]), (why, self.first.run, "w1"))
        self.assertEqual((line["cell"], line["epoch"]), (CELL, EPOCH))
        return line

    def test_a_run_that_is_no_longer_listed_is_told(self) -> None:
        cell = self.started("w1")
        cell.now += 1
        cell.answer("w1")
        self.assertEqual(self.vanished("vanished")["state"], "running")
        self.assertEqual(self.again(cell)["after"], ["vanished", self.first.run, "w1"])

    def test_a_restart_of_the_worker_is_told(self) -> None:
        cell = self.started("w1")
        cell.now += 1
        cell.answer("w1", born=BORN + 1)
        cell.core.confirm_roster(["w1"])
        self.vanished("reborn")
        self.assertEqual(self.again(cell)["after"], ["reborn", self.first.run, "w1"])

    def test_a_lapsed_lease_is_told_of_each_run(self) -> None:
        cell = self.started("w1", "w2")
        worker = self.first.worker
        cell.core.on_silence(worker, cell.now)
        cell.now += 20
        cell.core.tick(cell.now, cell.now)
        (line,) = self.lines.of("RUN_VANISHED")
        self.assertEqual((line["why"], line["worker"]), ("lapsed", worker))

    def test_a_worker_that_is_gone_is_told_of_each_run(self) -> None:
        cell = self.started("w1")
        cell.core.on_gone("w1", cell.now)
        self.vanished("gone")

    def test_a_start_that_was_never_sent_is_told(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("0" * 16, step(1)))
        (self.first,) = cell.plan()
        cell.core.on_start_unsent(self.first, cell.now)
        self.assertEqual(self.vanished("unsent")["state"], "starting")

    def test_a_listed_end_is_no_vanished_run(self) -> None:
        cell = self.started("w1")
        cell.answer("w1", [], [ended(1, self.first, EndKind.DONE)])
        self.assertEqual(self.lines.of("RUN_VANISHED"), [])
        self.assertEqual(cell.core.tracked["0" * 16].former, {})


class EndsBeforeTheirJob(Logged):
    """The first look at a worker after a takeover lists ends of jobs that are not read yet."""

    def ends(self, kind: EndKind) -> list[str]:
        """List the end of a run before its job is known; give the ends told in all."""
        cell = Cell(host("w1"))
        order = StartTask("w1", task(), 3_000_001, "spec", "", 0)
        cell.answer("w1", [], [ended(1, order, kind)])
        cell.add(job(), prior=True)
        return [line["how"] for line in self.lines.of("RUN_ENDED")]

    def test_each_kind_of_end_is_told_once(self) -> None:
        for kind in EndKind:
            self.lines.found.clear()
            self.assertEqual(self.ends(kind), [kind.value])


class Duplicates(Logged):
    def test_a_second_run_of_a_task_is_told_with_the_first(self) -> None:
        cell = Cell(host("w1"), host("w2"))
        cell.add(job("0" * 16, step(1)))
        (first,) = cell.plan()
        cell.started(first)
        other = "w2" if first.worker == "w1" else "w1"
        second = first._replace(run=first.run + 1)
        cell.answer(other, [listed(second)])
        (line,) = self.lines.of("RUN_DUPLICATE")
        self.assertEqual((line["run"], line["worker"], line["done"]), (second.run, other, False))
        self.assertEqual(line["others"], [[first.run, first.worker]])

    def test_a_run_of_a_task_that_is_done_is_told(self) -> None:
        cell = Cell(host("w1"), host("w2"))
        cell.add(job("0" * 16, step(2)))
        first = cell.plan()[0]
        cell.answer(first.worker, [], [ended(1, first, EndKind.DONE)])
        cell.answer("w2", [listed(first._replace(run=first.run + 9))])
        self.assertTrue(self.lines.of("RUN_DUPLICATE")[0]["done"])

    def test_copies_of_a_task_may_run_twice(self) -> None:
        cell = Cell(host("w1"), host("w2"))
        cell.add(job("0" * 16, step(1, copies=True)))
        (first,) = cell.plan()
        cell.answer("w2", [listed(first._replace(run=first.run + 1))])
        self.assertEqual(self.lines.of("RUN_DUPLICATE"), [])


class Adoptions(Logged):
    def adopted(self, by: str) -> dict[str, Any]:
        """Give the one line about an adopted job."""
        (line,) = self.lines.of("JOB_ADOPTED")
        self.assertEqual((line["cell"], line["epoch"], line["by"]), (CELL, EPOCH, by))
        return line

    def play(self, scene: Callable[[MemoryStore, CellRuntime], Awaitable[None]]) -> None:
        """Run a scene on a cell none of whose loops runs yet."""

        async def main() -> None:
            store = MemoryStore(lambda: 0.0)
            await scene(store, make_runtime(store, [], asyncio.get_running_loop().time))

        run(main())

    async def store_job(self, store: MemoryStore, progress: Progress) -> StoredJob:
        answer = await create_job(store, job(), progress)
        assert isinstance(answer, Committed)
        return StoredJob(job(), progress, answer.version)

    async def follow(self, runtime: CellRuntime) -> None:
        loop = asyncio.create_task(runtime._load_jobs())
        await asyncio.sleep(1.0)
        loop.cancel()

    def test_a_job_read_at_the_takeover_is_from_before_it(self) -> None:
        async def scene(store: MemoryStore, runtime: CellRuntime) -> None:
            self.version = (await self.store_job(store, granted(EPOCH - 1))).version
            await self.follow(runtime)

        self.play(scene)
        line = self.adopted("rows")
        self.assertEqual((line["prior"], line["version"]), (True, self.version))

    def test_a_message_brings_a_new_job(self) -> None:
        async def scene(store: MemoryStore, runtime: CellRuntime) -> None:
            await self.follow(runtime)
            runtime.offer(await self.store_job(store, granted()))

        self.play(scene)
        self.assertFalse(self.adopted("message")["prior"])

    def test_the_feed_brings_a_job_that_no_message_told_of(self) -> None:
        async def scene(store: MemoryStore, runtime: CellRuntime) -> None:
            loop = asyncio.create_task(runtime._load_jobs())
            await asyncio.sleep(0.5)
            await self.store_job(store, granted())
            await asyncio.sleep(6.0)
            loop.cancel()

        self.play(scene)
        self.assertFalse(self.adopted("feed")["prior"])

    def test_a_run_on_a_worker_brings_its_job(self) -> None:
        async def scene(store: MemoryStore, runtime: CellRuntime) -> None:
            stored = await self.store_job(store, granted(EPOCH - 1))
            runtime.loaded = True
            runtime.dispatcher.unknown.add(stored.job.id)
            await runtime._resolve_unknown()

        self.play(scene)
        self.assertTrue(self.adopted("listed run")["prior"])


if __name__ == "__main__":
    unittest.main()
