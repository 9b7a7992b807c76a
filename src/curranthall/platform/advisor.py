"""Client for the platform's advisor, which selects the workers for steps of some queues."""

import asyncio

import orjson

from curranthall.cells.advice import Advice
from curranthall.cells.ports import AskAdvice
from curranthall.errors import AnswerLost, ConnectFailed
from curranthall.http import HttpClient
from curranthall.platform.store import JSON_HEADERS
from curranthall.values import DECODE_ERRORS, fields, items, number, reason, text

# An answer takes longer the more workers are named; documented as seconds at most for 30.
ADVICE_TIMEOUT_S = 4.0


class PlatformAdvisor:
    """Calls the advisor over HTTP, one call at a time: it serializes a machine's calls anyway."""

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address, 1) if address else None
        self._lock = asyncio.Lock()

    async def ask(self, order: AskAdvice) -> Advice:
        """Return tickets by worker; raise ConnectFailed or AnswerLost."""
        if self._client is None:
            raise ConnectFailed(peer="advisor", why="none in the settings")
        step = f"{order.job}.{order.occurrence}.{order.step}"
        body = orjson.dumps({"step": step, "workers": list(order.workers)})
        async with self._lock:
            answer = await self._client.call(
                "POST", "/v1/advise", body, ADVICE_TIMEOUT_S, JSON_HEADERS
            )
        if answer.status != 200:
            raise ConnectFailed(peer="advisor", why=f"status {answer.status}")
        try:
            value = fields(orjson.loads(answer.body))
            # `approved` is a list of [worker id, ticket] pairs.
            approved = items(value.get("approved") or [])
            tickets = {text(name): text(ticket) for name, ticket in approved}
            return Advice(tickets, number(value["validity-ms"]) / 1000)
        except DECODE_ERRORS as exc:
            why = f"unreadable answer: {reason(exc)}"
            raise AnswerLost(peer="advisor", why=why) from exc

    def close(self) -> None:
        """Close the connection."""
        if self._client is not None:
            self._client.close()
