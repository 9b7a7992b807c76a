"""Compare requests through one entry with direct requests to a worker stand-in."""

import asyncio

from ddsketch import DDSketch

from curranthall.http import HttpClient
from tools.rig import LOOPBACK, EntryUnderTest, Rig

ROUNDS = 3
SEQUENTIAL_REQUESTS = 400
CONCURRENCY = 32
BURST_REQUESTS = 1_500
IDLE_S = 10.0
CUSTOMER = ("Curranthall-Customer", "acme")


async def send_burst(
    client: HttpClient, path: str, count: int, concurrency: int
) -> tuple[float, DDSketch]:
    """Send concurrent requests; return requests per second and latencies in ms."""
    loop, latency = asyncio.get_running_loop(), DDSketch(0.01)

    async def send_sequentially(requests: int) -> None:
        for _ in range(requests):
            started_at = loop.time()
            response = await client.call("POST", path, b"x", 10.0, (CUSTOMER,))
            assert response.status == 200, response
            latency.add((loop.time() - started_at) * 1000)

    started_at = loop.time()
    await asyncio.gather(*[send_sequentially(count // concurrency) for _ in range(concurrency)])
    return count / (loop.time() - started_at), latency


async def measure(rig: Rig, entry: EntryUnderTest) -> None:
    """Print ratios of the entry to a direct connection, and the cost of an idle entry."""
    idle = await entry.measure_cost(IDLE_S)
    direct = HttpClient(f"{LOOPBACK}:{rig.workers[0].engine.host.address.rpartition(':')[2]}", 64)
    entry_client = HttpClient(entry.caller_address, 64)
    serving = [w for w in rig.workers if w.engine.inventory().running]
    direct = HttpClient(serving[0].engine.host.address, 64)
    samples: dict[str, list[float]] = {}
    for _ in range(ROUNDS):
        for name, client, path in (
            ("direct", direct, "/serve/s"),
            ("entry", entry_client, "/v1/services/s/requests"),
        ):
            _, latency = await send_burst(client, path, SEQUENTIAL_REQUESTS, 1)
            samples.setdefault(f"{name}_p50_ms", []).append(latency.get_quantile_value(0.5) or 0)
            samples.setdefault(f"{name}_p99_ms", []).append(latency.get_quantile_value(0.99) or 0)
        rate, _ = await send_burst(
            entry_client, "/v1/services/s/requests", BURST_REQUESTS, CONCURRENCY
        )
        samples.setdefault("entry_requests_s", []).append(rate)
        rate, _ = await send_burst(direct, "/serve/s", BURST_REQUESTS, 8)
        samples.setdefault("direct_requests_s", []).append(rate)
    medians = {name: sorted(values)[len(values) // 2] for name, values in samples.items()}
    print(f"p50_ratio={medians['entry_p50_ms'] / medians['direct_p50_ms']:.2f}")
    print(f"p99_ratio={medians['entry_p99_ms'] / medians['direct_p99_ms']:.2f}")
    print(f"requests_ratio={medians['entry_requests_s'] / medians['direct_requests_s']:.2f}")
    print(f"added_p50_ms={medians['entry_p50_ms'] - medians['direct_p50_ms']:.2f}")
    print(f"added_p99_ms={medians['entry_p99_ms'] - medians['direct_p99_ms']:.2f}")
    for name, value in medians.items():
        print(f"{name}={value:.2f}")
    print(f"idle_25_workers_cpu_percent={idle['cpu_percent']:.2f}")
    print(f"idle_25_workers_bytes_s={idle['bytes_s']:.0f}")
    print(f"idle_25_workers_rss_mb={idle['rss_mb']:.1f}")


async def main() -> None:
    """Run with 25 workers and one replica on each."""
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
        await rig.wait_until_held()
        while sum(bool(w.engine.inventory().running) for w in rig.workers) < len(rig.workers):
            await asyncio.sleep(0.2)
        await measure(rig, entry)
    finally:
        await rig.close()


if __name__ == "__main__":
    asyncio.run(main())
