"""Which entry takes a vacant cell, where few entries are strong enough to hold a busy one."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from curranthall.cells.owner import RENEW_S
from curranthall.model import Host
from tests.cluster import Cluster
from tests.virtual import run

WORKERS = 3
ENTRIES = 8
SEEDS = range(6)
STRONG_CORES = 2.0
# Too few for a cell of `WORKERS` workers.
WEAK_CORES = 0.01


class MixedCluster(Cluster):
    """One strong and many weak entries in each domain."""

    def __init__(self, seed: int) -> None:
        self.crashed_hosts: dict[str, Host] = {}
        super().__init__(seed, ENTRIES, WORKERS)
        for name, entry in self.entries.items():
            cores = STRONG_CORES if name.endswith("e0") else WEAK_CORES
            entry.succession.me = entry.succession.me._replace(cores=cores)

    async def settle(self) -> None:
        """Start the entries at different times, the strong ones first."""
        for name in sorted(self.entries, key=lambda name: name[1:]):
            self.entries[name].start()
            await asyncio.sleep(self.rng.uniform(0, 2 * RENEW_S / len(self.entries)))
        await asyncio.sleep(4)

    def hosts(self) -> dict[str, Host]:
        """Return the workers by name, crashed ones too: their listings last for a while."""
        return {**self.crashed_hosts, **super().hosts()}

    async def restart_workers(self, domain: str, away_s: float) -> None:
        """Crash all workers of a domain; they are back after `away_s`."""
        self.crashed_hosts = {n: host for n, host in super().hosts().items() if n[0] == domain}
        for name in self.crashed_hosts:
            self.crash_worker(name)
        await asyncio.sleep(away_s)
        for name in self.crashed_hosts:
            self.add_worker(name, domain)


class Holders(unittest.TestCase):
    def find_holders(self, disturb: Callable[[MixedCluster], Awaitable[None]]) -> list[str | None]:
        """Return by seed who holds cell a some seconds after a disturbance."""

        async def main(seed: int) -> str | None:
            cluster = MixedCluster(seed)
            await cluster.settle()
            self.assertEqual(cluster.holder("a"), "a-e0")
            await disturb(cluster)
            await asyncio.sleep(8)
            holder = cluster.holder("a")
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])
            return holder

        return [run(main(seed)) for seed in SEEDS]

    def assert_strong(self, holders: list[str | None]) -> None:
        """Expect that strong entries hold the cell."""
        self.assertEqual([name for name in holders if not (name or "").endswith("e0")], [])

    def test_a_cell_whose_workers_were_away_is_taken_by_a_strong_entry(self) -> None:
        async def disturb(cluster: MixedCluster) -> None:
            await cluster.restart_workers("a", 4)

        self.assert_strong(self.find_holders(disturb))

    def test_the_cell_of_a_killed_holder_is_taken_by_a_strong_entry(self) -> None:
        async def disturb(cluster: MixedCluster) -> None:
            cluster.kill("a-e0")

        self.assert_strong(self.find_holders(disturb))

    def test_a_weak_entry_takes_a_cell_that_no_strong_one_can_take(self) -> None:
        async def disturb(cluster: MixedCluster) -> None:
            for name in list(cluster.entries):
                if name.endswith("e0"):
                    cluster.kill(name)

        self.assertNotIn(None, self.find_holders(disturb))


if __name__ == "__main__":
    unittest.main()
