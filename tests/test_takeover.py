"""A former holder unaware of its successor: no task may run under both."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from curranthall.cells.owner import CELL_PART, DETAIL_TABLE
from curranthall.cells.records import read_details
from curranthall.dag import Job, Step
from curranthall.intake import Verdict
from curranthall.model import Size
from curranthall.store import Put
from curranthall.telemetry import early_moves
from tests import preempting, takeover
from tests.cluster import CALM_S, SERVICE, Cluster, now
from tests.virtual import run

CELL = "a"
POLL_S = 0.01
# Seeds of random simulations that failed before.
SEEDS = (1018, 1080)
OVERLOAD_SEEDS = (411, 457)
# Seeds in which workers leave while entries restart.
DEPARTURE_SEEDS = (0, 1, 2)
# Seeds in which tasks waited longer with each holder that was lost.
SERIES_SEEDS = (2, 4, 8, 11, 32, 97, 521, 614)
# Seeds in which many tasks have two runs while holders, workers and the store fail.
COPIES_SEEDS = (0, 1, 2)
# Seeds in which parts of the store are away while a cell loses its holders.
PARTS_SEEDS = (0, 1, 2)
# Seeds in which holders are lost right after they stopped runs for urgent tasks.
PREEMPTION_SEEDS = (0, 1)
# Seeds in which holders are killed while jobs are moved early, and submissions are refused.
EARLY_SEEDS = (0, 1, 2, 3)


def make_job(number: int, step: Step) -> Job:
    """Build a job of one step."""
    return Job(f"{number:016x}", "q", SERVICE, "spec", (step,), int(now() * 1000))


def make_step(width: int, **fields: Any) -> Step:
    """Build a step of 1-core tasks."""
    return Step(width, Size(1, 1_000), 1_000)._replace(**fields)


class SplitCell:
    """A cell of four workers whose holder is about to lose it; each entry reaches some workers."""

    def __init__(self, seed: int) -> None:
        self.cluster = Cluster(seed, entries=3, workers=4)
        self.former = ""

    async def start(self) -> None:
        """Start the cluster and wait until each cell is held."""
        self.cluster.start()
        await asyncio.sleep(3)
        holder = self.cluster.holder(CELL)
        assert holder is not None
        self.former = holder

    @property
    def successor(self) -> str:
        """Return the entry that holds the cell besides the former holder, or an empty string."""
        return next((n for n in self.others() if CELL in self.held(n)), "")

    def others(self) -> list[str]:
        """Return all entries but the former holder, those of the cell's domain first."""
        return [name for name in self.cluster.entries if name != self.former]

    def held(self, entry: str) -> dict[str, Any]:
        """Return the cells that an entry believes it holds."""
        return self.cluster.entries[entry].succession.held

    def partition(self, kept: tuple[str, ...] = ("a-w0", "a-w1")) -> None:
        """Leave the former holder only the kept workers, and all other entries only the rest."""
        self.cut(self.former, *({"a-w0", "a-w1", "a-w2", "a-w3"} - {*kept}))
        for name in self.others():
            self.cut(name, *kept)

    def cut(self, entry: str, *places: str) -> None:
        """Cut an entry off from the given peers."""
        self.cluster.cuts |= {frozenset((entry, place)) for place in places}

    def close_cells(self, *cells: str) -> None:
        """Take cells out of service, so that jobs go to the others."""
        self.cluster.evacuated = frozenset(cells)

    async def wait_for_successor(self) -> None:
        """Wait until the successor has loaded the cell's jobs."""
        while not self.successor or not self.held(self.successor)[CELL].loaded:
            await asyncio.sleep(POLL_S)

    async def submit(self, entry: str, job: Job) -> None:
        """Submit a job and check that it is accepted."""
        assert await self.cluster.submit(entry, job) is Verdict.ACCEPTED


