"""The runtime of a held cell: renewals, holds, records and messages to other cells."""

import asyncio
import itertools
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import patch

from curranthall.cells.balance import CellLoads
from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.fleet import LOST_AFTER_S
from curranthall.cells.owner import (
    CELL_PART,
    CELL_TABLE,
    DETAIL_TABLE,
    ORDER_LIMIT_S,
    RENEW_S,
    Details,
    Owner,
    decode_owner,
)
from curranthall.cells.ports import (
    Ending,
    EndKind,
    ListedRun,
    PaceTask,
    Snapshot,
    StartAnswer,
    StartResult,
    StartTask,
    StopTask,
)
from curranthall.cells.records import (
    JOB_TABLE,
    PARTS,
    PROGRESS_TABLE,
    StoredJob,
    create_job,
    part_of,
    read_details,
    read_progress,
)
from curranthall.cells.runtime import (
    CUT_OFF_S,
    LOOKUP_JOBS,
    TICK_S,
    CellRuntime,
    OtherCells,
    TakenCell,
)
from curranthall.cells.tracking import Bounds
from curranthall.dag import Phase, Progress, Queue, TaskId
from curranthall.errors import AnswerLost, PlatformDown
from curranthall.model import Host, HostState
from curranthall.standin.store import MemoryStore
from curranthall.store import Check, Committed, Drop, Listing, Put, Stale
from tests.cell_fixtures import CELL, SERVICE, Cell, claimed_progress, ended, host, job, step, task
from tests.cluster import no_advice
from tests.virtual import run


class SlowStore(MemoryStore):
    """Calls `meanwhile` between a transaction's effect and its answer."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)
        self.meanwhile = lambda: None

    async def commit(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        answer = self.apply(part, checks, puts, drops)
        self.meanwhile()
        return answer


class LossyStore(MemoryStore):
    """Applies transactions, but loses the answers to the next `lose` of them."""

    def __init__(self, clock: Callable[[], float] = lambda: 0.0) -> None:
        super().__init__(clock)
        self.lose = 0

    async def commit(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        answer = self.apply(part, checks, puts, drops)
        if self.lose:
            self.lose -= 1
            raise AnswerLost(peer="store", why="test")
        return answer


def make_runtime(
    store: MemoryStore,
    sent: list[StoredJob],
    clock: Callable[[], float] = lambda: 0.0,
    connect: Callable[[Host], Any] = lambda host: None,
    details: Details | None = None,
    now_ms: int = 0,
) -> CellRuntime:
    """Build a runtime that holds its cell at version 0, with no loop started."""
    queue = Queue("q", SERVICE)
    dispatcher = Dispatcher(CELL, 7, Bounds(), lambda job: queue, lambda: 0.0)
    return CellRuntime(
        dispatcher,
        TakenCell(Owner("e", "e:1", 1, 7, {}, {}), 0, 0.0, now_ms, details or Details([])),
        store,
        connect,
        clock,
        lambda runtime, why: None,
        lambda cell, owner, version: None,
        OtherCells(
            lambda cell: [],
            lambda cell, stored: sent.append(stored),
            lambda cell, version: True,
        ),
        no_advice,
    )


class Renewing(unittest.IsolatedAsyncioTestCase):
    async def stored_names(self, store: MemoryStore) -> set[str]:
        """Return the names of the workers in the stored roster."""
        return {host.name for host in (await read_details(store, CELL)).roster}

    async def test_a_worker_is_used_only_once_the_stored_roster_names_it(self) -> None:
        store = LossyStore()
        runtime = make_runtime(store, [])
        for name in ("w1", "w2"):
            runtime.dispatcher.update_host(host(name))
            member = runtime.dispatcher.members[name]
            runtime.dispatcher.on_snapshot(member, Snapshot(0, 1, [], []), 0.0, 0.0, member.token)
            self.assertFalse(member.is_usable(0.0))
            await runtime._renew()
        self.assertEqual(await self.stored_names(store), {"w1", "w2"})
        used = {m.name for m in runtime.dispatcher.members.values() if m.is_usable(0.0)}
        self.assertEqual(used, {"w1", "w2"})

    async def test_a_worker_that_answers_during_a_renewal_waits_for_the_next_one(self) -> None:
        store = SlowStore()
        runtime = make_runtime(store, [])
        runtime.dispatcher.take_over([host("w1")], proof_at=7.0)
        member = runtime.dispatcher.members["w1"]
        answer = Snapshot(0, 1, [], [])
        store.meanwhile = lambda: runtime.dispatcher.on_snapshot(
            member, answer, 0.0, 0.0, member.token
        )
        await runtime._renew()
        self.assertFalse(member.is_usable(0.0))
        store.meanwhile = lambda: None
        await runtime._renew()
        self.assertTrue(member.is_usable(0.0))

    async def test_a_worker_that_restarts_during_a_renewal_waits_for_the_next_one(self) -> None:
        store = SlowStore()
        runtime = make_runtime(store, [])
        runtime.dispatcher.update_host(host("w1"))
        member = runtime.dispatcher.members["w1"]
        runtime.dispatcher.on_snapshot(member, Snapshot(0, 1, [], []), 0.0, 0.0, member.token)
        after_restart = Snapshot(0, 2, [], [])
        store.meanwhile = lambda: runtime.dispatcher.on_snapshot(
            member, after_restart, 0.0, 0.0, member.token
        )
        await runtime._renew()
        self.assertFalse(member.is_usable(0.0))
        store.meanwhile = lambda: None
        await runtime._renew()
        self.assertTrue(member.is_usable(0.0))

    async def test_no_orders_are_sent_while_a_release_awaits_its_answer(self) -> None:
        store, can_order = SlowStore(), list[bool]()
        runtime = make_runtime(store, [])
        store.meanwhile = lambda: can_order.append(runtime.can_order())
        await runtime._renew()
        await runtime.release()
        self.assertEqual(can_order, [True, False])

    async def test_an_unchanged_roster_is_written_again_after_a_lost_answer(
        self,
    ) -> None:
        store = LossyStore()
        runtime = make_runtime(store, [])
        runtime.dispatcher.update_host(host("w1"))
        await runtime._renew()
        member = runtime.dispatcher.members.pop("w1")
        store.lose = 1
        await runtime._renew()
        self.assertEqual(await self.stored_names(store), set())
        runtime.dispatcher.members["w1"] = member
        await runtime._renew()
        self.assertEqual(await self.stored_names(store), {"w1"})

    async def test_the_row_that_every_entry_polls_does_not_grow_with_the_workers(self) -> None:
        store = LossyStore()
        runtime = make_runtime(store, [])
        sizes = []
        for number in range(60):
            runtime.dispatcher.update_host(host(f"w{number}"))
            await runtime._renew()
            (row,) = (await store.scan(CELL_TABLE, CELL_PART)).rows
            sizes.append(len(row.value or b""))
        self.assertLess(max(sizes), 1_000)


class IdleWorker:
    """Runs nothing, and answers a hold only after its full wait."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock

    async def hold(self, epoch: int, cursor: int, lease_ms: int | None, wait_ms: int) -> Snapshot:
        await asyncio.sleep(wait_ms / 1000)
        return Snapshot(int(self._clock() * 1000), 1, [], [])

    async def start(self, epoch: int, order: StartTask) -> StartAnswer:
        return StartAnswer(StartResult.UNHEALTHY)

    async def stop(self, epoch: int, order: StopTask) -> None:
        pass

    async def pace(self, epoch: int, order: PaceTask) -> None:
        pass

    def close(self) -> None:
        pass


