"""The cell that an entry chooses for a new job while a holder may be gone, in virtual time."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any
from unittest.mock import patch

from curranthall.cells.owner import OVERDUE_S, RENEW_S
from curranthall.dag import Job, Step
from curranthall.events import Event
from curranthall.intake import Verdict
from curranthall.model import Size
from curranthall.store import Listing
from tests.cluster import SERVICE, Cluster, now
from tests.virtual import run

SEEDS = range(8)
# The cell whose holder is lost.
CELL = "a"
# Jobs are submitted for this long after that, at this interval, at the live entries in turn.
SUBMIT_S = 2.4
INTERVAL_S = 0.1
# A job that is not sent into that cell starts within this time of its acceptance.
START_S = 1.0

Fault = Callable[[Cluster, str], Awaitable[None]]


def make_job(number: int, width: int = 1) -> Job:
    """Build a job of short tasks."""
    step = Step(width, Size(1, 1_000), 300)
    return Job(f"{number:016x}", "q", SERVICE, "spec", (step,), int(now() * 1000))


def find_holder(cluster: Cluster, cell: str = CELL) -> str:
    """Return the holder of a cell that has one."""
    holder = cluster.holder(cell)
    assert holder is not None
    return holder


async def kill(cluster: Cluster, holder: str) -> None:
    """Kill a holder for good."""
    cluster.kill(holder)


class LostHolders(unittest.TestCase):
    """No entry reaches the workers of a lost holder's cell, so that nobody takes it."""

    def count_late(self, fault: Fault, from_s: float = 0.0) -> tuple[int, int]:
        """Return how many jobs accepted `from_s` after a fault or later wait, and of how many."""
        late = count = 0
        for seed in SEEDS:
            waits = run(self._measure_waits(fault, seed, from_s))
            late += sum(wait > START_S for wait in waits)
            count += len(waits)
        return late, count

    async def _measure_waits(self, fault: Fault, seed: int, from_s: float) -> list[float]:
        cluster, accepted_at = Cluster(seed), dict[str, float]()
        cluster.start()
        await asyncio.sleep(3 + cluster.rng.random())
        workers = [name for name in cluster.runners if name[0] == CELL]
        cluster.cuts = {frozenset((each, w)) for each in cluster.entries for w in workers}
        began, number = now(), 0
        await fault(cluster, find_holder(cluster))
        while now() < began + SUBMIT_S:
            number += 1
            live = [each for each in cluster.entries.values() if not each.dead]
            names = [each.name for each in live if each.name not in cluster.frozen]
            job = make_job(number)
            verdict = await cluster.submit(names[number % len(names)], job)
            if verdict is Verdict.ACCEPTED and now() >= began + from_s:
                accepted_at[job.id] = now()
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(START_S + 0.5)
        cluster.close()
        self.assertEqual(cluster.judge.broken, [])
        starts = {task.job: at for task, (_, at) in cluster.judge.sent.items()}
        return [starts.get(job, float("inf")) - at for job, at in accepted_at.items()]

    def check(self, fault: Fault, from_s: float = 0.0) -> None:
        """Expect that no job waits for the lost holder's successor."""
        late, count = self.count_late(fault, from_s)
        self.assertGreater(count, 0)
        self.assertEqual(late, 0, f"of {count}")

    def test_no_job_waits_in_the_cell_of_a_killed_holder(self) -> None:
        """Until its row was 2.4 s old it counted as live."""
        self.check(kill)

    def test_no_job_waits_in_the_cell_of_a_killed_holder_that_is_back_at_once(self) -> None:
        """It has links again, but holds no cell; nor does it send its own jobs there."""

        async def restart(cluster: Cluster, holder: str) -> None:
            cluster.kill(holder)
            cluster.restart(holder)
            # It takes no requests before it has read the rows.
            await asyncio.sleep(0.05)

        self.check(restart)

    def test_no_job_waits_in_the_cell_of_a_frozen_holder_once_its_row_is_overdue(self) -> None:
        """Its links stay open."""

        async def freeze(cluster: Cluster, holder: str) -> None:
            cluster.freeze(holder)

        self.check(freeze, OVERDUE_S)


class Moves(unittest.TestCase):
    def test_no_task_is_moved_to_the_cell_of_a_killed_holder(self) -> None:
        """Jobs that were sent to a full cell, as a holder may be gone, were moved there by it."""

        async def main() -> list[float]:
            cluster = Cluster(1)
            cluster.evacuated = frozenset("b")
            cluster.start()
            await asyncio.sleep(4)
            fillers = [make_job(number, width=24) for number in (1, 2)]
            for job in fillers:
                cluster.work[job.id] = 5.0
                await cluster.submit("a-e0", job)
            await asyncio.sleep(0.5)
            cluster.evacuated = frozenset()
            await asyncio.sleep(2.0)
            workers = [name for name in cluster.runners if name[0] == "b"]
            cluster.cuts = {frozenset((each, w)) for each in cluster.entries for w in workers}
            cluster.kill(find_holder(cluster, "b"))
            killed_at = now()
            jobs = [make_job(number, width=4) for number in range(3, 7)]
            for job in jobs:
                await cluster.submit("a-e0", job)
            await asyncio.sleep(6)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])
            starts = {task.job: at for task, (_, at) in cluster.judge.sent.items()}
            return [starts.get(job.id, float("inf")) - killed_at for job in jobs]

        self.assertLess(max(run(main())), 4.0)


