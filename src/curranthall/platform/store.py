"""Client for the platform's metadata store; implements Store."""

import base64
import time
from typing import Any, NamedTuple
from urllib.parse import urlencode

import orjson

from curranthall.errors import AnswerLost, ConnectFailed, HistoryLost, PlatformDown
from curranthall.http import HttpClient, Response
from curranthall.store import Check, Committed, Drop, Listing, Put, Row, Stale
from curranthall.telemetry import store_call_seconds
from curranthall.values import DECODE_ERRORS, fields, items, reason, text, whole

# The store is down or rejects calls from this machine.
UNAVAILABLE_STATUSES = (429, 503)
CALL_CONNECTIONS = 6
FEED_CONNECTIONS = 8
# A slow store takes about 300 ms (60 times 5 ms in its documentation); past this it counts as down.
CALL_TIMEOUT_S = 1.2
# Added to a feed's `wait-ms` for the timeout of the call.
FEED_MARGIN_S = 0.8


class PlatformStore:
    """Calls the store over HTTP."""

    def __init__(self, address: str) -> None:
        self._calls = HttpClient(address, CALL_CONNECTIONS)
        self._feeds = HttpClient(address, FEED_CONNECTIONS)
        self.failing = False

    async def commit(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        """Apply a transaction."""
        body = orjson.dumps(
            {
                # `expected-revision` is a list of rows; `schema-version` is a row's version.
                "expected-revision": [
                    {"table": c.table, "part": part, "key": c.key, "schema-version": c.version}
                    for c in checks
                ],
                "writes": [
                    {
                        "table": p.table,
                        "part": part,
                        "key": p.key,
                        "value": base64.b64encode(p.value).decode(),
                    }
                    for p in puts
                ],
                "remove": [{"table": d.table, "part": part, "key": d.key} for d in drops],
            }
        )
        answer = await self._send(self._calls, "POST", "/v1/rows-tx", body, CALL_TIMEOUT_S)
        match answer.status:
            case 200:
                page = _decode_page(answer)
                return Committed(page.version, page.now_ms)
            case 412:
                return Stale(_decode_page(answer).rows)
        raise PlatformDown(status=answer.status, body=answer.body[:200])

    async def scan(self, table: str, part: str, start: str = "", end: str = "") -> Listing:
        """List rows, page by page; each page is its own snapshot, so later pages may be newer."""
        rows: list[Row] = []
        first: Listing | None = None
        while True:
            query = {"table": table, "part": part}
            query |= {"start-key": start} if start else {}
            query |= {"to": end} if end else {}
            path = "/v1/rows-get?" + urlencode(query)
            answer = await self._send(self._calls, "GET", path, b"", CALL_TIMEOUT_S)
            if answer.status != 200:
                raise PlatformDown(status=answer.status)
            page = _decode_page(answer)
            rows += page.rows
            first = first or Listing(rows, page.version, page.now_ms)
            if not page.has_more or not page.rows:
                return first
            after = page.rows[-1].key + "\0"
            if after <= start:
                raise AnswerLost(why="a page that does not advance")
            start = after

    async def feed(self, table: str, after: int, wait_ms: int) -> Listing:
        """Wait for changes after a version; raise HistoryLost if they are no longer kept."""
        query = urlencode({"table": table, "after": after, "wait-ms": wait_ms})
        timeout = wait_ms / 1000 + FEED_MARGIN_S
        answer = await self._send(self._feeds, "GET", "/v1/rows-feed?" + query, b"", timeout)
        match answer.status:
            case 200:
                page = _decode_page(answer)
                return Listing(page.rows, page.version, page.now_ms)
            case 410:
                raise HistoryLost(table=table, after=after)
        raise PlatformDown(status=answer.status)

    async def _send(
        self, client: HttpClient, method: str, path: str, body: bytes, timeout: float
    ) -> Response:
        started_at, kind = time.monotonic(), path.partition("?")[0].rpartition("/")[2]
        try:
            answer = await client.call(method, path, body, timeout, JSON_HEADERS)
        except ConnectFailed as exc:
            self.failing = True
            store_call_seconds.observe(time.monotonic() - started_at, call=kind, outcome="unsent")
            raise PlatformDown(why=exc) from exc
        except AnswerLost:
            self.failing = True
            store_call_seconds.observe(time.monotonic() - started_at, call=kind, outcome="lost")
            raise
        outcome = str(answer.status)
        store_call_seconds.observe(time.monotonic() - started_at, call=kind, outcome=outcome)
        self.failing = answer.status in UNAVAILABLE_STATUSES
        return answer

    def close(self) -> None:
        """Close the connections."""
        self._calls.close()
        self._feeds.close()


JSON_HEADERS = (("Content-Type", "application/json"),)


class _Page(NamedTuple):
    rows: list[Row]
    version: int
    now_ms: int
    has_more: bool


def _decode_page(answer: Response) -> _Page:
    """Decode an answer; raise AnswerLost if it cannot be read."""
    try:
        value = fields(orjson.loads(answer.body))
        return _Page(
            [_decode_row(row) for row in items(value.get("rows", []))],
            whole(value["schema-version"]),
            whole(value.get("now-ms", 0)),
            bool(value.get("has-more")),
        )
    except DECODE_ERRORS as exc:
        raise AnswerLost(why=f"unreadable answer: {reason(exc)}") from exc


def _decode_row(value: dict[str, Any]) -> Row:
    data = value.get("value")
    is_deleted = value.get("deleted") or data is None
    return Row(
        text(value.get("table", "")),
        text(value.get("part", "")),
        text(value["key"]),
        None if is_deleted else _decode_value(data),
        whole(value.get("schema-version", 0)),
    )


def _decode_value(value: object) -> bytes:
    try:
        return base64.b64decode(text(value), validate=True)
    except ValueError:
        return b""