class Holding(unittest.TestCase):
    def test_a_worker_listed_again_while_its_former_hold_is_open_gets_a_new_hold(self) -> None:
        """Without a new hold loop it stayed in the roster, but was never polled again."""

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            runtime = make_runtime(LossyStore(), [], clock, lambda host: IdleWorker(clock))
            runtime.confirmed_at = clock()
            listed = {"w1": host("w1")}
            runtime.on_hosts(listed)
            await asyncio.sleep(0.5)
            runtime.dispatcher.on_gone("w1", clock())
            runtime.on_hosts(listed)
            await asyncio.sleep(3.0)
            settled = runtime.dispatcher.members["w1"].all_ends_listed
            runtime.end("test")
            self.assertTrue(settled)

        run(main())

    def test_a_worker_that_is_listed_at_another_address_is_called_there(self) -> None:
        """The port kept the address of the first listing."""
        holds: list[str] = []

        class SpyWorker(IdleWorker):
            """Records the address of each hold."""

            def __init__(self, clock: Callable[[], float], address: str) -> None:
                super().__init__(clock)
                self._address = address

            async def hold(
                self, epoch: int, cursor: int, lease_ms: int | None, wait_ms: int
            ) -> Snapshot:
                holds.append(self._address)
                return await super().hold(epoch, cursor, lease_ms, wait_ms)

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            runtime = make_runtime(
                LossyStore(), [], clock, lambda host: SpyWorker(clock, host.address)
            )
            runtime.confirmed_at = clock()
            runtime.on_hosts({"w1": host("w1")})
            await asyncio.sleep(0.5)
            runtime.on_hosts({"w1": host("w1", address="w1:2")})
            await asyncio.sleep(0.5)
            runtime.end("test")

        run(main())
        self.assertEqual(holds[-1], "w1:2")


class FaultyPort(IdleWorker):
    """Raises what no caller expects, `failures` times in each call."""

    def __init__(self, clock: Callable[[], float], failures: int) -> None:
        super().__init__(clock)
        self._failures = {"hold": failures, "start": failures}
        self.grants: list[int | None] = []

    def _fail(self, call: str) -> None:
        self._failures[call] -= 1
        if self._failures[call] >= 0:
            raise OverflowError("port must be 0-65535")

    async def hold(self, epoch: int, cursor: int, lease_ms: int | None, wait_ms: int) -> Snapshot:
        self.grants.append(lease_ms)
        self._fail("hold")
        return await super().hold(epoch, cursor, lease_ms, wait_ms)

    async def start(self, epoch: int, order: StartTask) -> StartAnswer:
        self._fail("start")
        return await super().start(epoch, order)


