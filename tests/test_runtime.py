"""What a held cell tells the store and the other cells."""

import asyncio
import unittest
from collections.abc import Callable

from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.owner import CELL_PART, CELL_TABLE, Details, Owner
from curranthall.cells.records import Stored, part_of, read_details
from curranthall.cells.runtime import CellRuntime, Holding, Neighbours
from curranthall.cells.tracking import Bounds, Queue
from curranthall.dag import Progress
from curranthall.errors import AnswerLost
from curranthall.standin.store import MemoryStore
from curranthall.store import Check, Committed, Drop, Put, Stale
from tests.cell_fixtures import CELL, SERVICE, host, job
from tests.cluster import no_advice
from tests.virtual import run


class SlowStore(MemoryStore):
    """Lets something happen between a transaction's effect and its answer."""

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
    """Answers a transaction that it carries out with silence, as often as told to."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)
        self.lose = 0

    async def commit(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        answer = self.apply(part, checks, puts, drops)
        if self.lose:
            self.lose -= 1
            raise AnswerLost(peer="store", why="test")
        return answer


def made(
    store: MemoryStore, told: list[Stored], clock: Callable[[], float] = lambda: 0.0
) -> CellRuntime:
    """Build a runtime that holds its cell by version 0, none of its loops started."""
    queue = Queue("q", SERVICE)
    dispatcher = Dispatcher(CELL, 7, Bounds(), lambda job: queue, lambda: 0.0)
    return CellRuntime(
        dispatcher,
        Holding(Owner("e", "e:1", 1, 7, {}, {}), 0, 0.0, Details([])),
        store,
        lambda host: None,  # type: ignore[arg-type, return-value]
        clock,
        lambda runtime, why: None,
        lambda cell, owner, version: None,
        Neighbours(lambda cell: [], lambda cell, stored: told.append(stored)),
        no_advice,
    )


class Renewing(unittest.IsolatedAsyncioTestCase):
    async def stored_names(self, store: MemoryStore) -> set[str]:
        """Name the workers that a successor would know of."""
        return {host.name for host in (await read_details(store, CELL)).roster}

    async def test_a_worker_is_used_only_when_a_successor_would_know_of_it(self) -> None:
        store = LossyStore()
        runtime = made(store, [])
        for name in ("w1", "w2"):
            runtime.dispatcher.see_host(host(name))
            await runtime._renew()
        self.assertEqual(await self.stored_names(store), {"w1", "w2"})
        used = {m.name for m in runtime.dispatcher.members.values() if m.in_roster}
        self.assertEqual(used, {"w1", "w2"})

    async def test_a_roster_is_written_again_after_a_lost_answer_though_it_is_as_before(
        self,
    ) -> None:
        store = LossyStore()
        runtime = made(store, [])
        runtime.dispatcher.see_host(host("w1"))
        await runtime._renew()
        kept = runtime.dispatcher.members.pop("w1")
        store.lose = 1
        await runtime._renew()
        self.assertEqual(await self.stored_names(store), set())
        runtime.dispatcher.members["w1"] = kept
        await runtime._renew()
        self.assertEqual(await self.stored_names(store), {"w1"})

    async def test_the_row_that_every_entry_polls_does_not_grow_with_the_workers(self) -> None:
        store = LossyStore()
        runtime = made(store, [])
        sizes = []
        for number in range(60):
            runtime.dispatcher.see_host(host(f"w{number}"))
            await runtime._renew()
            (row,) = (await store.scan(CELL_TABLE, CELL_PART)).rows
            sizes.append(len(row.value or b""))
        self.assertLess(max(sizes), 1_000)


class FarStore(MemoryStore):
    """Takes a while for each transaction, and counts them."""

    def __init__(self, latency_s: float) -> None:
        super().__init__(lambda: 0.0)
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
        """Count the transactions on one part while a job changes all the time."""
        store = FarStore(latency_s)

        async def main() -> None:
            runtime = made(store, [], asyncio.get_running_loop().time)
            runtime.dispatcher.adopt(job(), Progress(CELL), 0, 0.0, False)
            tracked = runtime.dispatcher.tracked["0" * 16]
            loop = asyncio.create_task(runtime._record_loop(part_of("0" * 16)))
            for _ in range(600):
                runtime.dispatcher.dirty["0" * 16] = tracked
                runtime._record.set()
                await asyncio.sleep(0.01)
            loop.cancel()

        run(main())
        return store.commits

    def test_a_slow_store_is_left_free_for_new_jobs_most_of_the_time(self) -> None:
        busy_s = 0.3 * self.commits_in_six_seconds(0.3)
        self.assertLess(busy_s, 6 * 0.4)
        self.assertGreater(busy_s, 6 * 0.15)

    def test_a_fast_store_hears_of_changes_at_once(self) -> None:
        self.assertGreater(self.commits_in_six_seconds(0.005), 30)


class Telling(unittest.IsolatedAsyncioTestCase):
    async def test_other_cells_hear_only_of_what_is_committed(self) -> None:
        store, told = SlowStore(), list[Stored]()
        runtime = made(store, told)
        dispatcher = runtime.dispatcher
        dispatcher.adopt(job(), Progress(CELL), 0, 0.0, False)
        tracked = dispatcher.tracked["0" * 16]
        batch = tracked.batches[0, 0]
        dispatcher.move(tracked, batch, [0], "south", 0.0)
        # A second move comes while the first is on its way; another cell may yet undo it.
        store.meanwhile = lambda: dispatcher.move(tracked, batch, [1], "south", 0.0)
        await runtime._record_part(part_of("0" * 16))
        self.assertEqual([stored.progress.owner((0, 0, 0)) for stored in told], ["south"])
        self.assertEqual([stored.progress.owner((0, 0, 1)) for stored in told], [CELL])


if __name__ == "__main__":
    unittest.main()
