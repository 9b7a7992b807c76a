"""Cells under faults, in virtual time: answers to callers, and starts on workers."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from typing import Any
from unittest.mock import patch

from curranthall.cells.owner import CELL_PART, CELL_TABLE, DETAIL_TABLE
from curranthall.cells.records import JOB_TABLE, PROGRESS_TABLE, StoredJob, part_of
from curranthall.dag import Job, Phase, Progress, Step
from curranthall.dag.progress import decode_progress
from curranthall.intake import Verdict
from curranthall.model import Size
from curranthall.store import Put
from curranthall.values import DECODE_ERRORS
from tests.cluster import SERVICE, TIMEOUT_S, WAIT_S, Cluster, now
from tests.odd_input import list_odd_values
from tests.virtual import run

SOAK_SEEDS = range(12)


def make_job(number: int, *steps: Step) -> Job:
    """Build a job of the given steps, by default two steps of tasks of one second."""
    default = (
        Step(4, Size(1, 1_000), 1_000),
        Step(3, Size(2, 1_000), 1_000, after=(0,)),
    )
    return Job(f"{number:016x}", "q", SERVICE, "spec", steps or default, int(now() * 1000))


def lasting() -> Step:
    """Build a step of lasting tasks."""
    return Step(3, Size(1, 1_000), 1_000, lasting=True)


class Cells(unittest.TestCase):
    def play(self, scene: Callable[[Cluster], Coroutine[Any, Any, None]], seed: int = 1) -> None:
        """Run a scene, then check that no invariant was violated."""

        async def main() -> None:
            cluster = Cluster(seed)
            cluster.start()
            await asyncio.sleep(3)
            await scene(cluster)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])

        run(main())

    async def completes(self, cluster: Cluster, *jobs: Job, within: float = 20.0) -> None:
        """Expect that every live entry shows all jobs as completed."""
        for job in jobs:
            for name, entry in cluster.entries.items():
                if entry.dead:
                    continue
                shown = await cluster.until(self._completed(cluster, name, job), within)
                self.assertTrue(shown, f"{job.id} at {name}")

    def _completed(self, cluster: Cluster, name: str, job: Job) -> Callable[[], Awaitable[bool]]:
        async def done() -> bool:
            return await cluster.phase(name, job.id) is Phase.COMPLETED

        return done

    async def submit_jobs(self, cluster: Cluster, count: int, entry: str = "a-e0") -> list[Job]:
        """Submit jobs at one entry."""
        jobs = [make_job(number) for number in range(1, count + 1)]
        for job in jobs:
            self.assertIs(await cluster.submit(entry, job), Verdict.ACCEPTED)
        return jobs

    def test_jobs_are_completed_and_shown_everywhere(self) -> None:
        async def scene(cluster: Cluster) -> None:
            await self.completes(cluster, *await self.submit_jobs(cluster, 6))

        self.play(scene)

    def test_each_cell_is_held_by_an_entry_of_its_domain(self) -> None:
        async def scene(cluster: Cluster) -> None:
            held = {cell: cluster.holder(cell) for cell in cluster.domains}
            self.assertEqual(
                {cell: name and name[0] for cell, name in held.items()},
                {"a": "a", "b": "b", "c": "c"},
            )

        self.play(scene)

    def test_odd_rows_of_cells_hold_up_no_cell_for_long(self) -> None:
        """An odd row ended the loop that takes cells, and the cells that read the details."""

        async def scene(cluster: Cluster) -> None:
            jobs = await self.submit_jobs(cluster, 8)
            await asyncio.sleep(0.5)
            rows = {"a": (CELL_TABLE, b"\xff"), "b": (DETAIL_TABLE, b"\x81" * 500 + b"\x00")}
            for cell, (table, data) in rows.items():
                cluster.store.apply(CELL_PART, [], [Put(table, cell, data)], [])
            holder = cluster.holder("b")
            assert holder is not None
            cluster.kill(holder)
            put = Put(DETAIL_TABLE, "b", b"\x80")
            cluster.store.apply(CELL_PART, [], [put], [])
            await asyncio.sleep(1.0)
            cluster.store.apply(CELL_PART, [], [put], [])
            await self.completes(cluster, *jobs, within=40.0)
            for cell in cluster.domains:
                self.assertIsNotNone(cluster.holder(cell))
            more = [make_job(number) for number in range(100, 106)]
            for job, entry in zip(more, ("a-e0", "b-e1", "c-e0") * 2, strict=True):
                if not cluster.entries[entry].dead:
                    await cluster.submit(entry, job)
            await self.completes(cluster, *[j for j in more if j.id in cluster.judge.jobs])

        for seed in range(4):
            with self.subTest(seed=seed):
                self.play(scene, seed)

    def test_tasks_on_the_unreachable_workers_of_a_cell_with_odd_details_run_once(self) -> None:
        """Taken for a cell without workers, it would start them again at once."""

        async def scene(cluster: Cluster) -> None:
            await cluster.submit("a-e0", make_job(1, lasting()))
            await asyncio.sleep(2.0)
            for cell in cluster.domains:
                holder = cluster.holder(cell)
                assert holder is not None
                cluster.kill(holder)
                cluster.store.apply(CELL_PART, [], [Put(DETAIL_TABLE, cell, b"\x80")], [])
            cluster.cuts |= {
                frozenset((f"{cell}-w0", entry))
                for cell in cluster.domains
                for entry in cluster.entries
            }
            cluster.unlisted = {f"{cell}-w0" for cell in cluster.domains}
            starts = cluster.judge.starts
            if again:
                # Their successors' successors read rosters that can be read.
                for dead in [name for name, each in cluster.entries.items() if each.dead]:
                    cluster.restart(dead)
                for cell in cluster.domains:
                    await cluster.until(self._holds(cluster, cell), 10.0)
                await asyncio.sleep(1.0)
                for each in {cluster.holder(cell) for cell in cluster.domains}:
                    assert each is not None
                    await cluster.entries[each].succession.leave()
                    cluster.kill(each)
            await asyncio.sleep(40.0)
            for cell in cluster.domains:
                self.assertIsNotNone(cluster.holder(cell))
            self.assertGreater(cluster.judge.starts, starts)

        for again in (False, True):
            for seed in range(3):
                with self.subTest(seed=seed, again=again):
                    self.play(scene, seed)

    def test_odd_rows_of_jobs_hold_up_no_other_job(self) -> None:
        """A row that is not CBOR, or has a text for a mask, ended the cells that read it."""

        async def scene(cluster: Cluster) -> None:
            progress = Progress("a", claims={"a": 1}, done={(0, 0): 1}, highest_run=5, moves=1)
            progress.failures[0, 0, 1] = {3}
            progress.moved_to[0, 0, 2] = "b"
            number = 0x10000
            for table in (JOB_TABLE, PROGRESS_TABLE):
                for name in list_odd_values(self._encode(number, progress)[table]):
                    number += 1
                    rows = self._encode(number, progress)
                    rows[table] = list_odd_values(rows[table])[name]
                    self._write(cluster, make_job(number), rows)
            self._write(cluster, make_job(number + 1), self._encode(1, progress))
            jobs = await self.submit_jobs(cluster, 4)
            await asyncio.sleep(2.0)
            holder = cluster.holder("a")
            assert holder is not None
            held = cluster.entries[holder].succession.held["a"]
            await self.completes(cluster, *jobs)
            self.assertIs(cluster.entries[holder].succession.held.get("a"), held)
            # A successor reads all rows.
            cluster.kill(holder)
            await self.completes(cluster, *await self.submit_jobs(cluster, 4, "b-e0"))
            await cluster.until(self._holds(cluster, "a"), 10.0)
            self.assertIsNotNone(cluster.holder("a"))

        self.play(scene)

    def test_odd_messages_of_peers_change_nothing(self) -> None:
        """With the version of an odd row, no change of the job was ever written again."""

        async def scene(cluster: Cluster) -> None:
            job = make_job(1, lasting())
            await cluster.submit("a-e0", job)
            await asyncio.sleep(1.0)
            held = {name: dict(each.succession.held) for name, each in cluster.entries.items()}
            listing = await cluster.store.scan(PROGRESS_TABLE, part_of(job.id))
            (row,) = listing.rows
            bodies: list[Any] = [None, 5, "text", [], {}, [[]], [None] * 3, [None] * 5]
            for at in range(len(row)):
                odd_values: list[object] = [None, 1e300, [], {}, float("nan"), 10**30]
                for value in odd_values:
                    if at != 3 or value is not None:
                        bodies.append([*row[:at], value, *row[at + 1 :]])
            stored = StoredJob(job, decode_progress(row.value or b""), row.version).encode()
            others: list[object] = [None, [], "x", 1e300]
            for at in range(3):
                bodies += [[*stored[:at], other, *stored[at + 1 :]] for other in others]
            for entry in cluster.entries.values():
                for body in bodies:
                    for verb in ("row", "job", "store", "cancel", "phase"):
                        with suppress(*DECODE_ERRORS):
                            await entry.intake.handle("a-e1", verb, body)
            await asyncio.sleep(2.0)
            runtimes = [each for entry in held.values() for each in entry.values()]
            versions = [t.version for each in runtimes for t in each.dispatcher.tracked.values()]
            self.assertTrue(versions)
            self.assertLessEqual(max(versions), cluster.store.version)
            self.assertTrue(await cluster.entries["b-e0"].intake.cancel(job.id, 2.0))
            await asyncio.sleep(3.0)
            for name, entry in cluster.entries.items():
                self.assertEqual(entry.succession.held, held[name], name)
                self.assertIs(await cluster.phase(name, job.id), Phase.CANCELLED)

        self.play(scene)

    def test_odd_answers_of_peers_raise_nothing_at_callers(self) -> None:
        async def scene(cluster: Cluster) -> None:
            entry = next(each for each in cluster.entries.values() if not each.succession.held)
            odd: list[Any] = [None, 99, "text", [], {}, True, 1.5]
            for number, value in enumerate(odd):
                job = make_job(number + 1)
                await cluster.submit(entry.name, job)
                with patch.object(entry, "call", return_value=value) as call:
                    self.assertIsInstance(await cluster.phase(entry.name, job.id), Phase)
                    entry.intake._store.failing = True  # type: ignore[misc]
                    verdict = await cluster.submit(entry.name, make_job(number + 100))
                    entry.intake._store.failing = False  # type: ignore[misc]
                    self.assertIs(verdict, Verdict.UNKNOWN)
                    self.assertEqual(
                        [each.args[1] for each in call.call_args_list], ["phase", "store"]
                    )

        self.play(scene)

    def _encode(self, number: int, progress: Progress) -> dict[str, bytes]:
        return {JOB_TABLE: make_job(number).encode(), PROGRESS_TABLE: progress.encode()}

    def _write(self, cluster: Cluster, job: Job, rows: dict[str, bytes]) -> None:
        cluster.judge.jobs[job.id] = job
        puts = [Put(table, job.id, data) for table, data in rows.items()]
        cluster.store.apply(part_of(job.id), [], puts, [])

    def _holds(self, cluster: Cluster, cell: str) -> Callable[[], Awaitable[bool]]:
        async def held() -> bool:
            return cluster.holder(cell) is not None

        return held

    def test_a_job_that_comes_again_elsewhere_stays_one_job(self) -> None:
        async def scene(cluster: Cluster) -> None:
            job = make_job(1)
            self.assertIs(await cluster.submit("a-e0", job), Verdict.ACCEPTED)
            self.assertIs(await cluster.submit("c-e1", job), Verdict.ACCEPTED)
            await self.completes(cluster, job)

        self.play(scene)

    def test_a_killed_holder_is_replaced_and_nothing_runs_twice(self) -> None:
        async def scene(cluster: Cluster) -> None:
            jobs = await self.submit_jobs(cluster, 8)
            await asyncio.sleep(0.7)
            for cell in cluster.domains:
                holder = cluster.holder(cell)
                assert holder is not None
                cluster.kill(holder)
            await self.completes(cluster, *jobs, within=40)

        for seed in range(5):
            self.play(scene, seed)

    def test_a_restarted_holder_keeps_the_running_tasks(self) -> None:
        async def scene(cluster: Cluster) -> None:
            jobs = await self.submit_jobs(cluster, 8)
            await asyncio.sleep(0.7)
            for name in list(cluster.entries):
                cluster.kill(name)
            await asyncio.sleep(0.5)
            for name in list(cluster.entries):
                cluster.restart(name)
            await self.completes(cluster, *jobs, within=10)
            self.assertEqual(cluster.judge.starts, 8 * 7)

        self.play(scene)

    def test_tasks_start_and_end_while_the_store_is_down(self) -> None:
        async def scene(cluster: Cluster) -> None:
            jobs = await self.submit_jobs(cluster, 4)
            await asyncio.sleep(0.2)
            cluster.store_down = True
            await asyncio.sleep(5)
            self.assertEqual(len(cluster.judge.done), 4 * 7)
            self.assertIs(await cluster.submit("a-e0", make_job(9)), Verdict.REFUSED)
            self.assertIsNot(await cluster.phase("a-e0", jobs[0].id), Phase.COMPLETED)
            cluster.store_down = False
            await self.completes(cluster, *jobs)
            self.assertEqual(cluster.judge.starts, 4 * 7)

        self.play(scene)

    def test_a_domain_cut_off_with_its_holder_goes_on_alone(self) -> None:
        async def scene(cluster: Cluster) -> None:
            job = make_job(1, Step(20, Size(1, 1_000), 1_000))
            cluster.evacuated = frozenset(("b", "c"))
            self.assertIs(await cluster.submit("a-e0", job), Verdict.ACCEPTED)
            await asyncio.sleep(0.1)
            cluster.cuts = {frozenset(("a", other)) for other in ("b", "c", "store")}
            await asyncio.sleep(6)
            # No other entry reaches the workers, so none takes the cell.
            holders = [n for n, each in cluster.entries.items() if "a" in each.succession.held]
            self.assertEqual([name[0] for name in holders], ["a"])
            cluster.cuts = set()
            cluster.evacuated = frozenset()
            await self.completes(cluster, job)
            self.assertEqual(cluster.judge.starts, 20)

        self.play(scene)

    def test_a_holder_that_was_cut_off_with_its_workers_keeps_its_cell(self) -> None:
        async def scene(cluster: Cluster) -> None:
            holder = cluster.holder("a")
            assert holder is not None
            epoch = cluster.entries[holder].succession.held["a"].dispatcher.epoch
            cluster.cuts = {frozenset(("a", other)) for other in ("b", "c", "store")}
            await asyncio.sleep(6 + cluster.rng.random())
            cluster.cuts = set()
            await asyncio.sleep(3)
            held = cluster.entries[holder].succession.held
            self.assertEqual(held["a"].dispatcher.epoch if "a" in held else None, epoch)

        for seed in range(1, 9):
            self.play(scene, seed)

    def test_a_holder_renews_soon_after_the_store_is_back(self) -> None:
        async def scene(cluster: Cluster) -> None:
            runtime = cluster.entries["a-e0"].succession.held.get("a")
            if runtime is None:
                runtime = cluster.entries["a-e1"].succession.held["a"]
            cluster.store_down = True
            await asyncio.sleep(3 + cluster.rng.random())
            cluster.store_down = False
            back_at = now()
            while runtime.confirmed_at < back_at:
                await asyncio.sleep(0.01)
            # A call that began before may take its whole timeout.
            self.assertLess(now() - back_at, TIMEOUT_S + 0.3)

        for seed in range(1, 9):
            self.play(scene, seed)

    def test_a_holder_cut_from_the_store_is_fenced(self) -> None:
        async def scene(cluster: Cluster) -> None:
            jobs = await self.submit_jobs(cluster, 6)
            holder = cluster.holder("a")
            assert holder is not None
            cluster.cuts = {frozenset((holder, "store"))}
            await asyncio.sleep(8)
            self.assertNotEqual(cluster.holder("a"), holder)
            cluster.cuts = set()
            await self.completes(cluster, *jobs)

        self.play(scene)

    def test_an_entry_cut_from_the_store_accepts_and_cancels_through_a_peer(self) -> None:
        async def scene(cluster: Cluster) -> None:
            name = next(each for each in cluster.entries if cluster.holder(each[0]) != each)
            cluster.cuts = {frozenset((name, "store"))}
            await asyncio.sleep(2)
            jobs = await self.submit_jobs(cluster, 2, name)
            self.assertIsNot(await cluster.phase(name, jobs[0].id), None)
            watcher = make_job(9, lasting())
            self.assertIs(await cluster.submit(name, watcher), Verdict.ACCEPTED)
            self.assertTrue(await cluster.entries[name].intake.cancel(watcher.id, 2.0))
            cluster.cuts = set()
            await self.completes(cluster, *jobs)

        self.play(scene)

    def test_lost_and_late_store_answers_start_nothing_twice(self) -> None:
        async def scene(cluster: Cluster) -> None:
            cluster.lose_answers = 0.3
            accepted = []
            for number in range(1, 9):
                job = make_job(number)
                if await cluster.submit("b-e0", job) is Verdict.ACCEPTED:
                    accepted.append(job)
            await asyncio.sleep(3)
            cluster.lose_answers = 0.0
            await self.completes(cluster, *accepted)

        for seed in range(5):
            self.play(scene, seed)

    def test_a_submit_without_store_answers_soon_returns_unknown(self) -> None:
        async def scene(cluster: Cluster) -> None:
            cluster.lose_answers = 1.0
            began = now()
            self.assertIs(await cluster.submit("a-e0", make_job(1)), Verdict.UNKNOWN)
            self.assertLess(now() - began, WAIT_S / 2)
            cluster.lose_answers = 0.0
            self.assertIs(await cluster.submit("b-e0", make_job(1)), Verdict.ACCEPTED)
            await self.completes(cluster, make_job(1))

        self.play(scene)

    def test_late_orders_start_nothing_twice(self) -> None:
        async def scene(cluster: Cluster) -> None:
            cluster.apply_late = 0.2
            jobs = await self.submit_jobs(cluster, 8)
            await asyncio.sleep(4)
            cluster.apply_late = 0.0
            await self.completes(cluster, *jobs, within=40)

        for seed in range(5):
            self.play(scene, seed)

    def test_a_crashed_workers_tasks_run_elsewhere(self) -> None:
        async def scene(cluster: Cluster) -> None:
            jobs = await self.submit_jobs(cluster, 8)
            await asyncio.sleep(0.4)
            cluster.crash_worker("a-w0")
            cluster.crash_worker("b-w0", reborn=True)
            await self.completes(cluster, *jobs, within=30)

        self.play(scene)

    def test_a_lasting_task_restarts_soon_after_its_worker_reboots(self) -> None:
        async def scene(cluster: Cluster) -> None:
            job = make_job(1, lasting())
            self.assertIs(await cluster.submit("a-e0", job), Verdict.ACCEPTED)
            await asyncio.sleep(1)
            where = next(name for name, each in cluster.runners.items() if each.running)
            cluster.crash_worker(where, reborn=True)
            await asyncio.sleep(3)
            at_work = sum(len(each.running) for each in cluster.runners.values())
            self.assertEqual(at_work, 3)

        self.play(scene)

    def test_lasting_tasks_of_a_lost_worker_restart_in_the_room_kept_for_short_ones_elsewhere(
        self,
    ) -> None:
        async def main() -> int:
            cluster = Cluster(workers=1)
            cluster.start()
            await asyncio.sleep(3)
            for number, cell in enumerate(cluster.domains, 1):
                job = make_job(number, Step(2, Size(2.5, 1_000), 1_000, lasting=True))
                self.assertIs(await cluster.submit(f"{cell}-e0", job), Verdict.ACCEPTED)
            await asyncio.sleep(3)
            cluster.crash_worker("a-w0", reborn=True)
            # The platform allows 3 s.
            await asyncio.sleep(2.8)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])
            return sum(len(each.running) for each in cluster.runners.values())

        self.assertEqual(run(main()), 6)

    def test_a_job_waiting_in_a_closed_cell_runs_elsewhere(self) -> None:
        async def scene(cluster: Cluster) -> None:
            jobs = await self.submit_jobs(cluster, 12)
            await asyncio.sleep(0.1)
            cluster.evacuated = frozenset("a")
            await self.completes(cluster, *jobs, within=30)

        self.play(scene)

    def test_a_cancelled_job_stops_soon(self) -> None:
        async def scene(cluster: Cluster) -> None:
            job = make_job(1, lasting())
            self.assertIs(await cluster.submit("a-e0", job), Verdict.ACCEPTED)
            await asyncio.sleep(1)
            self.assertTrue(await cluster.entries["c-e1"].intake.cancel(job.id, 2.0))
            cluster.judge.cancelled[job.id] = now()
            await asyncio.sleep(1)
            at_work = sum(len(each.running) for each in cluster.runners.values())
            self.assertEqual(at_work, 0)
            self.assertIs(await cluster.phase("b-e0", job.id), Phase.CANCELLED)

        self.play(scene)

    def test_an_unknown_job_is_reported_as_unknown(self) -> None:
        async def scene(cluster: Cluster) -> None:
            self.assertIsNone(await cluster.phase("a-e0", "f" * 16))
            self.assertFalse(await cluster.entries["a-e0"].intake.cancel("f" * 16, 2.0))

        self.play(scene)

    def test_dropped_history_loses_no_job(self) -> None:
        async def scene(cluster: Cluster) -> None:
            jobs = await self.submit_jobs(cluster, 3)
            cluster.store.drop_history()
            more = [make_job(number) for number in range(4, 7)]
            for job in more:
                self.assertIs(await cluster.submit("c-e1", job), Verdict.ACCEPTED)
                cluster.store.drop_history()
            await self.completes(cluster, *jobs, *more)

        self.play(scene)


class Pending(unittest.TestCase):
    """Jobs that fit no worker wait; every entry counts them while holders are replaced."""

    COUNT = 6
    # The platform counts a job that waits from this long after it was accepted.
    PENDING_S = 5.0
    CUT_S = 9.0

    def least_shown(self, replace: Callable[[Cluster, str], Awaitable[None]]) -> int:
        """Return the least count that a live entry shows while all holders are replaced."""

        async def main() -> int:
            cluster = Cluster()
            cluster.start()
            await asyncio.sleep(3)
            for number in range(1, self.COUNT + 1):
                job = make_job(number, Step(1, Size(100, 1_000), 1_000))
                self.assertIs(await cluster.submit("a-e0", job), Verdict.ACCEPTED)
            await asyncio.sleep(3)
            for cell in cluster.domains:
                holder = cluster.holder(cell)
                assert holder is not None
                await replace(cluster, holder)
            shown = []
            for _ in range(100):
                await asyncio.sleep(0.1)
                alive = [each for each in cluster.entries.values() if not each.dead]
                shown += [await each.intake.count_pending("q") for each in alive]
            self.assertEqual({cell for cell in cluster.domains if cluster.holder(cell)}, {*"abc"})
            cluster.close()
            return min(shown)

        return run(main())

    def test_jobs_given_to_a_cell_whose_holder_is_cut_off_are_counted(self) -> None:
        async def main() -> int:
            cluster = Cluster()
            cluster.evacuated = frozenset("bc")
            cluster.start()
            await asyncio.sleep(3)
            others = {"b", "c", "store"}
            cluster.cuts = {frozenset(("a", other)) for other in others}
            cut_at = now()
            for number in range(1, self.COUNT + 1):
                job = make_job(number, Step(1, Size(100, 1_000), 1_000))
                self.assertIs(await cluster.submit("b-e0", job), Verdict.ACCEPTED)
            accepted_at, shown = now(), []
            while now() < accepted_at + 15:
                await asyncio.sleep(0.1)
                if now() > cut_at + self.CUT_S:
                    cluster.cuts = set()
                if now() > accepted_at + self.PENDING_S:
                    entries = [each for each in cluster.entries.values() if each.name[0] != "a"]
                    shown += [await each.intake.count_pending("q") for each in entries]
            cluster.close()
            return min(shown)

        self.assertEqual(run(main()), self.COUNT)

    def test_waiting_jobs_are_counted_while_a_killed_holder_is_replaced(self) -> None:
        async def kill(cluster: Cluster, holder: str) -> None:
            cluster.kill(holder)

        self.assertEqual(self.least_shown(kill), self.COUNT)

    def test_waiting_jobs_are_counted_while_a_cell_is_released(self) -> None:
        async def leave(cluster: Cluster, holder: str) -> None:
            await cluster.entries[holder].succession.leave()
            cluster.kill(holder)

        self.assertEqual(self.least_shown(leave), self.COUNT)


class Leaving(unittest.TestCase):
    def test_a_cell_that_is_taken_while_the_entry_shuts_down_is_released(self) -> None:
        async def main() -> str | None:
            cluster = Cluster(entries=1)
            cluster.start()
            await asyncio.sleep(3)
            cluster.evacuated = frozenset()
            former = cluster.holder("a")
            assert former is not None
            await cluster.entries[former].succession.leave()
            cluster.kill(former)
            cluster.commit_delay_s = 0.5
            successor = None
            while successor is None:
                await asyncio.sleep(0.01)
                owner = await cluster.owner("a")
                successor = owner.holder if owner is not None and owner.holder else None
            await cluster.entries[successor].succession.leave()
            await asyncio.sleep(1.5)
            cluster.kill(successor)
            owner = await cluster.owner("a")
            cluster.close()
            return owner.holder if owner is not None and owner.holder == successor else None

        self.assertIsNone(run(main()))


class SplitReach(unittest.TestCase):
    """A holder cut from the store reaches half of the workers, other entries the other half."""

    def play(self, meanwhile: Callable[[Cluster, str], Awaitable[None]]) -> None:
        """Expect that the former holder's tasks restart elsewhere, and none runs twice."""

        async def main() -> None:
            cluster = Cluster(workers=4)
            cluster.start()
            await asyncio.sleep(3)
            cluster.evacuated = frozenset("bc")
            job = make_job(1, Step(4, Size(5, 1_000), 1_000, lasting=True))
            await asyncio.sleep(0.5)
            self.assertIs(await cluster.submit("a-e0", job), Verdict.ACCEPTED)
            await asyncio.sleep(2)
            cluster.evacuated = frozenset()
            former = cluster.holder("a")
            assert former is not None
            others = cluster.entries.keys() - {former}
            cluster.cuts = {
                frozenset((former, "store")),
                *(frozenset((former, worker)) for worker in ("a-w2", "a-w3")),
                *(frozenset((each, worker)) for each in others for worker in ("a-w0", "a-w1")),
            }
            await meanwhile(cluster, former)
            await asyncio.sleep(22)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])
            self.assertEqual(cluster.judge.starts, 6)

        run(main())

    def test_a_successor_waits_for_leases_granted_after_it_took_the_cell(self) -> None:
        """A lease granted in the last second before the order limit lasted 6 s longer: two runs."""

        async def meanwhile(cluster: Cluster, former: str) -> None:
            await asyncio.sleep(4)

        self.play(meanwhile)

    def test_a_successors_successor_waits_for_the_first_holder(self) -> None:
        """The released row did not mention the silent first holder, so a task ran twice."""

        async def meanwhile(cluster: Cluster, former: str) -> None:
            def successors() -> list[str]:
                found = [n for n, each in cluster.entries.items() if "a" in each.succession.held]
                return [name for name in found if name != former]

            while not successors():
                await asyncio.sleep(0.1)
            (successor,) = successors()
            await cluster.entries[successor].succession.leave()
            cluster.kill(successor)

        self.play(meanwhile)