class Defects(unittest.TestCase):
    """A defect of the work with one worker concerns that worker; one of the cell's own ends it."""

    def play(self, connect: Callable[[Host], Any], check: Callable[[CellRuntime], Any]) -> None:
        """Run a cell with two workers for 3 s, then call `check`, then for another 4 s."""
        ended: list[str] = []

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            runtime = make_runtime(LossyStore(), [], clock, connect)
            runtime._on_end = lambda runtime, why: ended.append(why)
            runtime.confirmed_at = clock()
            runtime.start()
            runtime.on_hosts({name: host(name) for name in ("w1", "w2")})
            await asyncio.sleep(3.0)
            check(runtime)
            await asyncio.sleep(4.0)
            self.usable = {
                name
                for name, member in runtime.dispatcher.members.items()
                if member.is_usable(clock())
            }
            self.assertEqual(ended, [])
            runtime.end("test")

        run(main())

    def clock(self) -> float:
        return asyncio.get_running_loop().time()

    def test_an_exception_of_one_workers_connection_does_not_end_the_cell(self) -> None:
        """The cell ended, and then its successor's, one after the other."""

        def connect(each: Host) -> IdleWorker:
            return FaultyPort(self.clock, 1_000 if each.name == "w1" else 0)

        def check(runtime: CellRuntime) -> None:
            self.assertIsNotNone(runtime.dispatcher.members["w1"].silent_since)

        self.play(connect, check)
        self.assertEqual(self.usable, {"w2"})

    def test_a_worker_whose_connection_failed_is_tried_again(self) -> None:
        ports: list[FaultyPort] = []

        def connect(each: Host) -> IdleWorker:
            ports.append(FaultyPort(self.clock, 3))
            return ports[-1]

        self.play(connect, lambda runtime: None)
        self.assertEqual(self.usable, {"w1", "w2"})

    def test_a_connection_that_cannot_be_made_does_not_end_the_cell(self) -> None:
        def connect(each: Host) -> IdleWorker:
            if each.name == "w1":
                raise ValueError("invalid literal for int()")
            return IdleWorker(self.clock)

        self.play(connect, lambda runtime: None)
        self.assertEqual(self.usable, {"w2"})

    def test_an_answer_that_cannot_be_processed_does_not_end_the_cell(self) -> None:
        class OddWorker(IdleWorker):
            """Answers what the dispatcher cannot process."""

            async def hold(
                self, epoch: int, cursor: int, lease_ms: int | None, wait_ms: int
            ) -> Snapshot:
                answer = await super().hold(epoch, cursor, lease_ms, wait_ms)
                return answer._replace(ended=[None])  # type: ignore[list-item]

        def connect(each: Host) -> IdleWorker:
            return (OddWorker if each.name == "w1" else IdleWorker)(self.clock)

        def check(runtime: CellRuntime) -> None:
            member = runtime.dispatcher.members["w1"]
            self.assertIsNotNone(member.silent_since)

        self.play(connect, check)
        self.assertEqual(self.usable, {"w2"})

    def test_a_failed_start_may_have_run(self) -> None:
        """It must wait for the worker's list or the lapse of its lease before it starts again."""

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            port = FaultyPort(clock, 0)
            runtime = make_runtime(LossyStore(), [], clock, lambda host: port)
            runtime.confirmed_at = clock()
            runtime.loaded = runtime.dispatcher.proven = True
            runtime.on_hosts({"w1": host("w1")})
            await asyncio.sleep(2.5)
            runtime.dispatcher.confirm_roster(runtime.dispatcher.boot_ids())
            runtime.dispatcher.adopt(job(), claimed_progress(7), 1, clock())
            runtime.dispatcher.plan(clock())
            orders = list(runtime.dispatcher.orders)
            self.assertEqual([type(order) for order in orders], [StartTask, StartTask])
            port._failures["start"] = 1_000
            for order in orders:
                runtime._send(order)
            await asyncio.sleep(0.1)
            member = runtime.dispatcher.members["w1"]
            self.assertEqual(len(member.runs), 2)
            self.assertFalse(runtime._ended)
            runtime.end("test")

        run(main())

    def test_an_answer_whose_processing_failed_proves_nothing(self) -> None:
        """Its runs were unknown, but the worker counted as heard: they could start elsewhere."""
        cell = Cell()
        cell.dispatcher.take_over([host("w1")], proof_at=cell.now + 7.0)
        running = [ListedRun(task(), 1, "", 10, 0)]
        with patch.object(cell.dispatcher, "_on_listed", side_effect=ValueError("test")):
            with self.assertRaises(ValueError):
                cell.answer("w1", running)
        self.assertEqual(cell.dispatcher.count_unproven(), 1)
        cell.answer("w1", running)
        self.assertEqual(cell.dispatcher.count_unproven(), 0)

    def test_a_listed_run_of_a_task_that_its_job_does_not_have_is_stopped(self) -> None:
        """A bit mask with the bit of task 999,999,999 takes 125 MB."""
        for odd in (task(number=999_999_999), task(at=1), TaskId("0" * 16, 999_999_999, 0, 0)):
            with self.subTest(task=odd):
                cell = Cell(host("w1"))
                cell.add(job("0" * 16, step(1)))
                kinds = (EndKind.DONE, EndKind.FAILED)
                ends = [Ending(at + 1, odd, 1, kind, "") for at, kind in enumerate(kinds)]
                cell.answer("w1", [ListedRun(odd, 2, "", 10, 0)], ends)
                self.assertEqual(cell.stops(), [StopTask("w1", odd, 2)])
                progress = cell.dispatcher.tracked["0" * 16].progress
                self.assertEqual((progress.done, progress.failures), ({}, {}))
                self.assertEqual(cell.member("w1").runs, {})

    def test_an_end_whose_processing_failed_is_processed_again_and_not_acknowledged(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("0" * 16, step(1)))
        (order,) = cell.plan()
        cell.started(order)
        ends = [ended(1, order, EndKind.DONE)]
        with patch.object(cell.dispatcher, "_on_done", side_effect=ValueError("test")):
            with self.assertRaises(ValueError):
                cell.answer("w1", ended=ends)
        self.assertEqual(cell.dispatcher.cursor(cell.member("w1")), 0)
        cell.answer("w1", ended=ends)
        self.assertIs(cell.dispatcher.tracked["0" * 16].progress.phase, Phase.COMPLETED)

    def test_a_loop_of_the_cell_that_ends_hands_the_cell_on(self) -> None:
        """With a known failure, the loop ended and the cell stayed held."""
        ended: list[str] = []

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            runtime = make_runtime(LossyStore(), [], clock)
            runtime._on_end = lambda runtime, why: ended.append(why)
            runtime.confirmed_at = clock()

            runtime.start()
            with patch.object(runtime.dispatcher, "tick", side_effect=AnswerLost(why="test")):
                await asyncio.sleep(1.0)

        run(main())
        self.assertEqual(ended, ["defect"])


class FirstAnswers(unittest.TestCase):
    def test_workers_that_answer_together_are_usable_soon_after_few_renewals(self) -> None:
        async def main() -> None:
            clock = asyncio.get_running_loop().time
            delays_s = random.Random(1)

            class SpreadWorker(IdleWorker):
                """Answers each hold up to 0.1 s late."""

                async def hold(
                    self, epoch: int, cursor: int, lease_ms: int | None, wait_ms: int
                ) -> Snapshot:
                    await asyncio.sleep(delays_s.uniform(0, 0.1))
                    return await super().hold(epoch, cursor, lease_ms, wait_ms)

            store, hosts = DelayedStore(0.01), [host(f"w{number}") for number in range(60)]
            runtime = make_runtime(store, [], clock, lambda host: SpreadWorker(clock))
            runtime.dispatcher.take_over(hosts, clock() + 7)
            runtime.confirmed_at = clock()
            runtime.start()
            await asyncio.sleep(RENEW_S / 2)
            members = list(runtime.dispatcher.members.values())
            runtime.end("test")
            self.assertTrue(all(member.is_usable(clock()) for member in members))
            self.assertLess(store.commits, len(members) / 10)

        run(main())


