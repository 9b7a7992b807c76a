"""Lasting tasks of a lost worker that left the start of another task without an answer."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any
from unittest.mock import patch

from curranthall.cells.fencing import RunEnd
from curranthall.cells.fleet import LATE_CALL_S, Member
from curranthall.cells.open_starts import MAX_PUBLISHED, StartRow
from curranthall.cells.owner import RENEW_S, Details, Owner, Vacancy, decode_details
from curranthall.cells.ports import ListedRun, Snapshot
from curranthall.cells.records import read_details
from curranthall.cells.runtime import CellRuntime
from curranthall.dag import Job, TaskId
from curranthall.dag.progress import Place
from curranthall.model import HostState, Size
from tests.cell_fixtures import EPOCH, Cell, claimed_progress, host, job, listed, step, task
from tests.cluster import now
from tests.test_open_starts import LARGE_CELL, MAX_ROW_BYTES, START_MS
from tests.test_runtime import IdleWorker, LossyStore, make_runtime
from tests.test_takeover import CELL, POLL_S, SplitCell, make_job, make_step
from tests.virtual import run

# The longest lease, by a worker's slow clock, with the margins of the lapse and of stored times.
LAPSE_S = 6.0 / 0.98 + 0.2 + 0.1
# A vacant cell is taken this soon.
TAKE_S = 3.0
# What a new holder needs to load, claim and start the tasks, once nothing may run them.
START_S = 1.0
# By then two runs of a task would have met, whichever late call is executed.
SETTLE_S = 20.0
TASKS = 14
JOB = "0" * 16
PROOF_S = 9.0
FORMER_RUN = (EPOCH - 1) * 1_000_000 + 1
# The platform lists a lost worker for some seconds.
LISTED_S = 4.0

Scene = Callable[[SplitCell, Job], Coroutine[Any, Any, None]]


class LostWorkers(unittest.TestCase):
    """Workers with lasting tasks are lost; each has left a start of a short task unanswered."""

    def play(self, lost: int, scene: Scene, seed: int = 1) -> float:
        """Lose workers, then play a scene; return how long their lasting tasks wait."""

        async def main() -> float:
            split = SplitCell(seed)
            cluster = split.cluster
            for runner in cluster.runners.values():
                runner.clock_rate = 0.98
            await split.start()
            split.close_cells("b", "c")
            await split.submit("b-e1", job := make_job(1, make_step(TASKS, lasting=True)))
            await asyncio.sleep(1.0 + 0.3 * seed)
            busy = [name for name, at in cluster.runners.items() if at.running]
            idle = [name for name in cluster.runners if name[0] == CELL and name not in busy]
            names = (busy + idle)[:lost]
            starts = [cluster.withhold("start", name) for name in names]
            short = make_step(8)._replace(size=Size(1, 1_000))
            for number in range(2, 5):
                await split.submit("b-e1", make_job(number, short))
            await asyncio.sleep(0.4)
            self.assertTrue(starts[0])
            cluster.listed_after_crash_s = LISTED_S
            for name in names:
                cluster.crash_worker(name)
            began = now()
            cluster.add_worker("a-w8", CELL, cores=32)
            await scene(split, job)
            while count_runs(split, job) < TASKS and now() - began < 60.0:
                await asyncio.sleep(POLL_S)
            waited_s = now() - began
            await asyncio.sleep(SETTLE_S)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])
            return waited_s

        found: float = run(main())
        return found

    def test_a_cell_released_after_most_workers_were_lost(self) -> None:
        async def scene(split: SplitCell, job: Job) -> None:
            self.assertLess(count_runs(split, job), TASKS)
            for _ in range(int(TAKE_S / POLL_S)):
                if not split.held(split.former):
                    return
                await asyncio.sleep(POLL_S)
            self.fail("not released")

        for seed in range(3):
            with self.subTest(seed=seed):
                # A renewal after the lapse shows that no other holder extended the leases.
                self.assertLess(self.play(3, scene, seed), LAPSE_S + RENEW_S + START_S)

    def test_a_holder_killed_before_the_lapse(self) -> None:
        async def scene(split: SplitCell, job: Job) -> None:
            await asyncio.sleep(4.0)
            split.cluster.kill(split.former)

        for seed in range(3):
            with self.subTest(seed=seed):
                self.assertLess(self.play(1, scene, seed), 4.0 + TAKE_S + START_S)

    def test_a_take_names_no_run_ends_of_the_former_row(self) -> None:
        async def scene(split: SplitCell, job: Job) -> None:
            store = split.cluster.store
            await asyncio.sleep(4.0)
            self.assertTrue((await read_details(store, CELL)).run_ends)
            split.cluster.kill(split.former)
            while split.cluster.holder(CELL) is None:
                await asyncio.sleep(0.001)
            # The first renewal comes later.
            self.assertEqual((await read_details(store, CELL)).run_ends, {})

        self.play(1, scene)


class OldStarts(unittest.TestCase):
    """The last start of a lasting task got no answer; its cell is full until its holder is lost."""

    def play(self, crash_s: float, kill_s: float, seed: int) -> float:
        """Crash the worker, kill the holder, add room; return when the task runs.

        All times count from when the start was sent.
        """

        async def main() -> float:
            split = SplitCell(seed)
            cluster = split.cluster
            await split.start()
            split.close_cells("b", "c")
            names = [name for name in cluster.runners if name[0] == CELL]
            # All cores but those kept for short tasks.
            await split.submit("b-e1", full := make_job(1, make_step(27, lasting=True)))
            await asyncio.sleep(1.0 + 0.3 * seed)
            starts = {name: cluster.withhold("start", name) for name in names}
            await split.submit("b-e1", job := make_job(2, make_step(1, lasting=True)))
            async with asyncio.timeout(TAKE_S):
                while not any(starts.values()):
                    await asyncio.sleep(POLL_S)
            sent_at = now()
            (lost,) = (name for name in names if starts[name])
            cluster.withheld.clear()
            # This worker takes no more tasks, and no other one has room.
            cluster.announce(lost, 1_000.0)
            rest = make_job(3, make_step(8))
            cluster.work[rest.id] = 100.0
            await split.submit("b-e1", rest)
            await asyncio.sleep(sent_at + crash_s - now())
            self.assertEqual(count_runs(split, job), 0)
            # A worker that is not listed is dropped once its leases are over.
            cluster.listed_after_crash_s = 60.0
            cluster.crash_worker(lost)
            await asyncio.sleep(sent_at + kill_s - now())
            self.assertEqual(count_runs(split, job), 0)
            cluster.kill(split.former)
            cluster.add_worker("a-w8", CELL, cores=32)
            while not count_runs(split, job) and now() - sent_at < 60.0:
                await asyncio.sleep(POLL_S)
            ran_at = now()
            await asyncio.sleep(SETTLE_S)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])
            self.assertEqual(count_runs(split, full), 27)
            return ran_at - sent_at

        found: float = run(main())
        return found

    def test_a_start_that_is_over_when_its_worker_is_lost(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                self.assertLess(self.play(25.0, 25.0, seed), 25.0 + TAKE_S + START_S)

    def test_a_start_that_is_not_over_when_its_holder_is_lost(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                limit_s = LATE_CALL_S + LAPSE_S + RENEW_S + START_S
                self.assertLess(self.play(0.0, 11.0, seed), limit_s)


class LeaseLog(IdleWorker):
    """Keeps the leases that it was offered."""

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(clock)
        self.leases: list[int | None] = []

    async def hold(self, epoch: int, cursor: int, lease_ms: int | None, wait_ms: int) -> Snapshot:
        self.leases.append(lease_ms)
        return await super().hold(epoch, cursor, lease_ms, wait_ms)


class Leases(unittest.TestCase):
    def test_a_worker_with_run_ends_in_the_row_gets_no_lease_before_the_next_renewal(self) -> None:
        async def main() -> None:
            runtime = make_runtime(LossyStore(now), [], now, lambda host: IdleWorker(now))
            await runtime._renew()
            runtime.on_hosts({name: host(name) for name in ("w1", "w2", "w3")})
            await asyncio.sleep(0.5)
            await runtime._renew()
            member = runtime.dispatcher.members["w1"]
            runtime._holds["w1"].cancel()
            runtime.dispatcher.on_silence("w1", now())
            member.late_start_until = now() + LATE_CALL_S
            await asyncio.sleep(1.5)
            await runtime._renew()
            self.assertIn("w1", runtime._details.run_ends)
            await runtime._hold(member)
            self.assertIsNone(member.silent_since)
            granted_ms = member.granted_ms
            await runtime._hold(member)
            self.assertEqual(member.granted_ms, granted_ms)
            await runtime._renew()
            await runtime._hold(member)
            self.assertGreater(member.granted_ms, granted_ms)
            runtime.end("test")

        run(main())

    def test_a_renewal_without_an_answer_binds_the_leases_of_workers_with_run_ends(self) -> None:
        async def main() -> None:
            store, worker = LossyStore(now), LeaseLog(now)
            runtime, member = await self.silence(store, worker)
            store.lose = 1
            self.assertFalse(await runtime._renew())
            await runtime._hold(member)
            self.assertIsNone(member.silent_since)
            worker.leases.clear()
            await runtime._hold(member)
            self.assertEqual(worker.leases, [None])
            self.assertTrue(await runtime._renew())
            self.assertTrue(await runtime._renew())
            await runtime._hold(member)
            self.assertIsNotNone(worker.leases[-1])
            runtime.end("test")

        run(main())

    def test_a_worker_with_run_ends_in_the_row_gets_no_start_before_the_next_renewal(self) -> None:
        async def main() -> None:
            runtime, member = await self.silence(LossyStore(now), IdleWorker(now))
            await runtime._renew()
            self.assertIn("w1", runtime._details.run_ends)
            self.assertNotIn("w1", runtime._details.lease_ends)
            await runtime._hold(member)
            await runtime._hold(member)
            self.assertIsNone(member.silent_since)
            self.assertFalse(member.is_usable(now()))
            await runtime._renew()
            await runtime._hold(member)
            self.assertTrue(member.is_usable(now()))
            runtime.end("test")

        run(main())

    def test_no_time_is_named_for_a_worker_with_an_open_start_that_the_row_does_not_tell(
        self,
    ) -> None:
        async def main() -> None:
            runtime, _ = await self.silence(LossyStore(now), IdleWorker(now))
            end = RunEnd(now() + 1.0, frozenset({task()}))
            other = StartRow("w2", task(), 1, now())
            for rows, named in (
                ([], set()),
                ([other], set()),
                ([other._replace(worker="w1")], {"w1"}),
            ):
                with (
                    self.subTest(rows=rows),
                    patch.object(runtime.dispatcher, "run_end", return_value=end),
                    patch.object(runtime.dispatcher, "list_open_starts", return_value=rows),
                ):
                    await runtime._renew()
                    self.assertEqual(runtime._details.run_ends.keys() & {"w1"}, named)
            runtime.end("test")

        run(main())

    async def silence(self, store: LossyStore, worker: IdleWorker) -> tuple[CellRuntime, Member]:
        """Return a runtime and its worker w1, silent for long with a start that may come late."""
        runtime = make_runtime(store, [], now, lambda host: worker)
        await runtime._renew()
        runtime.on_hosts({name: host(name) for name in ("w1", "w2", "w3")})
        await asyncio.sleep(0.5)
        await runtime._renew()
        member = runtime.dispatcher.members["w1"]
        for hold in runtime._holds.values():
            hold.cancel()
        runtime.dispatcher.on_silence("w1", now())
        member.late_start_until = now() + LATE_CALL_S
        await asyncio.sleep(1.5)
        return runtime, member

    def test_a_run_of_a_boot_that_is_back_is_not_over_by_the_time_named_for_the_former_one(
        self,
    ) -> None:
        async def main() -> None:
            runtime = make_runtime(LossyStore(now), [], now, lambda host: IdleWorker(now))
            await runtime._renew()
            runtime.on_hosts({name: host(name) for name in ("w1", "w2", "w3")})
            await asyncio.sleep(0.5)
            await runtime._renew()
            member = runtime.dispatcher.members["w1"]
            runtime._holds["w1"].cancel()
            runtime.dispatcher.on_silence("w1", now())
            member.late_start_until = now() + LATE_CALL_S
            await asyncio.sleep(1.5)
            await runtime._renew()
            named = runtime._details.run_ends["w1"]
            await asyncio.sleep(0.5)
            snapshot = Snapshot(0, member.born + 1, [], [])
            runtime.dispatcher.on_snapshot(member, snapshot, now(), now(), member.token)
            self.assertTrue(member.is_fenced)
            runtime.dispatcher.on_silence("w1", now())
            member.silent_since = now() - 1.5
            await runtime._renew()
            self.assertGreater(runtime._details.run_ends["w1"], named + 1_000)
            runtime.end("test")

        run(main())


class Handed(unittest.TestCase):
    """What a holder hands over of a worker with an open start, and how the next one uses it."""

    def setUp(self) -> None:
        """Start two lasting tasks on one worker; it answers one of the starts."""
        self.running: list[ListedRun] = []
        self.cell = Cell(host("w1"))
        self.cell.add(job(JOB, step(2, lasting=True)))
        self.begun, self.open = self.cell.plan()
        self.cell.started(self.begun)
        self.cell.answer("w1", [listed(self.begun)])

    def test_only_tasks_without_an_open_start_count_as_over(self) -> None:
        cell, member = self.cell, self.cell.member("w1")
        cell.dispatcher.on_start_unanswered(self.open, cell.now)
        cell.dispatcher.on_silence("w1", cell.now)
        self.assertIsNone(cell.dispatcher.lease_end(member, cell.now))
        end = cell.dispatcher.run_end(member, cell.now)
        self.assertEqual(end, RunEnd(member.lapses_at(), frozenset({self.open.task})))

    def test_a_start_that_is_open_stays_so_when_its_run_was_removed_or_started_again(self) -> None:
        cell, member = self.cell, self.cell.member("w1")
        cell.dispatcher.on_start_unanswered(self.open, cell.now)
        cell.now += 2.0
        cell.answer("w1", [listed(self.begun)])
        self.assertEqual(len(member.runs), 1)
        self.assertEqual(self.open_tasks(), {self.open.task})
        cell.answer("w1", [listed(self.begun)])
        (again,) = cell.plan()
        cell.started(again)
        cell.answer("w1", [listed(self.begun), listed(again)])
        self.assertEqual(self.open_tasks(), {self.open.task})

    def open_tasks(self) -> frozenset[TaskId]:
        """Return the tasks with open starts if the worker falls silent now."""
        member = self.cell.member("w1")
        self.assertIsNone(self.cell.dispatcher.run_end(member, self.cell.now))
        self.cell.dispatcher.on_silence("w1", self.cell.now)
        end = self.cell.dispatcher.run_end(member, self.cell.now)
        assert end is not None
        return end.open_tasks

    def test_a_boot_that_is_not_fenced_has_no_known_end(self) -> None:
        cell, member = self.cell, self.cell.member("w1")
        cell.dispatcher.on_start_unanswered(self.open, cell.now)
        cell.dispatcher.on_silence("w1", cell.now)
        member.is_fenced = False
        self.assertIsNone(cell.dispatcher.run_end(member, cell.now))

    def place(self) -> str:
        """Return the worker that the row names for the task with the open start."""
        self.cell.dispatcher.tick(self.cell.now, self.cell.now)
        self.cell.record()
        places = self.cell.dispatcher.tracked[JOB].progress.places or {}
        return places[self.open.task[1:]].worker

    def test_the_place_of_an_open_start_names_its_worker_until_that_is_over(self) -> None:
        cell, sent_at = self.cell, self.cell.now
        cell.dispatcher.on_start_unanswered(self.open, cell.now)
        cell.dispatcher.update_host(host("w1", state=HostState.LEAVING))
        for after_s, place in ((2.0, "w1"), (LATE_CALL_S - 0.1, "w1"), (LATE_CALL_S + 0.1, "")):
            cell.now = sent_at + after_s
            cell.answer("w1", [listed(self.begun)])
            self.assertEqual(self.place(), place)

    def test_the_place_of_an_open_start_on_a_silent_worker_waits_for_its_lease(self) -> None:
        cell, sent_at = self.cell, self.cell.now
        cell.dispatcher.on_start_unanswered(self.open, cell.now)
        cell.now += 2.0
        cell.answer("w1", [listed(self.begun)])
        cell.dispatcher.on_silence("w1", cell.now)
        for after_s, place in ((LATE_CALL_S + 0.1, "w1"), (LATE_CALL_S + LAPSE_S + 2.0, "")):
            cell.now = sent_at + after_s
            self.assertEqual(self.place(), place)

    def taken(self) -> Cell:
        """Build a taken cell of w1, with an open start of the first task, and of w2."""
        cell, self.running = Cell(settled=False), []
        ends = {"w1": RunEnd(cell.now + 1.0, frozenset({task()}))}
        hosts = [host("w1"), host("w2")]
        cell.dispatcher.take_over(hosts, cell.now + PROOF_S, now=cell.now, run_ends=ends)
        places = {(0, 0, number): Place(FORMER_RUN + number, "w1") for number in range(2)}
        row = claimed_progress(EPOCH - 1, places=places)
        cell.dispatcher.adopt(job(JOB, step(2, lasting=True)), row, 1, cell.now)
        cell.record()
        return cell

    def planned(self, cell: Cell, confirmed_at: float) -> list[int]:
        """Return the numbers of the tasks that start after a tick."""
        cell.dispatcher.tick(cell.now, confirmed_at)
        cell.answer("w2", self.running)
        orders = cell.plan()
        cell.started(*orders)
        self.running += [listed(order) for order in orders]
        return [order.task.number for order in orders]

    def test_a_successor_waits_for_each_task_as_long_as_it_may_run(self) -> None:
        cell = self.taken()
        self.assertEqual(self.planned(cell, cell.now), [])
        cell.now += 1.1
        self.assertEqual(self.planned(cell, cell.now), [1])
        cell.now += PROOF_S - 1.2
        self.assertEqual(self.planned(cell, cell.now), [])

    def test_a_successor_that_may_have_lost_the_cell_waits_for_a_renewal(self) -> None:
        cell = self.taken()
        taken_at = cell.now
        cell.now += 1.1
        self.assertEqual(self.planned(cell, taken_at), [])

    def test_a_start_of_a_former_holder_is_over_only_on_a_worker_that_was_silent(self) -> None:
        for silent, started in ((True, [0]), (False, [])):
            with self.subTest(silent=silent):
                cell, self.running = Cell(settled=False), []
                member_ends = {"w1": RunEnd(cell.now, frozenset({task()}))} if silent else {}
                hosts, late_s = [host("w1"), host("w2")], LATE_CALL_S + LAPSE_S
                proof_at = cell.now + 2 * late_s
                cell.dispatcher.take_over(hosts, proof_at, now=cell.now, run_ends=member_ends)
                cell.dispatcher.open_starts.inherit([StartRow("w1", task(), FORMER_RUN, cell.now)])
                row = claimed_progress(EPOCH - 1, places={(0, 0, 0): Place(FORMER_RUN, "w1")})
                cell.dispatcher.adopt(job(JOB, step(1, lasting=True)), row, 1, cell.now)
                cell.record()
                cell.now += late_s - 0.2
                self.assertEqual(self.planned(cell, cell.now), [])
                cell.now += 0.4
                self.assertEqual(self.planned(cell, cell.now), started)

    def test_an_unheard_worker_is_handed_on(self) -> None:
        cell = self.taken()
        end = cell.dispatcher.run_end(cell.member("w1"), cell.now)
        self.assertEqual(end, RunEnd(cell.now + 1.0, frozenset({task()})))
        cell.answer("w1")
        self.assertIsNone(cell.dispatcher.run_end(cell.member("w1"), cell.now))

    def test_the_row_of_a_large_cell_of_silent_workers_is_not_too_large(self) -> None:
        names = [f"i-{number:010x}" for number in range(LARGE_CELL)]
        starts = tuple(
            (names[number % LARGE_CELL], f"{number:016x}.0.0.0", 10**13 + number, START_MS)
            for number in range(MAX_PUBLISHED)
        )
        ends = dict.fromkeys(names, START_MS)
        row = Details([host(name) for name in names], [], ends, open_starts=starts, run_ends=ends)
        self.assertLess(len(row.encode()), MAX_ROW_BYTES)

    def test_run_ends_count_only_if_the_holder_in_the_owner_row_wrote_them(self) -> None:
        owner = Owner("e", "e:1", 1, 7, {}, {})
        vacancy = Vacancy("north", owner, 50, 0.0, 9.0, 0.0)
        for epoch, version, counts in ((7, 50, True), (6, 50, False), (7, 51, False)):
            with self.subTest(epoch=epoch, version=version):
                details = Details([], epoch=epoch, run_ends={"w1": 5}, version=version)
                found = vacancy.drop_foreign_ends(details).run_ends
                self.assertEqual(found, {"w1": 5} if counts else {})

    def test_rows_name_the_earlier_end_as_limit_of_leases(self) -> None:
        row = Details([], lease_ends={"w1": 9, "w2": 5}, run_ends={"w1": 4, "w2": 7, "w3": 6})
        self.assertEqual(decode_details(row.encode()).lease_limits, {"w1": 4, "w2": 5, "w3": 6})


def count_runs(split: SplitCell, job: Job) -> int:
    """Return the number of runs of a job on all workers."""
    running = [task for at in split.cluster.runners.values() for task in at.running]
    return sum(task.job == job.id for task in running)


if __name__ == "__main__":
    unittest.main()
