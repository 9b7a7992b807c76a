"""Random orders of submissions and cancels of the same jobs beside faults, in virtual time.

python -m tests.cancel_plays FIRST [COUNT]
"""

import asyncio
import random
import sys
from typing import NamedTuple

from curranthall.dag import Job, Phase, Step
from curranthall.errors import CurranthallError
from curranthall.intake import Verdict
from curranthall.model import Size
from tests.cluster import CANCEL_S, SERVICE, Cluster, now
from tests.virtual import run

JOBS = 8
FAULTS = 6
# Part of the play in which calls and faults begin.
ACTIVE_S = 14.0
# Longest time from the end of all faults until holders are back, by the platform's bounds.
SETTLE_S = 25.0
# The platform's bound: this long after a fault all is as if there had been none.
CONTACT_S = 3.0
# On the code before cancels were recorded.
BROKEN_SEEDS = (0, 1, 2, 3, 5, 6, 8, 10)


class Result(NamedTuple):
    """What a play showed."""

    broken: list[str]
    cancelled: int
    unacknowledged: int


def _random_steps(rng: random.Random) -> tuple[Step, ...]:
    size, ms = Size(1, 500), 1_000
    match rng.randrange(4):
        case 0:
            return (Step(2, size, ms, lasting=True),)
        case 1:
            return (Step(3, size, ms, gang=True),)
        case 2:
            return (Step(2, size, ms), Step(2, size, ms, after=(0,)))
    return (Step(rng.choice((1, 4)), size, ms),)


