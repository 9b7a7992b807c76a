"""Client for a worker of the platform; implements WorkerPort."""

import asyncio
import re
from functools import lru_cache
from typing import Any

import orjson

from curranthall.cells.ports import (
    MAX_LISTED_ENDS,
    Ending,
    EndKind,
    ListedRun,
    PaceTask,
    Snapshot,
    StartAnswer,
    StartResult,
    StartTask,
    StopTask,
)
from curranthall.dag import TaskId
from curranthall.errors import AnswerLost, ConnectFailed, Fenced, OtherBoot
from curranthall.events import Event, log
from curranthall.http import HttpClient, Response
from curranthall.model import Host
from curranthall.platform.store import JSON_HEADERS
from curranthall.timeouts import lag_tolerant_timeout
from curranthall.values import DECODE_ERRORS, fields, items, number, reason, text, whole

CONNECTIONS = 6
HOLD_CONNECTIONS = 6
START_TIMEOUT_S = 0.6
STOP_TIMEOUT_S = 0.6
# Added to a hold's `wait-ms` for the timeout of the call.
HOLD_MARGIN_S = 0.6
REACH_TIMEOUT_S = 0.4
INSTANCE_HEADER = "X-Curranthall-Target-Instance"
REFUSAL_REASONS = {
    "fence": StartResult.FENCED,
    "old": StartResult.OLD_RUN,
    "late": StartResult.TOO_LATE,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.NO_TICKET,
}
OTHER_BOOT_STATUS = 421
TASK_NAME = re.compile(r"[0-9a-f]{16}(\.[0-9]{1,9}){3}")
MAX_RUN = 2**62
# Workers list the same runs in each answer.
TASKS_CACHED = 4_096
STATUS_RESULTS = {
    200: StartResult.STARTED,
    400: StartResult.MALFORMED,
    429: StartResult.UNHEALTHY,
    503: StartResult.UNHEALTHY,
}


