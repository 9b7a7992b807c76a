"""Proofs that runs of a former holder are over, while only it reaches their worker."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from curranthall.cells.fleet import Run, RunState
from curranthall.cells.owner import VACANT_S
from curranthall.cells.ports import Snapshot
from curranthall.errors import Fenced
from curranthall.model import HostState
from curranthall.standin.store import MemoryStore
from tests.cell_fixtures import host, task
from tests.cluster import now
from tests.test_runtime import make_runtime
from tests.test_takeover import CELL, POLL_S, SplitCell, make_job, make_step
from tests.virtual import run

TASKS = 14
# All cores but those kept for short tasks.
FULL = 28
# Longer than any lease or start of a former holder.
LONG_S = 25.0

Scene = Callable[[SplitCell, str], Coroutine[Any, Any, None]]


def play(scene: Scene, tasks: int = TASKS) -> tuple[int, list[str]]:
    """Run a lasting job beside a scene that gets a busy worker; return starts, broken rules."""

    async def main() -> tuple[int, list[str]]:
        split = SplitCell(1)
        cluster = split.cluster
        for runner in cluster.runners.values():
            runner.clock_rate = 0.98
        await split.start()
        split.close_cells("b", "c")
        await split.submit("b-e1", make_job(1, make_step(tasks, lasting=True)))
        await asyncio.sleep(2)
        busy = min(name for name, each in cluster.runners.items() if each.running)
        await scene(split, busy)
        await asyncio.sleep(LONG_S)
        cluster.close()
        return cluster.judge.starts, cluster.judge.broken

    found: tuple[int, list[str]] = run(main())
    return found


def keep_for_former(split: SplitCell, worker: str) -> None:
    """Cut a worker off from all entries but the holder."""
    for name in split.others():
        split.cut(name, worker)


async def wait_for_row(split: SplitCell) -> None:
    """Wait until the holder has just renewed its row."""
    version = split.held(split.former)[CELL]._version
    while split.held(split.former)[CELL]._version == version:
        await asyncio.sleep(0.001)


async def wait_for_taker(split: SplitCell) -> str:
    """Return the entry that takes the cell besides the former holder, as soon as it did."""
    while not split.successor:
        await asyncio.sleep(0.001)
    return split.successor


class FormerHolder(unittest.TestCase):
    def check(self, scene: Scene) -> None:
        """Check that tasks of the worker start elsewhere, and none while it may run."""
        starts, broken = play(scene)
        self.assertEqual(broken, [])
        self.assertGreater(starts, TASKS)

    def test_leases_that_a_holder_granted_just_before_it_ended_are_waited_for(self) -> None:
        async def scene(split: SplitCell, worker: str) -> None:
            cluster = split.cluster
            keep_for_former(split, worker)
            await wait_for_row(split)
            cluster.freeze(split.former)
            taker = await wait_for_taker(split)
            # Its other workers would tell it that they obey a successor.
            split.partition((worker,))
            split.cut(split.former, "store")
            cluster.thaw(split.former)
            left_s = cluster.runners[worker].lease_left_s()
            await asyncio.sleep(1.2)
            cluster.cuts.discard(frozenset((split.former, "store")))
            while CELL in split.held(split.former):
                await asyncio.sleep(0.001)
            self.assertGreater(cluster.runners[worker].lease_left_s(), left_s + 2.0)
            await asyncio.sleep(0.5)
            successor = split.held(taker)[CELL]
            self.assertFalse(successor.dispatcher.is_fully_fenced)

        self.check(scene)

    def test_a_former_holder_that_gives_no_answer_is_waited_for(self) -> None:
        async def scene(split: SplitCell, worker: str) -> None:
            split.partition()
            await wait_for_row(split)
            split.cut(split.former, "store", *split.others())

        self.check(scene)

    def test_the_end_of_a_holder_that_did_not_reach_a_worker_tells_nothing_of_earlier_ones(
        self,
    ) -> None:
        async def scene(split: SplitCell, worker: str) -> None:
            cluster = split.cluster
            # No worker tells it that a successor is obeyed.
            split.partition()
            await wait_for_row(split)
            split.cut(split.former, "store")
            second = await wait_for_taker(split)
            cluster.kill(second)
            # It doesn't take the cell again itself.
            split.cut(second, "store")
            cluster.restart(second)
            self.assertNotEqual(await wait_for_taker(split), second)

        self.check(scene)


class DepartingWorkers(unittest.TestCase):
    def test_a_departing_worker_that_stays_has_no_run_when_its_tasks_start_elsewhere(self) -> None:
        async def scene(split: SplitCell, worker: str) -> None:
            cluster = split.cluster
            cluster.announce(worker, 60.0)
            await asyncio.sleep(2.5)
            keep_for_former(split, worker)
            await wait_for_row(split)
            split.cut(split.former, "store", "a-w9")
            cluster.add_worker("a-w9", CELL)
            runners, began = cluster.runners, now()
            await wait_for_taker(split)
            while not runners["a-w9"].running and now() - began < LONG_S:
                await asyncio.sleep(POLL_S)
            self.assertLess(now() - began, 9.0)

        starts, broken = play(scene, FULL)
        self.assertEqual(broken, [])
        self.assertGreater(starts, FULL)

    def test_no_lease_end_is_stored_while_a_start_on_it_has_no_answer(self) -> None:
        async def main() -> None:
            leaving = host("w1", state=HostState.LEAVING)
            runtime = make_runtime(MemoryStore(now), [], now, now_ms=1)
            runtime.dispatcher.update_host(leaving)
            member = runtime.dispatcher.members["w1"]
            runtime.dispatcher.on_snapshot(
                member, Snapshot(0, 1, [], []), now(), now(), member.token
            )
            started = Run(task(), 1, "w1", make_step(1), RunState.RUNNING, now())
            started.absence_valid_after = now()
            member.add(started)
            self.assertEqual(set(runtime._departing_lease_ends(now())), {"w1"})
            member.add(Run(task(number=1), 2, "w1", make_step(1), RunState.STARTING, now()))
            self.assertEqual(runtime._departing_lease_ends(now()), {})

        run(main())


class VanishedCells(unittest.TestCase):
    def test_a_cell_that_is_cut_off_with_its_holder_is_left_to_it_though_no_worker_is_listed(
        self,
    ) -> None:
        async def scene(split: SplitCell, worker: str) -> None:
            cluster, workers = split.cluster, [f"a-w{at}" for at in range(4)]
            for each in workers:
                keep_for_former(split, each)
            cluster.unlisted.update(workers)
            split.cut(split.former, "store")
            await asyncio.sleep(3 * VACANT_S)
            self.assertEqual(split.successor, "")
            cluster.cuts.clear()
            cluster.unlisted.clear()

        starts, broken = play(scene)
        self.assertEqual(broken, [])
        self.assertEqual(starts, TASKS)

    def test_a_released_cell_is_not_taken_out_of_reach_while_no_worker_at_all_is_listed(
        self,
    ) -> None:
        """As right after an outage of the store in which all workers' rows expired."""

        async def scene(split: SplitCell, worker: str) -> None:
            cluster = split.cluster
            for each in range(4):
                keep_for_former(split, f"a-w{each}")
            cluster.unlisted.update(cluster.runners)
            await cluster.entries[split.former].succession.leave()
            await asyncio.sleep(VACANT_S)
            self.assertEqual(split.successor, "")
            cluster.cuts.clear()
            cluster.unlisted.clear()

        self.assertEqual(play(scene), (TASKS, []))


