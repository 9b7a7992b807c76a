"""Measure an entry's cost per worker, task, start, request, peer and configuration row."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from curranthall.load import Load
from tools.rig import EntryUnderTest, Rig

WINDOW_S = 10.0
LONG_S = 100_000
BASE_CONFIG: dict[str, Any] = {
    "domain": {"d1": {}, "d2": {"state": "out"}},
    "customer": {"acme": {"limit": 100000}},
}

Sample = dict[str, float]


class Fit(NamedTuple):
    """A straight line and the largest vertical distance of a point from it."""

    slope: float
    intercept: float
    max_residual: float


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Fit a line to points by least squares."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_sq_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_sq_x
    intercept = mean_y - slope * mean_x
    return Fit(slope, intercept, max(abs(y - intercept - slope * x) for x, y in points))


async def measure_in_rig(
    workers: int, entries: int, measure: Callable[[Rig, EntryUnderTest], Awaitable[Sample]]
) -> Sample:
    """Run one measurement in a new rig."""
    rig = Rig()
    try:
        entry = await rig.start(workers, entries)
        await entry.client.post("/v1/import", BASE_CONFIG)
        await rig.wait_until_held()
        return await measure(rig, entry)
    finally:
        await rig.close()


async def measure_idle(rig: Rig, entry: EntryUnderTest) -> Sample:
    """Measure without tasks or requests."""
    return await entry.measure_cost(WINDOW_S)


async def submit_job(entry: EntryUnderTest, tasks: int, seconds: float) -> None:
    """Submit a job whose tasks take `seconds` each."""
    classes = {"class": {"c": {"cores": 0.1, "memory": 0.1, "seconds": seconds}}}
    await entry.client.post("/v1/import", classes)
    job = {"customer": "acme", "key": "j", "class": "c", "tasks": tasks, "deadline_s": 1e6}
    await entry.client.post("/v1/jobs", job)


def with_running_tasks(tasks: int) -> Callable[[Rig, EntryUnderTest], Awaitable[Sample]]:
    """Return a measurement while `tasks` tasks run."""

    async def measure(rig: Rig, entry: EntryUnderTest) -> Sample:
        if tasks:
            await submit_job(entry, tasks, LONG_S)
        while len([run for w in rig.workers for run in w.engine.log]) < tasks:
            await asyncio.sleep(0.2)
        await asyncio.sleep(3)
        return await entry.measure_cost(WINDOW_S)

    return measure


def with_starting_tasks(tasks: int) -> Callable[[Rig, EntryUnderTest], Awaitable[Sample]]:
    """Return a measurement while `tasks` tasks start and end within the window."""

    async def measure(rig: Rig, entry: EntryUnderTest) -> Sample:
        await submit_job(entry, tasks, 1.0)
        return await entry.measure_cost(WINDOW_S)

    return measure


def with_config_rows(count: int) -> Callable[[Rig, EntryUnderTest], Awaitable[Sample]]:
    """Return a measurement with `count` customer rows in the configuration."""

    async def measure(rig: Rig, entry: EntryUnderTest) -> Sample:
        core = rig.platform.core
        for number in range(count):
            from curranthall.model import Commit

            row = {"weight": 1.0, "limit": 100, "quota_cores": 1e6}
            core.unlimited_writes = True
            core.commit(Commit(f"t{number}", {}, {f"config/customer/c{number}": row}))
        core.unlimited_writes = False
        await asyncio.sleep(4)
        return await entry.measure_cost(WINDOW_S)

    return measure


def with_requests(rate: float) -> Callable[[Rig, EntryUnderTest], Awaitable[Sample]]:
    """Return a measurement while `rate` requests per second are forwarded."""

    async def measure(rig: Rig, entry: EntryUnderTest) -> Sample:
        service = {"service": {"s": {"customer": "acme", "replicas": 8, "cores": 1}}}
        await entry.client.post("/v1/import", service)
        await asyncio.sleep(12)
        load = Load([entry.caller_address], "s", "acme")
        sending = asyncio.create_task(load.run(max(rate, 0.1), WINDOW_S + 2, 1000))
        await asyncio.sleep(1)
        sample = await entry.measure_cost(WINDOW_S)
        await sending
        load.close()
        return {**sample, "answered": load.outcomes["answered"]}

    return measure


async def main() -> None:
    """Print the samples and the fitted slope of each series."""
    series: list[tuple[str, list[int], Any]] = [
        ("worker", [0, 25, 50, 100], lambda n: measure_in_rig(n, 1, measure_idle)),
        ("peer", [0, 3, 6, 12], lambda n: measure_in_rig(4, 1 + n, measure_idle)),
        ("task", [0, 200, 400, 800], lambda n: measure_in_rig(20, 1, with_running_tasks(n))),
        ("row", [0, 500, 1000, 2000], lambda n: measure_in_rig(4, 1, with_config_rows(n))),
        ("start", [50, 100, 200, 400], lambda n: measure_in_rig(20, 1, with_starting_tasks(n))),
        ("request", [0, 50, 100, 200], lambda n: measure_in_rig(8, 1, with_requests(n))),
    ]
    for name, sizes, run in series:
        if sys.argv[1:] and name not in sys.argv[1:]:
            continue
        samples = []
        for size in sizes:
            sample = await run(size)
            samples.append((size, sample))
            text = " ".join(f"{key}={value:.2f}" for key, value in sample.items())
            print(f"sample {name}={size} {text}", flush=True)
        for key in ("cpu_percent", "bytes_s", "rss_mb"):
            axis = "starts" if name == "start" else None
            points = [(s[axis] / WINDOW_S if axis else n, s[key]) for n, s in samples]
            line = fit_line(points)
            print(
                f"slope {name} {key}={line.slope:.5f} base={line.intercept:.3f} "
                f"residual={line.max_residual:.3f}",
                flush=True,
            )


if __name__ == "__main__":
    asyncio.run(main())
