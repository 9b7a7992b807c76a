"""The mesh between entries: websockets with CBOR frames, calls with answers, a shared key."""

import asyncio
import hmac
import os
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, Protocol

from curranthall.errors import AnswerLost, CurranthallError, NotRun, PeerUnreachable, Unknown
from curranthall.events import Event, log

MAX_FRAME_BYTES = 8 * 1_048_576
HELLO_S = 3.0
RECONNECT_S = 0.5
NONCE_BYTES = 16
# Calls in a row without any frame from the peer, after which a link counts as silent.
SILENT_AFTER = 3

Handler = Callable[[str, str, Any], Awaitable[Any]]


class Mesh(Protocol):
    """What the slices ask of the mesh."""

    @property
    def traffic(self) -> int:
        """Count the bytes sent and received."""

    def peers(self) -> list[str]:
        """Name the peers with an open link."""

    def cast(self, peer: str, verb: str, body: Any) -> None:
        """Send without an answer; a message that can't be sent is dropped."""

    async def call(self, peer: str, verb: str, body: Any, timeout: float) -> Any:
        """Send and wait; raise PeerUnreachable (not sent), AnswerLost, or the peer's failure."""

    async def drain(self, limit_s: float) -> None:
        """Wait until what peers asked is answered, for a limited time."""


def failure_to_wire(exc: CurranthallError) -> dict[str, Any]:
    """Write a failure for the caller's side."""
    return {"code": exc.code, "why": str(exc.fields.get("why", exc))}


def failure_from_wire(value: Any) -> CurranthallError:
    """Read a failure; one that is not known here may have had an effect."""
    code = value.get("code") if isinstance(value, dict) else None
    why = value.get("why") if isinstance(value, dict) else None
    match code:
        case "not-run":
            return NotRun(why=why)
        case "unknown":
            return Unknown(why=why)
        case _:
            return AnswerLost(why=why)


class _Calls:
    """Calls waiting for an answer, by number."""

    def __init__(self) -> None:
        self._number = 0
        self._waiting: dict[int, asyncio.Future[Any]] = {}

    def open(self) -> tuple[int, asyncio.Future[Any]]:
        self._number += 1
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[self._number] = fut
        return self._number, fut

    def close(self, number: int) -> None:
        self._waiting.pop(number, None)

    def answer(self, number: Any, ok: bool, value: Any) -> None:
        fut = self._waiting.pop(number, None)
        if fut is None or fut.done():
            log(Event.LATE_ANSWER_DROPPED, number=number)
        elif ok:
            fut.set_result(value)
        else:
            fut.set_exception(failure_from_wire(value))

    def fail_all(self) -> None:
        for fut in self._waiting.values():
            if not fut.done():
                fut.set_exception(AnswerLost(why="link closed"))
        self._waiting.clear()