class Leases(unittest.TestCase):
    def test_no_lease_of_a_holder_that_can_not_renew_outlasts_the_order_limit(self) -> None:
        async def main() -> None:
            clock = asyncio.get_running_loop().time
            runtime = make_runtime(LossyStore(), [], clock, lambda host: IdleWorker(clock))
            runtime.confirmed_at = confirmed_at = clock()
            runtime.on_hosts({"w1": host("w1")})
            await asyncio.sleep(ORDER_LIMIT_S + 5)
            runtime.end("test")
            granted_s = runtime.dispatcher.members["w1"].granted_ms / 1000
            self.assertGreater(granted_s, confirmed_at + ORDER_LIMIT_S - 1)
            self.assertLessEqual(granted_s, confirmed_at + ORDER_LIMIT_S)

        run(main())

    def test_a_platform_that_allows_longer_leases_does_not_prolong_the_wait_of_lasting_tasks(
        self,
    ) -> None:
        """A lasting task of a lost worker waited for a lease of 10 s, where 9 s are allowed."""

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            runtime = make_runtime(LossyStore(), [], clock, lambda host: IdleWorker(clock))
            runtime.dispatcher.bounds = Bounds(max_hold_s=10.0)
            runtime.confirmed_at = clock()
            runtime.on_hosts({"w1": host("w1")})
            await asyncio.sleep(5.0)
            runtime.end("test")
            granted_s = runtime.dispatcher.members["w1"].granted_ms / 1000 - clock()
            self.assertGreater(granted_s, 0.0)
            self.assertLessEqual(granted_s, 6.0)

        run(main())

    def test_a_holder_past_the_order_limit_polls_its_workers_no_more_often(self) -> None:
        async def main() -> None:
            clock = asyncio.get_running_loop().time
            holds: list[float] = []

            class SpyWorker(IdleWorker):
                """Records the time of each hold."""

                async def hold(
                    self, epoch: int, cursor: int, lease_ms: int | None, wait_ms: int
                ) -> Snapshot:
                    holds.append(clock())
                    await asyncio.sleep(0.001)
                    return await super().hold(epoch, cursor, lease_ms, wait_ms)

            runtime = make_runtime(LossyStore(), [], clock, lambda host: SpyWorker(clock))
            runtime.confirmed_at = clock()
            runtime.on_hosts({"w1": host("w1")})
            await asyncio.sleep(ORDER_LIMIT_S)
            before = len(holds)
            await asyncio.sleep(ORDER_LIMIT_S)
            runtime.end("test")
            self.assertLessEqual(len(holds) - before, before)

        run(main())


class Releasing(unittest.TestCase):
    def test_no_lease_is_extended_once_a_successor_may_see_the_release(self) -> None:
        async def main() -> None:
            clock = asyncio.get_running_loop().time
            store = DelayedStore(0.0)
            worker = IdleWorker(clock)
            runtime = make_runtime(store, [], clock, lambda host: worker)
            runtime.confirmed_at = clock()
            runtime.on_hosts({"w1": host("w1")})
            await asyncio.sleep(0.5)
            store.latency_s = 5.0
            release = asyncio.create_task(runtime.release())
            await asyncio.sleep(0)
            granted_ms = runtime.dispatcher.members["w1"].granted_ms
            await release
            self.assertEqual(runtime.dispatcher.members["w1"].granted_ms, granted_ms)

        run(main())

    def test_a_worker_listed_during_the_release_gets_no_lease(self) -> None:
        async def main() -> None:
            clock = asyncio.get_running_loop().time
            store = DelayedStore(0.0)
            runtime = make_runtime(store, [], clock, lambda host: IdleWorker(clock))
            runtime.confirmed_at = clock()
            runtime.on_hosts({"w1": host("w1")})
            await asyncio.sleep(0.5)
            store.latency_s = 5.0
            release = asyncio.create_task(runtime.release())
            await asyncio.sleep(0)
            moved = host("w1")._replace(address="elsewhere:1")
            granted_ms = runtime.dispatcher.members["w1"].granted_ms
            runtime.on_hosts({"w1": moved, "w2": host("w2")})
            await release
            self.assertEqual(runtime.dispatcher.members["w1"].granted_ms, granted_ms)
            self.assertNotIn("w2", runtime.dispatcher.members)

        run(main())

    def test_lease_ends_are_handed_over_by_the_stores_clock_and_never_too_early(self) -> None:
        async def main() -> None:
            clock = asyncio.get_running_loop().time
            store = DelayedStore(0.0, lambda: clock() + 1_000)
            runtime = make_runtime(store, [], clock, lambda host: IdleWorker(clock))
            await runtime._renew()
            runtime.on_hosts({"w1": host("w1")})
            await asyncio.sleep(0.5)
            end = runtime.dispatcher.members["w1"].lapses_at()
            await runtime.release()
            details = await read_details(store, CELL)
            (owner,) = (await store.scan(CELL_TABLE, CELL_PART)).rows
            self.assertEqual(details.version, owner.version)
            self.assertGreater(details.lease_ends["w1"], (end + 1_000) * 1000)
            self.assertLess(details.lease_ends["w1"], (end + 1_000.2) * 1000)

        run(main())

    def test_lease_ends_of_a_cell_just_taken_do_not_rely_on_a_read_before_the_take(self) -> None:
        async def main() -> None:
            # The row was written 0.7 s later by the store's clock than the reads before implied.
            runtime = make_runtime(store := DelayedStore(0.0), [], now_ms=700)
            runtime.dispatcher.take_over([host("w1")], proof_at=7.0)
            await runtime.release()
            self.assertGreater((await read_details(store, CELL)).lease_ends["w1"], 7_700)

        run(main())

    def test_lease_ends_of_a_worker_never_heard_of_are_not_put_off_by_each_release(self) -> None:
        async def main() -> None:
            clock = asyncio.get_running_loop().time
            store = DelayedStore(0.0, clock)
            former = Details([host("w1")], [], {"w1": int(clock() * 1000) + 3_000})
            store.apply(CELL_PART, [], [Put(DETAIL_TABLE, CELL, former.encode())], [])
            runtime = make_runtime(store, [], clock, lambda host: None, former)
            proof_at = clock() + 7
            runtime.dispatcher.take_over(former.roster, proof_at, {"w1": clock() + 3.5})
            store.latency_s = 0.3
            await runtime._renew()
            await runtime.release()
            self.assertEqual((await read_details(store, CELL)).lease_ends, former.lease_ends)

        run(main())

    def test_a_stored_lease_end_bounds_leases_and_starts_until_a_row_without_it_is_stored(
        self,
    ) -> None:
        async def main() -> None:
            clock = asyncio.get_running_loop().time
            store = DelayedStore(0.0, clock)
            runtime = make_runtime(store, [], clock, lambda host: IdleWorker(clock))
            await runtime._renew()
            runtime.on_hosts({"w1": host("w1"), "w2": host("w2")})
            await asyncio.sleep(0.5)
            await runtime._renew()
            member = runtime.dispatcher.members["w1"]
            self.assertTrue(member.is_usable(clock()))
            runtime.dispatcher.on_silence("w1", clock() - LOST_AFTER_S - 0.1)
            store.latency_s = 5.0
            renewal = asyncio.create_task(runtime._renew())
            await asyncio.sleep(4.0)
            self.assertIsNone(member.silent_since)
            self.assertFalse(member.is_usable(clock()))
            await renewal
            end = (await read_details(store, CELL)).lease_ends["w1"] / 1000
            await asyncio.sleep(0.2)
            self.assertFalse(member.is_usable(clock()))
            self.assertLess(member.lapses_at(), end)
            store.latency_s = 0.0
            await runtime._renew()
            self.assertEqual((await read_details(store, CELL)).lease_ends, {})
            self.assertTrue(member.is_usable(clock()))
            await asyncio.sleep(0.2)
            self.assertGreater(member.lapses_at(), end)
            runtime.end("test")

        run(main())

    def test_a_release_that_the_store_refuses_once_is_sent_again(self) -> None:
        async def main() -> None:
            clock = asyncio.get_running_loop().time
            store = RefusingStore(clock)
            runtime = make_runtime(store, [], clock, lambda host: IdleWorker(clock))
            await runtime._renew()
            runtime.on_hosts({"w1": host("w1")})
            await asyncio.sleep(0.5)
            store.refuse = 1
            await runtime.release()
            (row,) = (await store.scan(CELL_TABLE, CELL_PART)).rows
            self.assertEqual(decode_owner(row.value or b"").holder, "")
            self.assertEqual(list((await read_details(store, CELL)).lease_ends), ["w1"])

        run(main())

    def test_no_lease_end_is_handed_over_while_the_stores_clock_is_unknown(self) -> None:
        async def main() -> None:
            clock = asyncio.get_running_loop().time
            store = ClocklessCommits(lambda: clock() + 1_000)
            runtime = make_runtime(store, [], clock, lambda host: IdleWorker(clock))
            await runtime._renew()
            runtime.on_hosts({"w1": host("w1")})
            await asyncio.sleep(0.5)
            lapses_ms = (runtime.dispatcher.members["w1"].lapses_at() + 1_000) * 1000
            await runtime.release()
            ends = (await read_details(store, CELL)).lease_ends
            self.assertGreaterEqual(ends.get("w1", lapses_ms), lapses_ms)

        run(main())

    def test_a_cell_is_not_given_up_because_departing_workers_have_exited(self) -> None:
        async def main() -> None:
            clock = asyncio.get_running_loop().time
            store = MemoryStore(clock)
            runtime = make_runtime(store, [], clock, lambda host: IdleWorker(clock))
            await runtime._renew()
            leaving = [host(name, state=HostState.LEAVING) for name in ("w2", "w3")]
            runtime.on_hosts({each.name: each for each in (host("w1"), *leaving)})
            await asyncio.sleep(0.5)
            for each in leaving:
                runtime._holds[each.name].cancel()
                runtime.dispatcher.on_silence(each.name, clock())
            await asyncio.sleep(CUT_OFF_S + 0.2)
            await runtime._renew()
            (row,) = (await store.scan(CELL_TABLE, CELL_PART)).rows
            self.assertEqual(decode_owner(row.value or b"").holder, "e")

        run(main())


