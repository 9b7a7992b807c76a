"""Open-loop load generator: bounded arrivals, a latency sketch, outcomes by type."""

import asyncio
import hashlib
import random
from collections import Counter
from collections.abc import Sequence

from ddsketch import DDSketch

from curranthall.errors import AnswerLost, ConnectFailed
from curranthall.http import HttpClient

CONNECTIONS = 256
GRACE_S = 2.0
MAX_REQUESTS = 1_000_000


class Load:
    """Send requests to a service at a given rate, independent of response times."""

    def __init__(self, callers: Sequence[str], service: str, customer: str, seed: int = 1) -> None:
        self._clients = [HttpClient(address, CONNECTIONS) for address in callers]
        self._path = f"/v1/services/{service}/requests"
        self._customer = customer
        self._rng = random.Random(seed)
        self.latency = DDSketch(0.01)
        self.outcomes: Counter[str] = Counter()
        self.repeatable_ids: set[str] = set()
        self._sent = 0

    async def run(self, rate: float, seconds: float, deadline_ms: float) -> None:
        """Send `rate` requests per second on average, then wait for the last responses."""
        loop = asyncio.get_running_loop()
        end, due, pending = loop.time() + seconds, loop.time(), set()
        while due < end and self._sent < MAX_REQUESTS:
            await asyncio.sleep(max(0.0, due - loop.time()))
            due += self._rng.expovariate(rate)
            task = asyncio.create_task(self.send_one(deadline_ms, self._rng.random() < 0.5))
            pending.add(task)
            task.add_done_callback(pending.discard)
        await asyncio.gather(*pending)

    async def send_one(self, deadline_ms: float, idempotent: bool) -> None:
        """Send one request and count its outcome."""
        self._sent += 1
        client = self._clients[self._sent % len(self._clients)]
        body = f"proof {self._sent} {self._rng.random()}".encode()
        headers = (
            ("Curranthall-Customer", self._customer),
            ("Curranthall-Deadline-Ms", f"{deadline_ms:g}"),
            ("Curranthall-Idempotent", "yes" if idempotent else "no"),
        )
        loop = asyncio.get_running_loop()
        started_at, timeout = loop.time(), deadline_ms / 1000 + GRACE_S
        try:
            response = await client.call("POST", self._path, body, timeout, headers)
        except ConnectFailed:
            self.outcomes["not_run"] += 1
            return
        except AnswerLost:
            self.outcomes["unknown"] += 1
            return
        fields = {name.lower(): value for name, value in response.headers}
        outcome = fields.get("curranthall-outcome", "unknown").replace("-", "_")
        if idempotent:
            self.repeatable_ids.add(fields.get("curranthall-request", ""))
        if outcome == "answered":
            self.latency.add((loop.time() - started_at) * 1000)
            is_correct = hashlib.sha256(body).hexdigest().encode() == response.body
            outcome = "answered" if is_correct else "wrong"
        self.outcomes[outcome] += 1

    @property
    def sent(self) -> int:
        """Return the number of requests sent."""
        return self._sent

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the latency in milliseconds, 0 without answered requests."""
        return float(self.latency.get_quantile_value(quantile) or 0.0)

    def close(self) -> None:
        """Close the connections."""
        for client in self._clients:
            client.close()
