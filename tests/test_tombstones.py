"""Rows of cancelled and refused jobs: how many are written, and when they are removed."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any
from unittest.mock import AsyncMock, Mock

from curranthall.cells.records import CANCELLATION_TABLE, REFUSAL_TABLE, create_job
from curranthall.dag import Progress
from curranthall.errors import AnswerLost, PlatformDown, RateExceeded
from curranthall.http import Request
from curranthall.intake.tombstones import CANCELS_PER_S, RETENTION_S, Tombstones
from curranthall.platform.front import Frontend
from curranthall.standin.store import MemoryStore
from curranthall.store import Stale
from tests.cluster import Cluster, now
from tests.store_orders import JOB
from tests.virtual import run

Scene = Callable[[MemoryStore], Coroutine[Any, Any, None]]
# Ids whose rows are all in one part.
IDS = [f"{number:015x}0" for number in range(100)]


def play(scene: Scene) -> None:
    """Run a scene in virtual time."""

    async def main() -> None:
        await scene(MemoryStore(now))

    run(main())


async def rows_of(store: MemoryStore, table: str) -> set[str]:
    """Return the keys of a table's rows in the part of IDS."""
    await asyncio.sleep(0.1)
    return {row.key for row in (await store.scan(table, "0")).rows}


class Retention(unittest.TestCase):
    """Rows of ids that never come back must not pile up in the store."""

    def test_old_rows_are_removed_by_later_writes(self) -> None:
        async def scene(store: MemoryStore) -> None:
            tombstones, other = Tombstones(store, now), Tombstones(store, now)
            for key in IDS[:50]:
                await other.cancel(key)
                await asyncio.sleep(1 / CANCELS_PER_S)
            for key in IDS[50:60]:
                await tombstones.refuse(key)
            await asyncio.sleep(RETENTION_S)
            await tombstones.cancel(IDS[60])
            self.assertEqual(await rows_of(store, CANCELLATION_TABLE), {IDS[60]})
            self.assertEqual(await rows_of(store, REFUSAL_TABLE), set())

        play(scene)

    def test_rows_stay_as_long_as_an_earlier_creation_can_take_effect(self) -> None:
        async def scene(store: MemoryStore) -> None:
            tombstones = Tombstones(store, now)
            await tombstones.cancel(IDS[0])
            # Written after the first sweep, so younger than it at the second one.
            await asyncio.sleep(RETENTION_S - 1)
            await tombstones.cancel(JOB.id)
            await tombstones.cancel(IDS[1])
            await asyncio.sleep(2)
            await tombstones.cancel(IDS[2])
            self.assertEqual(await rows_of(store, CANCELLATION_TABLE), {IDS[1], IDS[2]})
            self.assertIsInstance(await create_job(store, JOB, Progress("a")), Stale)

        play(scene)

    def test_a_row_that_is_written_again_stays(self) -> None:
        async def scene(store: MemoryStore) -> None:
            tombstones = Tombstones(store, now)
            await tombstones.cancel(IDS[0])
            await asyncio.sleep(RETENTION_S + 1)
            await tombstones.cancel(IDS[0])
            self.assertEqual(await rows_of(store, CANCELLATION_TABLE), {IDS[0]})

        play(scene)

    def test_a_sweep_that_fails_is_made_up_for(self) -> None:
        async def scene(store: MemoryStore) -> None:
            tombstones = Tombstones(store, now)
            await tombstones.cancel(IDS[0])
            await asyncio.sleep(RETENTION_S + 1)
            scan = store.scan
            for exc in (PlatformDown(), AnswerLost()):
                store.scan = AsyncMock(side_effect=exc)  # type: ignore[method-assign]
                await tombstones.cancel(IDS[1])
                await asyncio.sleep(0.1)
            store.scan = scan  # type: ignore[method-assign]
            await tombstones.cancel(IDS[2])
            self.assertEqual(await rows_of(store, CANCELLATION_TABLE), {IDS[1], IDS[2]})

        play(scene)


class Rate(unittest.IsolatedAsyncioTestCase):
    def test_made_up_ids_do_not_use_up_the_store(self) -> None:
        """Each costs a write; jobs that are stored are cancelled all the same."""

        async def main() -> None:
            cluster = Cluster(1)
            cluster.start()
            await asyncio.sleep(4)
            intake = cluster.entries["a-e0"].intake
            await cluster.submit("b-e0", JOB)
            answers = await asyncio.gather(
                *(intake.cancel(key, 2.0) for key in IDS), return_exceptions=True
            )
            refused = sum(isinstance(each, RateExceeded) for each in answers)
            self.assertGreaterEqual(refused, len(IDS) - 2 * CANCELS_PER_S)
            self.assertGreaterEqual(answers.count(False), CANCELS_PER_S)
            self.assertTrue(await intake.cancel(JOB.id, 2.0))
            await asyncio.sleep(1)
            self.assertFalse(await intake.cancel(IDS[-1], 2.0))
            cluster.close()

        run(main())

    async def test_a_cancel_beyond_the_rate_gets_429_at_once(self) -> None:
        daemon = Mock()
        daemon.intake.cancel = AsyncMock(side_effect=RateExceeded())
        daemon.operations.catalogue.find.return_value.prefix = "/q/"
        req = Request("DELETE", "/q/" + JOB.id, "", {"host": "h"}, b"")
        response = await Frontend(daemon).handle(req)
        self.assertEqual(response.status, 429)
        self.assertIn("Retry-After", dict(response.headers))


if __name__ == "__main__":
    unittest.main()
