"""Silent workers: a task is never given up for silences, and crashes shown later still count."""

import asyncio
import random
import unittest

from curranthall.cells.poison import MAX_AMBIGUOUS_CRASHES, MAX_DOUBT_S
from curranthall.cells.ports import EndKind, StartTask
from curranthall.cells.records import has_tasks_in
from curranthall.dag import Job, Phase, Progress, Step
from curranthall.dag.progress import Doubt, decode_progress
from curranthall.intake import Verdict
from curranthall.model import HostState, Size
from tests.cell_fixtures import BORN, CELL, Cell, ended, host, job, listed, step
from tests.cluster import SERVICE, Cluster, now
from tests.virtual import run

JOB = "0" * 16
KEY = (0, 0, 0)
NAMES = [f"w{number}" for number in range(8)]
# The platform's bound on the starts of a task that crashes each of its workers.
MAX_STARTS = 5
SEEDS = range(6)


class SilentCell(Cell):
    """A cell whose workers fall silent right after a start."""

    def __init__(self, task_step: Step) -> None:
        super().__init__(*(host(name) for name in NAMES))
        self.silent: set[str] = set()
        self.add(job(JOB, task_step))

    @property
    def progress(self) -> Progress:
        """Return the job's progress."""
        return self.dispatcher.tracked[JOB].progress

    def wait(self, seconds: float) -> None:
        """Let time pass; all workers that are not silent answer."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            self.dispatcher.tick(self.now, self.now)
            for name in NAMES:
                if name not in self.silent:
                    self.answer(name, born=self.member(name).born)

    def silence(self, *names: str) -> None:
        """Cut workers off."""
        for name in names:
            self.silent.add(name)
            self.dispatcher.on_silence(name, self.now)

    def start(self, seconds: float = 3.0) -> list[StartTask]:
        """Return the starts of the next planning pass that has any."""
        for _ in range(round(seconds * 10)):
            orders = self.plan()
            if orders:
                self.started(*orders)
                return orders
            self.wait(0.1)
        return []

    def return_from(self, name: str, crashed: bool) -> None:
        """Let a silent worker answer again, from another boot if it has crashed."""
        self.silent.discard(name)
        self.answer(name, born=self.member(name).born + (1_000 if crashed else 0))

    def cut_in_turn(self, count: int, silence_s: float, overlap: int = 0) -> None:
        """Cut each start's workers off; each is back after `overlap` more cuts."""
        cut: list[set[str]] = []
        for _ in range(count):
            orders = self.start(20)
            cut.append({order.worker for order in orders})
            self.silence(*cut[-1])
            self.wait(silence_s)
            if len(cut) > overlap:
                for name in cut.pop(0):
                    self.return_from(name, crashed=False)
        for names in cut:
            for name in names:
                self.return_from(name, crashed=False)


