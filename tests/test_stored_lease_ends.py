"""Stored lease ends: readable on any store clock, and no limit on healthy runs."""

import asyncio
import unittest
from unittest.mock import patch

from curranthall.cells.fleet import LAPSE_SLACK_S, Member
from curranthall.cells.ports import Snapshot
from curranthall.cells.records import read_details
from curranthall.errors import PlatformDown
from tests.cell_fixtures import host
from tests.cluster import now
from tests.test_runtime import CELL as RUNTIME_CELL
from tests.test_runtime import IdleWorker, LossyStore, make_runtime
from tests.test_takeover import CELL, POLL_S, SplitCell, make_job, make_step
from tests.virtual import run

TASKS = 14
# Holders go on for 12 s without the store.
OUTAGE_S = 9.0


async def start(seed: int = 1, tasks: int = TASKS) -> SplitCell:
    """Start a cell of four workers with a lasting job."""
    split = SplitCell(seed)
    for runner in split.cluster.runners.values():
        runner.clock_rate = 0.98
    await split.start()
    split.close_cells("b", "c")
    await split.submit("b-e1", make_job(1, make_step(tasks, lasting=True)))
    await asyncio.sleep(2)
    return split


def count_runs(split: SplitCell) -> int:
    """Return the number of runs on all workers."""
    return sum(len(each.running) for each in split.cluster.runners.values())


def busy_worker(split: SplitCell) -> str:
    """Return a worker of the cell that has runs."""
    runners = split.cluster.runners.items()
    return min(name for name, runner in runners if name[0] == CELL and runner.running)


class StoredLeaseEnds(unittest.TestCase):
    def test_details_are_readable_when_the_stores_clock_is_behind_the_entries(self) -> None:
        async def main() -> None:
            split = await start()
            # As with a store that was started after the entries' machines.
            split.cluster.store._clock = lambda: now() - 99.0
            await asyncio.sleep(2)
            for name in split.cluster.entries:
                split.cut(name, "a-w9")
            split.cluster.add_worker("a-w9", CELL)
            await asyncio.sleep(2)
            details = await read_details(split.cluster.store, CELL)
            self.assertIn("a-w9", [host.name for host in details.roster] or ["a-w9"])
            split.cluster.close()
            self.assertTrue(details.readable)

        run(main())


class HealthyRuns(unittest.TestCase):
    """Runs on workers that answer do not lapse while the store is away for OUTAGE_S."""

    async def outage(self, split: SplitCell, seconds: float = OUTAGE_S) -> int:
        """Let the store be away; return the least number of runs meanwhile."""
        least, until = TASKS, now() + seconds
        split.cluster.store_down = True
        while now() < until:
            await asyncio.sleep(POLL_S)
            least = min(least, count_runs(split))
        split.cluster.store_down = False
        return least

    def test_an_outage_of_the_store_alone(self) -> None:
        async def main() -> int:
            split = await start()
            least = await self.outage(split)
            split.cluster.close()
            return least

        self.assertEqual(run(main()), TASKS)

    def test_an_outage_of_the_store_right_after_a_take(self) -> None:
        async def main() -> int:
            split = await start()
            split.cluster.kill(split.former)
            while split.cluster.holder(CELL) is None:
                await asyncio.sleep(0.001)
            least = await self.outage(split)
            split.cluster.close()
            return least

        self.assertEqual(run(main()), TASKS)

    def test_an_outage_of_the_store_right_after_a_take_by_a_restarted_holder(self) -> None:
        async def main() -> int:
            split = await start()
            split.cluster.kill(split.former)
            split.cluster.restart(split.former)
            while split.cluster.holder(CELL) is None:
                await asyncio.sleep(0.001)
            least = await self.outage(split)
            split.cluster.close()
            return least

        self.assertEqual(run(main()), TASKS)

    def test_an_outage_of_the_store_right_after_a_take_of_a_released_cell(self) -> None:
        async def main() -> int:
            split = await start()
            await split.cluster.entries[split.former].succession.leave()
            while split.cluster.holder(CELL) is None:
                await asyncio.sleep(0.001)
            least = await self.outage(split)
            split.cluster.close()
            return least

        self.assertEqual(run(main()), TASKS)

    def test_an_outage_of_the_store_right_after_a_worker_was_briefly_silent(self) -> None:
        async def main() -> int:
            split = await start()
            missed = {(split.former, busy_worker(split))}
            split.cluster.missed_holds |= missed
            member = split.held(split.former)[CELL].dispatcher.members[busy_worker(split)]
            while member.silent_since is None:
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(0.1)
            split.cluster.missed_holds -= missed
            least = await self.outage(split)
            split.cluster.close()
            return least

        self.assertEqual(run(main()), TASKS)

    def silent_before_outage(self, silent_s: float, seconds: float) -> int:
        """Let a worker be silent until the store goes away; return the least number of runs."""

        async def main() -> int:
            split = await start()
            missed = {(split.former, busy_worker(split))}
            split.cluster.missed_holds |= missed
            member = split.held(split.former)[CELL].dispatcher.members[busy_worker(split)]
            while member.silent_since is None:
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(silent_s)
            split.cluster.missed_holds -= missed
            least = await self.outage(split, seconds)
            split.cluster.close()
            return least

        least: int = run(main())
        return least

    def test_an_outage_of_the_store_before_a_renewal_found_a_worker_silent(self) -> None:
        for silent_s in (0.5, 0.9):
            with self.subTest(silent_s=silent_s):
                self.assertEqual(self.silent_before_outage(silent_s, OUTAGE_S), TASKS)

    def test_an_outage_of_the_store_right_after_a_worker_was_silent_for_long(self) -> None:
        for silent_s in (2.0, 2.5):
            with self.subTest(silent_s=silent_s):
                self.assertEqual(self.silent_before_outage(silent_s, 3.0), TASKS)

    def test_a_worker_that_is_briefly_silent_during_an_outage_of_the_store(self) -> None:
        async def main() -> int:
            split = await start()
            missed = {(split.former, busy_worker(split))}

            async def miss() -> None:
                await asyncio.sleep(1.0)
                split.cluster.missed_holds |= missed
                member = split.held(split.former)[CELL].dispatcher.members[busy_worker(split)]
                while member.silent_since is None:
                    await asyncio.sleep(POLL_S)
                await asyncio.sleep(1.5)
                split.cluster.missed_holds -= missed

            fault = asyncio.ensure_future(miss())
            least = await self.outage(split)
            await fault
            split.cluster.close()
            return least

        self.assertEqual(run(main()), TASKS)


