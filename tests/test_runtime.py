"""What a held cell tells the store and the other cells."""

import unittest

from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.owner import Owner
from curranthall.cells.records import Stored, part_of
from curranthall.cells.runtime import CellRuntime, Holding, Neighbours
from curranthall.cells.tracking import Bounds, Queue
from curranthall.dag import Progress
from curranthall.standin.store import MemoryStore
from curranthall.store import Check, Committed, Drop, Put, Stale
from tests.cell_fixtures import CELL, SERVICE, job


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


class Telling(unittest.IsolatedAsyncioTestCase):
    async def test_other_cells_hear_only_of_what_is_committed(self) -> None:
        queue = Queue("q", SERVICE)
        dispatcher = Dispatcher(CELL, 7, Bounds(), lambda job: queue, lambda: 0.0)
        store, told = SlowStore(), list[Stored]()
        owner = Owner("e", "e:1", 1, 7, [], {}, {})
        runtime = CellRuntime(
            dispatcher,
            Holding(owner, 1, 0.0),
            store,
            lambda host: None,  # type: ignore[arg-type, return-value]
            lambda: 0.0,
            lambda runtime, why: None,
            lambda cell, owner, version: None,
            Neighbours(lambda cell: [], lambda cell: [], lambda cell, stored: told.append(stored)),
        )
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
