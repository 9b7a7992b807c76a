"""Demo in one process on loopback ports: platform and worker stand-ins, six entries and load."""

import asyncio
import json
from collections import Counter
from typing import Any, NamedTuple

from curranthall.client import OperatorClient
from curranthall.errors import AnswerLost, ConnectFailed
from curranthall.http import HttpClient
from curranthall.load import Load
from curranthall.model import Host, HostState, Size
from curranthall.process import EntryProcess, Ports
from curranthall.settings import Settings
from curranthall.standin.servers import PlatformServer, WorkerServer, count_runs

LOOPBACK = "127.0.0.1"
DOMAINS = ("north", "middle", "south")
OPERATOR_TOKEN = "demo-operator-token"
MESH_KEY = "demo-mesh-key-0123456789"
SERVE_S = 0.02
REQUESTS_PER_S = 40.0
DEADLINE_MS = 1_000.0
JOB_EVERY_S = 2.0
JOB_TASKS = 12
READY_TIMEOUT_S = 15.0
FINISH_TIMEOUT_S = 25.0
DEFAULT_SECONDS = 24.0

TABLE: dict[str, Any] = {
    "domain": {name: {} for name in DOMAINS},
    "customer": {
        "luzon-engravers": {"weight": 3, "limit": 600},
        "visayas-engravers": {"weight": 2, "limit": 600},
    },
    "service": {
        "proof": {"customer": "luzon-engravers", "deadline_ms": 500, "replicas": 2, "cores": 2}
    },
    "class": {
        "engraving": {"cores": 2, "memory": 4, "seconds": 2, "priority": 60},
        "report": {"cores": 1, "memory": 2, "seconds": 3, "priority": 30},
        "monogram": {"kind": "watcher", "cores": 0.5, "seconds": 0},
    },
}


class Outcome(NamedTuple):
    """Counts from the caller's responses and the workers' run logs."""

    requests: int
    answered: int
    not_run: int
    unknown: int
    jobs: int
    tasks: int
    done: int
    lost: int
    doubled: int
    p99_ms: float

    @property
    def is_good(self) -> bool:
        """Return whether nothing was lost, run twice or left unknown."""
        return not (self.lost or self.doubled or self.unknown)

    def __str__(self) -> str:
        fields = [f"{name}={value}" for name, value in self._asdict().items() if name != "p99_ms"]
        return "demo: " + " ".join([*fields, f"p99_ms={self.p99_ms:.1f}"])


