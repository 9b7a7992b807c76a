"""HTTP servers of the stand-ins."""

import asyncio
import base64
import hashlib
import random
from typing import Any
from urllib.parse import unquote

from curranthall.errors import AnswerLost, BadInput, CurranthallError, Fenced, UnknownName
from curranthall.http import HttpClient, HttpServer, Request, Response, json_response
from curranthall.model import (
    Commit,
    Host,
    HostState,
    OutcomeKind,
    Report,
    Size,
    StartOrder,
    Task,
    Token,
)
from curranthall.standin.engine import Run, WorkerEngine
from curranthall.standin.table import TableCore
from curranthall.table import host_from_json, host_to_json
from curranthall.worker import inventory_to_json

FAULTS = frozenset({"outage", "slow_s", "lose_answers"})
LOST_ANSWER_S = 3_600.0
REPORT_EVERY_S = 5.0
MIN_REPORT_LAG_S = 5.0
MAX_REPORT_LAG_S = 30.0
MIN_CORES = 0.5
MAX_CORES = 2.0


class PlatformServer:
    """Platform stand-in."""

    def __init__(self) -> None:
        self.core = TableCore(asyncio.get_running_loop().time)
        self._http = HttpServer(self.handle, max_body=64 * 1_048_576)

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        return await self._http.start(host, port)

    async def close(self) -> None:
        """Stop serving."""
        await self._http.drain(0)

    async def handle(self, req: Request) -> Response:
        """Handle one call."""
        if req.path == "/fault":
            return self._set_faults(req.json())
        if self.core.slow_s:
            await asyncio.sleep(self.core.slow_s)
        try:
            return self._route(req)
        except AnswerLost:
            # The effect stays, but the response is delayed beyond any caller's timeout.
            await asyncio.sleep(LOST_ANSWER_S)
            raise

    def _route(self, req: Request) -> Response:
        match req.method, req.path:
            case "POST", "/table/commit":
                result = self.core.commit(Commit(**req.json()))
                if result.is_err():
                    return json_response({"keys": result.unwrap_err().fields["keys"]}, 409)
                return json_response({"revision": result.unwrap()})
            case "POST", "/table/scan":
                value = req.json()
                scan = self.core.scan(value["since"], value["prefixes"])
                return json_response({"revision": scan.revision, "changes": scan.changes})
            case "GET", "/hosts":
                return json_response([host_to_json(host) for host in self.core.hosts()])
            case "POST", "/hosts":
                self.core.register(host_from_json(req.json()), lag=False)
                return json_response({})
            case "POST", "/hosts/mark":
                value = req.json()
                self.core.mark(value["name"], HostState(value["state"]))
                return json_response({})
            case "GET", "/counts":
                return json_response(self.core.counts)
        if req.path.startswith("/objects/"):
            return self._object(req, unquote(req.path.removeprefix("/objects/")))
        raise UnknownName(kind="path", name=req.path)

    def _object(self, req: Request, key: str) -> Response:
        if req.method == "PUT":
            self.core.objects[key] = base64.b64decode(req.json()["data"])
            return json_response({})
        data = self.core.objects.get(key)
        if data is None:
            raise UnknownName(kind="object", name=key)
        return json_response({"data": base64.b64encode(data).decode()})

    def _set_faults(self, faults: dict[str, Any]) -> Response:
        if set(faults) - FAULTS:
            raise BadInput(field="fault", allowed=sorted(FAULTS))
        for name, value in faults.items():
            setattr(self.core, name, value)
        return json_response({"outage": self.core.outage})


