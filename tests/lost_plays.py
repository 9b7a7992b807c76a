"""Random plays in virtual time of lost workers that left starts without an answer.

Boots that come back execute some of these starts late, while the cell's holders are lost in series.
"""

import asyncio
import random
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from functools import partial
from types import MappingProxyType
from typing import NamedTuple
from unittest import mock

from curranthall.cells.fencing import Fencing, RunEnd
from curranthall.cells.fleet import LATE_CALL_S
from curranthall.dag import TaskId
from tests.cluster import Effect, now
from tests.test_takeover import CELL, SplitCell, make_job, make_step
from tests.virtual import run

# Late calls are executed less than LATE_CALL_S after they were sent.
LATE_S = LATE_CALL_S - 0.1
# By then two runs of a task would have met, whichever late call is executed.
SETTLE_S = 26.0
SLOW_CLOCK = 0.98
NO_RUN_ENDS: Mapping[str, RunEnd] = MappingProxyType({})


class Found(NamedTuple):
    """What a play broke, and how often run ends were at work in it.

    `takes` handed over run ends; `freed` tasks had a place on a worker that was not proven.
    """

    broken: list[str]
    takes: int
    freed: int


class Watch:
    """Counts the use of run ends by all holders."""

    def __init__(self) -> None:
        self.takes = 0
        # Places that were held, and those that run ends freed later.
        self._held: set[tuple[Fencing, str, TaskId]] = set()
        self._freed: set[tuple[Fencing, str, TaskId]] = set()

    @property
    def freed(self) -> int:
        """Return the number of places that were held, then freed by run ends."""
        return len(self._freed)

    @contextmanager
    def watching(self) -> Iterator[None]:
        """Count what all holders do from here on."""
        take_over, may_run = Fencing.take_over, Fencing.may_run

        def take(
            fencing: Fencing,
            workers: Iterable[str],
            proof_at: float,
            lease_ends: Mapping[str, float],
            at: float,
            run_ends: Mapping[str, RunEnd] = NO_RUN_ENDS,
        ) -> None:
            self.takes += bool(run_ends)
            take_over(fencing, workers, proof_at, lease_ends, at, run_ends)

        def ask(fencing: Fencing, worker: str, task: TaskId) -> bool:
            found, place = may_run(fencing, worker, task), (fencing, worker, task)
            if found:
                self._held.add(place)
            elif worker in fencing.unproven and place in self._held:
                self._freed.add(place)
            return found

        with (
            mock.patch.object(Fencing, "take_over", take),
            mock.patch.object(Fencing, "may_run", ask),
        ):
            yield