class Preference(unittest.TestCase):
    """Doubts about a holder decide nothing but the order of the cells."""

    def play(self, scene: Callable[[Cluster], Coroutine[Any, Any, None]], **sizes: Any) -> None:
        """Run a scene in a cluster that has held its cells for a while."""

        async def main() -> None:
            cluster = Cluster(1, **sizes)
            # More workers of one cell make it the best one.
            for number in range(6):
                cluster.add_worker(f"b-x{number}", "b")
            cluster.start()
            await asyncio.sleep(4)
            await scene(cluster)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])

        run(main())

    def choose(self, cluster: Cluster, entry: str = "c-e0") -> tuple[str, list[str]]:
        """Return the cell that an entry chooses, and the cells that it doubts."""
        with patch("curranthall.intake.intake.log") as log:
            cell = cluster.entries[entry].intake.choose_cell(make_job(1, width=8))
        self.assertIs(log.call_args.args[0], Event.CELL_CHOSEN)
        return cell, log.call_args.kwargs["doubted"]

    def test_no_holder_is_doubted_on_a_calm_day(self) -> None:
        """An overdue renewal between two reads of a healthy holder's row is none."""

        async def scene(cluster: Cluster) -> None:
            doubted: set[str] = set()
            for _ in range(400):
                await asyncio.sleep(0.071)
                for name in cluster.entries:
                    doubted.update(self.choose(cluster, name)[1])
            self.assertEqual(doubted, set())

        self.play(scene)

    def test_no_holder_is_doubted_because_the_store_is_slow_for_all(self) -> None:
        async def scene(cluster: Cluster) -> None:
            cluster.commit_delay_s = 0.8
            scan = cluster.store.scan

            async def slow(table: str, part: str, start: str = "", end: str = "") -> Listing:
                await asyncio.sleep(0.8)
                return await scan(table, part, start, end)

            cluster.store.scan = slow  # type: ignore[method-assign]
            await asyncio.sleep(6)
            doubted: set[str] = set()
            for _ in range(200):
                await asyncio.sleep(0.071)
                doubted.update(self.choose(cluster)[1])
            self.assertEqual(doubted, set())

        self.play(scene)

    def test_a_holder_that_renews_its_row_after_a_link_was_lost_is_preferred_again(self) -> None:
        async def scene(cluster: Cluster) -> None:
            self.assertEqual(self.choose(cluster), ("b", []))
            cluster.entries["c-e0"].lost[find_holder(cluster, "b")] = now()
            cell, doubted = self.choose(cluster)
            self.assertEqual((cell != "b", doubted), (True, ["b"]))
            await asyncio.sleep(2 * RENEW_S + 0.1)
            self.assertEqual(self.choose(cluster), ("b", []))

        self.play(scene)

    def test_a_new_process_doubts_a_holder_whose_row_was_overdue_when_it_was_first_read(
        self,
    ) -> None:
        """It would count as live for 2.4 s, though its cell is vacant."""

        async def scene(cluster: Cluster) -> None:
            cluster.cuts = {
                frozenset((entry, worker))
                for entry in cluster.entries
                for worker in cluster.runners
                if worker[0] == "b"
            }
            cluster.kill(find_holder(cluster, "b"))
            await asyncio.sleep(3)
            entry = next(name for name in ("c-e0", "c-e1") if name != find_holder(cluster, "c"))
            cluster.kill(entry)
            cluster.restart(entry)
            await asyncio.sleep(0.05)
            cell, doubted = self.choose(cluster, entry)
            self.assertEqual((cell != "b", doubted), (True, ["b"]))

        self.play(scene)

    def test_if_all_holders_are_doubted_the_best_cell_is_chosen_and_jobs_are_accepted(self) -> None:
        """An entry that loses all links, or reads rows late, must not send all jobs home."""

        async def scene(cluster: Cluster) -> None:
            for cell in cluster.domains:
                cluster.kill(find_holder(cluster, cell))
            self.assertEqual(self.choose(cluster, "c-e1"), ("b", ["a", "b", "c"]))
            for number in range(2, 6):
                job = make_job(number)
                self.assertIs(await cluster.submit("c-e1", job), Verdict.ACCEPTED)

        self.play(scene)

    def test_no_job_is_sent_to_a_cell_without_workers_for_it_because_of_a_doubt(self) -> None:
        async def scene(cluster: Cluster) -> None:
            for name in [name for name in cluster.runners if name[0] != "b"]:
                cluster.crash_worker(name)
            await asyncio.sleep(4)
            self.assertEqual(self.choose(cluster), ("b", []))
            cluster.kill(find_holder(cluster, "b"))
            self.assertEqual(self.choose(cluster), ("b", ["b"]))

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
