"""Gangs whose workers, holders and failure domains are lost together, in virtual time."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from curranthall.dag import Job, Step
from curranthall.intake import Verdict
from tests import takeover
from tests.cluster import Cluster, now
from tests.gang_judge import GangJudge
from tests.test_takeover import CELL, POLL_S, make_job, make_step
from tests.virtual import run

# An odd number: once the first gangs have moved, one of the other cells has more room left.
JOBS = 3
WORK_S = 2.0
GANG = make_step(4, gang=True, max_per_worker=1)
# Steps beside the gang, on the first two workers: when one ends, all steps are looked at again.
BESIDE = make_step(2, max_per_worker=1)
STEPS = GANG, BESIDE, BESIDE._replace(after=(1,))
# The platform's bound: a task runs again 6 s after the end of its last run, and at most 3 s later.
LOST_AFTER_S = 9.0
# A killed holder's cell is taken and its workers are proven first.
TAKEOVER_S = 9.0
# Random simulations in which gangs were split and never ran again.
SEEDS = (2, 6, 7, 10)


class Site:
    """A cluster whose jobs run in one cell, and what is lost there."""

    def __init__(self, seed: int) -> None:
        self.cluster = Cluster(seed, entries=2, workers=4)
        self.gangs = GangJudge(self.cluster)
        self.jobs: list[Job] = []

    def replace_workers(self, cell: str, *cores: float) -> None:
        """Give a cell workers of the given sizes before the cluster starts."""
        for name in [name for name in self.cluster.runners if name[0] == cell]:
            del self.cluster.runners[name]
        for number, each in enumerate(cores):
            self.cluster.add_worker(f"{cell}-w{number}", cell, each)

    async def start(self, steps: tuple[Step, ...]) -> None:
        """Start the cluster, and jobs with a gang in one cell."""
        cluster = self.cluster
        cluster.start()
        await asyncio.sleep(3)
        cluster.evacuated = frozenset(cluster.domains) - {CELL}
        await asyncio.sleep(1)
        for number in range(1, JOBS + 1):
            job = make_job(number, steps[0])._replace(steps=steps)
            cluster.work[job.id] = WORK_S
            assert await cluster.submit(f"{CELL}-e0", job) is Verdict.ACCEPTED
            self.jobs.append(job)
        await asyncio.sleep(0.5 * WORK_S)
        assert all(self.gangs.runs(job.id, 0) for job in self.jobs)
        cluster.evacuated = frozenset()

    def lose_worker(self, number: int) -> None:
        """Lose a worker of the cell for good; the platform drops it from its list at once."""
        self.cluster.crash_worker(f"{CELL}-w{number}")

    def evacuate(self, *cells: str) -> None:
        """Evacuate cells."""
        self.cluster.evacuated = frozenset(cells)

    def kill_holder(self) -> None:
        """Kill the cell's holder for good."""
        holder = self.cluster.holder(CELL)
        assert holder is not None
        self.cluster.kill(holder)

    async def wait_for_move(self) -> None:
        """Wait until the first gang is assigned to another cell."""
        while not any(self._has_moved(job) for job in self.jobs):
            await asyncio.sleep(POLL_S)

    def _has_moved(self, job: Job) -> bool:
        progress = self.cluster.find_progress(job.id)
        return progress is not None and progress.owner((0, 0, 0)) != CELL

    def _runs(self, job: Job) -> bool:
        progress = self.cluster.find_progress(job.id)
        is_done = progress is not None and progress.is_step_done(job, 0, 0)
        return is_done or self.gangs.runs(job.id, 0) == job.steps[0].width

    async def wait_for_runs(self, limit_s: float) -> list[str]:
        """Return the jobs whose gang hasn't run again as a whole within a time."""
        until, idle = now() + limit_s, {job.id: job for job in self.jobs}
        while idle and now() < until:
            await asyncio.sleep(POLL_S)
            idle = {job_id: job for job_id, job in idle.items() if not self._runs(job)}
        return sorted(idle)


Scenario = Callable[[Site], Coroutine[Any, Any, None]]


async def lose_and_evacuate(site: Site) -> None:
    """Lose a worker and evacuate its cell before the lease of its runs lapses."""
    site.lose_worker(3)
    await asyncio.sleep(1.0)
    site.evacuate(CELL)


