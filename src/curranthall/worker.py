"""Client of a worker, used by the entry that holds it."""

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
    """Interface of a worker.

    Each call may raise ConnectFailed or Refused (no effect), Fenced, or AnswerLost.
    """

    async def lease(
        self, token: Token, echo: float, seq: int, seen: int, term: float, boot: str
    ) -> tuple[LeaseGrant, int]:
        """Claim or renew the lease; return the grant and the inventory's change count.

        A renewal names the boot that granted the lease; any other boot refuses it as fenced.

        `echo` is the stamp of the last grant; if the change count is still `seen`, the
        inventory is omitted. Starts numbered below `seq` are refused from now on.
        """

    async def release(self, token: Token) -> None:
        """Release the lease."""

    async def start(
        self, token: Token, seq: int, order: StartOrder, until: float, boot: str
    ) -> None:
        """Start an attempt on a boot, not after `until` on the worker's clock."""

    async def stop(self, token: Token, task: Task, finish: bool) -> Outcome | None:
        """Stop an attempt and return its outcome, None if the worker does not know it."""

    async def throttle(self, token: Token, task: Task, on: bool) -> None:
        """Turn throttling of a task on or off."""

    async def acknowledge(self, token: Token, tasks: list[Task]) -> None:
        """Confirm that outcomes are recorded, so that the worker drops them."""

    async def serve(self, service: str, request: str, body: bytes, timeout: float) -> bytes:
        """Send a request to the service's endpoint and return the response body."""

    def close(self) -> None:
        """Close the connections."""

    @property
    def control_bytes(self) -> int:
        """Count the bytes of all calls except `serve`."""


class HttpWorker:
    """Worker client over HTTP; its two pools together stay within `connections`."""

    def __init__(self, address: str, connections: int) -> None:
        self._control = HttpClient(address, CONTROL_CONNECTIONS)
        self._endpoint = HttpClient(address, connections - CONTROL_CONNECTIONS)

    async def lease(
        self, token: Token, echo: float, seq: int, seen: int, term: float, boot: str
    ) -> tuple[LeaseGrant, int]:
        """Claim or renew the lease."""
        value = {"token": token, "echo": echo, "seq": seq, "seen": seen, "term": term, "boot": boot}
        reply = (await self._post("/lease", value)).json()
        listed = reply["inventory"]
        inventory = None if listed is None else inventory_from_json(listed)
        measured = reply["report"]
        report = None if measured is None else Report(*measured)
        token = Token(*reply["token"])
        grant = LeaseGrant(token, reply["stamp"], reply["left"], inventory, report)
        return grant, reply["changes"]

    async def release(self, token: Token) -> None:
        """Release the lease."""
        await self._post("/release", {"token": token})

    async def start(
        self, token: Token, seq: int, order: StartOrder, until: float, boot: str
    ) -> None:
        """Start an attempt."""
        value = {"token": token, "seq": seq, "order": order, "until": until, "boot": boot}
        await self._post("/start", value)

    async def stop(self, token: Token, task: Task, finish: bool) -> Outcome | None:
        """Stop an attempt."""
        value = {"token": token, "task": task, "finish": finish}
        outcome = (await self._post("/stop", value)).json()["outcome"]
        return None if outcome is None else outcome_from_json(outcome)

    async def throttle(self, token: Token, task: Task, on: bool) -> None:
        """Turn throttling of a task on or off."""
        await self._post("/throttle", {"token": token, "task": task, "on": on})

    async def acknowledge(self, token: Token, tasks: list[Task]) -> None:
        """Confirm that outcomes are recorded, so that the worker drops them."""
        await self._post("/acknowledge", {"token": token, "tasks": tasks})

    async def serve(self, service: str, request: str, body: bytes, timeout: float) -> bytes:
        """Send a request to the service's endpoint and return the response body."""
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
        """Count the bytes of all calls except `serve`."""
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
                fields = response.json()
                raise Fenced(token=Token(*fields["token"]), left_s=fields.get("left_s", 0.0))
            case 503:
                raise Refused(**response.json())
            case _:
                raise AnswerLost(status=response.status)


def inventory_to_json(inventory: Inventory) -> dict[str, Any]:
    """Encode an inventory."""
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
    """Decode an inventory."""
    running = {}
    for task, run in value["running"]:
        cls, size, *rest = run
        running[Task(*task)] = Running(cls, Size(*size), *rest)
    outcomes = {Task(*task): outcome_from_json(out) for task, out in value["outcomes"]}
    return Inventory(value["boot"], running, outcomes, value["busy"])


def outcome_from_json(value: list[Any]) -> Outcome:
    """Decode an outcome."""
    return Outcome(OutcomeKind(value[0]), value[1], value[2])
