"""Weigh how requests find endpoints: overload, a slow endpoint, one customer's surge."""

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
from curranthall.request import Ask, Choice, Router
from tests.virtual import World, run

WORKERS = 4
ENTRIES = 2
SLOTS = 8
SERVE_S = 0.02
PEAK = WORKERS * SLOTS / SERVE_S
DEADLINE_S = 0.25
RUN_S = 6.0
WARM_S = 25.0
SLOW = 8.0
SEED = 5
TABLE: dict[str, Any] = {
    "domain": {"d1": {}},
    "customer": {"calm": {"limit": 40}, "surge": {"limit": 40}, "free": {"limit": 100_000}},
    "service": {"proof": {"customer": "free", "replicas": 4 * WORKERS, "cores": 1, "memory": 1}},
}


class Result(NamedTuple):
    """What callers saw."""

    goodput: float
    p50_ms: float
    p99_ms: float
    attempts: float
    not_run: int
    unknown: int


class Stream:
    """One customer's requests at a rate."""

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
        """Send open-loop and wait for the last."""
        end = self.world.loop.time() + seconds
        while self.world.loop.time() < end:
            await asyncio.sleep(self.world.rng.expovariate(self.rate))
            self.sent += 1
            task = asyncio.ensure_future(self._one(f"{self.customer}{self.sent}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _one(self, name: str) -> None:
        began = self.world.loop.time()
        entry = self.world.rng.choice(list(self.world.entries.values()))
        ask = Ask(name, "proof", self.customer, b"x", began + DEADLINE_S, self.sent % 2 == 0)
        try:
            await entry.router.request(ask)
        except CurranthallError as exc:
            self.outcomes[exc.code] += 1
            return
        took = self.world.loop.time() - began
        self.outcomes["answered"] += 1
        self.good += took <= DEADLINE_S
        self.latency.add(took * 1000)

    def result(self, seconds: float) -> Result:
        """Give the figures."""
        served = sum(
            run.what == "serve" and run.name.startswith(self.customer) for run in self.world.log
        )
        middle = self.latency.get_quantile_value(0.5) or 0.0
        tail = self.latency.get_quantile_value(0.99) or 0.0
        return Result(
            self.good / seconds,
            middle,
            tail,
            served / max(1, self.sent),
            self.outcomes["not-run"],
            self.outcomes["unknown"],
        )


async def furnished() -> World:
    """Start workers, entries and the service."""
    world = World(SEED, SERVE_S)
    for n in range(WORKERS):
        world.add_worker(f"w{n}", "d1", slots=SLOTS)
    for n in range(ENTRIES):
        world.add_entry(f"e{n}", "d1")
    await asyncio.sleep(1)
    entry = world.entries["e0"]
    await Edits(entry.platform, entry.config, entry.wall, entry.new_txn).load("tool", TABLE)
    await asyncio.sleep(WARM_S)
    return world


async def offered(share: float, slow: bool) -> Result:
    """Offer a share of the peak, with one slow and flapping endpoint if asked."""
    world = await furnished()
    if slow:
        world.slowdown["w0"] = SLOW
    stream = Stream(world, "free", PEAK * share)
    await stream.run(RUN_S)
    return stream.result(RUN_S)


async def surge(burst: bool) -> Result:
    """Have one customer send ten times its part while another stays calm."""
    world = await furnished()
    calm = Stream(world, "calm", PEAK * 0.3)
    streams = [calm.run(RUN_S)]
    if burst:
        streams.append(Stream(world, "surge", PEAK * 3).run(RUN_S))
    await asyncio.gather(*streams)
    return calm.result(RUN_S)


def _round_robin() -> Callable[..., Choice | None]:
    turn = count()

    def choose(self: Router, service: str, tried: set[str]) -> Choice | None:
        found = [c for c in self._choices(service) if c.worker not in tried]
        found.sort(key=lambda choice: choice.worker)
        return found[next(turn) % len(found)] if found else None

    return choose


def _least(self: Router, service: str, tried: set[str]) -> Choice | None:
    found = [c for c in self._choices(service) if c.worker not in tried]
    return min(found, key=lambda c: self._outstanding[c.worker], default=None)


def run_one(job: tuple[str, str, float]) -> tuple[str, Result]:
    """Run one case under one way of choosing."""
    way, case, share = job
    ways = {"ours": Router._choose, "round-robin": _round_robin(), "least": _least}
    main = surge(bool(share)) if case == "surge" else offered(share, case == "slow")
    with patch.object(Router, "_choose", ways[way]):
        result: Result = run(main)
    return f"{case}.{share:g}.{way}", result


def main() -> int:
    """Print each case, then the last lines."""
    jobs = [
        (way, case, share)
        for case, share in (("even", 0.8), ("even", 1.0), ("even", 2.0), ("slow", 0.6))
        for way in ("ours", "round-robin", "least")
    ]
    jobs += [("ours", "surge", 0.0), ("ours", "surge", 1.0)]
    with ProcessPoolExecutor(6) as pool:
        found = dict(pool.map(run_one, jobs))
    for name, result in found.items():
        text = " ".join(f"{key}={value:.3f}" for key, value in result._asdict().items())
        print(f"{name}: {text}")
    peak = max(found["even.0.8.ours"].goodput, found["even.1.ours"].goodput)
    double = found["even.2.ours"]
    print(f"requests: goodput_at_2x_over_peak={double.goodput / peak:.3f}")
    print(f"requests: attempts_per_request_at_2x={double.attempts:.3f}")
    print(f"requests: unknown_at_2x={double.unknown}")
    for way in ("round-robin", "least"):
        tail = found["slow.0.6.ours"].p99_ms / found[f"slow.0.6.{way}"].p99_ms
        print(f"requests: slow_p99_over_{way}={tail:.3f}")
    calm = found["surge.1.ours"].p99_ms / found["surge.0.ours"].p99_ms
    print(f"requests: calm_p99_with_surge={calm:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