class LateHolds(unittest.TestCase):
    """A hold that a worker's former boot did not answer extends the lease of the next one late."""

    # The latest that a worker carries out a call after it was sent.
    LATE_S = 6.0

    def check(self, lose: Scene) -> None:
        """Let a worker restart, then lose its holder; check that no task runs twice."""

        async def scene(split: SplitCell, worker: str) -> None:
            cluster, epoch = split.cluster, split.held(split.former)[CELL].dispatcher.epoch
            keep_for_former(split, worker)
            sent_at, lease_ms = now(), cluster.runners[worker].clock_ms + 6_000
            cluster.crash_worker(worker)
            cluster.add_worker(worker, CELL)
            cluster.runners[worker].clock_rate = 0.98
            while not cluster.runners[worker].running:
                self.assertLess(now() - sent_at, 2.0)
                await asyncio.sleep(0.001)
            cluster.add_worker("a-w9", CELL)
            split.cut(split.former, "a-w9")
            await lose(split, worker)
            await asyncio.sleep(sent_at + self.LATE_S - now())
            with suppress(Fenced):
                await cluster.runners[worker].hold(epoch, 0, lease_ms, 0)
            split.cluster.cuts.discard(frozenset((split.former, "a-w9")))

        starts, broken = play(scene, FULL)
        self.assertEqual(broken, [])
        self.assertGreater(starts, FULL)

    def test_the_holder_stays_away(self) -> None:
        async def kill(split: SplitCell, worker: str) -> None:
            split.cluster.kill(split.former)

        self.check(kill)

    def test_the_holder_is_back_after_another_one_took_the_cell(self) -> None:
        async def kill(split: SplitCell, worker: str) -> None:
            split.cluster.kill(split.former)
            await wait_for_taker(split)
            split.cluster.restart(split.former)

        self.check(kill)

    def test_the_holder_is_back_and_takes_the_cell_again(self) -> None:
        async def kill(split: SplitCell, worker: str) -> None:
            split.cut(split.former, worker)
            split.cluster.cuts.discard(frozenset((split.former, "a-w9")))
            split.cluster.kill(split.former)
            split.cluster.restart(split.former)

        self.check(kill)

    def test_the_holder_releases_the_cell(self) -> None:
        async def release(split: SplitCell, worker: str) -> None:
            await split.cluster.entries[split.former].succession.leave()
            split.cluster.kill(split.former)

        self.check(release)

    def test_the_worker_is_cut_off_from_the_holder(self) -> None:
        async def cut(split: SplitCell, worker: str) -> None:
            split.cut(split.former, worker)
            split.cluster.cuts.discard(frozenset((split.former, "a-w9")))

        self.check(cut)


if __name__ == "__main__":
    unittest.main()