class Silences(unittest.TestCase):
    def test_no_number_of_silences_gives_a_task_up(self) -> None:
        """Each silence used to count as a crash once its task had started again."""
        for task_step in (step(1, lasting=True), step(1), step(3, gang=True)):
            for silence_s in (6.5, 8, 14):
                with self.subTest(step=task_step, silence_s=silence_s):
                    cell = SilentCell(task_step)
                    cell.cut_in_turn(12, silence_s, overlap=1)
                    self.assertFalse(cell.progress.phase.is_final)
                    self.assertEqual((cell.progress.crashes, cell.progress.outages), ({}, {}))
                    self.assertEqual(cell.progress.doubts, {})
                    self.assertTrue(cell.start())

    def test_overlapping_silences_do_not_give_a_task_up(self) -> None:
        for overlap in (2, 3):
            with self.subTest(overlap=overlap):
                cell = SilentCell(step(1, lasting=True))
                cell.cut_in_turn(12, 7, overlap)
                self.assertFalse(cell.progress.phase.is_final)
                self.assertEqual((cell.progress.crashes, cell.progress.outages), ({}, {}))
                self.assertTrue(cell.start())

    def test_a_lasting_task_starts_again_while_its_former_run_is_in_doubt(self) -> None:
        cell = SilentCell(step(1, lasting=True))
        (order,) = cell.start()
        cell.silence(order.worker)
        cell.wait(6.6)
        self.assertNotEqual([each.worker for each in cell.start(1.0)], [])
        self.assertIn((*KEY, order.run, order.worker), cell.progress.doubts)

    def test_crashes_that_show_after_the_next_start_count(self) -> None:
        cell = SilentCell(step(1, lasting=True))
        orders = []
        for _ in range(3):
            orders += cell.start()
            cell.silence(orders[-1].worker)
            cell.wait(7)
        self.assertEqual(len(cell.progress.doubts), 3)
        for order, crashed in zip(orders, (True, False, True), strict=True):
            cell.return_from(order.worker, crashed)
        found = cell.progress.crashes.get(KEY, set()) | cell.progress.outages.get(KEY, set())
        self.assertEqual(found, {orders[0].run, orders[2].run})

    def test_a_task_waits_for_an_answer_rather_than_start_once_too_often(self) -> None:
        """Runs in doubt may all have crashed their workers: the platform bounds the starts."""
        for crashed in (False, True):
            for task_step in (step(1, lasting=True), step(2, gang=True)):
                with self.subTest(crashed=crashed, gang=task_step.gang):
                    cell = SilentCell(task_step)
                    first = cell.start()
                    cell.silence(*(order.worker for order in first[:1]))
                    cell.wait(7)
                    for _ in range(MAX_STARTS + 2):
                        orders = cell.start()
                        if orders:
                            cell.silence(orders[0].worker)
                            cell.wait(7)
                    self.assertFalse(cell.progress.phase.is_final)
                    self.assertEqual(cell.progress.count_doubts(KEY), MAX_AMBIGUOUS_CRASHES)
                    for name in sorted(cell.silent):
                        cell.return_from(name, crashed)
                    self.assertEqual(cell.progress.phase is Phase.FAILED, crashed)
                    self.assertEqual(bool(cell.start()), not crashed)

    def test_the_other_tasks_of_a_step_do_not_wait_for_an_answer(self) -> None:
        cell = SilentCell(step(2, lasting=True))
        for run_number in range(1, MAX_AMBIGUOUS_CRASHES + 1):
            doubt = Doubt(run_number, "w9", "w9:1", BORN, 10, CELL)
            cell.progress.add_doubt(KEY, doubt)
        self.assertEqual([order.task.number for order in cell.start()], [1])

    def test_an_isolated_run_stays_in_doubt_until_it_outlasts_its_start(self) -> None:
        """Otherwise a holder that is killed meanwhile leaves no trace of the run."""
        cell = SilentCell(step(1, lasting=True))
        for number in (1, 2):
            cell.progress.add_crash(KEY, number)
        (order,) = cell.start()
        cell.answer(order.worker, [listed(order)])
        cell.dispatcher.tick(cell.now, cell.now)
        self.assertIn((*KEY, order.run, order.worker), cell.progress.doubts)
        cell.now += 0.6
        cell.answer(order.worker, [listed(order)])
        cell.dispatcher.tick(cell.now, cell.now)
        self.assertEqual(cell.progress.doubts, {})

    def test_a_worker_that_leaves_while_it_is_cut_off_has_not_crashed(self) -> None:
        cell = SilentCell(step(1, lasting=True))
        (order,) = cell.start()
        cell.silence(order.worker)
        cell.dispatcher.update_host(host(order.worker, state=HostState.LEAVING))
        self.assertEqual(cell.progress.doubts, {})
        cell.dispatcher.update_host(host("w9", address=f"{order.worker}:1"))
        cell.answer("w9", born=BORN + 9_000)
        self.assertEqual((cell.progress.crashes, cell.progress.outages), ({}, {}))

    def test_a_crash_that_a_successor_sees_before_it_has_read_the_job_counts(self) -> None:
        cell = SilentCell(step(1, lasting=True))
        (order,) = cell.start()
        cell.silence(order.worker)
        row = decode_progress(cell.progress.encode())
        for is_back in (False, True):
            successor = Cell(host(order.worker), host("w9"), settled=False)
            successor.dispatcher.on_gone(order.worker, successor.now)
            if is_back:
                # Another boot under the same name, whose silence is none of the former one.
                successor.dispatcher.update_host(host(order.worker))
                successor.answer(order.worker, born=row.doubts[*KEY, order.run, order.worker].born)
            successor.dispatcher.adopt(job(JOB, step(1)), row, 2, successor.now)
            successor.dispatcher.tick(successor.now, successor.now)
            found = successor.dispatcher.tracked[JOB].progress
            self.assertEqual(found.has_crashed(KEY, order.run), not is_back)
            row = decode_progress(cell.progress.encode())

    def test_a_doubt_about_a_worker_that_is_gone_for_good_ends(self) -> None:
        cell = SilentCell(step(1, lasting=True))
        for run_number in range(1, MAX_AMBIGUOUS_CRASHES + 1):
            doubt = Doubt(run_number, "w9", "w9:1", BORN, 10, CELL)
            cell.progress.add_doubt(KEY, doubt)
        cell.dispatcher._poison.note_row(cell.dispatcher.tracked[JOB])
        self.assertEqual(cell.start(MAX_DOUBT_S - 5), [])
        self.assertEqual(len(cell.start(10)), 1)
        self.assertEqual(cell.progress.phase, Phase.RUNNING)

    def test_a_run_that_outlasts_its_start_ends_the_doubts_before_it(self) -> None:
        cell = SilentCell(step(1))
        (first,) = cell.start()
        cell.silence(first.worker)
        cell.wait(14)
        (second,) = cell.start()
        self.assertEqual(len(cell.progress.doubts), 1)
        cell.answer(second.worker, [], [ended(1, second, EndKind.DONE)])
        cell.dispatcher.tick(cell.now, cell.now)
        self.assertEqual(decode_progress(cell.progress.encode()).count_doubts(KEY), 0)


