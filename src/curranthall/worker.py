"""A worker, seen from the entry that holds it."""

from typing import Any, Protocol
from urllib.parse import quote

from curranthall.errors import AnswerLost, Fenced, Refused
from curranthall.http import HttpClient, Response
from curranthall.model import (
    Inventory,
    LeaseGrant,
    Outcome,
    OutcomeKind,
    Report,
    Running,
    Size,
    StartOrder,
    Task,
    Token,
)

CALL_TIMEOUT_S = 1.5
CONTROL_CONNECTIONS = 4


class Worker(Protocol):
    """What an entry asks of a worker.

    Each call raises ConnectFailed or Refused (no effect), Fenced, or AnswerLost.
    """

    async def lease(
        self, token: Token, echo: float, seq: int, seen: int, term: float
    ) -> tuple[LeaseGrant, int]:
        """Claim or renew; give the grant and the inventory's change count."""

    async def release(self, token: Token) -> None:
        """Give the lease back."""

    async def start(self, token: Token, seq: int, order: StartOrder, until: float) -> None:
        """Start an attempt, not after `until` on the worker's clock."""

    async def stop(self, token: Token, task: Task, finish: bool) -> Outcome | None:
        """Stop an attempt."""

    async def throttle(self, token: Token, task: Task, on: bool) -> None:
        """Slow a task down, or let it go."""

    async def acknowledge(self, token: Token, tasks: list[Task]) -> None:
        """Let outcomes be forgotten."""

    async def serve(self, service: str, request: str, body: bytes, timeout: float) -> bytes:
        """Have the endpoint answer a request."""

    def close(self) -> None:
        """Close the connections."""

    @property
    def control_bytes(self) -> int:
        """Count the bytes of all but requests."""


class HttpWorker:
    """A worker over HTTP; all its connections are this entry's to count."""

    def __init__(self, address: str, connections: int) -> None:
        self._control = HttpClient(address, CONTROL_CONNECTIONS)
        self._endpoint = HttpClient(address, connections - CONTROL_CONNECTIONS)

    async def lease(
        self, token: Token, echo: float, seq: int, seen: int, term: float
    ) -> tuple[LeaseGrant, int]:
        """Claim or renew."""
        value = {"token": token, "echo": echo, "seq": seq, "seen": seen, "term": term}
        reply = (await self._post("/lease", value)).json()
        listed = reply["inventory"]
        inventory = None if listed is None else inventory_from_json(listed)
        measured = reply["report"]
        report = None if measured is None else Report(*measured)
        token = Token(*reply["token"])
        grant = LeaseGrant(token, reply["stamp"], reply["left"], inventory, report)
        return grant, reply["changes"]

    async def release(self, token: Token) -> None:
        """Give the lease back."""
        await self._post("/release", {"token": token})

    async def start(self, token: Token, seq: int, order: StartOrder, until: float) -> None:
        """Start an attempt."""
        value = {"token": token, "seq": seq, "order": order, "until": until}
        await self._post("/start", value)

    async def stop(self, token: Token, task: Task, finish: bool) -> Outcome | None:
        """Stop an attempt."""
        value = {"token": token, "task": task, "finish": finish}
        outcome = (await self._post("/stop", value)).json()["outcome"]
        return None if outcome is None else outcome_from_json(outcome)

    async def throttle(self, token: Token, task: Task, on: bool) -> None:
        """Slow a task down, or let it go."""
        await self._post("/throttle", {"token": token, "task": task, "on": on})

    async def acknowledge(self, token: Token, tasks: list[Task]) -> None:
        """Let outcomes be forgotten."""
        await self._post("/acknowledge", {"token": token, "tasks": tasks})

    async def serve(self, service: str, request: str, body: bytes, timeout: float) -> bytes:
        """Have the endpoint answer a request."""
        headers = (("Curranthall-Request", request),)
        path = "/serve/" + quote(service, safe="")
        response = await self._endpoint.call("POST", path, body, timeout, headers)
        if response.status == 503:
            raise Refused(**response.json())
        if response.status != 200:
            raise AnswerLost(status=response.status)
        return response.body

    @property
    def control_bytes(self) -> int:
        """Count the bytes of all but requests."""
        return self._control.total_bytes

    def close(self) -> None:
        """Close the connections."""
        self._control.close()
        self._endpoint.close()

    async def _post(self, path: str, value: dict[str, Any]) -> Response:
        response = await self._control.json("POST", path, value, CALL_TIMEOUT_S)
        match response.status:
            case 200:
                return response
            case 409:
                found = response.json()
                raise Fenced(token=Token(*found["token"]), left_s=found.get("left_s", 0.0))
            case 503:
                raise Refused(**response.json())
            case _:
                raise AnswerLost(status=response.status)


def inventory_to_json(inventory: Inventory) -> dict[str, Any]:
    """Write an inventory."""
    return {
        "boot": inventory.boot,
        "running": [[task, run] for task, run in inventory.running.items()],
        "outcomes": [
            [task, [out.kind.value, out.checkpoint, out.reason]]
            for task, out in inventory.outcomes.items()
        ],
        "busy": inventory.busy,
    }


def inventory_from_json(value: dict[str, Any]) -> Inventory:
    """Read an inventory."""
    running = {}
    for task, run in value["running"]:
        cls, size, *rest = run
        running[Task(*task)] = Running(cls, Size(*size), *rest)
    outcomes = {Task(*task): outcome_from_json(out) for task, out in value["outcomes"]}
    return Inventory(value["boot"], running, outcomes, value["busy"])


def outcome_from_json(value: list[Any]) -> Outcome:
    """Read an outcome."""
    return Outcome(OutcomeKind(value[0]), value[1], value[2])
