"""The mesh between entries: calls as CBOR frames over WebSockets, authenticated by a shared key."""

import asyncio
import hmac
import os
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, Protocol

from curranthall.admission import Admission, Slot, State, default_admission
from curranthall.errors import AnswerLost, CurranthallError, NotRun, PeerUnreachable, Unknown
from curranthall.events import Event, log
from curranthall.timeouts import lag_tolerant_timeout
from curranthall.values import DECODE_ERRORS, reason

MAX_FRAME_BYTES = 8 * 1_048_576
# All that a peer may send before it has proved the key: the HTTP upgrade, a hello and a proof.
MAX_HANDSHAKE_BYTES = 16_384
HANDSHAKE_TIMEOUT_S = 3.0
RECONNECT_DELAY_S = 0.5
NONCE_BYTES = 16
# Call timeouts without any frame from the peer in between, after which a link is dropped.
MAX_TIMEOUTS = 3

Handler = Callable[[str, str, Any], Awaitable[Any]]


class Mesh(Protocol):
    """Interface of the mesh to the rest of an entry."""

    @property
    def traffic(self) -> int:
        """Return the number of bytes sent and received."""

    def peers(self) -> list[str]:
        """Return the ids of the peers with an open link."""

    def cast(self, peer: str, verb: str, body: Any) -> None:
        """Send a message without an answer; it is dropped if it can't be sent."""

    async def call(self, peer: str, verb: str, body: Any, timeout: float) -> Any:
        """Call a peer; raise PeerUnreachable (not sent), AnswerLost, or the peer's failure."""

    async def drain(self, limit_s: float) -> None:
        """Wait at most `limit_s` seconds until the peers' calls are answered."""


def failure_to_wire(exc: CurranthallError) -> dict[str, Any]:
    """Encode a failure for the calling side."""
    return {"code": exc.code, "why": str(exc.fields.get("why", exc))}


def failure_from_wire(value: Any) -> CurranthallError:
    """Decode a failure; with an unknown code, the call may have had an effect."""
    code = value.get("code") if isinstance(value, dict) else None
    why = value.get("why") if isinstance(value, dict) else None
    match code:
        case "not-run":
            return NotRun(why=why)
        case "unknown":
            return Unknown(why=why)
        case _:
            return AnswerLost(why=why)


class _PendingCalls:
    """The calls of one link that wait for an answer, by number."""

    def __init__(self) -> None:
        self._last_number = 0
        self._futures: dict[int, asyncio.Future[Any]] = {}

    def add(self) -> tuple[int, asyncio.Future[Any]]:
        self._last_number += 1
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._futures[self._last_number] = fut
        return self._last_number, fut

    def discard(self, number: int) -> None:
        self._futures.pop(number, None)

    def resolve(self, number: Any, ok: bool, value: Any) -> None:
        fut = self._futures.pop(number, None)
        if fut is None or fut.done():
            log(Event.LATE_ANSWER_DROPPED, number=number)
        elif ok:
            fut.set_result(value)
        else:
            fut.set_exception(failure_from_wire(value))

    def fail_all(self) -> None:
        for fut in self._futures.values():
            if not fut.done():
                fut.set_exception(AnswerLost(why="link closed"))
        self._futures.clear()