class Rows(unittest.TestCase):
    def doubt(self, run_number: int, cell: str = CELL) -> Doubt:
        """Build a doubt about a run."""
        return Doubt(run_number, f"w{run_number}", f"w{run_number}:1", BORN, 10, cell)

    def progress(self, *doubts: Doubt) -> Progress:
        """Build a row with runs in doubt."""
        found = Progress(CELL, claims={CELL: 7})
        for doubt in doubts:
            found.add_doubt(KEY, doubt)
        return decode_progress(found.encode())

    def runs(self, progress: Progress) -> list[int]:
        """Return the numbers of the runs in doubt."""
        return sorted(doubt.run for doubt in progress.doubts.values())

    def test_several_runs_of_a_task_are_stored(self) -> None:
        found = self.progress(self.doubt(1), self.doubt(2))
        self.assertEqual(found.doubts[*KEY, 2, "w2"], self.doubt(2))
        self.assertEqual(self.runs(found), [1, 2])

    def test_a_doubt_of_an_earlier_release_is_read(self) -> None:
        found = self.progress()
        found.doubts = {(*KEY, 3, "w3"): self.doubt(3)[:5]}  # type: ignore[dict-item]
        self.assertEqual(decode_progress(found.encode()).doubts[*KEY, 3, "w3"].cell, "")

    def test_a_settled_doubt_does_not_come_back_with_an_older_row(self) -> None:
        one, two = self.progress(self.doubt(1)), self.progress(self.doubt(1))
        one.settle_doubt((*KEY, 1, "w1"))
        one.merge(two, CELL, 7)
        self.assertEqual(self.runs(one), [])
        two.merge(decode_progress(one.encode()), "south", 7)
        self.assertEqual(self.runs(two), [])

    def test_a_cell_keeps_its_own_doubts_and_takes_the_others_as_committed(self) -> None:
        one = self.progress(self.doubt(1), self.doubt(2, "south"))
        one.merge(self.progress(self.doubt(3, "south"), self.doubt(4)), CELL, 7)
        self.assertEqual(self.runs(one), [1, 3, 4])

    def test_a_successor_settles_all_runs_in_doubt(self) -> None:
        row = self.progress(self.doubt(1), self.doubt(2))
        cell = Cell(host("w1"), host("w2"), settled=False)
        cell.dispatcher.adopt(job(JOB, step(1)), row, 2, cell.now)
        cell.answer("w1")
        cell.answer("w2", born=BORN + 1)
        progress = cell.dispatcher.tracked[JOB].progress
        self.assertEqual((progress.doubts, progress.outages), ({}, {KEY: {2}}))
        self.assertIn(JOB, cell.dispatcher.dirty)

    def test_the_workers_cell_settles_a_run_of_a_job_that_was_moved(self) -> None:
        row = self.progress(self.doubt(1))
        row.cell = "south"
        self.assertTrue(has_tasks_in(row, CELL))
        cell = Cell(host("w1"), settled=False)
        cell.dispatcher.adopt(job(JOB, step(1)), decode_progress(row.encode()), 2, cell.now)
        cell.answer("w1")
        row.merge(decode_progress(cell.dispatcher.tracked[JOB].progress.encode()), "south", 7)
        self.assertEqual(self.runs(row), [])


