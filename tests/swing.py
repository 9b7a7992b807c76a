"""Load on three failure domains whose demand swings, in virtual time: what callers get.

`python -m tests.swing [SEEDS [USE]]` prints the figures without and with the options; USE is the
demand's mean share of the cores.
"""

import asyncio
import math
import random
import sys
from typing import NamedTuple

from curranthall.cells.options import NO_OPTIONS, Options
from curranthall.dag import Job, Phase, Queue, Step
from curranthall.intake import Verdict
from curranthall.model import Size
from tests.cluster import SERVICE, Cluster, now
from tests.virtual import run

WORKERS = 4
CORES = 8
# Demand of a domain varies by this share of its mean, in this time.
SWING = 0.55
PERIOD_S = 13.0
SUBMIT_S = 40.0
SETTLE_S = 25.0
# The objective is so many times the critical path, and a constant.
STRETCH = 2.0
OBJECTIVE_MS = 500
LATE_FACTOR = 3.0
LATE_VALUE = 0.15
# Estimates are off by up to this share.
ESTIMATE_ERROR = 0.5
# Share of the jobs that are submitted in another domain than the one whose demand they are.
ROAMING = 0.1


class Outcome(NamedTuple):
    """What callers got: shares of all jobs, and the mean seconds of those that were done."""

    jobs: int
    in_time: float
    value: float
    refused: float
    mean_s: float
    moves: float


class Swing:
    """One play."""

    def __init__(self, seed: int, options: Options, use: float) -> None:
        self.rng = random.Random(seed)
        self.cluster = Cluster(seed, workers=WORKERS, options=options)
        queue = Queue("q", SERVICE, 0, 3, STRETCH, OBJECTIVE_MS)
        catalogue = self.cluster.catalogue
        routes = (catalogue.routes[0]._replace(queue=queue),)
        self.cluster.catalogue = catalogue._replace(routes=routes)
        for entry in self.cluster.entries.values():
            entry.operations.apply(self.cluster.catalogue._replace(version=2))
        self.phases = [self.rng.uniform(0, 2 * math.pi) for _ in self.cluster.domains]
        self.use = use
        self.jobs: dict[str, tuple[Job, float, float]] = {}
        self.done_at: dict[str, float] = {}
        self.refused = 0

    async def run(self) -> Outcome:
        """Submit jobs, wait for them, and sum up."""
        cluster = self.cluster
        cluster.start()
        await asyncio.sleep(4)
        watch = asyncio.ensure_future(self._watch())
        await asyncio.gather(*(self._demand(at) for at in range(len(cluster.domains))))
        await asyncio.sleep(SETTLE_S)
        watch.cancel()
        cluster.close()
        assert not cluster.judge.broken, cluster.judge.broken
        return self._sum_up()

    def _draw(self) -> tuple[Job, float]:
        rng, number = self.rng, len(self.jobs) + 1
        seconds = rng.uniform(0.2, 1.0)
        estimate_ms = int(1000 * seconds * (1 + rng.uniform(-ESTIMATE_ERROR, ESTIMATE_ERROR)))
        size = Size(rng.choice((1, 1, 2, 4)), 1_000)
        width = rng.choice((1, 2, 4, 8))
        first = Step(width, size, estimate_ms)
        steps = (first, first._replace(after=(0,))) if rng.random() < 0.3 else (first,)
        return Job(f"{number:016x}", "q", SERVICE, "spec", steps, int(now() * 1000)), seconds

    async def _demand(self, at: int) -> None:
        """Submit one domain's jobs."""
        rng, began, domains = self.rng, now(), self.cluster.domains
        mean_work = 0.6 * 2.0 * 3.75 * 1.3
        mean_rate = self.use * WORKERS * CORES / mean_work
        while now() < began + SUBMIT_S:
            wave = math.sin(2 * math.pi * (now() - began) / PERIOD_S + self.phases[at])
            await asyncio.sleep(rng.expovariate(mean_rate * (1 + SWING * wave)))
            domain = rng.choice(domains) if rng.random() < ROAMING else domains[at]
            job, seconds = self._draw()
            self.jobs[job.id] = job, seconds, now()
            self.cluster.work[job.id] = seconds
            asyncio.ensure_future(self._submit(f"{domain}-e{rng.randrange(2)}", job))

    async def _submit(self, entry: str, job: Job) -> None:
        verdict = await self.cluster.submit(entry, job)
        self.refused += verdict is Verdict.TOO_LATE

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for job_id in self.jobs.keys() - self.done_at.keys():
                progress = self.cluster.find_progress(job_id)
                if progress is not None and progress.phase is Phase.COMPLETED:
                    self.done_at[job_id] = now()

    def _sum_up(self) -> Outcome:
        in_time = value = 0.0
        took = []
        moves = 0
        for job_id, (job, seconds, at) in self.jobs.items():
            progress = self.cluster.find_progress(job_id)
            moves += progress.moves if progress is not None else 0
            if job_id not in self.done_at:
                continue
            took.append(self.done_at[job_id] - at)
            objective_s = STRETCH * len(job.steps) * seconds + OBJECTIVE_MS / 1000
            is_in_time = took[-1] <= objective_s
            in_time += is_in_time
            is_late = took[-1] <= LATE_FACTOR * objective_s
            value += 1.0 if is_in_time else LATE_VALUE if is_late else 0.0
        count = len(self.jobs)
        mean_s = sum(took) / len(took)
        return Outcome(
            count, in_time / count, value / count, self.refused / count, mean_s, moves / count
        )


def play(seed: int, options: Options = NO_OPTIONS, use: float = 0.85) -> Outcome:
    """Play a seed."""

    async def main() -> Outcome:
        return await Swing(seed, options, use).run()

    found: Outcome = run(main())
    return found


def main() -> None:
    """Print the mean of the figures over seeds."""
    seeds, use = (sys.argv[1:] + ["4", "0.85"][len(sys.argv) - 1 :])[:2]
    plays = {
        "off": NO_OPTIONS,
        "projected": Options(projected_load=True),
        "both": Options(projected_load=True, early_refusal=True),
    }
    for name, options in plays.items():
        found = [play(seed, options, float(use)) for seed in range(int(seeds))]
        means = [round(sum(values) / len(values), 3) for values in zip(*found, strict=True)]
        print(name, Outcome(*means), flush=True)  # type: ignore[arg-type]


if __name__ == "__main__":
    main()
