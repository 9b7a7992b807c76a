"""A small HTTP/1.1 server and a pooled client, both on h11."""

import asyncio
import json
import os
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, NamedTuple

import h11

from curranthall.admission import (
    Admission,
    Drop,
    ParseQueue,
    Slot,
    State,
    default_admission,
)
from curranthall.errors import (
    AnswerLost,
    BadInput,
    ConnectFailed,
    CurranthallError,
    MalformedHttp,
    SlowClient,
    TooLarge,
)
from curranthall.events import Event, log
from curranthall.timeouts import lag_tolerant_timeout

READ_CHUNK_BYTES = 65_536
SERVER_READ_BYTES = 16_384
# Bytes of a connection that wait for the parser before its client has to wait.
INBOX_BYTES = 16_384
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 1_048_576
# Above the largest object that a platform stores.
MAX_RESPONSE_BYTES = 16 * 1_048_576
REQUEST_READ_S = 5.0
IDLE_TIMEOUT_S = 60.0
WRITE_TIMEOUT_S = 30.0
# How long a refused client may go on sending before it is reset.
LINGER_S = 1.0
# Chunks of one byte take six on the wire.
MAX_FRAMING_FACTOR = 8
# Connections accepted in one step of the loop, and those that the kernel keeps until then. Up to
# four batches have descriptors beyond the limit: asyncio admits, drops and closes in later steps.
ACCEPT_BATCH = 16
LISTEN_BACKLOG = 1_024
# A request of more events of the parser than these, and one per so many bytes of its body, waits
# for its turn: an event takes about 10 microseconds whatever its size.
FREE_EVENTS = 16
BYTES_PER_FREE_EVENT = 1_024
# A turn's length, and the time that the loop has for everything else after it.
PARSE_SLICE_S = 0.003
PARSE_PAUSE_S = 0.003
BUSY_BODY = b'{"error": "busy"}'
BUSY_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
    b"Curranthall-Outcome: not-run\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
    % (len(BUSY_BODY), BUSY_BODY)
)
JSON_TYPE = "application/json"


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Parse the body as JSON, an empty one as {}; raise BadInput."""
        try:
            return json.loads(self.body or b"{}")
        except ValueError as exc:
            raise BadInput(field="body", found="not JSON") from exc


class Response(NamedTuple):
    """A complete response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = JSON_TYPE

    def json(self) -> Any:
        """Parse the body as JSON, an empty one as null."""
        return json.loads(self.body or b"null")


Handler = Callable[[Request], Awaitable[Response]]


def json_response(value: object, status: int = 200, **headers: str) -> Response:
    """Build a response with a JSON body; in the names of headers `_` stands for `-`."""
    fields = tuple((key.replace("_", "-"), text) for key, text in headers.items())
    return Response(status, json.dumps(value).encode(), fields)


def error_response(exc: CurranthallError) -> Response:
    """Build the response to a failure: its status, code and fields."""
    body = {"error": exc.code, **{key: _to_json_value(value) for key, value in exc.fields.items()}}
    return json_response(body, exc.status, **_outcome_header(exc))


def _to_json_value(value: object) -> object:
    return value if isinstance(value, str | int | float | list | dict | None) else str(value)


def _outcome_header(exc: CurranthallError) -> dict[str, str]:
    outcome = "unknown" if exc.code == "unknown" else "not-run"
    return {"Curranthall_Outcome": outcome}