class _Play:
    def __init__(self, seed: int, has_faults: bool) -> None:
        self.rng = random.Random(seed)
        self.cluster = Cluster(seed)
        self.has_faults = has_faults
        self.broken: list[str] = []
        self.reported: set[tuple[str, str]] = set()
        # When a cancel was acknowledged, by job; and as what: the job exists, or there is none.
        self.acked: dict[str, tuple[float, bool]] = {}
        self.unacknowledged = 0

    def report(self, what: str, job: Job) -> None:
        """Record a broken rule, once for each job."""
        if (what, job.id) not in self.reported:
            self.reported.add((what, job.id))
            self.broken.append(f"{now():.3f} {what}: {job.id}")

    def _some_entry(self) -> str | None:
        alive = [name for name, entry in self.cluster.entries.items() if not entry.dead]
        return self.rng.choice(alive) if alive else None

    async def run(self) -> Result:
        """Play; return what was seen."""
        cluster = self.cluster
        cluster.start()
        await asyncio.sleep(4)
        calls = [self._consume(number) for number in range(1, JOBS + 1)]
        faults = [self._cause_faults()] if self.has_faults else []
        watch = asyncio.ensure_future(self._watch())
        await asyncio.gather(*calls, *faults)
        await asyncio.sleep(SETTLE_S)
        watch.cancel()
        self._check_at_end()
        cluster.close()
        return Result(self.broken, len(self.acked), self.unacknowledged)

    # Consumers

    async def _consume(self, number: int) -> None:
        """Submit a job, cancel it soon, and submit it again, at any entries."""
        rng = self.rng
        await asyncio.sleep(rng.uniform(0, ACTIVE_S))
        steps, at_ms = _random_steps(rng), int(now() * 1000)
        timed = rng.random() < 0.25 and not steps[0].lasting
        schedule = (3, at_ms + 1_000, 2_000) if timed else (1, 0, 0)
        job = Job(f"{number:016x}", "q", SERVICE, "spec", steps, at_ms, *schedule)
        self.cluster.judge.jobs[job.id] = job
        await asyncio.gather(self._submit(job, 2), self._cancel_soon(job))
        for _ in range(rng.randrange(3)):
            await asyncio.sleep(rng.uniform(0, 4))
            await self._submit(job, 1)

    async def _submit(self, job: Job, tries: int) -> None:
        for _ in range(tries):
            entry = self._some_entry()
            if entry is None:
                return
            began_at = now()
            verdict = await self.cluster.submit(entry, job)
            acked_at, exists = self.acked.get(job.id, (now(), True))
            if verdict is Verdict.ACCEPTED and not exists and began_at > acked_at:
                self.report("accepted after a cancel found no job", job)
            if verdict is not Verdict.UNKNOWN:
                return
            await asyncio.sleep(self.rng.uniform(0, 1))

    async def _cancel_soon(self, job: Job) -> None:
        await asyncio.sleep(self.rng.choice((0.0, 0.002, 0.01, 0.1, 1.0, 3.0)))
        for _ in range(4):
            entry = self._some_entry()
            if entry is not None:
                try:
                    exists = await self.cluster.entries[entry].intake.cancel(job.id, 2.0)
                except CurranthallError:
                    pass
                else:
                    self.acked[job.id] = now(), exists
                    return
            await asyncio.sleep(self.rng.uniform(0, 1))
        self.unacknowledged += 1

    async def _watch(self) -> None:
        """Ask entries for the phases of jobs whose cancel was acknowledged."""
        while True:
            await asyncio.sleep(0.1)
            for job_id, (acked_at, exists) in list(self.acked.items()):
                self._check_runs(self.cluster.judge.jobs[job_id], acked_at)
                entry = self._some_entry()
                if exists or entry is None or entry in self.cluster.frozen:
                    continue
                asyncio.ensure_future(self._ask(entry, self.cluster.judge.jobs[job_id]))

    def _check_runs(self, job: Job, acked_at: float) -> None:
        """Check that no task of a cancelled job is at work after a time without faults."""
        judge = self.cluster.judge
        if now() - max(acked_at, judge.fault_at + CONTACT_S) <= CANCEL_S:
            return
        if any(at_work for task, at_work in judge.at_work.items() if task.job == job.id):
            self.report("runs on in calm after its cancel", job)

    async def _ask(self, entry: str, job: Job) -> None:
        began_at = now()
        try:
            phase = await self.cluster.phase(entry, job.id)
        except CurranthallError:
            return
        if phase not in (None, Phase.CANCELLED) and began_at >= self.acked[job.id][0]:
            self.report(f"shown as {phase.name.lower()} after a cancel found no job", job)

    def _check_at_end(self) -> None:
        judge = self.cluster.judge
        for job_id, (acked_at, exists) in self.acked.items():
            job, progress = judge.jobs[job_id], self.cluster.find_progress(job_id)
            if progress is not None and not progress.phase.is_final:
                self.report("stored as unfinished after its cancel", job)
            starts = [at for task, at in judge.last_start.items() if task.job == job_id]
            if not exists and starts and max(starts) > acked_at:
                self.report(f"started {max(starts) - acked_at:.3f} s after its cancel", job)

    # Faults

    async def _cause_faults(self) -> None:
        await asyncio.gather(self._fault_series(), self._fault_series())

    async def _fault_series(self) -> None:
        for _ in range(FAULTS):
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            await self.rng.choice(
                (
                    self._lose_answers,
                    self._lose_answers,
                    self._store_away,
                    self._slow_store,
                    self._cut,
                    self._evacuate,
                    self._freeze,
                    self._kill,
                )
            )()

    async def _lose_answers(self) -> None:
        self.cluster.lose_answers = self.rng.choice((0.35, 0.7, 1.0))
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.cluster.lose_answers = 0.0

    async def _store_away(self) -> None:
        self.cluster.store_down = True
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        self.cluster.store_down = False

    async def _slow_store(self) -> None:
        self.cluster.commit_delay_s = self.cluster.scan_delay_s = 0.3
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.cluster.commit_delay_s = self.cluster.scan_delay_s = 0.0

    async def _cut(self) -> None:
        names = [*self.cluster.entries, *self.cluster.domains]
        one = self.rng.choice(names)
        other = self.rng.choice(["store", *(each for each in names if each[0] != one[0])])
        cut = frozenset((one, other))
        self.cluster.cuts.add(cut)
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        self.cluster.cuts.discard(cut)

    async def _evacuate(self) -> None:
        """Let jobs move between cells."""
        self.cluster.evacuated = frozenset((self.rng.choice(self.cluster.domains),))
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        self.cluster.evacuated = frozenset()

    async def _freeze(self) -> None:
        name = self._some_entry()
        if name is not None:
            self.cluster.freeze(name)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            self.cluster.thaw(name)

    async def _kill(self) -> None:
        name = self._some_entry()
        if name is not None:
            self.cluster.kill(name)
            await asyncio.sleep(self.rng.uniform(0.1, 2.0))
            self.cluster.restart(name)


def play(seed: int, has_faults: bool = True) -> Result:
    """Play one seed."""

    async def main() -> Result:
        return await _Play(seed, has_faults).run()

    return run(main())


if __name__ == "__main__":
    first, count = int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 1
    for number in range(first, first + count):
        result = play(number)
        print(number, f"cancelled={result.cancelled} unacknowledged={result.unacknowledged}")
        print(*(f"  {each}" for each in result.broken), sep="\n", end="\n" * bool(result.broken))
