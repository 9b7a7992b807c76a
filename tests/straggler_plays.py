"""Simulated load with slow runs, slow tasks and slow workers, with and without copies.

`python -m tests.straggler_plays [SEEDS]` prints for each cause what callers get and what it costs.
"""

import random
import sys
from typing import NamedTuple

from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.options import Options
from curranthall.cells.ports import StartTask
from curranthall.dag import Queue, TaskId
from tests.load import (
    SERVICE,
    STEP_S,
    JobProfile,
    Lognormal,
    Plan,
    SimJob,
    Simulation,
    Tally,
)

# The platform's load: this share of the tasks takes this multiple of its usual time.
SLOW_SHARE = 0.03
SLOW_FACTOR = 7.0
# What the slowness belongs to; both: to single runs and to workers.
CAUSES = ("run", "worker", "both", "task")

DESK = JobProfile(
    Queue("desk", SERVICE, 0, 2, 2.0, 1_000),
    7.0,
    Lognormal(1.6, 0.4, 4),
    Lognormal(4, 0.6, 16),
    Lognormal(4.1, 0.45, 12),
    Lognormal(1.4, 0.5, 4),
    Lognormal(8_200, 0.3, 16_000),
    estimate_error=0.9,
)
# One worker in six is slow where that is the cause.
SLOW_WORKERS = (6, 3.5)


class Play(NamedTuple):
    """What callers got, and what it took."""

    tally: Tally
    earned: float
    starts: int
    # When copies started, in seconds since the begin.
    copied_at: list[float]
    # Core-seconds of all runs.
    core_s: float


class StragglerSimulation(Simulation):
    """A simulation in which some runs, tasks or workers are slow."""

    def __init__(self, seed: int, cause: str, copies: bool, seconds: float = 40.0) -> None:
        slow = SLOW_WORKERS if cause in ("worker", "both") else (0, 1.0)
        plan = Plan(seconds=seconds, workers=6, cores=32.0, slow=slow)
        super().__init__(seed, plan, (DESK,))
        self.cause = cause
        self.draw = random.Random(seed + 1_000)
        self.heavy: dict[TaskId, bool] = {}
        self.starts, self.core_s = 0, 0.0
        self.copied_at: list[float] = []
        for dispatcher in self.cells.values():
            dispatcher.options = Options(copies=copies)

    def _draw_job(self, profile: JobProfile) -> SimJob:
        sim_job = super()._draw_job(profile)
        steps = tuple(step._replace(copies=True) for step in sim_job.job.steps)
        sim_job.job = sim_job.job._replace(steps=steps)
        return sim_job

    def _start(self, dispatcher: Dispatcher, order: StartTask) -> None:
        others = sum(order.task in worker.runs for worker in self.workers.values())
        assert others <= 1, f"{order.task} has {others} runs"
        super()._start(dispatcher, order)
        run = self.workers[order.worker].runs.get(order.task)
        if run is None or run.order is not order:
            return
        self.starts += 1
        if others:
            self.copied_at.append(self.now - self.started_at)
        is_slow = self.cause != "worker" and self.draw.random() < SLOW_SHARE
        if self.cause == "task":
            is_slow = self.heavy.setdefault(order.task, is_slow)
        run.left_s *= SLOW_FACTOR if is_slow else 1.0

    def step(self) -> None:
        """Advance by one time step and sum up the work."""
        for worker in self.workers.values():
            self.core_s += sum(run.step.size.cores for run in worker.runs.values()) * STEP_S
        super().step()


def play(seed: int, cause: str, copies: bool, seconds: float = 40.0) -> Play:
    """Simulate a seed."""
    sim = StragglerSimulation(seed, cause, copies, seconds)
    sim.run()
    tally, earned = sim.tally("desk"), sim.earned_share("desk")
    return Play(tally, earned, sim.starts, sim.copied_at, sim.core_s)


def main() -> None:
    """Print all plays of some seeds."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    for cause in CAUSES:
        for copies in (False, True):
            found = [play(seed, cause, copies) for seed in range(1, seeds + 1)]
            jobs = sum(each.tally.jobs for each in found)
            print(
                f"{cause} copies={copies}: jobs {jobs},"
                f" in time {sum(each.tally.in_time for each in found) / jobs:.3f},"
                f" served {sum(each.tally.served for each in found) / jobs:.3f},"
                f" earned {sum(each.earned for each in found) / seeds:.3f},"
                f" starts {sum(each.starts for each in found)},"
                f" copies {sum(len(each.copied_at) for each in found)},"
                f" core-s {sum(each.core_s for each in found):.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