class _Link(asyncio.BufferedProtocol):
    """A client's connection: what arrived and is not parsed, the body so far, and its task."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._admission = server.admission
        self._slot: Slot | None = None
        self._task: asyncio.Task[None] | None = None
        self._wakeup: asyncio.Future[None] | None = None
        self._flushed: asyncio.Future[None] | None = None
        self._is_paused = False
        self._is_discarding = False
        self._inbox = bytearray()
        self._at_eof = False
        # Bytes given to the parser that it may still hold.
        self.fed = 0
        self.body = bytearray()
        self.has_head = False
        # Whether the request being read or served has the method HEAD.
        self.is_head = False
        self.conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.transport: asyncio.Transport

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # Writing waits until the kernel has all, so that unread answers are counted.
        transport.set_write_buffer_limits(high=0)
        self._slot = self._admission.open(self.drop)
        if self._slot is None:
            transport.abort()
            return
        self._task = self._server.spawn(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        # Shared by all connections: the transport fills it and reports it in one step.
        return self._server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._is_discarding or self._slot is None:
            return
        self._inbox += self._server.buffer[:nbytes]
        if len(self._inbox) > INBOX_BYTES:
            self._is_paused = True
            self.transport.pause_reading()
        _wake(self._wakeup)
        # Last, as it may drop this connection.
        self._admission.set_held(self._slot, self._slot.held + nbytes)

    def eof_received(self) -> bool:
        self._at_eof = True
        _wake(self._wakeup)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._at_eof = True
        _wake(self._wakeup)
        _wake(self._flushed)
        is_reading = self._slot is not None and self._slot.state is State.READING
        if exc is not None and is_reading and self._task is not None:
            # No answer can reach the client, so its request takes no more parse time.
            self._task.cancel()

    def pause_writing(self) -> None:
        self._flushed = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        _wake(self._flushed)
        self._flushed = None

    # Called by the budget

    def drop(self, reason: Drop) -> None:
        """Close the connection at once, refusing a request of which the head was read."""
        if self.has_head:
            # Lost if the client reads only after it has sent more, which is a refusal too.
            self.transport.write(BUSY_ANSWER)
        self._inbox.clear()
        self.body.clear()
        self.transport.abort()
        if self._task is not None:
            self._task.cancel()

    # Called by the connection's task

    def set_state(self, state: State) -> None:
        """Tell the budget what the connection does."""
        assert self._slot is not None
        self._admission.set_state(self._slot, state)

    def set_held(self, more: int = 0) -> None:
        """Tell the budget what the connection holds: its buffers and `more` bytes."""
        assert self._slot is not None
        held = len(self._inbox) + self.fed + len(self.body) + more
        self._admission.set_held(self._slot, held)

    def close(self) -> None:
        """Close the connection; it sends what is left of an answer."""
        if self._slot is not None:
            self._admission.close(self._slot)
            # The slot refers to the connection: without the cycle its buffers are freed at once.
            self._slot = None
        self.transport.close()

    @property
    def has_input(self) -> bool:
        """Return whether a read returns at once."""
        return bool(self._inbox) or self._at_eof

    async def read(self) -> bytes:
        """Return the next bytes that arrive, none at the end."""
        while not self.has_input:
            self._wakeup = asyncio.get_running_loop().create_future()
            await self._wakeup
        data = bytes(self._inbox[:SERVER_READ_BYTES])
        del self._inbox[:SERVER_READ_BYTES]
        if self._is_paused and len(self._inbox) <= INBOX_BYTES:
            self._is_paused = False
            self.transport.resume_reading()
        return data

    async def send(self, response: Response, close: bool) -> None:
        """Send a response; raise ConnectionError if the client does not read it in time."""
        headers = [
            ("Content-Length", str(len(response.body))),
            ("Content-Type", response.content_type),
            *response.headers,
        ]
        if close:
            headers.append(("Connection", "close"))
        with suppress(h11.LocalProtocolError):
            head = self.conn.send(h11.Response(status_code=response.status, headers=headers))
            # The answer to HEAD has the length of the body, but no body.
            content = b"" if self.is_head else response.body
            body = self.conn.send(h11.Data(data=content)) or b""
            end = self.conn.send(h11.EndOfMessage()) or b""
            self.transport.write((head or b"") + body + end)
        if self._flushed is not None:
            await self._flush(self._flushed)

    def send_continue(self) -> None:
        """Tell a client that waits for it to send its body."""
        if self.conn.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
            self.transport.write(self.conn.send(event) or b"")

    async def _flush(self, flushed: asyncio.Future[None]) -> None:
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await flushed
        except TimeoutError as exc:
            self._admission.note_dropped(Drop.UNREAD)
            self.transport.abort()
            raise ConnectionError from exc

    async def linger(self) -> None:
        """Discard what a refused client still sends, as a reset could hide the answer from it."""
        self._is_discarding = True
        self._inbox.clear()
        self.transport.resume_reading()
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await self.read()


def _wake(fut: asyncio.Future[None] | None) -> bool:
    """End a wait; return whether anyone waited."""
    if fut is None or fut.done():
        return False
    fut.set_result(None)
    return True


class _ParseTurn:
    """The parse time of one request, in slices once it needs more than an ordinary one."""

    def __init__(self, queue: ParseQueue) -> None:
        self._queue = queue
        self._number = queue.new_number()
        self._events = 0
        self._spent_s = 0.0
        self._began_at: float | None = None

    async def note_event(self, body_bytes: int) -> None:
        """Count an event of the parser; wait if the request has to let others go on."""
        self._events += 1
        if self._events <= FREE_EVENTS + body_bytes // BYTES_PER_FREE_EVENT:
            return
        if self._began_at is None:
            await self._begin()
        elif time.monotonic() - self._began_at >= PARSE_SLICE_S:
            slice_s = time.monotonic() - self._began_at
            try:
                await asyncio.sleep(PARSE_PAUSE_S)
            finally:
                self._end(slice_s)
            await self._begin()

    def end(self) -> None:
        """End the turn, if the request has it."""
        if self._began_at is not None:
            self._end(time.monotonic() - self._began_at)

    def _end(self, slice_s: float) -> None:
        self._began_at = None
        self._spent_s += slice_s
        self._queue.release(slice_s)

    async def _begin(self) -> None:
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        ticket = self._queue.request(self._number, self._spent_s, lambda: _wake(granted))
        try:
            # Without a step of the loop if the turn is free.
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self._queue.release(0.0)
            else:
                self._queue.withdraw(ticket)
            raise
        self._began_at = time.monotonic()


class HttpServer:
    """Serves requests on one port, within a budget, and counts those in flight."""

    def __init__(
        self,
        handler: Handler,
        max_body: int = MAX_BODY_BYTES,
        admission: Admission | None = None,
    ) -> None:
        self._handler = handler
        self._max_body = max_body
        self._server: asyncio.Server | None = None
        self._conn_tasks: set[asyncio.Task[None]] = set()
        self._active = 0
        self.admission = admission or default_admission(max_body)
        self.buffer = memoryview(bytearray(SERVER_READ_BYTES))
        self.closing = False
        self.port = 0

    @property
    def active(self) -> int:
        """Return the number of requests in flight."""
        return self._active

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port in use."""
        loop = asyncio.get_running_loop()
        # asyncio accepts as many connections at once as its backlog says, before any is admitted.
        self._server = await loop.create_server(
            lambda: _Link(self), host, port, backlog=ACCEPT_BATCH
        )
        for listener in self._server.sockets:
            with socket.socket(fileno=os.dup(listener.fileno())) as sock:
                sock.listen(LISTEN_BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def drain(self, grace_s: float) -> None:
        """Stop listening, wait at most `grace_s` seconds for requests in flight, close."""
        self.closing = True
        if self._server is not None:
            self._server.close()
        deadline = asyncio.get_running_loop().time() + grace_s
        while self._active and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.01)
        for task in list(self._conn_tasks):
            task.cancel()
        await asyncio.gather(*self._conn_tasks, return_exceptions=True)

    def spawn(self, link: _Link) -> asyncio.Task[None]:
        """Start serving a connection."""
        task = asyncio.create_task(self._run(link))
        self._conn_tasks.add(task)
        task.add_done_callback(self._conn_tasks.discard)
        # A task that is cancelled before its first step runs no `finally`.
        task.add_done_callback(lambda _: link.close())
        return task

    async def _run(self, link: _Link) -> None:
        try:
            await self._serve(link)
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            pass
        except Exception as exc:
            # A defect met by one connection must not pass unseen.
            log(Event.LOOP_FAILED, where="connection", error=repr(exc))

    async def _serve(self, link: _Link) -> None:
        conn = link.conn
        while True:
            link.set_state(State.IDLE)
            try:
                req = await self._read(link)
            except CurranthallError as exc:
                log(Event.INPUT_REFUSED, error=exc)
                link.body.clear()
                link.has_head = False
                link.set_state(State.WRITING)
                await link.send(error_response(exc), close=True)
                await link.linger()
                return
            if req is None:
                return
            # From here on a handler may act on the request: it isn't refused any more.
            link.set_state(State.SERVING)
            self._active += 1
            try:
                response = await self._answer(req)
                del req
                link.has_head = False
                link.set_held(len(response.body))
                link.set_state(State.WRITING)
                await link.send(response, close=self.closing)
            finally:
                self._active -= 1
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            link.fed = len(conn.trailing_data[0])
            link.set_held()
            conn.start_next_cycle()

    async def _answer(self, req: Request) -> Response:
        try:
            return await self._handler(req)
        except CurranthallError as exc:
            return error_response(exc)
        except Exception as exc:
            # A fault in one handler must not end the connection and its other requests.
            log(Event.LOOP_FAILED, where=req.path, error=repr(exc))
            return json_response({"error": "internal"}, 500, Curranthall_Outcome="unknown")

    async def _read(self, link: _Link) -> Request | None:
        turn = _ParseTurn(self.admission.parsing)
        try:
            return await self._read_request(link, turn)
        finally:
            turn.end()

    async def _read_request(self, link: _Link, turn: _ParseTurn) -> Request | None:
        head: h11.Request | None = None
        link.is_head = False
        # Part of a request may have come with the one before.
        wire_bytes = link.fed
        wait_s = REQUEST_READ_S if wire_bytes else IDLE_TIMEOUT_S
        while True:
            match event := _next_event(link.conn):
                case h11.NEED_DATA:
                    if head is not None:
                        link.fed = 0
                        link.set_held()
                        link.send_continue()
                    started = head is not None or wire_bytes > 0
                    if not link.has_input:
                        turn.end()
                    began_at = time.monotonic()
                    data = await _read_some(link, wait_s, started)
                    if not data and not started:
                        return None
                    if started:
                        # Only the client's own time counts, not that of parsing and of turns.
                        wait_s -= time.monotonic() - began_at
                    else:
                        wait_s = REQUEST_READ_S
                        link.set_state(State.READING)
                    wire_bytes += len(data)
                    if wire_bytes > MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * self._max_body:
                        raise TooLarge(what="chunks", limit=self._max_body)
                    link.fed += len(data)
                    link.conn.receive_data(data)
                case h11.Request():
                    head = event
                    link.has_head = True
                    link.is_head = event.method == b"HEAD"
                case h11.Data():
                    link.body += event.data
                    if len(link.body) > self._max_body:
                        raise TooLarge(what="body", limit=self._max_body)
                    await turn.note_event(len(link.body))
                case h11.EndOfMessage():
                    assert head is not None
                    req = _build_request(head, bytes(link.body))
                    link.body.clear()
                    link.set_state(State.SERVING)
                    link.fed = len(link.conn.trailing_data[0])
                    link.set_held(len(req.body))
                    return req
                case _:
                    return None