class SocketMesh:
    """The mesh over websockets; each side keeps a link of its own to each peer."""

    def __init__(self, own_id: str, key: bytes) -> None:
        self._own_id = own_id
        self._key = key
        self._links: dict[str, Any] = {}
        self._calls: dict[str, _Calls] = {}
        self._missed: dict[str, int] = {}
        self._server: Any = None
        self._dialing: dict[str, asyncio.Task[None]] = {}
        self._running: set[asyncio.Task[None]] = set()
        self.handler: Handler | None = None
        self._bytes = 0
        self.port = 0

    @property
    def traffic(self) -> int:
        """Count the bytes sent and received."""
        return self._bytes

    async def start(self, host: str, port: int) -> int:
        """Listen for peers."""
        from websockets.asyncio.server import serve

        self._server = await serve(
            self._accept,
            host,
            port,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=None,
            close_timeout=0.2,
        )
        self.port = next(iter(self._server.sockets)).getsockname()[1]
        return self.port

    def dial(self, address: str) -> None:
        """Keep a link to an address."""
        if address not in self._dialing:
            self._dialing[address] = asyncio.create_task(self._keep_link(address))

    def retain(self, addresses: set[str]) -> None:
        """Keep links to just these addresses."""
        for address in [address for address in self._dialing if address not in addresses]:
            self._dialing.pop(address).cancel()
        for address in addresses:
            self.dial(address)

    async def drain(self, limit_s: float) -> None:
        """Wait until what peers asked is answered, for a limited time."""
        if self._running:
            await asyncio.wait(self._running, timeout=limit_s)

    async def close(self) -> None:
        """End all links."""
        for task in [*self._dialing.values(), *self._running]:
            task.cancel()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def peers(self) -> list[str]:
        """Name the peers with an open link."""
        return list(self._links)

    def cast(self, peer: str, verb: str, body: Any) -> None:
        """Send without an answer."""
        link: Any = self._links.get(peer)
        if link is not None:
            self._spawn(self._send(link, {"v": verb, "b": body}))

    async def call(self, peer: str, verb: str, body: Any, timeout: float) -> Any:
        """Send and wait for the answer."""
        link: Any = self._links.get(peer)
        if link is None:
            raise PeerUnreachable(peer=peer)
        calls = self._calls[peer]
        number, fut = calls.open()
        try:
            async with asyncio.timeout(timeout):
                await self._send(link, {"n": number, "v": verb, "b": body})
                return await fut
        except TimeoutError as exc:
            self._note_missed(peer, link)
            raise AnswerLost(peer=peer, why="timeout") from exc
        finally:
            calls.close(number)

    def _note_missed(self, peer: str, link: Any) -> None:
        """Drop a link that went silent: a new one shows whether the peer is there.

        One late answer is no silence, and the link's other calls must not be lost for it.
        """
        self._missed[peer] = self._missed.get(peer, 0) + 1
        current = self._links.get(peer)
        if self._missed[peer] >= SILENT_AFTER and current is not None and current is link:
            current.transport.abort()

    async def _send(self, link: Any, frame: dict[str, Any]) -> None:
        from cbor2 import dumps
        from websockets.exceptions import ConnectionClosed

        data = dumps(frame)
        self._bytes += len(data)
        try:
            await link.send(data)
        except ConnectionClosed as exc:
            raise AnswerLost(why="link closed") from exc

    # The dialing side sends calls and reads answers

    async def _keep_link(self, address: str) -> None:
        while True:
            with suppress(OSError, TimeoutError, CurranthallError):
                await self._run_link(address)
            await asyncio.sleep(RECONNECT_S)

    async def _run_link(self, address: str) -> None:
        from websockets.asyncio.client import connect
        from websockets.exceptions import ConnectionClosed, InvalidHandshake

        try:
            async with connect(
                f"ws://{address}",
                max_size=MAX_FRAME_BYTES,
                compression=None,
                ping_interval=None,
                open_timeout=HELLO_S,
                close_timeout=0.2,
            ) as link:
                peer = await self._greet(link)
                if peer == self._own_id:
                    await asyncio.sleep(float("inf"))
                await self._read_answers(peer, link)
        except (ConnectionClosed, InvalidHandshake):
            return

    async def _greet(self, link: Any) -> str:
        nonce = os.urandom(NONCE_BYTES)
        await self._send(link, {"id": self._own_id, "nonce": nonce})
        hello = await self._receive(link)
        if not self._proves(hello, nonce):
            log(Event.PEER_REFUSED, why="wrong key", side="dialing")
            raise PeerUnreachable(why="wrong key")
        await self._send(link, {"proof": self._proof(self._own_id, hello["nonce"])})
        return str(hello["id"])

    async def _read_answers(self, peer: str, link: Any) -> None:
        calls = _Calls()
        self._links[peer], self._calls[peer] = link, calls
        try:
            while True:
                frame = await self._receive(link)
                self._missed[peer] = 0
                calls.answer(frame.get("n"), "e" not in frame, frame.get("e", frame.get("b")))
        finally:
            calls.fail_all()
            if self._links.get(peer) is link:
                del self._links[peer]

    # The listening side reads calls and sends answers

    async def _accept(self, link: Any) -> None:
        from websockets.exceptions import ConnectionClosed

        with suppress(ConnectionClosed, TimeoutError, AnswerLost):
            peer = await self._welcome(link)
            while peer is not None:
                frame = await self._receive(link)
                self._spawn(self._answer(peer, link, frame))

    async def _welcome(self, link: Any) -> str | None:
        async with asyncio.timeout(HELLO_S):
            hello = await self._receive(link)
            peer, theirs = hello.get("id"), hello.get("nonce")
            if not isinstance(peer, str) or not isinstance(theirs, bytes):
                log(Event.PEER_REFUSED, why="no hello", side="listening")
                return None
            nonce = os.urandom(NONCE_BYTES)
            proof = self._proof(self._own_id, theirs)
            await self._send(link, {"id": self._own_id, "nonce": nonce, "proof": proof})
            answer = await self._receive(link)
            if not self._proves({"id": peer, **answer}, nonce):
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
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            log(Event.FRAME_REFUSED, peer=peer, why=repr(exc))
            reply = {"n": number, "e": {"code": "bad-frame"}}
        if number is not None:
            with suppress(AnswerLost):
                await self._send(link, reply)

    async def _receive(self, link: Any) -> dict[str, Any]:
        from cbor2 import CBORDecodeError, loads

        data = await link.recv()
        self._bytes += len(data)
        try:
            frame = loads(data) if isinstance(data, bytes) else None
        except CBORDecodeError:
            frame = None
        if not isinstance(frame, dict):
            log(Event.FRAME_REFUSED, size=len(data))
            await link.close()
            raise AnswerLost(why="malformed frame")
        return frame

    def _proof(self, who: str, nonce: bytes) -> bytes:
        return hmac.digest(self._key, who.encode() + b"|" + nonce, "sha256")

    def _proves(self, hello: dict[str, Any], nonce: bytes) -> bool:
        who, proof = hello.get("id"), hello.get("proof")
        if not isinstance(who, str) or not isinstance(proof, bytes):
            return False
        return hmac.compare_digest(proof, self._proof(who, nonce))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(_quiet(coroutine))
        self._running.add(task)
        task.add_done_callback(self._running.discard)


async def _quiet(coroutine: Any) -> None:
    with suppress(AnswerLost):
        await coroutine
