"""Lasting tasks start in time beside room, whatever happens to workers and holders meanwhile."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from curranthall.cells.owner import LEASE_SLACK_S, ORDER_LIMIT_S, RENEW_S
from curranthall.dag import Job, Step
from curranthall.intake import Verdict
from curranthall.model import Size
from tests.cluster import SERVICE, Cluster, now
from tests.virtual import run

STEP_S = 0.05
# The platform's bounds: from this long after its last run, a lasting task is not without a run for
# LIMIT_S on end beside room for two like it.
LAPSE_S = 6.0
LIMIT_S = 3.0
# What a new holder needs to load, claim and start the tasks, once nothing may run them.
START_S = 1.0


class VanishedCells(unittest.TestCase):
    """All workers of a cell are gone for good; its tasks have room in the other cells."""

    def play(self, lose: Callable[[Cluster], Awaitable[None]], listed_s: float = 0.0) -> float:
        """Let a cell lose all its workers; return for how long its lasting tasks don't run."""

        async def main() -> float:
            cluster = Cluster(entries=2, workers=2)
            cluster.listed_after_crash_s = listed_s
            cluster.evacuated = frozenset("bc")
            cluster.start()
            await asyncio.sleep(3)
            lasting = Step(3, Size(2, 1_000), 1_000, lasting=True)
            job = Job(f"{1:016x}", "q", SERVICE, "spec", (lasting,), int(now() * 1000))
            self.assertIs(await cluster.submit("a-e0", job), Verdict.ACCEPTED)
            await asyncio.sleep(2)
            cluster.evacuated = frozenset()
            await asyncio.sleep(1)
            for name in ("a-w0", "a-w1"):
                cluster.crash_worker(name)
            ended_at = now()
            await lose(cluster)
            while sum(len(each.running) for each in cluster.runners.values()) < lasting.width:
                if now() - ended_at > 30:
                    break
                await asyncio.sleep(STEP_S)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])
            return now() - ended_at

        waited_s: float = run(main())
        return waited_s

    async def shut_down(self, cluster: Cluster) -> None:
        """Shut down the cell's holder."""
        holder = cluster.holder("a")
        assert holder is not None
        await cluster.entries[holder].succession.leave()
        cluster.kill(holder)

    async def kill(self, cluster: Cluster) -> None:
        """Kill the cell's holder."""
        holder = cluster.holder("a")
        assert holder is not None
        cluster.kill(holder)

    async def wait(self, cluster: Cluster) -> None:
        """Leave the cell's holder alone."""

    def test_a_cell_without_workers_whose_holder_shuts_down_is_taken(self) -> None:
        self.assertLess(self.play(self.shut_down), LAPSE_S + LIMIT_S)

    def test_a_cell_without_workers_whose_holder_is_killed_is_taken(self) -> None:
        self.assertLess(self.play(self.kill), ORDER_LIMIT_S + LEASE_SLACK_S + RENEW_S + START_S)

    def test_a_cell_whose_workers_are_lost_together_is_taken_once_they_are_not_listed(self) -> None:
        self.assertLess(self.play(self.wait, listed_s=4.0), LAPSE_S + LIMIT_S)


if __name__ == "__main__":
    unittest.main()