class PlatformWorker:
    """Calls one worker over HTTP."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._holds = HttpClient(host.address, HOLD_CONNECTIONS)
        self._orders = HttpClient(host.address, CONNECTIONS)
        self._headers = (*JSON_HEADERS, (INSTANCE_HEADER, host.name))

    async def hold(self, token: int, cursor: int, lease_ms: int | None, wait_ms: int) -> Snapshot:
        """Extend the lease if `lease_ms` is given; return the worker's runs."""
        body: dict[str, Any] = {"fencing-token": token, "ack-cursor": cursor, "wait-ms": wait_ms}
        if lease_ms is not None:
            body["deadline-ms"] = lease_ms
        timeout = wait_ms / 1000 + HOLD_MARGIN_S
        answer = await self._send(self._holds, "/v1/hold", body, timeout)
        if answer.status != 200:
            self._raise_refusal(answer)
        try:
            return _SnapshotDecoder(self._host.name).decode(orjson.loads(answer.body))
        except DECODE_ERRORS as exc:
            why = f"unreadable answer: {reason(exc)}"
            raise AnswerLost(peer=self._host.name, why=why) from exc

    async def start(self, token: int, order: StartTask) -> StartAnswer:
        """Start a run."""
        body = {
            "task": str(order.task),
            "run-id": order.run,
            "spec": order.spec,
            "deadline-ms": order.deadline_ms,
            "fencing-token": token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        answer = await self._send(self._orders, "/v1/run-start", body, START_TIMEOUT_S)
        if answer.status == 409:
            result = REFUSAL_REASONS.get(_refusal_reason(answer), StartResult.MALFORMED)
        else:
            result = STATUS_RESULTS.get(answer.status, StartResult.UNHEALTHY)
        if result is StartResult.FENCED:
            raise Fenced(worker=self._host.name, token=token)
        return StartAnswer(result, _clock_ms(answer))

    async def stop(self, token: int, order: StopTask) -> None:
        """Stop a run."""
        body = {"task": str(order.task), "run-id": order.run, "fencing-token": token}
        answer = await self._send(self._orders, "/v1/run-stop", body, STOP_TIMEOUT_S)
        if answer.status != 200:
            self._raise_refusal(answer)

    async def pace(self, token: int, order: PaceTask) -> None:
        """Set a run's CPU share, in percent."""
        body = {
            "task": str(order.task),
            "run-id": order.run,
            "percent": order.percent,
            "fencing-token": token,
        }
        answer = await self._send(self._orders, "/v1/pace", body, STOP_TIMEOUT_S)
        if answer.status != 200:
            self._raise_refusal(answer)

    def close(self) -> None:
        """Close the connections."""
        self._holds.close()
        self._orders.close()

    async def _send(
        self, client: HttpClient, path: str, body: dict[str, Any], timeout: float
    ) -> Response:
        answer = await client.call("POST", path, orjson.dumps(body), timeout, self._headers)
        if answer.status == OTHER_BOOT_STATUS:
            raise OtherBoot(worker=self._host.name)
        return answer

    def _raise_refusal(self, answer: Response) -> None:
        if answer.status == 409 and _refusal_reason(answer) == "fence":
            raise Fenced(worker=self._host.name)
        raise ConnectFailed(peer=self._host.name, why=f"status {answer.status}")


async def is_reachable(host: Host) -> bool:
    """Return whether a worker's address accepts a TCP connection."""
    name, _, port = host.address.rpartition(":")
    try:
        async with lag_tolerant_timeout(REACH_TIMEOUT_S):
            _, writer = await asyncio.open_connection(name, int(port))
    except (OSError, TimeoutError, ValueError, OverflowError):
        # The last two: no address.
        return False
    writer.close()
    return True


def _refusal_reason(answer: Response) -> str:
    try:
        return text(fields(orjson.loads(answer.body)).get("reason", ""))
    except DECODE_ERRORS:
        return ""


def _clock_ms(answer: Response) -> int | None:
    try:
        return whole(fields(orjson.loads(answer.body))["clock-ms"])
    except DECODE_ERRORS:
        return None


class _SnapshotDecoder:
    """Decodes a worker's answer to a hold; logs what it cannot read.

    A run that cannot be read is left out, and so are the ends from the first such one on, as a
    later one would acknowledge it. The answer is then partial, and proves no run to be absent.
    """

    def __init__(self, worker: str) -> None:
        self._worker = worker
        self._partial = False

    def decode(self, value: object) -> Snapshot:
        """Decode an answer; raise one of DECODE_ERRORS if nothing of it can be read."""
        answer = fields(value)
        running, finished = _listed(answer, "running"), _listed(answer, "finished")
        clock_ms, born = whole(answer["clock-ms"]), whole(answer.get("born", 0))
        runs = [run for row in running if (run := self._decode_run(row)) is not None]
        ends: list[Ending] = []
        for row in finished:
            try:
                task = _parse_task(row[1])
                if task is not None:
                    ends.append(self._decode_end(task, row))
            except DECODE_ERRORS as exc:
                self._skip(f"end: {reason(exc)}")
                self._partial = True
                break
        partial = self._partial or len(finished) >= MAX_LISTED_ENDS
        return Snapshot(clock_ms, born, runs, ends, partial)

    def _decode_run(self, row: Any) -> ListedRun | None:
        # [task, run, checkpoint, percent, gauge]: the gauge is tail latency in ms for serving
        # tasks, else thousandths of a core in use.
        try:
            name, run, checkpoint, percent, gauge = row if len(row) == 5 else (*row[:4], 0.0)
            task = _parse_task(name)
            if task is None:
                return None
            whole(run, MAX_RUN)
        except DECODE_ERRORS as exc:
            self._skip(f"run: {reason(exc)}")
            self._partial = True
            return None
        figures = self._figure(percent), self._figure(gauge)
        return ListedRun(task, int(run), self._checkpoint(checkpoint), *figures)

    def _decode_end(self, task: TaskId, row: Any) -> Ending:
        # [number, task, run, kind, checkpoint]
        kind = EndKind(row[3])
        return Ending(whole(row[0]), task, whole(row[2], MAX_RUN), kind, self._checkpoint(row[4]))

    def _figure(self, value: object) -> float:
        if type(value) is int and value >= 0:
            return value
        try:
            return number(value)
        except ValueError as exc:
            self._skip(f"figure: {reason(exc)}")
            return 0.0

    def _checkpoint(self, value: object) -> str:
        if type(value) is str:
            return value
        try:
            return text(value)
        except ValueError as exc:
            self._skip(f"checkpoint: {reason(exc)}")
            return ""

    def _skip(self, why: str) -> None:
        log(Event.ROW_SKIPPED, table="runs", key=self._worker, why=why)


def _listed(answer: dict[str, Any], field: str) -> list[Any]:
    """Return a list of an answer; an empty one is omitted."""
    value = answer.get(field)
    return [] if value is None else items(value)


@lru_cache(TASKS_CACHED)
def _parse_task(name: str) -> TaskId | None:
    """Return a task's id, or None for a name that this system gives no task."""
    return TaskId.parse(name) if TASK_NAME.fullmatch(name) else None
