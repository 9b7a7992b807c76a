"""The stored end of a holder's orders: what it binds its writer to, and how others count on it."""

import asyncio
import unittest

from curranthall.cells.owner import (
    CELL_PART,
    CELL_TABLE,
    LEASE_SLACK_S,
    ORDER_LIMIT_S,
    VACANT_S,
    Claimant,
    Owner,
    OwnerWatch,
    decode_owner,
)
from curranthall.cells.runtime import CellRuntime
from curranthall.standin.store import MemoryStore
from curranthall.store import Listing, Row
from tests.cell_fixtures import host
from tests.cluster import now
from tests.test_runtime import ClocklessCommits, DelayedStore, IdleWorker, make_runtime
from tests.test_takeover import CELL as SPLIT_CELL
from tests.test_takeover import POLL_S, SplitCell, make_job, make_step
from tests.virtual import run

ME = Claimant("e1", "e1:1", 11, "north", 1.0)
OTHER = Owner("e2", "e2:1", 5, 7, {}, {})
# The local time minus the store's.
STORE_BEHIND_S = 60.0
FULL_WAIT_S = ORDER_LIMIT_S + LEASE_SLACK_S


async def end(runtime: CellRuntime) -> None:
    """End a holder once its tasks have begun."""
    await asyncio.sleep(0)
    runtime.end("test")


class Reading(unittest.TestCase):
    """An entry that reads a row whose writer's orders are over at 112.6 by the local clock."""

    UNTIL_MS = 52_600

    def setUp(self) -> None:
        self.watch = OwnerWatch(("north",), 6.0)

    def read(self, at: float, now_ms: int, until_ms: int = UNTIL_MS) -> None:
        """Observe the row at a local time."""
        owner = OTHER._replace(orders_until_ms=until_ms)
        row = Row(CELL_TABLE, "", "north", owner.encode(), 3)
        self.watch.observe(Listing([row], 9, now_ms), at, at - 0.5)

    def proof_at(self, at: float) -> float:
        """Return by when a successor assumes that all orders are over."""
        found = self.watch.vacancy(ME, (), at)
        assert found is not None
        return found.proof_at

    def test_a_row_that_is_first_read_late_does_not_prolong_the_wait(self) -> None:
        self.read(111.0, int((111.0 - STORE_BEHIND_S) * 1000))
        self.assertAlmostEqual(self.proof_at(111.0), 112.6, places=2)

    def test_orders_are_never_taken_to_be_over_too_early(self) -> None:
        for read_at in (110.5, 110.7, 111.0):
            self.setUp()
            self.read(111.0, int((read_at - STORE_BEHIND_S) * 1000))
            self.assertGreaterEqual(self.proof_at(111.0), 112.6)

    def test_the_full_wait_applies_where_the_times_are_not_comparable(self) -> None:
        in_step_ms = int((111.0 - STORE_BEHIND_S) * 1000)
        for name, now_ms, until_ms in (
            ("an answer without the store's clock", 0, self.UNTIL_MS),
            ("a writer without the store's clock", in_step_ms, 0),
            ("a store whose clock began anew", 700, self.UNTIL_MS),
        ):
            with self.subTest(name):
                self.setUp()
                self.read(111.0, now_ms, until_ms)
                self.assertGreaterEqual(self.proof_at(111.0), 111.0 + FULL_WAIT_S)

    def test_a_clock_that_jumps_after_the_row_was_read_does_not_shorten_the_wait(self) -> None:
        self.read(101.0, int((101.0 - STORE_BEHIND_S) * 1000))
        for at in (101.8, 102.6, 103.4):
            self.read(at, int((at + 500.0) * 1000))
        self.assertGreaterEqual(self.proof_at(103.4), 112.6)

    def test_a_row_that_was_read_at_once_does_not_prolong_the_wait_either(self) -> None:
        self.read(100.1, int((100.1 - STORE_BEHIND_S) * 1000))
        self.assertLessEqual(self.proof_at(100.1), 100.1 + FULL_WAIT_S)


