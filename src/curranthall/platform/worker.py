"""Client for a worker of the platform; implements WorkerPort."""

import asyncio
from typing import Any

import orjson

from curranthall.cells.ports import (
    Ending,
    EndKind,
    ListedRun,
    PaceTask,
    Snapshot,
    StartResult,
    StartTask,
    StopTask,
)
from curranthall.dag import TaskId
from curranthall.errors import AnswerLost, ConnectFailed, Fenced, OtherBoot
from curranthall.http import HttpClient, Response
from curranthall.model import Host
from curranthall.platform.store import JSON_HEADERS
from curranthall.timeouts import lag_tolerant_timeout

CONNECTIONS = 6
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
        self._holds = HttpClient(host.address, 1)
        self._orders = HttpClient(host.address, CONNECTIONS)
        self._headers = (*JSON_HEADERS, (INSTANCE_HEADER, host.name))

    async def hold(self, epoch: int, cursor: int, lease_ms: int | None, wait_ms: int) -> Snapshot:
        """Extend the lease if `lease_ms` is given; return the worker's runs."""
        body: dict[str, Any] = {"fencing-token": epoch, "ack-cursor": cursor, "wait-ms": wait_ms}
        if lease_ms is not None:
            body["deadline-ms"] = lease_ms
        timeout = wait_ms / 1000 + HOLD_MARGIN_S
        answer = await self._send(self._holds, "/v1/hold", body, timeout)
        if answer.status != 200:
            self._raise_refusal(answer)
        try:
            return _decode_snapshot(orjson.loads(answer.body))
        except (ValueError, KeyError, TypeError, IndexError) as exc:
            raise AnswerLost(peer=self._host.name, why=f"unreadable answer: {exc!r}") from exc

    async def start(self, epoch: int, order: StartTask) -> StartResult:
        """Start a run."""
        body = {
            "task": str(order.task),
            "run-id": order.run,
            "spec": order.spec,
            "deadline-ms": order.deadline_ms,
            "fencing-token": epoch,
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
            raise Fenced(worker=self._host.name, epoch=epoch)
        return result

    async def stop(self, epoch: int, order: StopTask) -> None:
        """Stop a run."""
        body = {"task": str(order.task), "run-id": order.run, "fencing-token": epoch}
        answer = await self._send(self._orders, "/v1/run-stop", body, STOP_TIMEOUT_S)
        if answer.status != 200:
            self._raise_refusal(answer)

    async def pace(self, epoch: int, order: PaceTask) -> None:
        """Set a run's CPU share, in percent."""
        body = {
            "task": str(order.task),
            "run-id": order.run,
            "percent": order.percent,
            "fencing-token": epoch,
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
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


def _refusal_reason(answer: Response) -> str:
    try:
        return str(orjson.loads(answer.body).get("reason", ""))
    except (ValueError, AttributeError):
        return ""


def _decode_snapshot(value: dict[str, Any]) -> Snapshot:
    # Rows of `running` are [task, run, checkpoint, percent, gauge]: the gauge is tail latency in
    # ms for serving tasks, else thousandths of a core in use. Rows of `finished` are
    # [number, task, run, kind, checkpoint]. Empty lists are omitted.
    running = [
        ListedRun(TaskId.parse(row[0]), row[1], row[2], row[3], row[4] if len(row) > 4 else 0.0)
        for row in value.get("running") or ()
    ]
    ended = [
        Ending(row[0], TaskId.parse(row[1]), row[2], EndKind(row[3]), row[4])
        for row in value.get("finished") or ()
    ]
    return Snapshot(value["clock-ms"], value.get("born", 0), running, ended)
