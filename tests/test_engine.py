"""Tests of the worker stand-in: tokens, renewal stamps, late and overtaken calls, lapses."""

import asyncio
import unittest

from curranthall.errors import Fenced, Refused
from curranthall.lease import apply_grant
from curranthall.model import Host, HostState, OutcomeKind, Size, StartOrder, Task, Token
from curranthall.standin.engine import TERM_S, WorkerEngine
from tests.virtual import run

A1, B2 = Token(1, "a"), Token(2, "b")
ORDER = StartOrder(Task("j", 0, 0), "c", "acme", Size(1, 1, 0), 100.0, 0)
FOREVER = float("inf")


def engine() -> WorkerEngine:
    host = Host("w", "d", "r", "x", Size(8, 8, 0), 8, 64, HostState.LIVE)
    return WorkerEngine(host, asyncio.get_running_loop().time, "b1")


class Engine(unittest.TestCase):
    def test_a_late_renewal_does_not_extend_the_lease(self) -> None:
        async def main() -> None:
            worker, clock = engine(), asyncio.get_running_loop().time
            sent_at = clock()
            grant = worker.lease(A1, 0.0, 1, -1, TERM_S)
            lease = apply_grant(None, grant, sent_at, clock())
            await asyncio.sleep(TERM_S - 1)
            # A delayed renewal that echoes the first stamp; its response is lost.
            worker.lease(A1, grant.stamp, 2, 0, TERM_S)
            await asyncio.sleep(lease.lapsed_at - clock())
            self.assertTrue(worker.is_free, "the holder assumes that the lease has lapsed")

        run(main())

    def test_old_token_is_refused(self) -> None:
        async def main() -> None:
            worker = engine()
            worker.lease(A1, 0.0, 1, -1, TERM_S)
            with self.assertRaises(Fenced):
                worker.lease(B2, 0.0, 1, -1, TERM_S)
            worker.release(A1)
            worker.lease(B2, 0.0, 1, -1, TERM_S)
            for call in (
                lambda: worker.start(A1, 9, ORDER, FOREVER),
                lambda: worker.stop(A1, ORDER.task, False),
                lambda: worker.lease(A1, 0.0, 9, -1, TERM_S),
                lambda: worker.acknowledge(A1, [ORDER.task]),
            ):
                with self.assertRaises(Fenced):
                    call()
            self.assertEqual(worker.log, [])

        run(main())

    def test_late_and_overtaken_starts_are_refused(self) -> None:
        async def main() -> None:
            worker, now = engine(), asyncio.get_running_loop().time()
            worker.lease(A1, 0.0, 1, -1, TERM_S)
            with self.assertRaises(Refused):
                worker.start(A1, 2, ORDER, now - 0.1)
            worker.lease(A1, now, 5, -1, TERM_S)
            with self.assertRaises(Refused):
                worker.start(A1, 4, ORDER, FOREVER)
            worker.start(A1, 6, ORDER, FOREVER)
            worker.start(A1, 6, ORDER, FOREVER)
            self.assertEqual([line.what for line in worker.log], ["start"])

        run(main())

    def test_calls_that_name_a_former_boot_have_no_effect(self) -> None:
        async def main() -> None:
            worker = engine()
            worker.lease(A1, 0.0, 1, -1, TERM_S)
            lease_end = worker._lease_end
            await asyncio.sleep(1)
            with self.assertRaises(Fenced):
                worker.lease(A1, 1_000.0, 2, 0, TERM_S, "b0")
            with self.assertRaises(Refused):
                worker.start(A1, 3, ORDER, FOREVER, "b0")
            self.assertEqual((worker.log, worker._lease_end), ([], lease_end))

        run(main())

    def test_a_lapse_stops_tasks_and_keeps_their_checkpoints(self) -> None:
        async def main() -> None:
            worker = engine()
            worker.lease(A1, 0.0, 1, -1, TERM_S)
            worker.start(A1, 2, ORDER, FOREVER)
            await asyncio.sleep(TERM_S + 1)
            found = worker.inventory()
            self.assertEqual(found.running, {})
            outcome = found.outcomes[ORDER.task]
            self.assertEqual((outcome.kind, outcome.checkpoint), (OutcomeKind.EVICTED, 8))

        run(main())