class Unheld(unittest.TestCase):
    """A cell whose workers only one entry reaches, and whose owner row names that entry."""

    def make_cluster(self) -> Cluster:
        """Build a cluster in which only a-e0 reaches the workers of cell a."""
        cluster = Cluster(1, entries=1)
        cluster.cuts |= {frozenset((n, f"a-w{at}")) for n in ("b-e0", "c-e0") for at in range(3)}
        return cluster

    def test_a_cell_released_while_the_store_is_down_is_held_again(self) -> None:
        async def main() -> str | None:
            cluster = self.make_cluster()
            cluster.start()
            await asyncio.sleep(11)
            cut = {frozenset(("a-e0", place)) for place in ("a-w0", "a-w1", "a-w2", "store")}
            cluster.cuts |= cut
            await asyncio.sleep(6)
            cluster.cuts -= cut
            await asyncio.sleep(60)
            holder = cluster.holder("a")
            cluster.close()
            return holder

        self.assertEqual(run(main()), "a-e0")

    def test_a_cell_taken_without_an_answer_of_the_store_is_held(self) -> None:
        async def main() -> str | None:
            cluster = self.make_cluster()
            cluster.lose_answers = 1.0
            cluster.start()
            await asyncio.sleep(6)
            cluster.lose_answers = 0.0
            await asyncio.sleep(60)
            holder = cluster.holder("a")
            cluster.close()
            return holder

        self.assertEqual(run(main()), "a-e0")


