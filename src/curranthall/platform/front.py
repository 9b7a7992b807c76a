"""HTTP API for callers: the platform's paths and bodies, served by the intake."""

import re

from curranthall.catalogue import Route
from curranthall.customers import Customer, Denial
from curranthall.daemon import Daemon, wall_ms
from curranthall.dag import Job, Phase, Queue
from curranthall.errors import AnswerLost, BadInput, PlatformDown, RateExceeded, Unknown
from curranthall.events import Event, log
from curranthall.http import Request, Response, json_response
from curranthall.intake import Verdict
from curranthall.intake.intake import DEFAULT_WAIT_S
from curranthall.platform.decode import decode_job
from curranthall.telemetry import calls_denied

JOB_ID = re.compile(r"[0-9a-f]{16}\Z")
KEY_HEADER = "api-key"
DEADLINE_HEADER = "x-curranthall-request-deadline"
READY_PATH = "/v1/readiness"
RETRY_AFTER_S = "1"
# Values of `phase` in responses to callers.
PHASE_NAMES = {
    Phase.QUEUED: "queued",
    Phase.RUNNING: "running",
    Phase.COMPLETED: "completed",
    Phase.FAILED: "failed",
    Phase.CANCELLED: "cancelled",
}


class Frontend:
    """Handles callers' requests and readiness probes."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon

    async def handle(self, req: Request) -> Response:
        """Route a request by host, path and method."""
        catalogue = self._daemon.operations.catalogue
        if catalogue is None:
            return _unavailable("no configuration yet")
        host = req.headers.get("host", "").partition(":")[0].lower()
        route = catalogue.find(host, req.path)
        if route is None:
            return json_response({"error": "no such queue"}, 404)
        key = req.headers.get(KEY_HEADER, "").encode("latin-1")
        is_stale = self._daemon.config_is_stale
        caller = catalogue.customers.identify(key, route.public, is_stale)
        if isinstance(caller, Denial):
            return _deny(caller, route, req)
        job_path = req.path[len(route.prefix) :]
        if job_path == "" and req.method == "GET":
            pending = await self._daemon.intake.count_pending(route.queue.name)
            return json_response({"pending": pending})
        if not JOB_ID.match(job_path):
            return json_response({"error": "no such path"}, 404)
        match req.method:
            case "POST":
                return await self._submit(job_path, route.queue, caller, req)
            case "GET":
                return await self._show_phase(job_path)
            case "DELETE":
                return await self._cancel(job_path, req)
        return json_response({"error": "no such method"}, 405)

    async def handle_probe(self, req: Request) -> Response:
        """Answer the platform's readiness probe."""
        is_ready = self._daemon.ready and req.path == READY_PATH
        return json_response({}, 200 if is_ready else 503)

    async def _submit(
        self, job_id: str, queue: Queue, customer: Customer | None, req: Request
    ) -> Response:
        name = "" if customer is None else customer.name
        try:
            job = decode_job(job_id, queue, req.body, wall_ms(), name)
        except BadInput as exc:
            return json_response({"error": str(exc)}, 400)
        if customer and not all(customer.can_ever_run(step.size) for step in job.steps):
            return await self._refuse_oversize(job)
        answer = await self._daemon.intake.accept(job, _wait_s(req))
        match answer.verdict:
            case Verdict.TOO_LATE:
                error = {"error": "the job would be too late; it was not accepted"}
                return json_response(error, 429, Retry_After=str(answer.retry_after_s))
            case Verdict.CANCELLED:
                # Without Retry-After: it stays so.
                return json_response({"error": "the job was cancelled; it was not accepted"}, 429)
            case Verdict.ACCEPTED:
                return json_response({})
            case Verdict.REFUSED:
                return _unavailable("the store is away; the job was not accepted")
        return json_response({"error": "not known whether the job was accepted"}, 504)

    async def _refuse_oversize(self, job: Job) -> Response:
        """Refuse a job that can never run, unless it was stored under a higher limit."""
        try:
            is_refused = await self._daemon.intake.refuse(job.id)
        except (PlatformDown, AnswerLost) as exc:
            log(Event.JOB_UNSURE, job=job.id, queue=job.queue, error=exc)
            return json_response({"error": "not known whether the job was accepted"}, 504)
        if not is_refused:
            log(Event.JOB_KNOWN, job=job.id, queue=job.queue)
            return json_response({})
        why = "a task exceeds the customer's limit"
        log(Event.JOB_REFUSED, job=job.id, queue=job.queue, customer=job.customer, why=why)
        return json_response({"error": why}, 429)

    async def _show_phase(self, job_id: str) -> Response:
        try:
            status = await self._daemon.intake.phase(job_id)
        except (PlatformDown, AnswerLost) as exc:
            return _unavailable(str(exc))
        if status.phase is None:
            return json_response({"error": "no such job"}, 410)
        return json_response({"phase": PHASE_NAMES[status.phase]})

    async def _cancel(self, job_id: str, req: Request) -> Response:
        try:
            exists = await self._daemon.intake.cancel(job_id, _wait_s(req))
        except (PlatformDown, AnswerLost, Unknown) as exc:
            return json_response({"error": str(exc)}, 504)
        except RateExceeded as exc:
            log(Event.CANCEL_REFUSED, job=job_id, why=exc)
            return json_response({"error": str(exc)}, 429, Retry_After=RETRY_AFTER_S)
        return json_response({}, 200 if exists else 410)


def _deny(denial: Denial, route: Route, req: Request) -> Response:
    calls_denied.count(why=denial.value)
    # The path is left out, since a caller may have put its key there.
    queue = route.queue.name
    log(Event.ACCESS_DENIED, port="caller", method=req.method, queue=queue, why=denial.value)
    if denial is Denial.STALE:
        return _unavailable("the configuration was not read recently")
    return json_response({"error": f"{denial.value} key"}, 401, WWW_Authenticate="Api-Key")


def _unavailable(why: str) -> Response:
    return json_response({"error": why}, 503, Retry_After=RETRY_AFTER_S)


def _wait_s(req: Request) -> float:
    try:
        return max(0.3, int(req.headers[DEADLINE_HEADER]) / 1000)
    except (KeyError, ValueError):
        return DEFAULT_WAIT_S