def _next_event(conn: h11.Connection) -> Any:
    try:
        return conn.next_event()
    except h11.RemoteProtocolError as exc:
        if exc.error_status_hint == 431:
            raise TooLarge(what="head", limit=MAX_HEAD_BYTES) from exc
        # What follows a colon is part of the request, which may contain a key.
        raise MalformedHttp(why=str(exc).partition(":")[0]) from exc


async def _read_some(link: _Link, seconds: float, started: bool) -> bytes:
    try:
        async with asyncio.timeout(max(seconds, 0.0)):
            return await link.read()
    except TimeoutError as exc:
        # Data that came in the same step of the loop as the timeout counts.
        if link.has_input:
            return await link.read()
        if started:
            raise SlowClient(limit_s=REQUEST_READ_S) from exc
        return b""


def _build_request(head: h11.Request, body: bytes) -> Request:
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    path, _, query = head.target.decode("latin-1").partition("?")
    return Request(head.method.decode(), path, query, headers, body)


class _Connection(NamedTuple):
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    conn: h11.Connection


class HttpClient:
    """Calls one address over a pool of at most `limit` connections."""

    def __init__(self, address: str, limit: int) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[_Connection] = []
        self._semaphore = asyncio.Semaphore(limit)
        self.opened_connections = 0
        self.total_bytes = 0

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout: float = 5.0,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Response:
        """Send one request; raise ConnectFailed (nothing sent) or AnswerLost."""
        sent = False
        try:
            async with lag_tolerant_timeout(timeout), self._semaphore:
                pooled = await self._get_connection()
                sent = True
                return await self._exchange(pooled, method, path, body, headers)
        except (OSError, TimeoutError, EOFError, h11.ProtocolError) as exc:
            failure = AnswerLost if sent else ConnectFailed
            raise failure(peer=f"{self._host}:{self._port}", why=type(exc).__name__) from exc

    async def json(self, method: str, path: str, value: object, timeout: float = 5.0) -> Response:
        """Send a request with a JSON body."""
        return await self.call(method, path, json.dumps(value).encode(), timeout)

    def close(self) -> None:
        """Close the idle connections."""
        for pooled in self._idle:
            pooled.writer.close()
        self._idle.clear()

    async def _get_connection(self) -> _Connection:
        while self._idle:
            pooled = self._idle.pop()
            # On a connection closed by the peer, it would be unknown whether the request ran.
            if not pooled.reader.at_eof() and not pooled.writer.is_closing():
                return pooled
            pooled.writer.close()
        reader, writer = await asyncio.open_connection(self._host, self._port)
        self.opened_connections += 1
        return _Connection(reader, writer, h11.Connection(h11.CLIENT))

    async def _exchange(
        self,
        pooled: _Connection,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> Response:
        reader, writer, conn = pooled
        returned_to_pool = False
        try:
            fields = [("Host", f"{self._host}:{self._port}"), ("Content-Length", str(len(body)))]
            head = conn.send(h11.Request(method=method, target=path, headers=[*fields, *headers]))
            data = conn.send(h11.Data(data=body)) or b""
            message = (head or b"") + data + (conn.send(h11.EndOfMessage()) or b"")
            writer.write(message)
            self.total_bytes += len(message)
            response = await self._receive(conn, reader)
            if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
                conn.start_next_cycle()
                self._idle.append(pooled)
                returned_to_pool = True
            return response
        finally:
            if not returned_to_pool:
                writer.close()

    async def _receive(self, conn: h11.Connection, reader: asyncio.StreamReader) -> Response:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = conn.next_event()
            match event:
                case h11.NEED_DATA:
                    data = await reader.read(READ_CHUNK_BYTES)
                    self.total_bytes += len(data)
                    conn.receive_data(data)
                case h11.Response():
                    head = event
                case h11.Data():
                    body += event.data
                    if len(body) > MAX_RESPONSE_BYTES:
                        raise EOFError
                case h11.EndOfMessage():
                    assert head is not None
                    headers = tuple((n.decode(), v.decode("latin-1")) for n, v in head.headers)
                    return Response(head.status_code, bytes(body), headers)
                case h11.ConnectionClosed():
                    raise EOFError
                case _:
                    pass