class Demo:
    """Starts all components of the demo and runs its script."""

    def __init__(self) -> None:
        self._platform = PlatformServer()
        self.workers: list[WorkerServer] = []
        self.entries: list[EntryProcess] = []
        self.ports: list[Ports] = []
        self._jobs: list[str] = []
        self._tasks = 0
        self.operator: OperatorClient
        self._load: Load

    async def start(self) -> None:
        """Start all components and import the configuration table."""
        platform = f"{LOOPBACK}:{await self._platform.start(LOOPBACK, 0)}"
        for domain in DOMAINS:
            for number in (1, 2):
                await self._add_worker(f"{domain}-w{number}", domain, platform)
        peers: list[str] = []
        for domain in DOMAINS:
            for number in (1, 2):
                ports = await self._add_entry(f"{domain}-e{number}", domain, platform, peers)
                peers.append(f"{LOOPBACK}:{ports.mesh}")
        self.operator = OperatorClient(f"{LOOPBACK}:{self.ports[0].operators}", OPERATOR_TOKEN)
        callers = [f"{LOOPBACK}:{ports.caller}" for ports in self.ports]
        self._load = Load(callers, "proof", "luzon-engravers")
        await self._wait_until_ready()
        await self.operator.post("/v1/import", TABLE)

    async def _add_worker(self, name: str, domain: str, platform: str) -> None:
        host = Host(name, domain, f"{domain}-r1", "", Size(16, 64, 0), 8, 64, HostState.LIVE)
        server = WorkerServer(host, "boot-1", SERVE_S, seed=len(self.workers))
        await server.start(LOOPBACK, 0)
        await server.register(platform)
        self.workers.append(server)

    async def _add_entry(self, name: str, domain: str, platform: str, peers: list[str]) -> Ports:
        listen = f"{LOOPBACK}:0"
        tokens = {"demo": OPERATOR_TOKEN}
        cfg = Settings(
            name, domain, listen, listen, listen, platform, MESH_KEY, tokens, peers=tuple(peers)
        )
        process = EntryProcess(cfg)
        ports = await process.start()
        self.entries.append(process)
        self.ports.append(ports)
        return ports

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(process.entry.ready for process in self.entries):
                await asyncio.sleep(0.1)

    async def wait_until_serving(self) -> None:
        """Wait until all replicas run and every entry knows them."""
        wanted = len(DOMAINS) * TABLE["service"]["proof"]["replicas"]
        async with asyncio.timeout(READY_TIMEOUT_S * 2):
            while sum(process.count_running_replicas() for process in self.entries) < wanted:
                await asyncio.sleep(0.1)
        # Peers learn of the replicas from the next heartbeat.
        await asyncio.sleep(1.2)

    def print_ports(self) -> None:
        """Print the addresses of all entries and the operator token."""
        for process, ports in zip(self.entries, self.ports, strict=True):
            print(
                f"entry {process.cfg.id}: callers http://{LOOPBACK}:{ports.caller}"
                f"  operators http://{LOOPBACK}:{ports.operators}",
                flush=True,
            )
        print(f"operator token: {OPERATOR_TOKEN}", flush=True)

    async def run(self, seconds: float) -> Outcome:
        """Run load and jobs; take a failure domain out and bring it back meanwhile."""
        load = asyncio.create_task(self._load.run(REQUESTS_PER_S, seconds, DEADLINE_MS))
        jobs = asyncio.create_task(self._submit_jobs(seconds * 0.8))
        await asyncio.sleep(seconds * 0.4)
        await self._set_domain_state("middle", "out")
        await asyncio.sleep(seconds * 0.25)
        await self._set_domain_state("middle", "in")
        await asyncio.gather(load, jobs)
        await self._wait_until_finished()
        return self.outcome()

    async def _set_domain_state(self, domain: str, state: str) -> None:
        result = await self.operator.edit("domain", domain, {"state": state})
        print(f"failure domain {domain} {state}: revision {result['revision']}", flush=True)

    async def _submit_jobs(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        number = 0
        while loop.time() < end:
            number += 1
            cls = "engraving" if number % 2 else "report"
            await self._submit(f"{cls}-{number}", cls, self.ports[number % len(self.ports)])
            print(f"jobs submitted: {len(self._jobs)}, requests: {self._load.sent}", flush=True)
            await asyncio.sleep(JOB_EVERY_S)

    async def _submit(self, key: str, cls: str, ports: Ports) -> None:
        value = {"key": key, "class": cls, "tasks": JOB_TASKS, "deadline_s": 600}
        client = HttpClient(f"{LOOPBACK}:{ports.caller}", 1)
        headers = (("Curranthall-Customer", "luzon-engravers"),)
        try:
            body = json.dumps(value).encode()
            response = await client.call("POST", "/v1/jobs", body, 5.0, headers)
        except (ConnectFailed, AnswerLost):
            return
        finally:
            client.close()
        if response.status in (200, 201):
            self._jobs.append(response.json()["job"])
            self._tasks += JOB_TASKS

    async def _wait_until_finished(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + FINISH_TIMEOUT_S
        waiting = list(self._jobs)
        while waiting and loop.time() < deadline:
            status = await self.operator.get(f"/v1/jobs/{waiting[0]}")
            if status["finished"]:
                waiting.pop(0)
            else:
                await asyncio.sleep(0.3)

    def outcome(self) -> Outcome:
        """Count outcomes from the caller's records and the run logs."""
        runs = [run for worker in self.workers for run in worker.engine.log]
        batch = [run for run in runs if run.name.split("/")[0] in self._jobs]
        counts = count_runs(batch)
        done = len({run.name for run in batch if run.what == "done"})
        served = Counter(run.name for run in runs if run.what == "serve")
        doubled = sum(
            1 for name, times in served.items() if times > 1 and self._is_not_repeatable(name)
        )
        outcomes = self._load.outcomes
        return Outcome(
            requests=self._load.sent,
            answered=outcomes["answered"],
            not_run=outcomes["not_run"],
            unknown=outcomes["unknown"] + outcomes["wrong"],
            jobs=len(self._jobs),
            tasks=self._tasks,
            done=done,
            lost=self._tasks - done,
            doubled=counts["doubled"] + doubled,
            p99_ms=self._load.quantile_ms(0.99),
        )

    def _is_not_repeatable(self, request: str) -> bool:
        return request not in self._load.repeatable_ids

    async def close(self) -> None:
        """Stop all components."""
        self._load.close()
        self.operator.close()
        for process in self.entries:
            await process.close()
        for worker in self.workers:
            await worker.close()
        await self._platform.close()


async def run_demo(seconds: float) -> bool:
    """Run the demo; return whether nothing was lost, run twice or left unknown."""
    demo = Demo()
    await demo.start()
    demo.print_ports()
    print("waiting for the service's replicas", flush=True)
    await demo.wait_until_serving()
    try:
        if seconds == 0:
            print("running until Ctrl-C", flush=True)
            await asyncio.sleep(float("inf"))
        outcome = await demo.run(seconds)
        print(outcome, flush=True)
        return outcome.is_good
    finally:
        await demo.close()
