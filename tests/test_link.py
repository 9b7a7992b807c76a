"""Links between entries: late answers, unresponsive links and shutdown."""

import asyncio
import time
import unittest
from contextlib import suppress
from typing import Any
from unittest.mock import patch

from cbor2 import dumps, loads
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed

from curranthall.errors import AnswerLost, NotRun, PeerUnreachable
from curranthall.link import MAX_TIMEOUTS, SocketMesh
from curranthall.request import Endpoints, ServiceRequest
from tests.cell_fixtures import host

KEY = b"k" * 32
LOOPBACK = "127.0.0.1"


class Links(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.near, self.far = SocketMesh("near", KEY), SocketMesh("far", KEY)
        self.far.handler = self.answer
        port = await self.far.start(LOOPBACK, 0)
        self.near.dial(f"{LOOPBACK}:{port}")
        while "far" not in self.near.peers():
            await asyncio.sleep(0.01)

    async def asyncTearDown(self) -> None:
        await self.near.close()
        await self.far.close()

    async def answer(self, peer: str, verb: str, body: Any) -> Any:
        """Answer after the number of seconds given as the body."""
        await asyncio.sleep(body)
        return verb

    async def test_a_late_answer_fails_no_other_call(self) -> None:
        other = asyncio.ensure_future(self.near.call("far", "other", 0.4, 2.0))
        with self.assertRaises(AnswerLost):
            await self.near.call("far", "late", 1.0, 0.1)
        self.assertEqual(await other, "other")

    async def test_a_large_call_right_behind_the_proof_is_answered(self) -> None:
        # Bytes beyond those of a handshake must wait for the proof's check, not end the link.
        async with connect(f"ws://{LOOPBACK}:{self.far.port}") as link:
            await self.near._open_handshake(link)
            pad = bytes(2_000_000)
            await self.near._send(link, {"n": 1, "v": "large", "b": 0.0, "pad": pad})
            async with asyncio.timeout(10):
                self.assertEqual(await self.near._receive(link), {"n": 1, "b": "large"})

    async def test_a_peer_without_the_key_cannot_send_a_large_frame(self) -> None:
        # Unproven peers could fill the memory with frames of the legal size.
        async with connect(f"ws://{LOOPBACK}:{self.far.port}", max_size=None) as link:
            sending = asyncio.create_task(link.send(bytes(8_000_000)))
            with self.assertRaises(ConnectionClosed):
                async with asyncio.timeout(10):
                    await link.recv()
            sending.cancel()
        self.assertLess(self.far.admission.held, 1_000_000)
        self.assertEqual(self.far.admission.connections, 1)

    async def test_the_time_in_which_the_caller_was_busy_does_not_count(self) -> None:
        call = asyncio.ensure_future(self.near.call("far", "soon", 0.0, 0.3))
        await asyncio.sleep(0)
        time.sleep(0.6)
        self.assertEqual(await call, "soon")

    async def test_an_unresponsive_link_is_dropped_and_reconnected(self) -> None:
        for _ in range(MAX_TIMEOUTS):
            with self.assertRaises(AnswerLost):
                await self.near.call("far", "never", 30.0, 0.05)
        await asyncio.sleep(0.05)
        with self.assertRaises((PeerUnreachable, AnswerLost)):
            await self.near.call("far", "soon", 0.0, 0.05)
        for _ in range(200):
            if "far" in self.near.peers():
                break
            await asyncio.sleep(0.02)
        self.assertEqual(await self.near.call("far", "soon", 0.0, 1.0), "soon")

    async def wait_for_loss(self, peer: str) -> float:
        """Return when the link to a peer was lost, -inf unless that is within some seconds."""
        for _ in range(200):
            if self.near.lost_at(peer) > -float("inf"):
                break
            await asyncio.sleep(0.02)
        return self.near.lost_at(peer)

    async def test_a_link_that_its_peer_closes_is_lost_at_once_and_stays_so(self) -> None:
        """A killed peer that is back at its address would look as if it had worked all the time."""
        before = time.monotonic()
        port = self.far.port
        with patch("curranthall.link.RECONNECT_DELAY_S", 0.05):
            await self.far.close()
            lost_at = await self.wait_for_loss("far")
            self.assertTrue(before <= lost_at <= before + 1.0, lost_at - before)
            self.far = SocketMesh("far", KEY)
            self.far.handler = self.answer
            await self.far.start(LOOPBACK, port)
            while "far" not in self.near.peers():
                await asyncio.sleep(0.01)
        self.assertEqual(self.near.lost_at("far"), lost_at)

    async def test_a_link_that_is_aborted_after_timeouts_is_lost(self) -> None:
        for _ in range(MAX_TIMEOUTS):
            self.assertEqual(self.near.lost_at("far"), -float("inf"))
            with self.assertRaises(AnswerLost):
                await self.near.call("far", "never", 30.0, 0.05)
        self.assertGreater(await self.wait_for_loss("far"), -float("inf"))

    async def test_a_link_that_is_closed_on_purpose_is_not_lost(self) -> None:
        self.near.retain(set())
        while "far" in self.near.peers():
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        self.assertEqual(self.near.lost_at("far"), -float("inf"))

    async def test_a_link_that_never_opened_is_not_lost(self) -> None:
        """Refused or rejected attempts are retried twice a second."""
        stranger = SocketMesh("stranger", b"other" * 8)
        refused = f"{LOOPBACK}:1"
        rejected = f"{LOOPBACK}:{await stranger.start(LOOPBACK, 0)}"
        with patch("curranthall.link.RECONNECT_DELAY_S", 0.02):
            self.near.dial(refused)
            self.near.dial(rejected)
            await asyncio.sleep(0.3)
        for peer in (refused, rejected, "stranger", "near"):
            self.assertEqual(self.near.lost_at(peer), -float("inf"))
        await stranger.close()

    async def test_losses_of_peers_that_are_not_dialed_any_more_are_forgotten(self) -> None:
        """An entry would keep one for each former holder."""
        address = f"{LOOPBACK}:{self.far.port}"
        self.far._own_id = address
        self.near.retain(set())
        self.near.retain({address})
        while address not in self.near.peers():
            await asyncio.sleep(0.01)
        await self.far.close()
        self.assertGreater(await self.wait_for_loss(address), -float("inf"))
        self.near.retain({address})
        self.assertGreater(self.near.lost_at(address), -float("inf"))
        self.near.retain(set())
        self.assertEqual(self.near.lost_at(address), -float("inf"))

    async def test_drain_waits_for_the_pending_answers(self) -> None:
        pending = asyncio.ensure_future(self.near.call("far", "answer", 0.2, 2.0))
        await asyncio.sleep(0.05)
        await self.far.drain(1.0)
        await self.far.close()
        self.assertEqual(await pending, "answer")


class OddFrames(unittest.IsolatedAsyncioTestCase):
    """Frames of a peer of another version, or of an entry that holds the key and is faulty."""

    async def asyncSetUp(self) -> None:
        self.near = SocketMesh("near", KEY)
        self.near.handler = self.answer
        self.port = await self.near.start(LOOPBACK, 0)

    async def asyncTearDown(self) -> None:
        await self.near.close()

    async def answer(self, peer: str, verb: str, body: Any) -> Any:
        """Fail as a decoder does; echo the body of `echo`."""
        match verb:
            case "cbor":
                return loads(b"\x81" * 500)
            case "deep":
                raise RecursionError("maximum recursion depth exceeded")
            case "empty":
                return [][0]
            case "unexpected":
                raise RuntimeError("test")
        return body

    async def test_a_link_is_dialed_again_after_an_odd_answer(self) -> None:
        """An answer whose number is a list ended the dialing of that peer."""
        odd: list[object] = [
            {"n": []},
            {"n": {}, "e": 5},
            {"n": 1, "e": [[]]},
            [],
            5,
            b"\x81" * 500,
        ]
        dialed = 0

        async def accept(link: Any) -> None:
            nonlocal dialed
            value = odd[dialed % len(odd)]
            dialed += 1
            hello = loads(await link.recv())
            proof = self.near._make_proof("far", hello["nonce"])
            await link.send(dumps({"id": "far", "nonce": b"n" * 16, "proof": proof}))
            await link.recv()
            # The first call.
            await link.recv()
            await link.send(value if isinstance(value, bytes) else dumps(value))
            if value == odd[2]:
                await link.close()
            await link.wait_closed()

        server = await serve(accept, LOOPBACK, 0)
        port = next(iter(server.sockets)).getsockname()[1]
        with patch("curranthall.link.RECONNECT_DELAY_S", 0.02):
            self.near.dial(f"{LOOPBACK}:{port}")
            for _ in range(200):
                if dialed > 2 * len(odd):
                    break
                with suppress(AnswerLost, PeerUnreachable):
                    await self.near.call("far", "echo", None, 0.5)
                await asyncio.sleep(0.02)
        await self.near.close()
        server.close()
        self.assertGreater(dialed, 2 * len(odd))

    async def test_an_address_that_cannot_be_dialed_is_tried_again(self) -> None:
        for address in ("", "x", "a..b:1", "10.0.0.1:99999", "\0:5", "é:7"):
            self.near.dial(address)
        await asyncio.sleep(0.2)
        self.assertEqual([each.done() for each in self.near._dial_tasks.values()], [False] * 6)

    async def test_a_call_that_cannot_be_processed_is_answered(self) -> None:
        """Its caller waited for the whole time limit, and counted the link as unresponsive."""
        far = SocketMesh("far", KEY)
        far.dial(f"{LOOPBACK}:{self.port}")
        while "near" not in far.peers():
            await asyncio.sleep(0.01)
        for verb in ("cbor", "deep", "empty", "unexpected"):
            started_at = time.monotonic()
            with self.subTest(verb), self.assertRaises(AnswerLost):
                await far.call("near", verb, None, 2.0)
            self.assertLess(time.monotonic() - started_at, 1.0)
        self.assertEqual(await far.call("near", "echo", 5, 2.0), 5)
        await far.close()


class Closing(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_forwarded_during_shutdown_is_refused(self) -> None:
        """If accepted, it would be cut off by the stop and its outcome would be unknown."""
        endpoints = Endpoints(SingleWorkerKeeper(), EmptyConfig(), lambda: 0.0)  # type: ignore[arg-type]
        req = ServiceRequest("r1", "proof", "acme", b"", 1.0, idempotent=False)
        self.assertEqual(await endpoints.serve("w1", req), b"answer")
        endpoints.closed = True
        with self.assertRaises(NotRun):
            await endpoints.serve("w1", req._replace(id="r2"))


class EmptyConfig:
    """A configuration without rows."""

    def rows(self, kind: str) -> dict[str, Any]:
        return {}


class HeldWorker:
    """A held worker that answers at once."""

    lease = None
    inflight = 0

    def __init__(self) -> None:
        self.host, self.worker = host("w1"), self

    def is_usable(self, now: float) -> bool:
        return True

    async def serve(self, service: str, request: str, body: bytes, left_s: float) -> bytes:
        return b"answer"


class SingleWorkerKeeper:
    """A lease keeper that holds one worker."""

    def __init__(self) -> None:
        self.workers = {"w1": HeldWorker()}


if __name__ == "__main__":
    unittest.main()
