"""Random simulations of workers that start again under their ids and are cut off soon after.

`python -m tests.takeover [FIRST [COUNT]] reborn` simulates them.
"""

import asyncio
import random

from tests.takeover import Simulation

# How long a killed holder stays away: another entry takes the cell before.
KILLED_S = 4.0


class Reborn(Simulation):
    """A simulation in which calls that a former boot left without an answer reach the next one.

    Of half of the seeds the holder is killed before the cut.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        # The product draws the workers that it probes from the shared generator.
        random.seed(seed)
        self.kills = seed % 2 == 1
        # What is executed late: starts and stops, holds without their cursor, holds, or all.
        self.late = self.rng.choice(("orders", "leases", "holds", "all"))
        self.cluster.late_cursors = self.late != "leases"

    async def _fault(self) -> None:
        rng, cluster = self.rng, self.cluster
        cell = rng.choice(cluster.domains)
        names = sorted(name for name in cluster.runners if name[0] == cell)
        if not names:
            return
        names = rng.sample(names, rng.randint(1, len(names)))
        self._set_late(rng.choice((0.0, 0.2, 0.5)))
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        names = [name for name in names if name in cluster.runners]
        for name in names:
            cluster.crash_worker(name)
        await asyncio.sleep(rng.uniform(0.05, 1.0))
        for name in names:
            cluster.add_worker(name, cell)
        if rng.random() < 0.5:
            self._set_late(0.0)
        await asyncio.sleep(rng.uniform(0.1, 2.5))
        holder = cluster.holder(cell) if self.kills else None
        if holder is not None:
            cluster.kill(holder)
            asyncio.get_running_loop().call_later(KILLED_S, self._restart, holder)
        cuts = {frozenset((entry, name)) for entry in cluster.entries for name in names}
        await self._cut(cuts, rng.uniform(3.0, 9.0))
        self._set_late(0.0)

    def _restart(self, entry: str) -> None:
        if self.cluster.entries[entry].dead:
            self.cluster.restart(entry)

    def _set_late(self, share: float) -> None:
        cluster = self.cluster
        cluster.apply_late = share if self.late in ("orders", "all") else 0.0
        cluster.late_holds = share if self.late != "orders" else 0.0
        cluster.retried_calls = share if self.late == "all" else 0.0
