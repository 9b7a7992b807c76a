"""Client for the platform's metadata store; implements Store."""

import base64
import time
from typing import Any
from urllib.parse import urlencode

import orjson

from curranthall.errors import AnswerLost, ConnectFailed, HistoryLost, PlatformDown
from curranthall.http import HttpClient, Response
from curranthall.store import Check, Committed, Drop, Listing, Put, Row, Stale
from curranthall.telemetry import store_call_seconds

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
                value = _decode_object(answer)
                return Committed(value["schema-version"], value.get("now-ms", 0))
            case 412:
                return Stale(_decode_rows(_decode_object(answer).get("rows", [])))
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
            page = _decode_object(answer)
            found = _decode_rows(page.get("rows", []))
            rows += found
            if first is None:
                first = Listing(rows, page["schema-version"], page.get("now-ms", 0))
            if not page.get("has-more") or not found:
                return first
            start = found[-1].key + "\0"

    async def feed(self, table: str, after: int, wait_ms: int) -> Listing:
        """Wait for changes after a version; raise HistoryLost if they are no longer kept."""
        query = urlencode({"table": table, "after": after, "wait-ms": wait_ms})
        timeout = wait_ms / 1000 + FEED_MARGIN_S
        answer = await self._send(self._feeds, "GET", "/v1/rows-feed?" + query, b"", timeout)
        match answer.status:
            case 200:
                page = _decode_object(answer)
                rows = _decode_rows(page.get("rows", []))
                return Listing(rows, page["schema-version"], page.get("now-ms", 0))
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


def _decode_object(answer: Response) -> dict[str, Any]:
    try:
        value = orjson.loads(answer.body)
    except ValueError as exc:
        raise AnswerLost(why="unreadable answer") from exc
    if not isinstance(value, dict):
        raise AnswerLost(why="unreadable answer")
    return value


def _decode_rows(values: list[dict[str, Any]]) -> list[Row]:
    return [_decode_row(value) for value in values]


def _decode_row(value: dict[str, Any]) -> Row:
    text = value.get("value")
    is_deleted = value.get("deleted") or text is None
    return Row(
        value.get("table", ""),
        value.get("part", ""),
        value["key"],
        None if is_deleted else _decode_value(text),
        value.get("schema-version", 0),
    )


def _decode_value(text: object) -> bytes:
    try:
        return base64.b64decode(str(text), validate=True)
    except ValueError:
        return b""
