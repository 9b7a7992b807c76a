"""Fakes of the platform's store and worker APIs, served on loopback."""

import asyncio
import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from curranthall.cells.ports import PaceTask, StartTask, StopTask
from curranthall.dag import TaskId
from curranthall.errors import Fenced, HistoryLost
from curranthall.http import HttpServer, Request, Response, json_response
from curranthall.standin.runner import Runner
from curranthall.standin.store import MemoryStore
from curranthall.store import Check, Committed, Drop, Put, Row

LOOPBACK = "127.0.0.1"


class FakeStore:
    """Serves the store's API from memory; can refuse calls or withhold answers."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.rows = MemoryStore(clock)
        self.refuse_next = 0
        self.lose_next = 0
        # Small by default, so that scans need several pages.
        self.page_rows = 2
        self.calls: list[str] = []
        self._server = HttpServer(self._answer, max_body=2_000_000)

    async def start(self) -> str:
        """Listen; return the address."""
        return f"{LOOPBACK}:{await self._server.start(LOOPBACK, 0)}"

    async def stop(self) -> None:
        """Close the server."""
        await self._server.drain(0)

    def write_as_operator(self, key: str, value: object) -> None:
        """Write an operator's row."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows.apply("", [], [Put("op", key, data)], [])

    def remove_as_operator(self, key: str) -> None:
        """Remove an operator's row."""
        self.rows.apply("", [], [], [Drop("op", key)])

    def write_as_worker(self, key: str, value: object) -> None:
        """Write a worker's row."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows.apply("", [], [Put("servers", key, data)], [])

    async def _answer(self, req: Request) -> Response:
        self.calls.append(f"{req.method} {req.path}")
        if self.refuse_next:
            self.refuse_next -= 1
            return json_response({}, 503)
        answer = await self._dispatch(req)
        if self.lose_next:
            self.lose_next -= 1
            await asyncio.sleep(30)
        return answer

    async def _dispatch(self, req: Request) -> Response:
        query = {key: values[0] for key, values in parse_qs(req.query).items()}
        match req.path:
            case "/v1/rows-tx":
                return self._commit(req.json())
            case "/v1/rows-get":
                listing = await self.rows.scan(
                    query["table"],
                    query.get("part", ""),
                    query.get("start-key", ""),
                    query.get("to", ""),
                )
                page = listing.rows[: self.page_rows]
                return self._encode_listing(page, listing.version, len(listing.rows) > len(page))
            case "/v1/rows-feed":
                try:
                    changes = await self.rows.feed(
                        query["table"], int(query["after"]), int(query["wait-ms"])
                    )
                except HistoryLost:
                    return json_response({}, 410)
                return self._encode_listing(changes.rows, changes.version, False)
        return json_response({}, 404)

    def _commit(self, body: dict[str, Any]) -> Response:
        checks = [
            Check(row["table"], row["key"], row["schema-version"])
            for row in body["expected-revision"]
        ]
        puts = [
            Put(row["table"], row["key"], base64.b64decode(row["value"])) for row in body["writes"]
        ]
        drops = [Drop(row["table"], row["key"]) for row in body["remove"]]
        parts = {row["part"] for row in [*body["expected-revision"], *body["writes"]]}
        assert len(parts) == 1, "a transaction must stay within one part"
        answer = self.rows.apply(parts.pop(), checks, puts, drops)
        if isinstance(answer, Committed):
            return json_response({"schema-version": answer.version, "now-ms": answer.now_ms})
        rows = [_encode_row(row) for row in answer.rows]
        return json_response({"rows": rows, "schema-version": 1, "now-ms": 1}, 412)

    def _encode_listing(self, rows: list[Row], version: int, more: bool) -> Response:
        return json_response(
            {
                "rows": [_encode_row(row) for row in rows],
                "has-more": more,
                "schema-version": version,
                "now-ms": 1,
            }
        )


def _encode_row(row: Row) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "table": row.table,
        "part": row.part,
        "key": row.key,
        "schema-version": row.version,
    }
    if row.value is None:
        return {**fields, "deleted": True}
    return {**fields, "value": base64.b64encode(row.value).decode()}


class FakeWorker:
    """Serves a worker's API with a simulated task runner; can withhold answers."""

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.instance = runner.host.name
        self.lose_next = 0
        self._server = HttpServer(self._answer)

    async def start(self) -> str:
        """Listen; return the address."""
        return f"{LOOPBACK}:{await self._server.start(LOOPBACK, 0)}"

    async def stop(self) -> None:
        """Close the server."""
        await self._server.drain(0)

    async def _answer(self, req: Request) -> Response:
        if req.headers.get("x-curranthall-target-instance") != self.instance:
            return json_response({}, 421)
        try:
            answer = await self._dispatch(req.path, req.json())
        except Fenced:
            answer = json_response({"clock-ms": self.runner.clock_ms, "reason": "fence"}, 409)
        if self.lose_next:
            self.lose_next -= 1
            await asyncio.sleep(30)
        return answer

    async def _dispatch(self, path: str, body: dict[str, Any]) -> Response:
        epoch, clock = body.get("fencing-token", 0), {"clock-ms": self.runner.clock_ms}
        match path:
            case "/v1/hold":
                snapshot = await self.runner.hold(
                    epoch, body["ack-cursor"], body.get("deadline-ms"), body.get("wait-ms", 0)
                )
                running = [
                    [str(each.task), each.run, each.checkpoint, each.percent, each.gauge]
                    for each in snapshot.running
                ]
                finished = [
                    [end.number, str(end.task), end.run, end.kind.value, end.checkpoint]
                    for end in snapshot.ended
                ]
                lists = {"running": running, "finished": finished, "born": snapshot.born}
                return json_response({"clock-ms": snapshot.clock_ms, **lists})
            case "/v1/run-start":
                order = StartTask(
                    "",
                    TaskId.parse(body["task"]),
                    body["run-id"],
                    body["spec"],
                    body.get("checkpoint", ""),
                    body["deadline-ms"],
                )
                result = self.runner.start(epoch, order)
                reasons = {"old-run": "old", "too-late": "late", "no-room": "room"}
                if result.value in reasons:
                    return json_response({**clock, "reason": reasons[result.value]}, 409)
                return json_response(clock)
            case "/v1/run-stop":
                self.runner.stop(epoch, StopTask("", TaskId.parse(body["task"]), body["run-id"]))
                return json_response(clock)
            case "/v1/pace":
                task = TaskId.parse(body["task"])
                self.runner.pace(epoch, PaceTask("", task, body["run-id"], body["percent"]))
                return json_response(clock)
        return json_response({}, 404)
