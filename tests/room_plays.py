"""Random plays in virtual time of several cells: how long lasting tasks wait beside room for two.

Judged by the true state of the workers, like the platform does, not by what the holders know.
"""

import random
import sys
from collections import Counter
from typing import NamedTuple

from curranthall.cells.balance import Balancer, CellLoads
from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.load import Load
from curranthall.cells.ports import WorkerOrder
from curranthall.cells.tracking import Bounds
from curranthall.dag import Step, TaskId
from tests.load import (
    BATCHES,
    LOAD_INTERVAL_S,
    PROOFS,
    STEP_S,
    WATCHES,
    JobProfile,
    Lognormal,
    Plan,
    Simulation,
)

# The platform's bounds: a lasting task has its turn this long after its last run, and is lost once
# it waited for LIMIT_S on end beside room for two.
RESTART_S = 6.0
LIMIT_S = 3.0
# The platform looks this often, so it doesn't see that a room is gone for moments.
LOOK_S = 1.5
SECONDS = 16.0


class Mix(NamedTuple):
    """Load and losses of a play; `losses` are times after the start, `share` of all workers."""

    cells: int = 3
    workers: int = 6
    lasting: float = 0.72
    short_rate: float = 3.0
    filling_rate: float = 3.0
    losses: tuple[float, ...] = (2.0,)
    share: float = 0.1
    limited: float = 0.0
    # The share of cell a's workers that are lost together at the last of `losses`.
    cell_share: float = 0.0
    short_cores: Lognormal = PROOFS.cores
    short_s: Lognormal = Lognormal(0.4, 0.5, 1.2)
    lasting_cores: Lognormal = Lognormal(8, 0.4, 20)
    # From when no more finite jobs come, and how long the play goes on.
    drained_at: float = SECONDS
    seconds: float = SECONDS
    # Lost workers fall silent, so that their runs end with their leases, and are unlisted later.
    silent: bool = False
    # Each cell publishes and reads rows at its own times, not all at once.
    staggered: bool = False


def draw_mix(seed: int) -> Mix:
    """Draw the parameters of a play."""
    rng = random.Random(seed)
    return Mix(
        rng.choice((3, 4, 5)),
        rng.choice((4, 6, 8)),
        rng.uniform(0.68, 0.82),
        rng.uniform(2.5, 6.0),
        rng.uniform(1.0, 6.0),
        tuple(sorted(rng.uniform(1.0, 6.0) for _ in range(rng.choice((2, 3, 4))))),
        rng.uniform(0.03, 0.1),
    )


def draw_full_mix(seed: int) -> Mix:
    """Draw a play of nearly full cells, one of which loses 30 % of its workers for good."""
    rng = random.Random(seed)
    return Mix(
        rng.choice((3, 4)),
        rng.choice((8, 12, 16)),
        rng.uniform(0.83, 0.87),
        rng.uniform(3.0, 9.0),
        rng.uniform(0.0, 2.0),
        losses=(2.0,),
        cell_share=0.3,
        short_cores=Lognormal(6, 0.5, 14),
        short_s=Lognormal(1.0, 0.4, 2.0),
        lasting_cores=Lognormal(7, 0.3, 10),
        drained_at=rng.uniform(8.0, 14.0),
        seconds=20.0,
        silent=True,
        staggered=True,
    )


DRAWS = {"mixed": draw_mix, "full": draw_full_mix}


def build_profiles(mix: Mix) -> tuple[JobProfile, ...]:
    """Return the jobs of a play: short, filling and lasting ones that are never cancelled."""
    scale = mix.cells * mix.workers / 24
    short = PROOFS._replace(rate=mix.short_rate * scale, cores=mix.short_cores, seconds=mix.short_s)
    filling = BATCHES._replace(rate=mix.filling_rate * scale)
    lasting = WATCHES._replace(
        cores=mix.lasting_cores,
        memory=Lognormal(12_000, 0.3, 40_000),
        initial_share=mix.lasting,
        rate=0.0,
        limited_share=mix.limited,
        lifetime_s=Lognormal(1_000, 0, 1_000),
    )
    return short, filling, lasting