class Plays(unittest.TestCase):
    async def cut_workers(self, cluster: Cluster, rng: random.Random) -> None:
        """Cut holders off from half of their workers, in series that overlap; kill some."""
        loop = asyncio.get_running_loop()
        for _ in range(30):
            for cell in cluster.domains:
                holder = cluster.holder(cell)
                if holder is None:
                    continue
                names = sorted(name for name in cluster.runners if name[0] == cell)
                cuts = {frozenset((holder, name)) for name in rng.sample(names, 2)}
                cluster.cuts |= cuts
                loop.call_later(rng.uniform(6, 9), cluster.cuts.difference_update, cuts)
                if rng.random() < 0.03:
                    cluster.kill(holder)
                    loop.call_later(1, cluster.restart, holder)
            await asyncio.sleep(rng.uniform(1, 2))

    async def submit_jobs(self, cluster: Cluster, rng: random.Random) -> list[Job]:
        """Submit lasting and finite jobs, one after another."""
        jobs = []
        for number in range(24):
            width, is_lasting = rng.randint(1, 4), number % 3 == 0
            size = Size(1, 1_000)
            steps = (Step(width, size, 1_000, gang=number % 7 == 1, lasting=is_lasting),)
            new_job = Job(f"{number:016x}", "q", SERVICE, "spec", steps, int(now() * 1000))
            cluster.work[new_job.id] = rng.uniform(0.5, 4)
            entry = next(name for name, each in cluster.entries.items() if not each.dead)
            if await cluster.submit(entry, new_job) is Verdict.ACCEPTED:
                jobs.append(new_job)
            await asyncio.sleep(rng.uniform(0.5, 2))
        return jobs

    async def play(self, seed: int) -> list[str]:
        """Run a simulation; return the broken rules, and the jobs that failed or are suspected."""
        cluster, rng = Cluster(seed, entries=2, workers=6), random.Random(seed)
        cluster.start()
        await asyncio.sleep(3)
        jobs, _ = await asyncio.gather(
            self.submit_jobs(cluster, rng), self.cut_workers(cluster, rng)
        )
        await asyncio.sleep(30)
        phases = {each.id: await cluster.phase("b-e1", each.id) for each in jobs}
        cluster.close()
        failed = [f"{job_id} failed" for job_id, at in phases.items() if at is Phase.FAILED]
        rows = {each.id: cluster.find_progress(each.id) for each in jobs}
        suspected = [
            f"{job_id} is taken to crash workers"
            for job_id, row in rows.items()
            if row is not None and (row.crashes or row.outages)
        ]
        return cluster.judge.broken + failed + suspected

    def test_no_job_fails_while_workers_are_cut_off_again_and_again(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run(self.play(seed)), [])


if __name__ == "__main__":
    unittest.main()
