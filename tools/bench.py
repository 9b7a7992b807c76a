"""Print what one entry costs beside a direct connection to the worker stand-in, in one run."""

import asyncio

from ddsketch import DDSketch

from curranthall.http import HttpClient
from tools.rig import LOOPBACK, EntryUnderTest, Rig

ROUNDS = 3
ONE_BY_ONE = 400
SIDE_BY_SIDE = 32
BURST = 1_500
IDLE_S = 10.0
CUSTOMER = ("Curranthall-Customer", "acme")


async def burst(client: HttpClient, path: str, count: int, width: int) -> tuple[float, DDSketch]:
    """Send requests, so many side by side; give requests a second and latencies in ms."""
    loop, latency = asyncio.get_running_loop(), DDSketch(0.01)

    async def one_by_one(share: int) -> None:
        for _ in range(share):
            began = loop.time()
            response = await client.call("POST", path, b"x", 10.0, (CUSTOMER,))
            assert response.status == 200, response
            latency.add((loop.time() - began) * 1000)

    began = loop.time()
    await asyncio.gather(*[one_by_one(count // width) for _ in range(width)])
    return count / (loop.time() - began), latency


async def measure(rig: Rig, entry: EntryUnderTest) -> None:
    """Measure and print."""
    idle = await entry.cost(IDLE_S)
    direct = HttpClient(f"{LOOPBACK}:{rig.workers[0].engine.host.address.rpartition(':')[2]}", 64)
    through = HttpClient(entry.caller_address, 64)
    serving = [w for w in rig.workers if w.engine.inventory().running]
    direct = HttpClient(serving[0].engine.host.address, 64)
    found: dict[str, list[float]] = {}
    for _ in range(ROUNDS):
        for name, client, path in (
            ("direct", direct, "/serve/s"),
            ("entry", through, "/v1/services/s/requests"),
        ):
            _, latency = await burst(client, path, ONE_BY_ONE, 1)
            found.setdefault(f"{name}_p50_ms", []).append(latency.get_quantile_value(0.5) or 0)
            found.setdefault(f"{name}_p99_ms", []).append(latency.get_quantile_value(0.99) or 0)
        rate, _ = await burst(through, "/v1/services/s/requests", BURST, SIDE_BY_SIDE)
        found.setdefault("entry_requests_s", []).append(rate)
        rate, _ = await burst(direct, "/serve/s", BURST, 8)
        found.setdefault("direct_requests_s", []).append(rate)
    middle = {name: sorted(values)[len(values) // 2] for name, values in found.items()}
    print(f"p50_ratio={middle['entry_p50_ms'] / middle['direct_p50_ms']:.2f}")
    print(f"p99_ratio={middle['entry_p99_ms'] / middle['direct_p99_ms']:.2f}")
    print(f"requests_ratio={middle['entry_requests_s'] / middle['direct_requests_s']:.2f}")
    print(f"added_p50_ms={middle['entry_p50_ms'] - middle['direct_p50_ms']:.2f}")
    print(f"added_p99_ms={middle['entry_p99_ms'] - middle['direct_p99_ms']:.2f}")
    for name, value in middle.items():
        print(f"{name}={value:.2f}")
    print(f"idle_25_workers_cpu_percent={idle['cpu_percent']:.2f}")
    print(f"idle_25_workers_bytes_s={idle['bytes_s']:.0f}")
    print(f"idle_25_workers_rss_mb={idle['rss_mb']:.1f}")


async def main() -> None:
    """Run in a rig of 25 workers."""
    rig = Rig()
    try:
        entry = await rig.start(25)
        await entry.client.post(
            "/v1/import",
            {
                "domain": {"d1": {}},
                "customer": {"acme": {"limit": 100000}},
                "service": {"s": {"customer": "acme", "replicas": 25, "deadline_ms": 5000}},
            },
        )
        await rig.until_held()
        while sum(bool(w.engine.inventory().running) for w in rig.workers) < len(rig.workers):
            await asyncio.sleep(0.2)
        await measure(rig, entry)
    finally:
        await rig.close()


if __name__ == "__main__":
    asyncio.run(main())