class Limits(unittest.TestCase):
    def test_a_renewal_without_an_answer_binds_its_writer(self) -> None:
        async def main() -> None:
            store = LossyStore(now)
            runtime = make_runtime(store, [], now, lambda host: IdleWorker(now))
            await runtime._renew()
            runtime.on_hosts({name: host(name) for name in ("w1", "w2", "w3")})
            await asyncio.sleep(0.5)
            await runtime._renew()
            member = runtime.dispatcher.members["w1"]
            self.assertTrue(member.is_usable(now()))
            runtime._holds["w1"].cancel()
            runtime.dispatcher.on_silence("w1", now())
            await asyncio.sleep(1.5)
            store.lose = 1
            self.assertFalse(await runtime._renew())
            end = (await read_details(store, RUNTIME_CELL)).lease_ends["w1"] / 1000
            await runtime._hold(member)
            self.assertIsNone(member.silent_since)
            self.assertFalse(member.is_usable(now()))
            await runtime._hold(member)
            self.assertLess(member.lapses_at(), end)
            await runtime._renew()
            self.assertTrue(member.is_usable(now()))
            runtime.end("test")

        run(main())

    def test_a_refused_renewal_suspends_no_starts(self) -> None:
        async def main() -> None:
            store = LossyStore(now)
            runtime = make_runtime(store, [], now, lambda host: IdleWorker(now))
            await runtime._renew()
            runtime.on_hosts({name: host(name) for name in ("w1", "w2", "w3")})
            await asyncio.sleep(0.5)
            await runtime._renew()
            member = runtime.dispatcher.members["w1"]
            runtime.dispatcher.on_silence("w1", now())
            member.silent_since = now() - 2.0
            with patch.object(store, "commit", side_effect=PlatformDown(why="refused")):
                self.assertFalse(await runtime._renew())
            await asyncio.sleep(2.5)
            self.assertTrue(member.is_usable(now()))
            runtime.end("test")

        run(main())

    def test_a_limited_lease_is_over_by_its_limit_on_a_slow_clock(self) -> None:
        for left_ms in range(300, 6_000, 7):
            member = Member(host("w1"))
            member.note_answer(Snapshot(0, 1, [], []), 1, 100.0, 0.0)
            limit = 100.0 + left_ms / 1000
            lease_ms = member.grant(100.0, 6.0, limit)
            assert lease_ms is not None
            self.assertLessEqual(member.clock_reached_by(lease_ms) + LAPSE_SLACK_S, limit)


class DepartingWorkers(unittest.TestCase):
    """Runs on a worker that has announced its shutdown and finds them no room elsewhere."""

    # All cores but those kept for short tasks.
    FULL = 28
    # The platform's bound: a lasting task runs again 6 s after its last run, and at most 3 s later.
    LOST_AFTER_S = 9.0

    def play(self, outage_s: float, kills_holder: bool) -> tuple[float, int, list[str]]:
        """Play a departure; return the wait of its tasks, the least runs before, broken rules."""

        async def main() -> tuple[float, int, list[str]]:
            split = await start(tasks=self.FULL)
            cluster, leaving = split.cluster, busy_worker(split)
            cluster.announce(leaving, 4.0)
            await asyncio.sleep(2.5)
            least = self.FULL
            cluster.store_down = outage_s > 0
            for _ in range(round(outage_s / POLL_S)):
                await asyncio.sleep(POLL_S)
                least = min(least, count_runs(split))
            cluster.store_down = False
            if kills_holder:
                cluster.kill(split.former)
            await asyncio.sleep(0.5)
            cluster.crash_worker(leaving)
            began = now()
            cluster.add_worker("a-w9", CELL)
            while count_runs(split) < self.FULL and now() - began < 60.0:
                await asyncio.sleep(POLL_S)
            waited_s = now() - began
            await asyncio.sleep(15)
            cluster.close()
            return waited_s, least, cluster.judge.broken

        found: tuple[float, int, list[str]] = run(main())
        return found

    def test_tasks_of_a_worker_that_exits_after_its_holder_was_killed_start_in_time(self) -> None:
        waited_s, _, broken = self.play(0.0, kills_holder=True)
        self.assertEqual(broken, [])
        self.assertLess(waited_s, self.LOST_AFTER_S)

    def test_an_outage_of_the_store_lets_no_lease_of_a_departing_worker_lapse_at_once(self) -> None:
        _, least, broken = self.play(4.0, kills_holder=False)
        self.assertEqual(broken, [])
        self.assertEqual(least, self.FULL)


if __name__ == "__main__":
    unittest.main()