class WorkerServer:
    """Worker stand-in."""

    def __init__(self, host: Host, boot: str, serve_s: float, seed: int = 0) -> None:
        self.engine = WorkerEngine(host, asyncio.get_running_loop().time, boot)
        self.serve_s = serve_s
        self._rng = random.Random(seed)
        self._http = HttpServer(self.handle)
        self._reporter: asyncio.Task[None]

    async def start(self, address: str, port: int) -> int:
        """Start listening and return the port."""
        bound_port = await self._http.start(address, port)
        self.engine.host = self.engine.host._replace(address=f"{address}:{bound_port}")
        self._reporter = asyncio.create_task(self._report())
        return bound_port

    async def _report(self) -> None:
        """Measure at an interval; each report is sent with a random lag."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPORT_EVERY_S)
            names = [run.service or run.cls for run in self.engine.inventory().running.values()]
            services = {run.service for run in self.engine.inventory().running.values()} - {""}
            usage = [(name, actual_cores(name)) for name in names]
            report = Report(loop.time(), usage, [(name, 1.0) for name in sorted(services)])
            lag = self._rng.uniform(MIN_REPORT_LAG_S, MAX_REPORT_LAG_S)
            loop.call_later(lag, self.engine.set_report, report)

    async def register(self, platform: str) -> None:
        """Add this worker to the platform's host list."""
        client = HttpClient(platform, 1)
        await client.json("POST", "/hosts", host_to_json(self.engine.host))
        client.close()

    async def close(self) -> None:
        """Stop serving."""
        self._reporter.cancel()
        await self._http.drain(0)

    async def handle(self, req: Request) -> Response:
        """Handle one call."""
        try:
            return await self._route(req)
        except Fenced as exc:
            fields = {"token": exc.fields["token"], "left_s": exc.fields.get("left_s", 0.0)}
            return json_response(fields, 409)
        except CurranthallError as exc:
            return json_response({"why": str(exc)}, exc.status)

    async def _route(self, req: Request) -> Response:
        engine = self.engine
        if req.path.startswith("/serve/"):
            return await self._serve(req, unquote(req.path.removeprefix("/serve/")))
        if req.path == "/runlog":
            return json_response(engine.log)
        if req.path == "/counts":
            return json_response({"overcommits": engine.overcommits, "served": engine.served})
        value = req.json()
        token = Token(*value["token"])
        match req.path:
            case "/lease":
                boot = value.get("boot", "")
                grant = engine.lease(
                    token, value["echo"], value["seq"], value["seen"], value["term"], boot
                )
                listed = grant.inventory
                inventory = None if listed is None else inventory_to_json(listed)
                fields = {**grant._asdict(), "inventory": inventory, "changes": engine.changes}
                return json_response(fields)
            case "/release":
                engine.release(token)
            case "/start":
                order, boot = _decode_order(value["order"]), value.get("boot", "")
                engine.start(token, value["seq"], order, value["until"], boot)
            case "/stop":
                outcome = engine.stop(token, Task(*value["task"]), value["finish"])
                wire = None if outcome is None else [outcome.kind.value, *outcome[1:]]
                return json_response({"outcome": wire})
            case "/throttle":
                engine.throttle(token, Task(*value["task"]), value["on"])
            case "/acknowledge":
                engine.acknowledge(token, [Task(*task) for task in value["tasks"]])
            case _:
                raise UnknownName(kind="path", name=req.path)
        return json_response({})

    async def _serve(self, req: Request, service: str) -> Response:
        request = req.headers.get("curranthall-request", "")
        seconds = self.serve_s * (0.5 + self._rng.random())
        body = await self.engine.serve(service, request, req.body, seconds)
        return Response(200, body, (), "application/octet-stream")


def actual_cores(name: str) -> float:
    """Return the cores that tasks of a class actually use, regardless of the declared cores."""
    share = hashlib.blake2b(name.encode(), digest_size=1).digest()[0] / 255
    return MIN_CORES + share * (MAX_CORES - MIN_CORES)


def _decode_order(value: list[Any]) -> StartOrder:
    task, cls, customer, size, *rest = value
    return StartOrder(Task(*task), cls, customer, Size(*size), *rest)


def count_runs(runs: list[Run]) -> dict[str, int]:
    """Count starts, completed runs and doubled starts in run logs."""
    ended = {kind.value for kind in OutcomeKind} | {"lapsed"}
    active: dict[str, int] = {}
    starts: set[tuple[str, int]] = set()
    counts = {"starts": 0, "done": 0, "doubled": 0}
    for run in sorted(runs, key=lambda run: (run.at, run.what == "start")):
        if run.what == "start":
            counts["starts"] += 1
            is_repeated = (run.name, run.attempt) in starts
            counts["doubled"] += int(is_repeated or active.get(run.name, 0) > 0)
            starts.add((run.name, run.attempt))
            active[run.name] = active.get(run.name, 0) + 1
        elif run.what in ended:
            active[run.name] = active.get(run.name, 0) - 1
            counts["done"] += run.what == "done"
    return counts