class Soak(unittest.TestCase):
    def test_faults_of_all_kinds_by_turns(self) -> None:
        for seed in SOAK_SEEDS:
            with self.subTest(seed=seed):
                run(self._play(seed))

    async def _play(self, seed: int) -> None:
        cluster = Cluster(seed)
        cluster.start()
        await asyncio.sleep(3)
        accepted: list[Job] = []
        faults = asyncio.ensure_future(self._faults(cluster))
        for number in range(1, 31):
            job = make_job(number)
            alive = [name for name, entry in cluster.entries.items() if not entry.dead]
            if alive and await cluster.submit(cluster.rng.choice(alive), job) is Verdict.ACCEPTED:
                accepted.append(job)
            await asyncio.sleep(cluster.rng.uniform(0.1, 0.8))
        await faults
        for name in [name for name, entry in cluster.entries.items() if entry.dead]:
            cluster.restart(name)
        for job in accepted:

            async def done(job: Job = job) -> bool:
                return await cluster.phase("b-e0", job.id) is Phase.COMPLETED

            self.assertTrue(await cluster.until(done, 40), f"seed {seed}: {job.id} not completed")
        cluster.close()
        self.assertEqual(cluster.judge.broken, [], f"seed {seed}")

    async def _faults(self, cluster: Cluster) -> None:
        rng = cluster.rng
        for _ in range(8):
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            match rng.randrange(7):
                case 0:
                    cell = rng.choice(cluster.domains)
                    holder = cluster.holder(cell)
                    if holder is not None:
                        cluster.kill(holder)
                        await asyncio.sleep(rng.uniform(0.2, 4.0))
                        cluster.restart(holder)
                case 1:
                    cluster.store_down = True
                    await asyncio.sleep(rng.uniform(0.5, 6.0))
                    cluster.store_down = False
                case 2:
                    cluster.lose_answers = 0.3
                    await asyncio.sleep(rng.uniform(1.0, 3.0))
                    cluster.lose_answers = 0.0
                case 3:
                    cluster.apply_late = 0.2
                    await asyncio.sleep(rng.uniform(1.0, 3.0))
                    cluster.apply_late = 0.0
                case 4:
                    domain = rng.choice(cluster.domains)
                    others = {*cluster.domains, "store"} - {domain}
                    cluster.cuts = {frozenset((domain, other)) for other in others}
                    await asyncio.sleep(rng.uniform(1.0, 7.0))
                    cluster.cuts = set()
                case 5:
                    name = rng.choice(sorted(cluster.runners))
                    if len(cluster.runners) > 5:
                        cluster.crash_worker(name, reborn=rng.random() < 0.5)
                case 6:
                    name = rng.choice(sorted(cluster.entries))
                    cluster.cuts = {frozenset((name, "store"))}
                    await asyncio.sleep(rng.uniform(1.0, 6.0))
                    cluster.cuts = set()


if __name__ == "__main__":
    unittest.main()
