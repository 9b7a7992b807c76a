"""A small HTTP/1.1 server and a pooled client, both on h11."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, NamedTuple

import h11

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
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 1_048_576
# Above the largest object that a platform stores.
MAX_RESPONSE_BYTES = 16 * 1_048_576
REQUEST_READ_S = 5.0
IDLE_TIMEOUT_S = 60.0
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


class HttpServer:
    """Serves requests on one port and counts those in flight."""

    def __init__(self, handler: Handler, max_body: int = MAX_BODY_BYTES) -> None:
        self._handler = handler
        self._max_body = max_body
        self._server: asyncio.Server | None = None
        self._conn_tasks: set[asyncio.Task[None]] = set()
        self._active = 0
        self.closing = False
        self.port = 0

    @property
    def active(self) -> int:
        """Return the number of requests in flight."""
        return self._active

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port in use."""
        self._server = await asyncio.start_server(self._accept, host, port, backlog=1024)
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

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._conn_tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._conn_tasks.discard(task)
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        while True:
            try:
                req = await self._read(conn, reader)
            except CurranthallError as exc:
                log(Event.INPUT_REFUSED, error=exc)
                await _send(conn, writer, error_response(exc), close=True)
                return
            if req is None:
                return
            self._active += 1
            try:
                response = await self._answer(req)
                await _send(conn, writer, response, close=self.closing)
            finally:
                self._active -= 1
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
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

    async def _read(self, conn: h11.Connection, reader: asyncio.StreamReader) -> Request | None:
        head: h11.Request | None = None
        body = bytearray()
        loop = asyncio.get_running_loop()
        limit = loop.time() + IDLE_TIMEOUT_S
        while True:
            try:
                event = conn.next_event()
            except h11.RemoteProtocolError as exc:
                if exc.error_status_hint == 431:
                    raise TooLarge(what="head", limit=MAX_HEAD_BYTES) from exc
                # What follows a colon is part of the request, which may contain a key.
                raise MalformedHttp(why=str(exc).partition(":")[0]) from exc
            match event:
                case h11.NEED_DATA:
                    started = head is not None or bool(conn.trailing_data[0])
                    data = await _read_some(reader, limit - loop.time(), started)
                    if not data and not started:
                        return None
                    if not started:
                        limit = loop.time() + REQUEST_READ_S
                    conn.receive_data(data)
                case h11.Request():
                    head = event
                case h11.Data():
                    body += event.data
                    if len(body) > self._max_body:
                        raise TooLarge(what="body", limit=self._max_body)
                case h11.EndOfMessage():
                    assert head is not None
                    return _build_request(head, bytes(body))
                case _:
                    return None


async def _read_some(reader: asyncio.StreamReader, seconds: float, started: bool) -> bytes:
    try:
        async with asyncio.timeout(max(seconds, 0.0)):
            return await reader.read(READ_CHUNK_BYTES)
    except TimeoutError as exc:
        if started:
            raise SlowClient(limit_s=REQUEST_READ_S) from exc
        return b""


def _build_request(head: h11.Request, body: bytes) -> Request:
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    path, _, query = head.target.decode("latin-1").partition("?")
    return Request(head.method.decode(), path, query, headers, body)


async def _send(
    conn: h11.Connection, writer: asyncio.StreamWriter, response: Response, close: bool
) -> None:
    headers = [
        ("Content-Length", str(len(response.body))),
        ("Content-Type", response.content_type),
        *response.headers,
    ]
    if close:
        headers.append(("Connection", "close"))
    with suppress(h11.LocalProtocolError):
        head = conn.send(h11.Response(status_code=response.status, headers=headers))
        body = conn.send(h11.Data(data=response.body)) or b""
        end = conn.send(h11.EndOfMessage()) or b""
        writer.write((head or b"") + body + end)
        await writer.drain()


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
