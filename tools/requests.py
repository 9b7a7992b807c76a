"""Compare endpoint selection strategies under overload, a slow endpoint and a surge."""

import asyncio
import sys
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from itertools import count
from typing import Any, NamedTuple
from unittest.mock import patch

from ddsketch import DDSketch

from curranthall.edits import Edits
from curranthall.errors import CurranthallError
from curranthall.request import Candidate, Router, ServiceRequest
from tests.virtual import World, run

WORKERS = 4
ENTRIES = 2
SLOTS = 8
SERVE_S = 0.02
PEAK_REQUESTS_S = WORKERS * SLOTS / SERVE_S
DEADLINE_S = 0.25
RUN_S = 6.0
WARMUP_S = 25.0
SLOW_FACTOR = 8.0
SEED = 5
TABLE: dict[str, Any] = {
    "domain": {"d1": {}},
    "customer": {"calm": {"limit": 40}, "surge": {"limit": 40}, "free": {"limit": 100_000}},
    "service": {"proof": {"customer": "free", "replicas": 4 * WORKERS, "cores": 1, "memory": 1}},
}


class Result(NamedTuple):
    """Figures of one stream: goodput in requests/s, attempts per request."""

    goodput: float
    p50_ms: float
    p99_ms: float
    attempts: float
    not_run: int
    unknown: int


class Stream:
    """Poisson arrivals of one customer's requests at a mean rate per second."""

    def __init__(self, world: World, customer: str, rate: float) -> None:
        self.world = world
        self.customer = customer
        self.rate = rate
        self.outcomes: Counter[str] = Counter()
        self.latency = DDSketch(0.01)
        self.good = 0
        self.sent = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Send open-loop for some seconds and wait for all answers."""
        end = self.world.loop.time() + seconds
        while self.world.loop.time() < end:
            await asyncio.sleep(self.world.rng.expovariate(self.rate))
            self.sent += 1
            task = asyncio.ensure_future(self._send(f"{self.customer}{self.sent}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _send(self, name: str) -> None:
        started_at = self.world.loop.time()
        entry = self.world.rng.choice(list(self.world.entries.values()))
        req = ServiceRequest(
            name, "proof", self.customer, b"x", started_at + DEADLINE_S, self.sent % 2 == 0
        )
        try:
            await entry.router.request(req)
        except CurranthallError as exc:
            self.outcomes[exc.code] += 1
            return
        latency_s = self.world.loop.time() - started_at
        self.outcomes["answered"] += 1
        self.good += latency_s <= DEADLINE_S
        self.latency.add(latency_s * 1000)

    def result(self, seconds: float) -> Result:
        """Return the figures."""
        attempts = sum(
            run.what == "serve" and run.name.startswith(self.customer) for run in self.world.log
        )
        p50_ms = self.latency.get_quantile_value(0.5) or 0.0
        p99_ms = self.latency.get_quantile_value(0.99) or 0.0
        return Result(
            self.good / seconds,
            p50_ms,
            p99_ms,
            attempts / max(1, self.sent),
            self.outcomes["not-run"],
            self.outcomes["unknown"],
        )


async def start_world() -> World:
    """Start workers, entries and the service's replicas."""
    world = World(SEED, SERVE_S)
    for n in range(WORKERS):
        world.add_worker(f"w{n}", "d1", slots=SLOTS)
    for n in range(ENTRIES):
        world.add_entry(f"e{n}", "d1")
    await asyncio.sleep(1)
    entry = world.entries["e0"]
    await Edits(entry.platform, entry.config, entry.wall_clock, entry.new_txn).load("tool", TABLE)
    await asyncio.sleep(WARMUP_S)
    return world


async def run_offered(share: float, slow: bool) -> Result:
    """Offer a share of the peak rate, optionally with one slow endpoint."""
    world = await start_world()
    if slow:
        world.slowdown["w0"] = SLOW_FACTOR
    stream = Stream(world, "free", PEAK_REQUESTS_S * share)
    await stream.run(RUN_S)
    return stream.result(RUN_S)


async def run_surge(burst: bool) -> Result:
    """Measure a steady customer, optionally while another sends ten times as much."""
    world = await start_world()
    calm = Stream(world, "calm", PEAK_REQUESTS_S * 0.3)
    streams = [calm.run(RUN_S)]
    if burst:
        streams.append(Stream(world, "surge", PEAK_REQUESTS_S * 3).run(RUN_S))
    await asyncio.gather(*streams)
    return calm.result(RUN_S)


def _round_robin() -> Callable[..., Candidate | None]:
    counter = count()

    def choose(self: Router, service: str, tried: set[str]) -> Candidate | None:
        found = [c for c in self._candidates(service) if c.worker not in tried]
        found.sort(key=lambda choice: choice.worker)
        return found[next(counter) % len(found)] if found else None

    return choose


def _least_loaded(self: Router, service: str, tried: set[str]) -> Candidate | None:
    found = [c for c in self._candidates(service) if c.worker not in tried]
    return min(found, key=lambda c: self._outstanding[c.worker], default=None)


def run_one(job: tuple[str, str, float]) -> tuple[str, Result]:
    """Run one case with one strategy."""
    strategy, case, share = job
    strategies = {"ours": Router._choose, "round-robin": _round_robin(), "least": _least_loaded}
    main = run_surge(bool(share)) if case == "surge" else run_offered(share, case == "slow")
    with patch.object(Router, "_choose", strategies[strategy]):
        result: Result = run(main)
    return f"{case}.{share:g}.{strategy}", result


def main() -> int:
    """Print the figures of each case, then ratios between cases."""
    jobs = [
        (strategy, case, share)
        for case, share in (("even", 0.8), ("even", 1.0), ("even", 2.0), ("slow", 0.6))
        for strategy in ("ours", "round-robin", "least")
    ]
    jobs += [("ours", "surge", 0.0), ("ours", "surge", 1.0)]
    with ProcessPoolExecutor(6) as pool:
        results = dict(pool.map(run_one, jobs))
    for name, result in results.items():
        text = " ".join(f"{key}={value:.3f}" for key, value in result._asdict().items())
        print(f"{name}: {text}")
    peak = max(results["even.0.8.ours"].goodput, results["even.1.ours"].goodput)
    double = results["even.2.ours"]
    print(f"requests: goodput_at_2x_over_peak={double.goodput / peak:.3f}")
    print(f"requests: attempts_per_request_at_2x={double.attempts:.3f}")
    print(f"requests: unknown_at_2x={double.unknown}")
    for strategy in ("round-robin", "least"):
        ratio = results["slow.0.6.ours"].p99_ms / results[f"slow.0.6.{strategy}"].p99_ms
        print(f"requests: slow_p99_over_{strategy}={ratio:.3f}")
    calm = results["surge.1.ours"].p99_ms / results["surge.0.ours"].p99_ms
    print(f"requests: calm_p99_with_surge={calm:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