async def lose_two_and_evacuate(site: Site) -> None:
    """Lose two workers one after the other, and evacuate their cell in between."""
    site.lose_worker(3)
    await asyncio.sleep(0.7)
    site.evacuate(CELL)
    await asyncio.sleep(0.7)
    site.lose_worker(0)


async def lose_and_evacuate_in_turn(site: Site) -> None:
    """Evacuate the cell while a run lapses, and the cell that the gangs move to right after."""
    await lose_and_evacuate(site)
    await site.wait_for_move()
    site.evacuate(CELL, "b")


async def lose_more_than_a_gang_can_spare(site: Site) -> None:
    """Lose a worker, so that gangs with a member on each worker fit in no longer."""
    site.lose_worker(3)


async def lose_evacuate_and_kill(site: Site) -> None:
    """Kill the holder while the run on the lost worker lapses."""
    await lose_and_evacuate(site)
    await asyncio.sleep(1.0)
    site.kill_holder()


async def kill_after_the_move(site: Site) -> None:
    """Kill the holder once the first gang has moved."""
    await lose_and_evacuate(site)
    await site.wait_for_move()
    site.kill_holder()


async def kill_before_the_move_commits(site: Site) -> None:
    """Kill the holder while the commits of its moves are on their way."""
    await lose_and_evacuate(site)
    site.cluster.commit_delay_s = 0.3
    dispatcher = site.cluster.entries[str(site.cluster.holder(CELL))].succession.held[CELL]
    while not any(
        tracked.progress.uncommitted_moves for tracked in dispatcher.dispatcher.tracked.values()
    ):
        await asyncio.sleep(POLL_S)
    site.kill_holder()
    site.cluster.commit_delay_s = 0.0


class Losses(unittest.TestCase):
    def play(
        self,
        scenario: Scenario,
        limit_s: float,
        steps: tuple[Step, ...] = STEPS,
        prepare: Callable[[Site], None] = lambda site: None,
    ) -> None:
        """Play a scenario; check that each gang runs again in time and no rule is broken."""

        async def main() -> tuple[list[str], list[str]]:
            site = Site(1)
            prepare(site)
            await site.start(steps)
            lost_at = now()
            await scenario(site)
            idle = await site.wait_for_runs(limit_s + lost_at - now())
            site.gangs.close()
            site.cluster.close()
            return idle, site.cluster.judge.broken + site.gangs.broken

        self.assertEqual(run(main()), ([], []))

    def test_gangs_of_a_cell_that_loses_workers_and_is_evacuated_run_elsewhere(self) -> None:
        """Gangs used to be split while the run on the lost worker lapsed, and to stay idle."""
        scenarios = (
            lose_and_evacuate,
            lose_two_and_evacuate,
            lose_and_evacuate_in_turn,
            lose_more_than_a_gang_can_spare,
        )
        for scenario in scenarios:
            with self.subTest(scenario.__name__):
                self.play(scenario, LOST_AFTER_S)

    def test_gangs_run_elsewhere_although_the_holder_is_killed_around_their_move(self) -> None:
        for scenario in (lose_evacuate_and_kill, kill_after_the_move, kill_before_the_move_commits):
            with self.subTest(scenario.__name__):
                self.play(scenario, LOST_AFTER_S + TAKEOVER_S)

    def test_lasting_gangs_run_elsewhere(self) -> None:
        steps = GANG._replace(lasting=True), *STEPS[1:]
        for scenario in (lose_and_evacuate, lose_two_and_evacuate, lose_and_evacuate_in_turn):
            with self.subTest(scenario.__name__):
                self.play(scenario, LOST_AFTER_S, steps)

    def test_gangs_leave_cells_that_have_too_few_workers_for_them(self) -> None:
        """Gangs with one member a worker used to go to and fro between the roomiest cells."""

        def prepare(site: Site) -> None:
            site.replace_workers("b", 32, 32)
            site.replace_workers("c", 4, 4, 4, 4)

        self.play(lose_more_than_a_gang_can_spare, LOST_AFTER_S, STEPS, prepare)


class RandomPlays(unittest.TestCase):
    def test_no_gang_is_left_idle_and_no_member_runs_twice(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed):
                self.assertEqual(takeover.play(seed, takeover.Gangs), [])


if __name__ == "__main__":
    unittest.main()