class RoomPlay(Simulation):
    """A play that loses workers for good and counts waits beside room for two."""

    def __init__(self, seed: int, mix: Mix) -> None:
        self.mix = mix
        profiles = build_profiles(mix)
        super().__init__(
            seed, Plan(mix.drained_at, mix.seconds - mix.drained_at, workers=mix.workers), profiles
        )
        queues = {profile.queue.name: profile.queue for profile in profiles}
        for epoch, cell in enumerate("defgh"[: mix.cells - len(self.cells)], 4):
            self.cells[cell] = Dispatcher(
                cell, epoch, Bounds(), lambda job: queues[job.queue], lambda: self.now * 1000
            )
            self.balancers[cell] = Balancer()
            for number in range(mix.workers):
                self._add_worker(cell, number)
        self._losses = list(mix.losses)
        # The loads that cells last published, and those that each cell has read.
        self._rows: dict[str, dict[str, Load]] = {}
        self._read: dict[str, dict[str, dict[str, Load]]] = {}
        # By lasting task, when its last run ended or its job came, and since when it waits beside
        # room for two.
        self._idle_since: dict[TaskId, float] = {}
        self._beside_since: dict[TaskId, float] = {}
        # The longest wait beside room by task, counted from RESTART_S after its last run.
        self.lost: dict[TaskId, float] = {}
        # As `lost`, but counted as the platform does, by the looks in a row.
        self.lost_by_looks: dict[TaskId, int] = {}
        self._looks: Counter[TaskId] = Counter()
        # Seconds that tasks spent waiting beside room, after half of LIMIT_S of it.
        self.beside_s = 0.0

    def step(self) -> None:
        """Advance the play by one time step."""
        if self._losses and self.now - self.started_at >= self._losses[0]:
            self._losses.pop(0)
            self._lose_workers(self.mix.cell_share if not self._losses else 0.0)
        super().step()
        self._judge()
        if round((self.now - self.started_at) / STEP_S) % round(LOOK_S / STEP_S) == 0:
            self._look()

    def _lose_workers(self, cell_share: float) -> None:
        names = sorted(name for name in self.workers if not cell_share or name[0] == "a")
        share = cell_share or self.mix.share
        for name in self.rng.sample(names, max(1, round(share * len(names)))):
            dispatcher = self.cells[self.workers.pop(name).cell]
            if self.mix.silent:
                dispatcher.on_silence(name, self.now)
                dispatcher.mark_host_missing(name, self.now)
            else:
                dispatcher.on_gone(name, self.now)

    def _execute_orders(self, dispatcher: Dispatcher) -> None:
        for order in list(dispatcher.orders):
            if isinstance(order, WorkerOrder) and order.worker not in self.workers:
                dispatcher.orders.remove(order)
        super()._execute_orders(dispatcher)

    def _exchange_loads(self) -> None:
        super()._exchange_loads()
        if not self.mix.staggered:
            return
        for number, (name, dispatcher) in enumerate(self.cells.items()):
            if self._is_turn(2 * number):
                self._rows[name] = dispatcher.load(self.now)
            if self._is_turn(2 * number + 1):
                self._read[name] = dict(self._rows)

    def _is_turn(self, phase: int) -> bool:
        """Return whether a loop that runs at the interval of renewals runs in this step."""
        steps = round(LOAD_INTERVAL_S / STEP_S)
        return (round((self.now - self.started_at) / STEP_S) - phase) % steps == 0

    def _list_loads(self, name: str) -> list[CellLoads]:
        read = self._read.get(name, self.loads)
        return [
            each._replace(loads=read.get(each.cell, each.loads))
            for each in super()._list_loads(name)
        ]

    def _look(self) -> None:
        """Count the looks in a row that find a task waiting beside room for two."""
        due = [task for task, since in self._idle_since.items() if self._is_due(since)]
        self._looks = Counter(
            {task: self._looks[task] + 1 for task in due if task in self._beside_since}
        )
        for task, count in self._looks.items():
            if (count - 1) * LOOK_S >= LIMIT_S:
                self.lost_by_looks[task] = count

    def _is_due(self, since: float) -> bool:
        """Return whether the platform expects a run of a task that has had none for some time."""
        return self.now - since >= RESTART_S

    def _judge(self) -> None:
        running = {task for worker in self.workers.values() for task in worker.runs}
        rooms = [worker.compute_free() for worker in self.workers.values()]
        answers: dict[Step, int] = {}
        for sim_job in self.jobs.values():
            if not sim_job.profile.lasting:
                continue
            for index in range(sim_job.job.steps[0].width):
                task, step = TaskId(sim_job.job.id, 0, 0, index), sim_job.job.steps[0]
                if task in running:
                    self._idle_since.pop(task, None)
                    self._beside_since.pop(task, None)
                    continue
                since = self._idle_since.setdefault(task, self.now)
                if step not in answers:
                    answers[step] = sum(
                        min(int(free.cores / step.size.cores), int(free.memory / step.size.memory))
                        for free in rooms
                        if step.size.fits(free)
                    )
                if answers[step] < 2:
                    self._beside_since.pop(task, None)
                    continue
                beside_since = self._beside_since.setdefault(task, self.now)
                self.beside_s += STEP_S * (self.now - beside_since > LIMIT_S / 2)
                wait_s = self.now - max(beside_since, since + RESTART_S)
                if wait_s >= LIMIT_S:
                    self.lost[task] = wait_s


def play(seed: int, mix: Mix | None = None) -> RoomPlay:
    """Play a seed, with its own mix if none is given."""
    found = RoomPlay(seed, mix or draw_mix(seed))
    found.run()
    return found


def main() -> None:
    """Play the given seeds of a kind of mix and print what each lost."""
    first, count, kind = int(sys.argv[1]), int(sys.argv[2]), [*sys.argv[3:], "mixed"][0]
    for seed in range(first, first + count):
        found = play(seed, DRAWS[kind](seed))
        lost = {str(task): round(waited_s, 1) for task, waited_s in found.lost.items()}
        line = f"beside_s={found.beside_s:.1f} by_looks={len(found.lost_by_looks)} lost={lost}"
        print(seed, found.mix, line, flush=True)


if __name__ == "__main__":
    main()