class Binding(unittest.TestCase):
    """A holder sends no order that lasts beyond the time in its stored row."""

    async def stored(self, store: MemoryStore) -> Owner:
        """Return the stored owner row."""
        (row,) = (await store.scan(CELL_TABLE, CELL_PART)).rows
        return decode_owner(row.value or b"")

    def orders_over_at(self, runtime: CellRuntime) -> float:
        """Return the local time by which what the holder sends now or later has no effect."""
        return now() + runtime._order_time_s() + LEASE_SLACK_S

    def test_each_row_covers_all_orders_until_the_next_one(self) -> None:
        async def main() -> None:
            store = DelayedStore(0.0, lambda: now() + 1_000)
            runtime = make_runtime(store, [], now, lambda host: IdleWorker(now))
            await runtime._renew()
            for latency_s in (0.0, 0.4, 0.1, 0.9, 0.0):
                store.latency_s = latency_s
                await runtime._renew()
                until_ms = (await self.stored(store)).orders_until_ms
                self.assertGreater(until_ms, 0)
                self.assertLessEqual(self.orders_over_at(runtime) + 1_000, until_ms / 1000)
                self.assertGreater(runtime._order_time_s(), ORDER_LIMIT_S - 2.0)
                await asyncio.sleep(0.8)
            await end(runtime)

        run(main())

    def test_a_store_whose_clock_went_ahead_before_the_commit_shortens_the_orders(self) -> None:
        async def main() -> None:
            ahead_s = 0.0
            store = DelayedStore(0.0, lambda: now() + ahead_s)
            runtime = make_runtime(store, [], now, lambda host: IdleWorker(now))
            await runtime._renew()
            ahead_s = 5.0
            await runtime._renew()
            until_ms = (await self.stored(store)).orders_until_ms
            self.assertLessEqual(self.orders_over_at(runtime) + ahead_s, until_ms / 1000)
            await runtime._renew()
            self.assertGreater(runtime._order_time_s(), ORDER_LIMIT_S - 0.1)
            await end(runtime)

        run(main())

    def test_a_holder_that_does_not_know_the_stores_clock_stores_no_time(self) -> None:
        async def main() -> None:
            store = ClocklessCommits(lambda: now() + 1_000)
            runtime = make_runtime(store, [], now, lambda host: IdleWorker(now))
            runtime.owner = runtime.owner._replace(orders_until_ms=5)
            await runtime._renew()
            self.assertEqual((await self.stored(store)).orders_until_ms, 0)
            self.assertGreater(runtime._order_time_s(), ORDER_LIMIT_S - 0.1)
            await asyncio.sleep(0)
            await runtime.release()
            self.assertEqual((await self.stored(store)).orders_until_ms, 0)

        run(main())

    def test_a_time_that_cannot_be_compared_lets_no_order_be_sent_until_the_next_renewal(
        self,
    ) -> None:
        async def main() -> None:
            runtime = make_runtime(DelayedStore(0.0, now), [], now, lambda host: IdleWorker(now))
            until_ms = int((now() + FULL_WAIT_S) * 1000)
            runtime._orders_end = runtime._bound_orders(OTHER._replace(orders_until_ms=until_ms))
            runtime.confirmed_at = now()
            self.assertFalse(runtime.can_order())
            await runtime._renew()
            self.assertTrue(runtime.can_order())
            await end(runtime)

        run(main())

    def test_a_released_row_covers_the_leases_that_were_granted(self) -> None:
        async def main() -> None:
            store = DelayedStore(0.0, lambda: now() + 1_000)
            runtime = make_runtime(store, [], now, lambda host: IdleWorker(now))
            await runtime._renew()
            runtime.on_hosts({"w1": host("w1")})
            await asyncio.sleep(0.5)
            lapses_at = runtime.dispatcher.members["w1"].lapses_at()
            await runtime.release()
            until_ms = (await self.stored(store)).orders_until_ms
            self.assertGreaterEqual(until_ms, (lapses_at + 1_000) * 1000)

        run(main())


class Taking(unittest.TestCase):
    def test_a_former_holder_that_orders_as_long_as_it_may_is_waited_for(self) -> None:
        """Its last row is first read after an outage of the store for all others."""

        async def main() -> tuple[int, list[str]]:
            split = SplitCell(1)
            cluster = split.cluster
            for runner in cluster.runners.values():
                runner.clock_rate = 0.98
            await split.start()
            split.close_cells("b", "c")
            await split.submit("b-e1", make_job(1, make_step(14, lasting=True)))
            await asyncio.sleep(2)
            row = cluster.store.find(CELL_TABLE, CELL_PART, SPLIT_CELL)
            while row == (row := cluster.store.find(CELL_TABLE, CELL_PART, SPLIT_CELL)):
                await asyncio.sleep(POLL_S)
            for name in cluster.entries:
                split.cut(name, "store")
            split.partition(("a-w0", "a-w1", "a-w2"))
            await asyncio.sleep(9.0)
            for name in split.others():
                cluster.cuts.discard(frozenset((name, "store")))
            starts = cluster.judge.starts
            await asyncio.sleep(9.0)
            split.cluster.close()
            return cluster.judge.starts - starts, cluster.judge.broken

        started, broken = run(main())
        self.assertEqual(broken, [])
        self.assertGreater(started, 0)

    def test_a_take_covers_all_orders_of_its_holder(self) -> None:
        async def main() -> None:
            split = SplitCell(1)
            await split.start()
            await split.submit("b-e1", make_job(1, make_step(6, lasting=True)))
            split.cluster.kill(split.former)
            while not split.successor:
                await asyncio.sleep(0.001)
            runtime = split.held(split.successor)[SPLIT_CELL]
            taken_at = runtime.confirmed_at
            owner = await split.cluster.owner(SPLIT_CELL)
            assert owner is not None
            over_at = now() + runtime._order_time_s() + LEASE_SLACK_S
            self.assertLessEqual(over_at, owner.orders_until_ms / 1000)
            # A former holder may have renewed until just before the take.
            self.assertGreaterEqual(owner.orders_until_ms / 1000, taken_at + FULL_WAIT_S)
            self.assertGreater(runtime._order_time_s(), ORDER_LIMIT_S - VACANT_S)
            split.cluster.close()

        run(main())


if __name__ == "__main__":
    unittest.main()