class ClocklessCommits(MemoryStore):
    """Does not tell its clock in the answers to transactions."""

    async def commit(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        answer = self.apply(part, checks, puts, drops)
        return answer._replace(now_ms=0) if isinstance(answer, Committed) else answer


class RefusingStore(MemoryStore):
    """Refuses the next `refuse` transactions, as when it is overloaded."""

    refuse = 0

    async def commit(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        if self.refuse:
            self.refuse -= 1
            raise PlatformDown(status=429)
        return self.apply(part, checks, puts, drops)


class DelayedStore(MemoryStore):
    """Delays each transaction by `latency_s`, and counts them."""

    def __init__(self, latency_s: float, clock: Callable[[], float] = lambda: 0.0) -> None:
        super().__init__(clock)
        self.latency_s = latency_s
        self.commits = 0

    async def commit(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        self.commits += 1
        await asyncio.sleep(self.latency_s)
        return self.apply(part, checks, puts, drops)


class Recording(unittest.TestCase):
    def commits_in_six_seconds(self, latency_s: float) -> int:
        """Count the transactions of one part while a job changes continuously."""
        store = DelayedStore(latency_s)

        async def main() -> None:
            runtime = make_runtime(store, [], asyncio.get_running_loop().time)
            runtime.dispatcher.adopt(job(), claimed_progress(), 0, 0.0)
            tracked = runtime.dispatcher.tracked["0" * 16]
            loop = asyncio.create_task(runtime._record_loop(part_of("0" * 16)))
            for _ in range(600):
                runtime.dispatcher.dirty["0" * 16] = tracked
                runtime._record_now.set()
                await asyncio.sleep(0.01)
            loop.cancel()

        run(main())
        return store.commits

    def test_a_slow_store_is_left_free_for_new_jobs_most_of_the_time(self) -> None:
        busy_s = 0.3 * self.commits_in_six_seconds(0.3)
        self.assertLess(busy_s, 6 * 0.4)
        self.assertGreater(busy_s, 6 * 0.15)

    def test_changes_are_recorded_at_once_in_a_fast_store(self) -> None:
        self.assertGreater(self.commits_in_six_seconds(0.005), 30)


class Messages(unittest.IsolatedAsyncioTestCase):
    async def test_other_cells_receive_only_committed_changes(self) -> None:
        store, sent = SlowStore(), list[StoredJob]()
        runtime = make_runtime(store, sent)
        dispatcher = runtime.dispatcher
        dispatcher.adopt(job(), claimed_progress(), 0, 0.0)
        tracked = dispatcher.tracked["0" * 16]
        batch = tracked.batches[0, 0]
        dispatcher.move(tracked, batch, [0], "south", 0.0)
        # The second move comes while the first is being committed; another cell may override it.
        store.meanwhile = lambda: dispatcher.move(tracked, batch, [1], "south", 0.0)
        await runtime._record_part(part_of("0" * 16))
        self.assertEqual([stored.progress.owner((0, 0, 0)) for stored in sent], ["south"])
        self.assertEqual([stored.progress.owner((0, 0, 1)) for stored in sent], [CELL])


class FailingReads(MemoryStore):
    """Fails the next `fail` scans of the job table."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)
        self.fail = 0

    async def scan(self, table: str, part: str, start: str = "", end: str = "") -> Listing:
        if table == JOB_TABLE and self.fail:
            self.fail -= 1
            raise AnswerLost(peer="store", why="test")
        return await super().scan(table, part, start, end)


class Offers(unittest.TestCase):
    """A partition may delay a message about a job until newer rows have been read."""

    def play(self, scene: Callable[[MemoryStore, CellRuntime], Awaitable[None]]) -> CellRuntime:
        """Run a scene with an empty store and a runtime; return the runtime."""
        store, runtimes = FailingReads(), list[CellRuntime]()

        async def main() -> None:
            runtime = make_runtime(store, [], asyncio.get_running_loop().time)
            runtimes.append(runtime)
            await scene(store, runtime)

        run(main())
        return runtimes[0]

    async def store_job(self, store: MemoryStore, progress: Progress) -> StoredJob:
        """Store a job; return the message that an entry sends to the holder."""
        answer = await create_job(store, job(), progress)
        assert isinstance(answer, Committed)
        return StoredJob(job(), progress, answer.version)

    async def follow(self, runtime: CellRuntime, seconds: float) -> None:
        """Let the cell load its jobs and follow the feed for a while."""
        loop = asyncio.create_task(runtime._load_jobs())
        await asyncio.sleep(seconds)
        loop.cancel()

    def test_a_message_older_than_a_move_of_its_job_is_ignored(self) -> None:
        """A cell reconnected after a partition started tasks that another cell already ran."""

        async def scene(store: MemoryStore, runtime: CellRuntime) -> None:
            sent = await self.store_job(store, Progress(CELL))
            moved = Put(PROGRESS_TABLE, sent.job.id, Progress("south", moves=1).encode())
            await store.commit(part_of(sent.job.id), [], [moved], [])
            # The message arrives late, both before and after the new holder has loaded the rows.
            runtime.offer(sent)
            await self.follow(runtime, 1.0)
            runtime.offer(sent)

        self.assertEqual(self.play(scene).dispatcher.tracked, {})

    def test_a_message_older_than_a_move_that_the_feed_showed_is_ignored(self) -> None:
        async def scene(store: MemoryStore, runtime: CellRuntime) -> None:
            loop = asyncio.create_task(runtime._load_jobs())
            await asyncio.sleep(0.5)
            sent = await self.store_job(store, Progress(CELL))
            moved = Put(PROGRESS_TABLE, sent.job.id, Progress("south", moves=1).encode())
            await store.commit(part_of(sent.job.id), [], [moved], [])
            await asyncio.sleep(3.0)
            runtime.offer(sent)
            loop.cancel()

        self.assertEqual(self.play(scene).dispatcher.tracked, {})

    def test_a_message_about_a_new_job_is_applied_at_once(self) -> None:
        async def scene(store: MemoryStore, runtime: CellRuntime) -> None:
            await self.follow(runtime, 1.0)
            runtime.offer(await self.store_job(store, Progress(CELL)))

        self.assertIn("0" * 16, self.play(scene).dispatcher.tracked)

    def test_a_failed_read_of_a_job_is_retried(self) -> None:
        """One lost answer ended the feed loop for good."""

        async def scene(store: MemoryStore, runtime: CellRuntime) -> None:
            loop = asyncio.create_task(runtime._load_jobs())
            await asyncio.sleep(0.5)
            store.fail = 2  # type: ignore[attr-defined]
            await self.store_job(store, Progress(CELL))
            await asyncio.sleep(6.0)
            loop.cancel()

        self.assertIn("0" * 16, self.play(scene).dispatcher.tracked)


class UnknownJobs(unittest.TestCase):
    """Jobs of listed runs and ends that a successor does not find among its unfinished rows."""

    READ_S = 0.1
    JOBS = 30

    def resolve(self, snapshot: Snapshot, loaded: bool) -> CellRuntime:
        """Run a successor for 1.8 s whose worker lists cancelled jobs; each read takes READ_S."""

        class FarStore(MemoryStore):
            async def scan(self, table: str, part: str, start: str = "", end: str = "") -> Listing:
                await asyncio.sleep(UnknownJobs.READ_S)
                return await super().scan(table, part, start, end)

        async def main() -> CellRuntime:
            store = FarStore(asyncio.get_running_loop().time)
            for number in range(self.JOBS):
                progress = claimed_progress(phase=Phase.CANCELLED)
                await create_job(store, job(f"{number:016x}"), progress)
            runtime = make_runtime(store, [], asyncio.get_running_loop().time)
            runtime.dispatcher.update_host(host("w1"))
            runtime.loaded = loaded
            member = runtime.dispatcher.members["w1"]
            runtime.dispatcher.on_snapshot(member, snapshot, 0.0, 0.0, member.token)
            loop = asyncio.create_task(
                runtime._resolve_unknown() if loaded else runtime._load_jobs()
            )
            await asyncio.sleep(1.8)
            loop.cancel()
            return runtime

        return run(main())  # type: ignore[no-any-return]

    def test_many_jobs_are_looked_up_together_and_those_with_runs_first(self) -> None:
        last = self.JOBS - 1
        ends = [
            Ending(number + 1, task(f"{number:016x}"), 3, EndKind.DONE, "")
            for number in range(last)
        ]
        running = [ListedRun(task(f"{last:016x}"), 4, "", 0, 0)]
        runtime = self.resolve(Snapshot(0, 1, running, ends), loaded=True)
        self.assertEqual(runtime.dispatcher.unknown_jobs, set())
        stop = StopTask("w1", task(f"{last:016x}"), 4)
        self.assertIn(stop, runtime.dispatcher.orders)
        self.assertIn(f"{last:016x}", list(runtime.dispatcher.tracked)[:LOOKUP_JOBS])

    def test_a_cancelled_job_that_a_worker_still_runs_is_loaded_with_the_rows(self) -> None:
        running = [ListedRun(task("0" * 16), 4, "", 0, 0)]
        runtime = self.resolve(Snapshot(0, 1, running, []), loaded=False)
        self.assertEqual(list(runtime.dispatcher.tracked), ["0" * 16])
        self.assertIn(StopTask("w1", task("0" * 16), 4), runtime.dispatcher.orders)


class SlowReads(MemoryStore):
    """Each scan of progress takes `READ_S`; counts them by part, and how many are open at once."""

    READ_S = 0.3

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(clock)
        self.reads: dict[str, int] = {}
        self.open = self.most_open = self.scans = 0
        self.fail = 0
        # Each scan of progress whose number is divisible by this fails, if it is not 0.
        self.fail_each = 0

    async def scan(self, table: str, part: str, start: str = "", end: str = "") -> Listing:
        if table != PROGRESS_TABLE:
            return await super().scan(table, part, start, end)
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        listing = await super().scan(table, part, start, end)
        await asyncio.sleep(self.READ_S)
        self.open -= 1
        self.scans += 1
        is_unlucky = self.fail_each and self.scans % self.fail_each == 0
        if self.fail or is_unlucky:
            self.fail = max(0, self.fail - 1)
            raise PlatformDown(why="test")
        self.reads[part] = self.reads.get(part, 0) + 1
        return listing


class Proving(unittest.TestCase):
    """A new holder whose only worker is out of reach; its last lease is over after `PROOF_S`."""

    PROOF_S = 4.0

    def take(
        self, scene: Callable[[SlowReads, CellRuntime], Awaitable[None]] | None = None
    ) -> tuple[SlowReads, CellRuntime, list[float]]:
        """Run the loops for 10 s beside a scene; return also the times at which tasks may move."""
        rounds: list[float] = []

        async def main() -> tuple[SlowReads, CellRuntime]:
            clock = asyncio.get_running_loop().time
            store = SlowReads(clock)
            runtime = make_runtime(store, [], clock)
            runtime.confirmed_at = clock()
            runtime.dispatcher.take_over([host("w1")], clock() + self.PROOF_S)

            def loads(cell: str) -> list[CellLoads]:
                rounds.append(clock())
                return []

            runtime._others = runtime._others._replace(loads=loads)
            for loop in (runtime._tick_loop, runtime._load_jobs):
                runtime._spawn(loop(), is_loop=True)
            if scene is not None:
                await scene(store, runtime)
            await asyncio.sleep(10.0)
            runtime.end("test")
            return store, runtime

        return *run(main()), rounds

    def test_ticks_go_on_while_rows_are_read_again(self) -> None:
        _, runtime, rounds = self.take()
        self.assertTrue(runtime.dispatcher.proven)
        pauses = [later - earlier for earlier, later in itertools.pairwise(rounds)]
        self.assertLess(max(pauses), 3 * TICK_S)

    def test_rows_are_read_for_the_proof_once_and_one_at_a_time(self) -> None:
        store, _, _ = self.take()
        self.assertEqual(store.reads, dict.fromkeys(PARTS, 2))
        self.assertEqual(store.most_open, 1)

    def test_a_failed_read_of_a_part_does_not_start_the_others_anew(self) -> None:
        """While a third of the reads failed, no eight in a row succeeded."""

        async def scene(store: SlowReads, runtime: CellRuntime) -> None:
            store.fail_each = 3
            await asyncio.sleep(5.0)
            self.assertTrue(runtime.loaded)

        self.assertTrue(self.take(scene)[1].dispatcher.proven)

    def test_a_proof_whose_read_failed_is_tried_again(self) -> None:
        async def scene(store: SlowReads, runtime: CellRuntime) -> None:
            await asyncio.sleep(self.PROOF_S + 0.2)
            store.fail = 2
            self.assertFalse(runtime.dispatcher.proven)

        self.assertTrue(self.take(scene)[1].dispatcher.proven)


class StoreOfParts(MemoryStore):
    """Scans of the parts in `away` time out; those of `slow` tables and parts take `slow_s`."""

    AWAY_S = 0.6
    SLOW_S = 3.0

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(clock)
        self.away: set[str] = set()
        self.slow: set[tuple[str, str]] = set()
        self.slow_s = self.SLOW_S

    async def scan(self, table: str, part: str, start: str = "", end: str = "") -> Listing:
        if part in self.away:
            await asyncio.sleep(self.AWAY_S)
            raise PlatformDown(why="away")
        listing = await super().scan(table, part, start, end)
        if (table, part) in self.slow:
            await asyncio.sleep(self.slow_s)
        return listing


class StartSpy(IdleWorker):
    """Lists `running`; records the jobs whose starts and stops it gets, and refuses the starts."""

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(clock)
        self.running: list[ListedRun] = []
        self.started: set[str] = set()
        self.stopped: set[str] = set()

    async def hold(self, epoch: int, cursor: int, lease_ms: int | None, wait_ms: int) -> Snapshot:
        return (await super().hold(epoch, cursor, lease_ms, wait_ms))._replace(running=self.running)

    async def start(self, epoch: int, order: StartTask) -> StartAnswer:
        self.started.add(order.task.job)
        return await super().start(epoch, order)

    async def stop(self, epoch: int, order: StopTask) -> None:
        self.stopped.add(order.task.job)


class PartAway(unittest.TestCase):
    """A cell is taken while a part of the store is away; each part has a job from before."""

    JOBS = tuple(f"{number:016x}" for number in range(len(PARTS)))
    AWAY = JOBS[3]

    def play(
        self,
        scene: Callable[["PartAway"], Awaitable[None]],
        prepare: Callable[["PartAway"], None] = lambda played: None,
        epoch: int = 6,
        **fields: object,
    ) -> None:
        """Run the holder of a cell beside a scene; the job rows name an epoch."""

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            self.store = StoreOfParts(clock)
            self.store.away = {part_of(self.AWAY)}
            self.workers = {name: StartSpy(clock) for name in ("w1", "w2")}
            for job_id in self.JOBS:
                await create_job(self.store, job(job_id), claimed_progress(epoch, **fields))
            self.runtime = make_runtime(
                self.store, [], clock, lambda host: self.workers[host.name], now_ms=1
            )
            self.runtime.confirmed_at = clock()
            hosts = {name: host(name, cores=64) for name in self.workers}
            self.runtime.dispatcher.take_over(hosts.values(), clock() + 7.0)
            prepare(self)
            self.runtime.start()
            self.runtime.on_hosts(hosts)
            await scene(self)
            self.runtime.end("test")

        run(main())

    def started(self) -> set[str]:
        """Return the jobs for which a worker got a start."""
        return set().union(*(worker.started for worker in self.workers.values()))

    def test_it_holds_up_no_job_of_another_part(self) -> None:
        async def scene(played: PartAway) -> None:
            await asyncio.sleep(3.0)
            self.assertEqual(played.started(), {*self.JOBS} - {self.AWAY})
            played.store.away = set()
            await asyncio.sleep(3.0)
            self.assertEqual(played.started(), {*self.JOBS})

        self.play(scene)

    def test_a_slow_store_holds_up_a_job_only_until_its_own_part_was_read(self) -> None:
        def prepare(played: PartAway) -> None:
            played.store.away = set()
            played.store.slow = {
                (table, part) for table in (JOB_TABLE, PROGRESS_TABLE) for part in PARTS
            }
            played.store.slow_s = 0.3

        async def scene(played: PartAway) -> None:
            await asyncio.sleep(2.0)
            self.assertGreater(len(played.started()), 0)
            await asyncio.sleep(5.0)
            self.assertEqual(played.started(), {*self.JOBS})

        self.play(scene, prepare)

    def test_it_holds_up_no_new_job_of_another_part(self) -> None:
        async def scene(played: PartAway) -> None:
            await asyncio.sleep(3.0)
            for job_id in ("1" + each[1:] for each in self.JOBS):
                progress = claimed_progress(7)
                answer = await create_job(played.store, job(job_id), progress)
                assert isinstance(answer, Committed)
                # The other jobs have to be found in the feed.
                if part_of(job_id) in ("0", "1"):
                    played.runtime.offer(StoredJob(job(job_id), progress, answer.version))
            await asyncio.sleep(4.0)
            new = {job_id for job_id in played.started() if job_id[0] == "1"}
            self.assertEqual(new, {"1" + each[1:] for each in self.JOBS if each != self.AWAY})

        self.play(scene)

    def test_new_jobs_of_its_own_in_the_feed_hold_up_no_new_job_of_another_part(self) -> None:
        async def scene(played: PartAway) -> None:
            await asyncio.sleep(3.0)
            away = [f"{number}{self.AWAY[1:]}" for number in range(1, LOOKUP_JOBS + 2)]
            for job_id in (*away, "1" + self.JOBS[7][1:]):
                await create_job(played.store, job(job_id), claimed_progress(7))
            await asyncio.sleep(4.0)
            self.assertEqual(played.started() - {*self.JOBS}, {"1" + self.JOBS[7][1:]})
            played.store.away = set()
            await asyncio.sleep(4.0)
            self.assertLessEqual({*away}, played.started())

        self.play(scene)

    def test_a_worker_with_a_run_of_an_unknown_job_gets_no_start(self) -> None:
        def prepare(played: PartAway) -> None:
            played.workers["w1"].running = [ListedRun(task(self.AWAY), 4, "", 0, 0)]

        async def scene(played: PartAway) -> None:
            await asyncio.sleep(3.0)
            self.assertEqual(played.workers["w1"].started, set())
            self.assertEqual(played.workers["w1"].stopped, set())
            self.assertEqual(played.workers["w2"].started, {*self.JOBS} - {self.AWAY})

        self.play(scene, prepare)

    def test_a_read_that_began_before_all_workers_were_fenced_proves_nothing(self) -> None:
        def prepare(played: PartAway) -> None:
            played.store.away = set()
            played.store.slow = {(PROGRESS_TABLE, part_of(self.JOBS[0]))}

        async def scene(played: PartAway) -> None:
            dispatcher = played.runtime.dispatcher
            await asyncio.sleep(StoreOfParts.SLOW_S + 0.2)
            self.assertTrue(dispatcher.is_fully_fenced)
            self.assertTrue(dispatcher.needs_proof("0"))
            self.assertFalse(dispatcher.needs_proof("1"))
            self.assertEqual(played.started(), {*self.JOBS[1:]})
            await asyncio.sleep(StoreOfParts.SLOW_S + 1.0)
            self.assertTrue(dispatcher.proven)
            self.assertEqual(played.started(), {*self.JOBS})

        self.play(scene, prepare)

    def test_a_job_cancelled_while_its_part_is_read_is_not_taken_up_for_good(self) -> None:
        """The feed has passed the cancel when the older rows are applied."""

        def prepare(played: PartAway) -> None:
            played.store.slow = {(JOB_TABLE, part_of(self.AWAY))}

        async def scene(played: PartAway) -> None:
            await asyncio.sleep(3.0)
            played.store.away = set()
            await asyncio.sleep(1.0)
            cancelled = Put(
                PROGRESS_TABLE, self.AWAY, claimed_progress(7, phase=Phase.CANCELLED).encode()
            )
            await played.store.commit(part_of(self.AWAY), [], [cancelled], [])
            await asyncio.sleep(StoreOfParts.SLOW_S + 2.0)
            tracked = played.runtime.dispatcher.tracked[self.AWAY]
            self.assertIs(tracked.progress.phase, Phase.CANCELLED)

        self.play(scene, prepare, epoch=7)


class TakingOver(unittest.IsolatedAsyncioTestCase):
    async def test_a_former_holders_late_write_conflicts_after_a_takeover(self) -> None:
        """Otherwise it moves tasks that the successor has started but not yet recorded."""
        store = LossyStore()
        answer = await create_job(store, job(), claimed_progress())
        assert isinstance(answer, Committed)
        former, successor = make_runtime(store, []), make_runtime(store, [])
        successor.dispatcher.epoch = 8
        former.dispatcher.adopt(job(), claimed_progress(), answer.version, 0.0)
        successor.dispatcher.update_host(host("w1"))
        member = successor.dispatcher.members["w1"]
        successor.dispatcher.on_snapshot(member, Snapshot(0, 1, [], []), 0.0, 0.0, member.token)
        successor.dispatcher.confirm_roster(successor.dispatcher.boot_ids())
        successor.dispatcher.adopt(job(), claimed_progress(), answer.version, 0.0)
        successor.dispatcher.plan(0.0)
        self.assertFalse(successor.dispatcher.orders)
        part = part_of("0" * 16)
        await successor._record_part(part)
        successor.dispatcher.plan(0.0)
        self.assertEqual(len(successor.dispatcher.orders), 2)
        tracked = former.dispatcher.tracked["0" * 16]
        former.dispatcher.move(tracked, tracked.batches[0, 0], None, "south", 0.0)
        for _ in range(3):
            await former._record_part(part)
        found = await read_progress(store, "0" * 16)
        assert found is not None
        self.assertEqual({found[0].owner((0, 0, number)) for number in (0, 1)}, {CELL})


if __name__ == "__main__":
    unittest.main()
