"""The callers' port: requests to services, and jobs."""

import re
from itertools import count
from typing import Any

from curranthall.access import Access
from curranthall.entry import Entry
from curranthall.errors import BadDeadline, BadInput, CurranthallError, NotReady, UnknownName
from curranthall.events import Event, log
from curranthall.http import Request, Response, json_response
from curranthall.jobs import MAX_TASKS, Jobs, parse_job_spec
from curranthall.request import Ask

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
SERVICE_PATH = re.compile(r"/v1/services/([^/]+)/requests")
JOB_PATH = re.compile(r"/v1/jobs/([^/]+)(?:/(cancel|close))?")


class Callers:
    """Answer callers."""

    def __init__(self, entry: Entry, jobs: Jobs, access: Access) -> None:
        self._entry = entry
        self._jobs = jobs
        self._access = access
        self._numbers = count(1)

    async def handle(self, req: Request) -> Response:
        """Answer one request."""
        try:
            return await self._route(req)
        except CurranthallError as exc:
            log(Event.INPUT_REFUSED, path=req.path, why=exc)
            raise

    async def _route(self, req: Request) -> Response:
        if req.path == "/healthz":
            return json_response({"ready": self._entry.ready}, 200 if self._entry.ready else 503)
        if not self._entry.config.revision:
            raise NotReady(why="no configuration yet")
        if found := SERVICE_PATH.fullmatch(req.path):
            return await self._request(req, found[1])
        customer = self._customer(req)
        if req.path == "/v1/jobs" and req.method == "POST":
            return await self._submit(req, customer)
        if found := JOB_PATH.fullmatch(req.path):
            return await self._job(req, customer, found[1], found[2])
        raise UnknownName(kind="path", name=req.path)

    def _customer(self, req: Request) -> str:
        name = req.headers.get("curranthall-customer", "")
        self._entry.config.row("customer", name)
        self._access.check_customer(name, req)
        return name

    async def _request(self, req: Request, service: str) -> Response:
        entry = self._entry
        customer = self._customer(req)
        target_ms = entry.config.row("service", service)["deadline_ms"]
        deadline = entry.clock() + _deadline_ms(req, target_ms) / 1000.0
        marked = req.headers.get("curranthall-idempotent", "").lower() == "yes"
        idempotent = marked or req.method in IDEMPOTENT_METHODS
        number = f"{entry.identity.id}.{entry.identity.incarnation}.{next(self._numbers)}"
        ask = Ask(number, service, customer, req.body, deadline, idempotent)
        body = await entry.router.request(ask)
        headers = (("Curranthall-Outcome", "answered"), ("Curranthall-Request", number))
        return Response(200, body, headers, "application/octet-stream")

    async def _submit(self, req: Request, customer: str) -> Response:
        value = _object(req)
        found = await self._jobs.submit(parse_job_spec(customer, value))
        return json_response(found, 200 if found["repeated"] else 201)

    async def _job(self, req: Request, customer: str, job: str, verb: str | None) -> Response:
        if job.split(".")[0] != customer:
            raise UnknownName(kind="job", name=job)
        match req.method, verb:
            case "GET", None:
                return json_response(await self._jobs.status(job))
            case "POST", "cancel":
                low, high = _range(_object(req))
                return json_response(await self._jobs.cancel(job, low, high))
            case "POST", "close":
                return json_response(await self._jobs.close(job))
            case _:
                raise BadInput(field="method", found=req.method)


def _deadline_ms(req: Request, default: float) -> float:
    text = req.headers.get("curranthall-deadline-ms")
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError as exc:
        raise BadDeadline(found=text, allowed="a number of milliseconds") from exc
    if not 0 < value < float("inf"):
        raise BadDeadline(found=text, allowed="a number above 0")
    return value


def _object(req: Request) -> dict[str, Any]:
    value = req.json()
    if not isinstance(value, dict):
        raise BadInput(field="body", found=type(value).__name__, allowed="a JSON object")
    return value


def _range(value: dict[str, Any]) -> tuple[int, int]:
    low, high = value.get("from", 0), value.get("to", MAX_TASKS)
    if not isinstance(low, int) or not isinstance(high, int) or not 0 <= low < high:
        raise BadInput(field="from, to", found=[low, high], allowed="0 <= from < to")
    return low, high