class LostPlay:
    """A play of one cell that loses workers with open starts, then its holders."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.split = SplitCell(seed)
        self.cluster = self.split.cluster
        self.clock_rate = SLOW_CLOCK if self.rng.random() < 0.7 else 1.0
        self.crashes = self.rng.random() < 0.8
        self.lost: list[str] = []
        self._jobs = 0
        self._sent_at = 0.0
        self._withheld: list[tuple[str, list[Effect]]] = []

    async def run(self) -> list[str]:
        """Play to the end and return the broken rules."""
        await self._begin()
        await self._maybe_lose_first_holder()
        await self._leave_starts_open()
        self._lose_workers()
        self._schedule_late_calls()
        self._schedule_returns()
        for _ in range(self.rng.randint(1, 4)):
            await asyncio.sleep(self.rng.uniform(0.5, 6.0))
            self._disturb_holder()
        await asyncio.sleep(SETTLE_S)
        self.cluster.close()
        return self.cluster.judge.broken

    async def _begin(self) -> None:
        """Start the entries and two lasting jobs."""
        for runner in self.cluster.runners.values():
            runner.clock_rate = self.clock_rate
        await self.split.start()
        if self.rng.random() < 0.7:
            self.split.close_cells("b", "c")
        width = self.rng.randint(8, 14) // 2
        for _ in range(2):
            await self._submit(width, lasting=True)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))

    async def _submit(self, width: int, lasting: bool) -> None:
        step = make_step(width, lasting=lasting)
        self._jobs += 1
        await self.split.submit("b-e1", make_job(self._jobs, step))

    async def _maybe_lose_first_holder(self) -> None:
        if self.rng.random() < 0.3:
            self._kill(self.split.former, self.rng.uniform(1.0, 5.0))
            await asyncio.sleep(self.rng.uniform(4.0, 16.0))

    async def _leave_starts_open(self) -> None:
        """Withhold the starts, sometimes also the holds, of workers while jobs come."""
        names = sorted(name for name in self.cluster.runners if name[0] == CELL)
        self.lost = self.rng.sample(names, self.rng.randint(1, 3))
        verbs = ("start", "hold") if self.rng.random() < 0.3 else ("start",)
        for verb in verbs:
            self._withheld += [(name, self.cluster.withhold(verb, name)) for name in self.lost]
        width = self.rng.randint(4, 10)
        for _ in range(self.rng.randint(1, 3)):
            await self._submit(width, lasting=False)
        if self.rng.random() < 0.5:
            await self._submit(self.rng.randint(1, 3), lasting=True)
        self._sent_at = now()
        await asyncio.sleep(self.rng.uniform(0.1, 2.5))

    def _lose_workers(self) -> None:
        """Crash the workers or cut them off from all entries, or both; add room."""
        self.cluster.listed_after_crash_s = self.rng.choice((0.0, 2.0, 4.0, 30.0))
        if self.crashes:
            for name in self.lost:
                self.cluster.crash_worker(name)
        if not self.crashes or self.rng.random() < 0.5:
            cuts = {
                frozenset((entry, name)) for entry in self.cluster.entries for name in self.lost
            }
            self.cluster.cuts |= cuts
            self._later(2.0, 25.0, lambda: self.cluster.cuts.difference_update(cuts))
        self.cluster.add_worker("a-w8", CELL, cores=self.rng.choice((8, 32)))

    def _schedule_late_calls(self) -> None:
        """Let the boots that come back execute the withheld calls, each at its time."""
        self.cluster.withheld.clear()
        for name, effects in self._withheld:
            for effect in effects:
                late_s = max(0.0, self._sent_at + self.rng.uniform(0.0, LATE_S) - now())
                self._later(late_s, late_s, partial(self._do, name, effect))

    def _do(self, name: str, effect: Effect) -> None:
        asyncio.ensure_future(self.cluster.execute(name, effect))

    def _schedule_returns(self) -> None:
        if self.crashes and self.rng.random() < 0.8:
            for name in self.lost:
                self._later(0.05, 9.0, partial(self._boot, name))

    def _boot(self, name: str) -> None:
        if name not in self.cluster.runners:
            self.cluster.add_worker(name, CELL)
            self.cluster.runners[name].clock_rate = self.clock_rate

    def _disturb_holder(self) -> None:
        """Freeze or kill the cell's holder, or keep the store or its answers from all entries."""
        cluster, holder = self.cluster, self.cluster.holder(CELL)
        if holder is None:
            return
        kind = self.rng.random()
        if kind < 0.25:
            cluster.freeze(holder)
            self._later(3.0, 14.0, lambda: cluster.thaw(holder))
        elif kind < 0.4:
            cluster.store_down = True
            self._later(0.5, 5.0, lambda: setattr(cluster, "store_down", False))
        elif kind < 0.55:
            cluster.lose_answers = 0.5
            self._later(0.5, 4.0, lambda: setattr(cluster, "lose_answers", 0.0))
        else:
            self._kill(holder, self.rng.uniform(0.3, 8.0))

    def _kill(self, name: str, pause_s: float) -> None:
        """Kill an entry and start it again after a pause."""
        self.cluster.kill(name)
        self._later(pause_s, pause_s, lambda: self._restart(name))

    def _restart(self, name: str) -> None:
        if self.cluster.entries[name].dead:
            self.cluster.restart(name)

    def _later(self, least_s: float, most_s: float, action: Callable[[], object]) -> None:
        asyncio.get_running_loop().call_later(self.rng.uniform(least_s, most_s), action)


def play(seed: int, probes: int | None = None) -> Found:
    """Play a seed; `probes` is another one for the workers that entries probe."""
    # Entries draw these from the shared generator.
    random.seed(seed if probes is None else probes)

    async def main() -> list[str]:
        return await LostPlay(seed).run()

    watch = Watch()
    with watch.watching():
        broken: list[str] = run(main())
    return Found(broken, watch.takes, watch.freed)


def main() -> None:
    """Play the given seeds and print what each broke."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, first + count):
        found = play(seed)
        line = f"takes={found.takes} freed={found.freed} broken={len(found.broken)}"
        print(seed, line, *found.broken[:3], sep="  ", flush=True)


if __name__ == "__main__":
    main()