class Takeover(unittest.TestCase):
    def play(
        self,
        scenario: Callable[[SplitCell], Coroutine[Any, Any, None]],
        seed: int = 1,
        prepare: Callable[[SplitCell], None] = lambda split: None,
    ) -> None:
        """Run a scenario and check that no rule was broken."""

        async def main() -> list[str]:
            split = SplitCell(seed)
            prepare(split)
            await split.start()
            await scenario(split)
            split.cluster.close()
            self.assertGreater(split.cluster.judge.starts, 0)
            return split.cluster.judge.broken

        self.assertEqual(run(main()), [])

    def test_a_former_holder_that_an_entry_still_routes_to_does_not_start_a_new_job(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("b", "c")
            split.cut(split.former, "store")
            split.partition()
            await split.wait_for_successor()
            bystander = next(name for name in split.others() if name != split.successor)
            await split.submit(bystander, make_job(1, make_step(6)))
            await asyncio.sleep(4)

        self.play(scenario)

    def test_a_former_holder_that_still_follows_the_job_rows_does_not_start_a_new_job(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("b", "c")
            split.cluster.cell_rows_down = {split.former}
            split.partition()
            await split.wait_for_successor()
            await asyncio.sleep(1.8)
            await split.submit("b-e1", make_job(1, make_step(6)))
            await asyncio.sleep(4)

        self.play(scenario)

    def test_a_former_holder_that_can_only_read_the_store_gives_up_its_cell(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("b", "c")
            split.cluster.read_only = {split.former}
            split.partition()
            await split.wait_for_successor()
            self.assertIn(CELL, split.held(split.former))
            await asyncio.sleep(1.0)
            self.assertNotIn(CELL, split.held(split.former))
            await asyncio.sleep(1.0)
            await split.submit("b-e1", make_job(1, make_step(1)))
            await asyncio.sleep(1.0)

        self.play(scenario)

    def test_a_new_job_does_not_wait_for_an_unreachable_worker(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("b", "c")
            split.cut(split.former, "store")
            split.partition()
            await split.wait_for_successor()
            await asyncio.sleep(1.8)
            await split.submit("b-e1", make_job(1, make_step(6)))
            await asyncio.sleep(0.1)
            self.assertEqual(split.cluster.judge.starts, 6)

        self.play(scenario)

    def test_a_relayed_job_does_not_wait_for_an_unreachable_worker(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("b", "c")
            split.cut(split.former, "store")
            split.partition()
            await split.wait_for_successor()
            await asyncio.sleep(0.9)
            split.cut(split.former, split.successor)
            await split.submit(split.former, make_job(1, make_step(6)))
            await asyncio.sleep(0.5)
            self.assertEqual(split.cluster.judge.starts, 6)

        self.play(scenario)

    def test_tasks_from_another_cell_do_not_wait_for_an_unreachable_worker(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("a", "c")
            split.cut(split.former, "store")
            split.partition()
            await split.wait_for_successor()
            await asyncio.sleep(1.8)
            await split.submit("b-e1", make_job(1, make_step(40, lasting=True)))
            split.close_cells("c")
            await asyncio.sleep(2.5)
            started = [len(split.cluster.runners[name].running) for name in ("a-w2", "a-w3")]
            self.assertGreater(sum(started), 0)

        self.play(scenario)

    def test_a_former_holder_does_not_start_tasks_from_another_cell(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("a", "c")
            split.cluster.cell_rows_down = {split.former}
            split.partition()
            await split.wait_for_successor()
            await split.submit("b-e1", make_job(1, make_step(40, lasting=True)))
            split.close_cells("c")
            await asyncio.sleep(4)

        self.play(scenario)

    def test_a_run_is_over_before_a_successor_that_cannot_reach_its_worker_restarts_it(
        self,
    ) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("b", "c")
            await split.submit("b-e1", make_job(1, make_step(8, lasting=True)))
            await asyncio.sleep(1)
            split.cut(split.former, "store")
            split.partition()
            await asyncio.sleep(25)

        self.play(scenario)

    def test_a_former_holder_does_not_restart_runs_that_its_successor_may_keep(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("b", "c")
            await split.submit("b-e1", make_job(1, make_step(7, lasting=True)))
            await asyncio.sleep(1)
            self.assertEqual(len(split.cluster.runners["a-w0"].running), 7)
            split.cut(split.former, "store")
            split.partition(("a-w2", "a-w3"))
            await asyncio.sleep(12)

        self.play(scenario)

    def test_the_next_successor_completes_the_wait_of_one_that_gave_up(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("b", "c")
            await split.submit("b-e1", make_job(1, make_step(8, lasting=True)))
            await asyncio.sleep(1)
            split.cut(split.former, "store")
            split.partition()
            for name in split.others():
                split.cut(name, "a-w2")
            while not split.successor:
                await asyncio.sleep(POLL_S)
            while split.successor:
                await asyncio.sleep(POLL_S)
            split.cluster.cuts -= {frozenset((name, "a-w2")) for name in split.others()}
            await asyncio.sleep(25)

        self.play(scenario)

    def test_a_former_holder_starts_nothing_on_a_worker_that_restarted_after_fencing(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("b", "c")
            job = make_job(1, make_step(4, lasting=True))
            await split.submit("b-e1", job)
            await asyncio.sleep(1)
            split.cut(split.former, "store")
            await split.wait_for_successor()
            await asyncio.sleep(0.1)
            split.partition()
            for worker in ("a-w0", "a-w1"):
                split.cluster.crash_worker(worker)
                split.cluster.add_worker(worker, "a")
            await asyncio.sleep(20)

        self.play(scenario)

    def test_a_worker_first_heard_of_after_its_restart_is_not_started_on(self) -> None:
        async def scenario(split: SplitCell) -> None:
            unheard = "a-w0"
            split.cluster.cuts -= {frozenset((name, unheard)) for name in split.others()}
            split.close_cells("b", "c")
            await split.submit("b-e1", make_job(1, make_step(4, lasting=True)))
            await asyncio.sleep(1)
            busy = next(name for name, at in split.cluster.runners.items() if at.running)
            split.cut(split.former, "store")
            await split.wait_for_successor()
            await asyncio.sleep(0.1)
            split.cut(split.former, *(f"a-w{at}" for at in range(4) if f"a-w{at}" != busy))
            for name in split.others():
                split.cut(name, unheard, busy)
            split.cluster.cuts -= {frozenset((split.former, unheard))}
            split.cluster.crash_worker(unheard)
            split.cluster.crash_worker(busy)
            split.cluster.add_worker(unheard, CELL)
            await asyncio.sleep(0.8)
            split.cluster.add_worker(busy, CELL)
            await asyncio.sleep(20)

        def unreached(split: SplitCell) -> None:
            for name in split.cluster.entries:
                split.cut(name, "a-w0")

        self.play(scenario, prepare=unreached)

    def test_ends_that_an_overloaded_holder_does_not_see_are_not_run_again(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("b", "c")
            await asyncio.sleep(CALM_S)
            await split.submit("b-e1", make_job(1, make_step(8)))
            await asyncio.sleep(0.5)
            busy = next(name for name, at in split.cluster.runners.items() if at.running)
            split.cluster.missed_holds = {(split.former, busy)}
            await asyncio.sleep(8)
            split.cluster.missed_holds = set()
            await asyncio.sleep(8)

        self.play(scenario)

    def test_ends_that_an_overloaded_successor_does_not_see_are_not_run_again(self) -> None:
        async def scenario(split: SplitCell) -> None:
            split.close_cells("b", "c")
            await asyncio.sleep(CALM_S)
            await split.submit("b-e1", make_job(1, make_step(8)))
            await asyncio.sleep(0.5)
            busy = next(name for name, at in split.cluster.runners.items() if at.running)
            split.cluster.missed_holds = {(name, busy) for name in split.cluster.entries}
            await split.held(split.former)[CELL].release()
            await asyncio.sleep(8)
            split.cluster.missed_holds = set()
            await asyncio.sleep(8)

        self.play(scenario)

    def test_a_restarted_workers_ends_are_not_acknowledged_by_its_former_boots_numbers(
        self,
    ) -> None:
        async def scenario(split: SplitCell) -> None:
            cluster, worker = split.cluster, "a-w0"
            split.close_cells("b", "c")
            await split.submit("b-e1", make_job(1, make_step(8)))
            await asyncio.sleep(4)
            member = split.held(split.former)[CELL].dispatcher.members[worker]
            cluster.late_holds = 1.0
            answered_at = member.answered_at
            while member.answered_at == answered_at:
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(0.1)
            cluster.crash_worker(worker)
            cluster.add_worker(worker, CELL)
            await split.submit("b-e1", make_job(2, make_step(8)))
            await asyncio.sleep(0.1)
            self.assertTrue(cluster.runners[worker].running)
            await asyncio.sleep(1.5)
            cluster.late_holds = 0.0
            await asyncio.sleep(8)

        self.play(scenario)


class ReleasedCell(unittest.TestCase):
    def test_lease_ends_that_the_release_did_not_write_prove_nothing(self) -> None:
        async def main() -> list[str]:
            split = SplitCell(1)
            await split.start()
            cluster = split.cluster
            split.close_cells("b", "c")
            await split.submit("b-e1", make_job(1, make_step(7, lasting=True)))
            await asyncio.sleep(1)
            busy = next(name for name, at in cluster.runners.items() if at.running)
            for name in cluster.entries:
                split.cut(name, busy)
            await cluster.entries[split.former].succession.leave()
            details = await read_details(cluster.store, CELL)
            past = details._replace(lease_ends=dict.fromkeys(details.lease_ends, 0))
            cluster.store.apply(CELL_PART, [], [Put(DETAIL_TABLE, CELL, past.encode())], [])
            await asyncio.sleep(12)
            cluster.close()
            self.assertEqual(cluster.judge.starts, 14)
            return cluster.judge.broken

        self.assertEqual(run(main()), [])


class RestartsInTurn(unittest.TestCase):
    """Entries that restart one after another while the tasks of a lost worker wait."""

    TASKS = 14
    # A task that does not run for this long counts as lost.
    LIMIT_S = 9.0

    async def restart_holders(self, split: SplitCell) -> None:
        """Shut the cell's holder down every two seconds and start it again."""
        cluster = split.cluster
        while True:
            name = cluster.holder(CELL)
            if name is not None:
                await cluster.entries[name].succession.leave()
                cluster.kill(name)
                await asyncio.sleep(0.5)
                cluster.restart(name)
            await asyncio.sleep(1.5)

    def play(self, lose: Callable[[SplitCell, str, str], None], seed: int) -> tuple[float, float]:
        """Lose two busy workers before restarts.

        Return after how many seconds the last run there ends, and all tasks run elsewhere.
        """

        async def main() -> tuple[float, float]:
            split = SplitCell(seed)
            cluster = split.cluster
            for runner in cluster.runners.values():
                runner.clock_rate = 0.98
            await split.start()
            split.close_cells("b", "c")
            await split.submit("b-e1", make_job(1, make_step(self.TASKS, lasting=True)))
            await asyncio.sleep(1 + 0.3 * seed)
            busy = sorted(name for name, at in cluster.runners.items() if at.running)
            self.assertEqual(len(busy), 2)
            lost_at, ran_s = now(), 0.0
            lose(split, *busy)
            restarts = asyncio.ensure_future(self.restart_holders(split))
            left = [cluster.runners[name] for name in cluster.runners if name not in busy]
            while sum(len(runner.running) for runner in left) < self.TASKS:
                self.assertLess(now() - lost_at, 40.0)
                if any(name in cluster.runners and cluster.runners[name].running for name in busy):
                    ran_s = now() - lost_at
                await asyncio.sleep(POLL_S)
            gap_s = now() - lost_at
            await asyncio.sleep(10)
            restarts.cancel()
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])
            return ran_s, gap_s

        found: tuple[float, float] = run(main())
        return found

    def test_restarts_do_not_put_off_the_tasks_of_workers_that_crashed(self) -> None:
        def crash(split: SplitCell, *workers: str) -> None:
            for worker in workers:
                split.cluster.crash_worker(worker)

        for seed in range(5):
            with self.subTest(seed=seed):
                _, gap_s = self.play(crash, seed)
                self.assertLess(gap_s, self.LIMIT_S)

    def test_restarts_do_not_put_off_the_tasks_beside_a_worker_cut_off_and_alive(self) -> None:
        def crash_one_and_cut_the_other(split: SplitCell, crashed: str, cut: str) -> None:
            split.cluster.crash_worker(crashed)
            for name in split.cluster.entries:
                split.cut(name, cut)

        for seed in range(5):
            with self.subTest(seed=seed):
                ran_s, gap_s = self.play(crash_one_and_cut_the_other, seed)
                self.assertGreater(ran_s, 3.0)
                self.assertGreater(gap_s, ran_s)
                self.assertLess(gap_s, self.LIMIT_S)


class RegressionSeeds(unittest.TestCase):
    def test_previously_failing_seeds_pass(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(takeover.play(seed), [])
        for seed in OVERLOAD_SEEDS:
            with self.subTest(overload_seed=seed):
                self.assertEqual(takeover.play(seed, takeover.Overload), [])

    def test_no_task_runs_twice_while_workers_leave_and_entries_restart(self) -> None:
        for seed in DEPARTURE_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(takeover.play(seed, takeover.Departure), [])

    def test_copies_end_with_their_tasks_whatever_fails(self) -> None:
        """A run was left over, started after its task was done, or failed its job too early."""
        for kind in (takeover.Copies, takeover.OverloadedCopies):
            for seed in COPIES_SEEDS:
                with self.subTest(kind=kind.__name__, seed=seed):
                    self.assertEqual(takeover.play(seed, kind), [])

    def test_nothing_is_lost_or_miscounted_while_jobs_move_early(self) -> None:
        for seed in EARLY_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(takeover.play(seed, takeover.Early), [])
        self.assertGreater(sum(sample.value for sample in early_moves.samples()), 0)

    def test_no_task_runs_twice_while_parts_of_the_store_are_away(self) -> None:
        for seed in PARTS_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(takeover.play(seed, takeover.Parts), [])

    def test_no_task_runs_twice_or_is_lost_when_its_run_was_stopped_for_another(self) -> None:
        for seed in PREEMPTION_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(takeover.play(seed, preempting.Preempting), [])

    def test_holders_lost_in_series_do_not_prolong_the_wait_of_lasting_tasks(self) -> None:
        for seed in SERIES_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(takeover.play(seed, takeover.Series), [])


if __name__ == "__main__":
    unittest.main()
