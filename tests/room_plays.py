"""Random plays in virtual time of several cells: how long lasting tasks wait beside room for two.

Judged by the true state of the workers, like the platform does, not by what the holders know.
"""

import random
import sys
from typing import NamedTuple

from curranthall.cells.balance import Balancer
from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.tracking import Bounds
from curranthall.dag import Step, TaskId
from tests.load import (
    BATCHES,
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


def build_profiles(mix: Mix) -> tuple[JobProfile, ...]:
    """Return the jobs of a play: short, filling and lasting ones that are never cancelled."""
    scale = mix.cells * mix.workers / 24
    short = PROOFS._replace(rate=mix.short_rate * scale, seconds=Lognormal(0.4, 0.5, 1.2))
    filling = BATCHES._replace(rate=mix.filling_rate * scale)
    lasting = WATCHES._replace(
        cores=Lognormal(8, 0.4, 20),
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
        super().__init__(seed, Plan(seconds=SECONDS, drain_s=0, workers=mix.workers), profiles)
        queues = {profile.queue.name: profile.queue for profile in profiles}
        for epoch, cell in enumerate("defgh"[: mix.cells - len(self.cells)], 4):
            self.cells[cell] = Dispatcher(
                cell, epoch, Bounds(), lambda job: queues[job.queue], lambda: self.now * 1000
            )
            self.balancers[cell] = Balancer()
            for number in range(mix.workers):
                self._add_worker(cell, number)
        self._losses = list(mix.losses)
        # By lasting task, when its last run ended or its job came, and since when it waits beside
        # room for two.
        self._idle_since: dict[TaskId, float] = {}
        self._beside_since: dict[TaskId, float] = {}
        # The longest wait beside room by task, counted from RESTART_S after its last run.
        self.lost: dict[TaskId, float] = {}
        # Seconds that tasks spent waiting beside room, after half of LIMIT_S of it.
        self.beside_s = 0.0

    def step(self) -> None:
        """Advance the play by one time step."""
        if self._losses and self.now - self.started_at >= self._losses[0]:
            self._losses.pop(0)
            self._lose_workers()
        super().step()
        self._judge()

    def _lose_workers(self) -> None:
        names = sorted(self.workers)
        for name in self.rng.sample(names, max(1, round(self.mix.share * len(names)))):
            self.cells[self.workers.pop(name).cell].on_gone(name, self.now)

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
    """Play the given seeds and print what each lost."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, first + count):
        found = play(seed)
        lost = {str(task): round(waited_s, 1) for task, waited_s in found.lost.items()}
        print(seed, found.mix, f"beside_s={found.beside_s:.1f} lost={lost}", flush=True)


if __name__ == "__main__":
    main()
