"""Measure what an entry pays per worker, task, start, request, peer and configuration row."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from curranthall.load import Load
from tools.rig import EntryUnderTest, Rig

WINDOW_S = 10.0
LONG_S = 100_000
BASE: dict[str, Any] = {
    "domain": {"d1": {}, "d2": {"state": "out"}},
    "customer": {"acme": {"limit": 100000}},
}

Sample = dict[str, float]


class Fit(NamedTuple):
    """A straight line and the largest distance of a point from it."""

    slope: float
    base: float
    residual: float


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fit by least squares."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    return Fit(slope, base, max(abs(y - base - slope * x) for x, y in points))


async def with_rig(
    workers: int, entries: int, act: Callable[[Rig, EntryUnderTest], Awaitable[Sample]]
) -> Sample:
    """Run one measurement in a rig of its own."""
    rig = Rig()
    try:
        entry = await rig.start(workers, entries)
        await entry.client.post("/v1/import", BASE)
        await rig.until_held()
        return await act(rig, entry)
    finally:
        await rig.close()


async def idle(rig: Rig, entry: EntryUnderTest) -> Sample:
    """Measure with nothing to do."""
    return await entry.cost(WINDOW_S)


async def submit(entry: EntryUnderTest, tasks: int, seconds: float) -> None:
    """Submit one job."""
    classes = {"class": {"c": {"cores": 0.1, "memory": 0.1, "seconds": seconds}}}
    await entry.client.post("/v1/import", classes)
    job = {"customer": "acme", "key": "j", "class": "c", "tasks": tasks, "deadline_s": 1e6}
    await entry.client.post("/v1/jobs", job)


def running(tasks: int) -> Callable[[Rig, EntryUnderTest], Awaitable[Sample]]:
    """Measure with tasks running."""

    async def act(rig: Rig, entry: EntryUnderTest) -> Sample:
        if tasks:
            await submit(entry, tasks, LONG_S)
        while len([run for w in rig.workers for run in w.engine.log]) < tasks:
            await asyncio.sleep(0.2)
        await asyncio.sleep(3)
        return await entry.cost(WINDOW_S)

    return act


def starting(tasks: int) -> Callable[[Rig, EntryUnderTest], Awaitable[Sample]]:
    """Measure while so many tasks start and end within the window."""

    async def act(rig: Rig, entry: EntryUnderTest) -> Sample:
        await submit(entry, tasks, 1.0)
        return await entry.cost(WINDOW_S)

    return act


def rows(count: int) -> Callable[[Rig, EntryUnderTest], Awaitable[Sample]]:
    """Measure with so many rows of customers."""

    async def act(rig: Rig, entry: EntryUnderTest) -> Sample:
        core = rig.platform.core
        for number in range(count):
            from curranthall.model import Commit

            row = {"weight": 1.0, "limit": 100, "quota_cores": 1e6}
            core.unlimited_writes = True
            core.commit(Commit(f"t{number}", {}, {f"config/customer/c{number}": row}))
        core.unlimited_writes = False
        await asyncio.sleep(4)
        return await entry.cost(WINDOW_S)

    return act


def requests(rate: float) -> Callable[[Rig, EntryUnderTest], Awaitable[Sample]]:
    """Measure while requests are forwarded."""

    async def act(rig: Rig, entry: EntryUnderTest) -> Sample:
        service = {"service": {"s": {"customer": "acme", "replicas": 8, "cores": 1}}}
        await entry.client.post("/v1/import", service)
        await asyncio.sleep(12)
        load = Load([entry.caller], "s", "acme")
        running = asyncio.create_task(load.run(max(rate, 0.1), WINDOW_S + 2, 1000))
        await asyncio.sleep(1)
        found = await entry.cost(WINDOW_S)
        await running
        load.close()
        return {**found, "answered": load.outcomes["answered"]}

    return act


async def measure() -> None:
    """Print each slope."""
    plans: list[tuple[str, list[int], Any]] = [
        ("worker", [0, 25, 50, 100], lambda n: with_rig(n, 1, idle)),
        ("peer", [0, 3, 6, 12], lambda n: with_rig(4, 1 + n, idle)),
        ("task", [0, 200, 400, 800], lambda n: with_rig(20, 1, running(n))),
        ("row", [0, 500, 1000, 2000], lambda n: with_rig(4, 1, rows(n))),
        ("start", [50, 100, 200, 400], lambda n: with_rig(20, 1, starting(n))),
        ("request", [0, 50, 100, 200], lambda n: with_rig(8, 1, requests(n))),
    ]
    for name, sizes, run in plans:
        if sys.argv[1:] and name not in sys.argv[1:]:
            continue
        samples = []
        for size in sizes:
            found = await run(size)
            samples.append((size, found))
            text = " ".join(f"{key}={value:.2f}" for key, value in found.items())
            print(f"sample {name}={size} {text}", flush=True)
        for key in ("cpu_percent", "bytes_s", "rss_mb"):
            axis = "starts" if name == "start" else None
            points = [(s[axis] / WINDOW_S if axis else n, s[key]) for n, s in samples]
            line = fit(points)
            print(
                f"slope {name} {key}={line.slope:.5f} base={line.base:.3f} "
                f"residual={line.residual:.3f}",
                flush=True,
            )


if __name__ == "__main__":
    asyncio.run(measure())
