"""The operators' HTTP API: table, history, jobs, status, metrics and the web page."""

import asyncio
import re
from importlib.resources import files
from typing import Any

from curranthall.access import Access
from curranthall.admission import Admission
from curranthall.edits import Edits
from curranthall.entry import ENTRY_PREFIX, Entry
from curranthall.errors import BadInput, CurranthallError, UnknownName
from curranthall.events import Event, log
from curranthall.http import Request, Response, json_response
from curranthall.jobs import Jobs, parse_job_spec
from curranthall.metrics import Metrics
from curranthall.rows import KINDS

ROW_PATH = re.compile(r"/v1/table/([a-z]+)/([^/]+)")
JOB_PATH = re.compile(r"/v1/jobs/([^/]+)(?:/(cancel|close|resume))?")
FORCE_PATH = re.compile(r"/v1/force/([0-9]+)")
FORCE_WAIT_S = 10.0
FORCE_POLL_S = 0.1
OPEN_PATHS = frozenset({"/", "/metrics", "/healthz"})


class Operators:
    """Handles the requests of operators."""

    def __init__(
        self, entry: Entry, jobs: Jobs, edits: Edits, access: Access, admission: Admission
    ) -> None:
        self._entry = entry
        self._jobs = jobs
        self._edits = edits
        self._access = access
        self._metrics = Metrics(entry, admission)

    async def handle(self, req: Request) -> Response:
        """Handle one request."""
        who = "" if req.path in OPEN_PATHS else self._access.authenticate_operator(req)
        try:
            return await self._route(req, who)
        except CurranthallError as exc:
            log(Event.INPUT_REFUSED, path=req.path, why=exc)
            raise

    async def _route(self, req: Request, who: str) -> Response:
        match req.method, req.path:
            case "GET", "/":
                page = files("curranthall").joinpath("page.html").read_bytes()
                return Response(200, page, (), "text/html; charset=utf-8")
            case "GET", "/metrics":
                body, content_type = self._metrics.render(req.headers.get("accept", ""))
                return Response(200, body, (), content_type)
            case "GET", "/healthz":
                return json_response({"ready": self._entry.ready})
            case "GET", "/v1/table":
                return json_response(self._describe_table())
            case "GET", "/v1/history":
                return json_response(await self._edits.history())
            case "GET", "/v1/status":
                return json_response(self.status())
            case "POST", "/v1/import":
                return json_response({"written": await self._edits.load(who, _parse_object(req))})
            case "POST", "/v1/jobs":
                value = _parse_object(req)
                customer = str(value.pop("customer", ""))
                return json_response(await self._jobs.submit(parse_job_spec(customer, value)))
        if found := ROW_PATH.fullmatch(req.path):
            return await self._edit(req, who, found[1], found[2])
        if found := FORCE_PATH.fullmatch(req.path):
            return json_response(await self._wait_in_force(int(found[1])))
        if found := JOB_PATH.fullmatch(req.path):
            return await self._job(req, found[1], found[2])
        raise UnknownName(kind="path", name=req.path)

    def _describe_table(self) -> dict[str, Any]:
        columns = {
            kind: [{"name": name, "help": column.help} for name, column in spec.items()]
            for kind, spec in KINDS.items()
        }
        revision = self._entry.config.revision
        return {"revision": revision, "columns": columns, "rows": self._edits.table()}

    async def _edit(self, req: Request, who: str, kind: str, name: str) -> Response:
        value = _parse_object(req)
        base, columns = value.get("base"), value.get("set")
        if req.method != "POST" or not isinstance(base, int) or not isinstance(columns, dict):
            raise BadInput(field="body", allowed='POST {"base": version, "set": {column: value}}')
        return json_response(await self._edits.edit(who, kind, name, columns, base))

    async def _wait_in_force(self, revision: int) -> dict[str, Any]:
        """Wait at most FORCE_WAIT_S until a revision is in force; list the entries behind."""
        clock = self._entry.clock
        limit = clock() + FORCE_WAIT_S
        while (behind := self._entries_behind(revision)) and clock() < limit:
            await asyncio.sleep(FORCE_POLL_S)
        return {"revision": revision, "in_force": not behind, "behind": behind}

    def _entries_behind(self, revision: int) -> list[str]:
        entry = self._entry
        known = {entry.identity.id: entry.config.revision}
        known |= {peer.heartbeat["id"]: peer.heartbeat["revision"] for peer in entry.roster.live()}
        rows = entry.config.mirror.rows_under(ENTRY_PREFIX)
        registered = {key.removeprefix(ENTRY_PREFIX) for key, _ in rows}
        return sorted(name for name in registered | set(known) if known.get(name, 0) < revision)

    async def _job(self, req: Request, job: str, verb: str | None) -> Response:
        match req.method, verb:
            case "GET", None:
                return json_response(await self._jobs.status(job))
            case "POST", "cancel":
                return json_response(await self._jobs.cancel(job))
            case "POST", "close":
                return json_response(await self._jobs.close(job))
            case "POST", "resume":
                return json_response(await self._jobs.resume(job))
            case _:
                raise BadInput(field="method", found=req.method)

    def status(self) -> dict[str, Any]:
        """Describe the state of this entry and what it knows of peers and workers."""
        entry = self._entry
        workers = {}
        for name, held in sorted(entry.keeper.workers.items()):
            lease = held.lease
            workers[name] = {
                "domain": held.host.domain,
                "state": held.host.state.value,
                "held": lease is not None,
                "running": len(lease.running) if lease else None,
                "inflight": held.inflight if lease else None,
                "reserved": lease.reserved() if lease else None,
            }
        return {
            "id": entry.identity.id,
            "domain": entry.identity.domain,
            "revision": entry.config.revision,
            "confirmed_s": round(entry.clock() - entry.config.confirmed_at, 2),
            "may_start": entry.config.may_start(entry.identity.domain),
            "ready": entry.ready,
            "peers": entry.roster.status(),
            "workers": workers,
            "blocks": len(list(entry.ledger.held_blocks())),
            "waiting": dict(list(entry.ledger.wait_reasons.items())[:50]),
            "requests": dict(entry.router.counts),
            "tasks": dict(entry.ledger.counts),
            "control_bytes": entry.control_bytes,
        }


def _parse_object(req: Request) -> dict[str, Any]:
    value = req.json()
    if not isinstance(value, dict):
        raise BadInput(field="body", found=type(value).__name__, allowed="a JSON object")
    return value