class SocketMesh:
    """The mesh over WebSockets; each entry sends its calls over links that it dials."""

    def __init__(
        self,
        own_id: str,
        key: bytes,
        clock: Callable[[], float] = time.monotonic,
        admission: Admission | None = None,
    ) -> None:
        self._own_id = own_id
        self._key = key
        self._clock = clock
        self.admission = admission or default_admission(MAX_HANDSHAKE_BYTES)
        self._links: dict[str, Any] = {}
        self._calls: dict[str, _PendingCalls] = {}
        self._timeouts: dict[str, int] = {}
        # By dialed peer, when its last link was lost.
        self._lost_at: dict[str, float] = {}
        self._server: Any = None
        self._dial_tasks: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.handler: Handler | None = None
        self._traffic_bytes = 0
        self.port = 0

    @property
    def traffic(self) -> int:
        """Return the number of bytes sent and received."""
        return self._traffic_bytes

    async def start(self, host: str, port: int) -> int:
        """Listen for peers; return the port in use."""
        from websockets.asyncio.server import serve

        self._server = await serve(
            self._accept,
            host,
            port,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            close_timeout=0.2,
            create_connection=_make_connection_type(self.admission),
        )
        self.port = next(iter(self._server.sockets)).getsockname()[1]
        return self.port

    def dial(self, address: str) -> None:
        """Keep a link to an address, reconnecting when it is lost."""
        if address not in self._dial_tasks:
            self._dial_tasks[address] = asyncio.create_task(self._keep_link(address))

    def retain(self, addresses: set[str]) -> None:
        """Keep links to exactly these addresses."""
        for address in [address for address in self._dial_tasks if address not in addresses]:
            self._dial_tasks.pop(address).cancel()
        self._lost_at = {peer: at for peer, at in self._lost_at.items() if peer in addresses}
        for address in addresses:
            self.dial(address)

    async def drain(self, limit_s: float) -> None:
        """Wait at most `limit_s` seconds until the peers' calls are answered."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=limit_s)

    async def close(self) -> None:
        """Close all links and stop listening."""
        for task in [*self._dial_tasks.values(), *self._tasks]:
            task.cancel()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def peers(self) -> list[str]:
        """Return the ids of the peers with an open link."""
        return list(self._links)

    def lost_at(self, peer: str) -> float:
        """Return when a link to a peer was last lost, -inf if never; closing one is no loss."""
        return self._lost_at.get(peer, -float("inf"))

    def cast(self, peer: str, verb: str, body: Any) -> None:
        """Send a message without an answer."""
        link: Any = self._links.get(peer)
        if link is not None:
            self._spawn(self._send(link, {"v": verb, "b": body}))

    async def call(self, peer: str, verb: str, body: Any, timeout: float) -> Any:
        """Call a peer and wait for the answer."""
        link: Any = self._links.get(peer)
        if link is None:
            raise PeerUnreachable(peer=peer)
        calls = self._calls[peer]
        number, fut = calls.add()
        try:
            async with lag_tolerant_timeout(timeout):
                await self._send(link, {"n": number, "v": verb, "b": body})
                return await fut
        except TimeoutError as exc:
            self._record_timeout(peer, link)
            raise AnswerLost(peer=peer, why="timeout") from exc
        finally:
            calls.discard(number)

    def _record_timeout(self, peer: str, link: Any) -> None:
        """Abort a link after several timeouts in a row; reconnecting shows whether the peer is up.

        A single late answer must not fail the link's other calls.
        """
        self._timeouts[peer] = self._timeouts.get(peer, 0) + 1
        current = self._links.get(peer)
        if self._timeouts[peer] >= MAX_TIMEOUTS and current is not None and current is link:
            current.transport.abort()

    async def _send(self, link: Any, frame: dict[str, Any]) -> None:
        from cbor2 import dumps
        from websockets.exceptions import ConnectionClosed

        data = dumps(frame)
        self._traffic_bytes += len(data)
        try:
            await link.send(data)
        except ConnectionClosed as exc:
            raise AnswerLost(why="link closed") from exc

    # Dialing side: sends calls and reads answers

    async def _keep_link(self, address: str) -> None:
        while True:
            try:
                await self._run_link(address)
            except (OSError, TimeoutError, CurranthallError):
                pass
            except Exception as exc:
                # An odd frame or address must not end the dialing of the peer.
                log(Event.LOOP_FAILED, where=f"link to {address}", error=reason(exc))
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _run_link(self, address: str) -> None:
        from websockets.asyncio.client import connect
        from websockets.exceptions import ConnectionClosed, InvalidHandshake

        try:
            async with connect(
                f"ws://{address}",
                max_size=MAX_FRAME_BYTES,
                compression=None,
                ping_interval=None,
                open_timeout=HANDSHAKE_TIMEOUT_S,
                close_timeout=0.2,
            ) as link:
                peer = await self._open_handshake(link)
                if peer == self._own_id:
                    # This entry's own address; if the link were closed, it would be dialed again.
                    await asyncio.sleep(float("inf"))
                await self._read_answers(peer, link)
        except (ConnectionClosed, InvalidHandshake):
            return

    async def _open_handshake(self, link: Any) -> str:
        nonce = os.urandom(NONCE_BYTES)
        await self._send(link, {"id": self._own_id, "nonce": nonce})
        hello = await self._receive(link)
        if not self._is_proof_valid(hello, nonce):
            log(Event.PEER_REFUSED, why="wrong key", side="dialing")
            raise PeerUnreachable(why="wrong key")
        await self._send(link, {"proof": self._make_proof(self._own_id, hello["nonce"])})
        return str(hello["id"])

    async def _read_answers(self, peer: str, link: Any) -> None:
        calls = _PendingCalls()
        self._links[peer], self._calls[peer] = link, calls
        try:
            while True:
                frame = await self._receive(link)
                self._timeouts[peer] = 0
                calls.resolve(frame.get("n"), "e" not in frame, frame.get("e", frame.get("b")))
        except Exception:
            self._lost_at[peer] = self._clock()
            raise
        finally:
            calls.fail_all()
            if self._links.get(peer) is link:
                del self._links[peer]

    # Listening side: reads calls and sends answers

    async def _accept(self, link: Any) -> None:
        from websockets.exceptions import ConnectionClosed

        with suppress(ConnectionClosed, AnswerLost):
            try:
                peer = await self._accept_handshake(link)
            except TimeoutError:
                log(Event.PEER_REFUSED, why="no proof in time", side="listening")
                return
            if peer is not None:
                link.mark_proven()
            while peer is not None:
                frame = await self._receive(link)
                self._spawn(self._answer(peer, link, frame))

    async def _accept_handshake(self, link: Any) -> str | None:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            hello = await self._receive(link)
            peer, peer_nonce = hello.get("id"), hello.get("nonce")
            if not isinstance(peer, str) or not isinstance(peer_nonce, bytes):
                log(Event.PEER_REFUSED, why="no hello", side="listening")
                return None
            nonce = os.urandom(NONCE_BYTES)
            proof = self._make_proof(self._own_id, peer_nonce)
            await self._send(link, {"id": self._own_id, "nonce": nonce, "proof": proof})
            answer = await self._receive(link)
            if not self._is_proof_valid({"id": peer, **answer}, nonce):
                log(Event.PEER_REFUSED, why="wrong key", side="listening", peer=peer)
                return None
            return peer

    async def _answer(self, peer: str, link: Any, frame: dict[str, Any]) -> None:
        number = frame.get("n")
        assert self.handler is not None
        try:
            reply = {
                "n": number,
                "b": await self.handler(peer, str(frame.get("v")), frame.get("b")),
            }
        except CurranthallError as exc:
            reply = {"n": number, "e": failure_to_wire(exc)}
        except DECODE_ERRORS as exc:
            log(Event.FRAME_REFUSED, peer=peer, why=reason(exc))
            reply = {"n": number, "e": {"code": "bad-frame"}}
        except Exception as exc:
            log(Event.LOOP_FAILED, where=f"call of {peer}", error=reason(exc))
            reply = {"n": number, "e": {"code": "defect"}}
        if number is not None:
            with suppress(AnswerLost):
                await self._send(link, reply)

    async def _receive(self, link: Any) -> dict[str, Any]:
        from cbor2 import loads

        data = await link.recv()
        self._traffic_bytes += len(data)
        try:
            frame = loads(data) if isinstance(data, bytes) else None
        except DECODE_ERRORS:
            frame = None
        if not isinstance(frame, dict):
            log(Event.FRAME_REFUSED, size=len(data))
            await link.close()
            raise AnswerLost(why="malformed frame")
        return frame

    def _make_proof(self, entry_id: str, nonce: bytes) -> bytes:
        return hmac.digest(self._key, entry_id.encode() + b"|" + nonce, "sha256")

    def _is_proof_valid(self, hello: dict[str, Any], nonce: bytes) -> bool:
        entry_id, proof = hello.get("id"), hello.get("proof")
        if not isinstance(entry_id, str) or not isinstance(proof, bytes):
            return False
        return hmac.compare_digest(proof, self._make_proof(entry_id, nonce))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(_ignore_lost_answer(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _make_connection_type(admission: Admission) -> Any:
    """Return the type of connections from peers; `websockets` is imported only when needed."""
    from websockets.asyncio.server import ServerConnection

    class AdmittedConnection(ServerConnection):
        """A connection that counts in the budget and may send little before it has the key."""

        _slot: Slot | None = None
        _backlog: bytearray
        _is_proven = False
        _unproven_bytes = 0

        def mark_proven(self) -> None:
            """Let the peer send large frames, and drop it no more for others."""
            self._is_proven = True
            if self._slot is not None:
                admission.set_state(self._slot, State.SERVING)
                admission.set_held(self._slot, 0)
            backlog, self._backlog = bytes(self._backlog), bytearray()
            if backlog:
                super().data_received(backlog)
            self.transport.resume_reading()

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            # What a peer sends right behind its proof waits here until the proof is checked.
            self._backlog = bytearray()
            self._slot = admission.open(lambda _: self.transport.abort())
            if self._slot is None:
                self.transport.abort()

        def data_received(self, data: bytes) -> None:
            if self._is_proven:
                super().data_received(data)
                return
            allowed = MAX_HANDSHAKE_BYTES - self._unproven_bytes
            self._unproven_bytes += len(data)
            self._backlog += data[allowed:] if allowed > 0 else data
            if self._backlog:
                self.transport.pause_reading()
            if allowed > 0:
                super().data_received(data[:allowed])
            if self._slot is not None:
                admission.set_held(self._slot, self._unproven_bytes)

        def connection_lost(self, exc: Exception | None) -> None:
            if self._slot is not None:
                admission.close(self._slot)
                self._slot = None
            super().connection_lost(exc)

    return AdmittedConnection


async def _ignore_lost_answer(coroutine: Any) -> None:
    with suppress(AnswerLost):
        await coroutine
