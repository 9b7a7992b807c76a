"""A fault soak: real entry processes, simulated workers and store, faults from outside.

`python -m tests.soak SEED SECONDS` runs one seed and exits with 1 if it finds a violation.
Checks rely on what callers and workers observe, never on an entry's report about itself.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
from asyncio.subprocess import Process
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from curranthall.dag import Job, Step, TaskId
from curranthall.errors import CurranthallError
from curranthall.http import HttpClient
from curranthall.model import Host, HostState, Size
from curranthall.standin.runner import Runner, Work
from tests.cluster import Judge, now
from tests.crowd import Clients, pieced_bodies, small_chunks, whole_bodies
from tests.platform_fakes import FakeStore, FakeWorker
from tests.proxy import Mode, Proxy

DOMAINS = ("a", "b", "c")
ENTRIES_PER_DOMAIN = 2
WORKERS_PER_DOMAIN = 3
WORKER_CORES = 8
CALLERS = 4
START_S = 6.0
# Time after the last fault: leases lapse after 6 s, a successor is proven 12 s later.
SETTLE_S = 45.0
CALL_S = 3.0
TRIES = 6
STEP_S = 0.05
FRESH_SEEDS = 5
# With bodies of 256 KB more than the budget of an entry.
CROWD_CLIENTS = 250
PREFIX = "/cuts/"
QUEUE = {
    "name": "cuts",
    "path-prefix": PREFIX,
    "backend": "desk",
    "max-attempts": 3,
    "stretch-factor": 2.0,
    "slo-ms": 500,
}
BOUNDS = {
    "grace-s": 4,
    "max-hold-ms": 6000,
    "gang-timeout-ms": 3000,
    "early_ms": 250,
    "status_s": 120,
    "enforce-revocation": True,
    "revoke-ms": 5000,
}
# A removed key is refused by all entries after this, also by those cut off from the store.
REVOKE_S = BOUNDS["revoke-ms"] / 1000
PROBE_S = 0.2
# Statuses of a submission that never runs.
NOT_RUN = (401, 429, 503)


class EntryProcess:
    """An entry's process, its settings file and its link to the store."""

    def __init__(self, soak: "Soak", number: int, domain: str) -> None:
        self.soak = soak
        self.name = f"{domain}-e{number}"
        self.domain = domain
        self.ip = f"127.0.{soak.subnet}.{number + 1}"
        self.frontend = f"{self.ip}:8161"
        self.store_link = Proxy()
        self.process: Process | None = None
        self.should_run = False
        self.caller = HttpClient(self.frontend, CALLERS)
        self.file = soak.folder / f"{self.name}.json"

    async def write_settings(self, store: str) -> None:
        """Start the link to the store and write the settings file."""
        self.file.write_text(
            json.dumps(
                {
                    "node-name": self.name,
                    "ip": self.ip,
                    "zone": self.domain,
                    "zones": {domain: "land" for domain in DOMAINS},
                    "listen-addrs": {"frontend": self.frontend, "readiness": f"{self.ip}:8167"},
                    "internal-ports": [7720, 7735],
                    "limits": {"cpu-share": 1.0, "cores": 1},
                    "bounds": BOUNDS,
                    "platform": {"address": await self.store_link.start(store)},
                }
            )
        )

    async def start(self) -> None:
        """Start the process."""
        with (self.soak.folder / f"{self.name}.log").open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "curranthall.platform",
                stdout=out,
                stderr=out,
                env={**os.environ, "CURRANTHALL_NODE_FILE": str(self.file)},
            )
        self.should_run = True

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number: signal.Signals) -> None:
        """Send a signal that ends the process, and wait for its exit."""
        self.should_run = False
        self.send_signal(number)
        if self.process is not None:
            await self.process.wait()


class Soak:
    """The soak run of one seed."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        # Soaks that run in parallel use different loopback subnets.
        self.subnet = 16 + os.getpid() % 200
        self.judge = Judge()
        self.store = FakeStore(now)
        self.store.page_rows = 500
        self.entries: list[EntryProcess] = []
        self.workers: dict[str, FakeWorker] = {}
        self.links: dict[str, Proxy] = {}
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled: set[str] = set()
        # Jobs whose cancel was answered 410.
        self.absent: set[str] = set()
        # The customer of each job.
        self.customers: dict[str, str] = {}
        self.broken: list[str] = []
        self.faults = 0
        self.version = 1
        # Keys in the configuration, by customer, and the key that its callers send.
        self.keys = {"acme": ["acme-1"], "birch": ["birch-1"]}
        self.sent_keys = {customer: keys[0] for customer, keys in self.keys.items()}
        # When keys were removed.
        self.removed_keys: dict[str, float] = {}
        self._workers_added = 0
        self.last_body = b""
        self._stop_callers = False

    async def play(self) -> list[str]:
        """Run the soak; return the violations."""
        await self.start(DOMAINS * ENTRIES_PER_DOMAIN)
        loops = (self._step_workers(), self._watch(), self._probe_removed_keys())
        background = [asyncio.create_task(loop) for loop in loops]
        await asyncio.sleep(START_S)
        background.append(asyncio.create_task(self._replace_key("birch")))
        callers = [asyncio.create_task(self._run_caller(number)) for number in range(CALLERS)]
        await self._inject_faults()
        self._stop_callers = True
        await asyncio.gather(*callers)
        await self._end_faults()
        await self._check_end_state()
        for task in background:
            task.cancel()
        await self.close()
        return [*self.judge.broken, *self.broken]

    async def start(self, domains: tuple[str, ...]) -> None:
        """Start the store, the workers and an entry in each of the domains."""
        address = await self.store.start()
        self.entries = [EntryProcess(self, *item) for item in enumerate(domains)]
        self._write_config()
        for domain in DOMAINS:
            for _ in range(WORKERS_PER_DOMAIN):
                await self._add_worker(domain)
        for entry in self.entries:
            await entry.write_settings(address)
            await entry.start()

    async def close(self) -> None:
        """Stop all processes, workers, links and the store."""
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            await entry.stop(signal.SIGKILL)
            entry.caller.close()
            await entry.store_link.stop()
        for name, worker in self.workers.items():
            await worker.stop()
            await self.links[name].stop()
        await self.store.stop()

    # Simulated store and workers

    def _write_config(self) -> None:
        # The Host header of a caller is the address of the entry.
        routes = [{**QUEUE, "hostname": entry.ip} for entry in self.entries]
        # The limits exceed all workers, so that they hold up no job.
        limit = {"cpu": 1_000_000, "mem-mb": 0, "gpus": 0}
        tenants = [
            {"name": name, "api-keys": keys, "weight": 1 + at, "max-count": limit, "priority": 0}
            for at, (name, keys) in enumerate(self.keys.items())
        ]
        config = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "desk"}],
            "tenants": tenants,
        }
        self.store.write_as_operator("config", config)

    def replace_keys(self, customer: str, keys: list[str]) -> None:
        """Write a configuration in which a customer has other keys."""
        removed = set(self.keys[customer]) - set(keys)
        self.keys[customer] = keys
        self.version += 1
        self._write_config()
        self.removed_keys |= dict.fromkeys(removed, now())

    async def _replace_key(self, customer: str) -> None:
        """Add a key, let callers use it, and remove the former one."""
        former, later = self.keys[customer][0], f"{customer}-2"
        await asyncio.sleep(self.seconds * 0.2)
        self.replace_keys(customer, [former, later])
        await asyncio.sleep(self.seconds * 0.2)
        self.sent_keys[customer] = later
        self.replace_keys(customer, [later])

    async def _probe_removed_keys(self) -> None:
        """Report entries that accept a removed key longer than the bound allows."""
        while True:
            await asyncio.sleep(PROBE_S)
            for key, removed_at in self.removed_keys.items():
                sent_at = now()
                status = await self._call_with(self.rng.choice(self.entries), "GET", "", key)
                if sent_at > removed_at + REVOKE_S and status not in (401, 503, -1):
                    self.broken.append(f"{key} was answered {status} after its removal")

    async def _add_worker(self, domain: str) -> None:
        self._workers_added += 1
        name = f"{domain}-w{self._workers_added}"
        worker = self.workers[name] = FakeWorker(self._make_runner(name, domain))
        link = self.links[name] = Proxy()
        address = await link.start(await worker.start())
        self.store.write_as_worker(
            name,
            {
                "backend": "desk",
                "address": address,
                "zone": domain,
                "slots": 8,
                "phase": "ready",
                "capacity": {"cpu": WORKER_CORES * 1000, "mem-mb": 32_000, "gpus": 0},
                "labels": ["a", f"r-{domain}"],
            },
        )

    def _make_runner(self, name: str, domain: str) -> Runner:
        size = Size(WORKER_CORES, 32_000)
        host = Host(name, domain, f"r-{domain}", "", size, 8, 0, HostState.LIVE, "desk", ())
        return Runner(host, now, self._make_work, self._note_event)

    def _make_work(self, task: TaskId) -> Work:
        step = self.judge.jobs[task.job].steps[task.step]
        return Work(step, step.estimate_ms / 1000)

    def _note_event(self, what: str, task: TaskId, run: int, worker: str) -> None:
        if what == "start" and task.job in self.refused:
            self.broken.append(f"{now():.2f} refused, but run: {task} on {worker}")
        if what == "start" and task.job in self.absent:
            self.broken.append(f"{now():.2f} cancelled as absent, but run: {task} on {worker}")
        self.judge.note(what, task, run, worker)

    async def _step_workers(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            for worker in self.workers.values():
                worker.runner.step()
                if not Size(0, 0).fits(
                    worker.runner.host.size.minus(worker.runner.total_reserved())
                ):
                    self.broken.append(f"over its size: {worker.instance}")

    async def _watch(self) -> None:
        """Report and restart an entry whose process exits by itself."""
        while True:
            await asyncio.sleep(STEP_S)
            for entry in self.entries:
                if entry.should_run and entry.process and entry.process.returncode is not None:
                    self.broken.append(f"{entry.name} ended with {entry.process.returncode}")
                    await entry.start()

    # Callers

    async def _run_caller(self, number: int) -> None:
        rng, count = random.Random(self.rng.random()), 0
        while not self._stop_callers:
            count += 1
            job = self._make_job(f"{number:04x}{count:012x}", rng)
            self.judge.jobs[job.id] = job
            self.customers[job.id] = sorted(self.keys)[number % len(self.keys)]
            if rng.random() < 0.2:
                await asyncio.gather(self._submit(job, rng), self._cancel_beside(job.id, rng))
            else:
                await self._submit(job, rng)
            if job.id in self.accepted and rng.random() < 0.15:
                await asyncio.sleep(rng.uniform(0, 1.5))
                await self._cancel(job.id, rng)
            await asyncio.sleep(rng.uniform(0.05, 0.5))

    def _make_job(self, job_id: str, rng: random.Random) -> Job:
        first = Step(rng.randint(1, 6), Size(rng.choice((1, 2)), 500), rng.choice((200, 600, 1500)))
        second = Step(rng.randint(1, 3), Size(1, 500), rng.choice((200, 800)), after=(0,))
        steps = (first, second) if rng.random() < 0.6 else (first,)
        return Job(job_id, "cuts", "desk", "spec", steps, 0)

    async def _submit(self, job: Job, rng: random.Random) -> None:
        steps = [
            {
                "count": step.width,
                "cpu": int(step.size.cores * 1000),
                "mem-mb": int(step.size.memory),
                "estimated-ms": step.estimate_ms,
                **({"after": list(step.after)} if step.after else {}),
            }
            for step in job.steps
        ]
        body = json.dumps({"spec": job.spec, "steps": steps}).encode()
        outcomes = []
        for _ in range(TRIES):
            outcomes.append(await self._call("POST", job.id, rng, body))
            if outcomes[-1] == 200:
                self.accepted.add(job.id)
                return
            await asyncio.sleep(rng.uniform(0.1, 0.8))
        if all(status in NOT_RUN for status in outcomes):
            self.refused.add(job.id)

    async def _cancel_beside(self, job_id: str, rng: random.Random) -> None:
        """Cancel a job whose submission may still be under way, or may have got no answer."""
        await asyncio.sleep(rng.choice((0.0, 0.0, 0.0, 0.005, 1.0)))
        await self._cancel(job_id, rng)

    async def _cancel(self, job_id: str, rng: random.Random) -> None:
        self.cancelled.add(job_id)
        for _ in range(TRIES):
            status = await self._call("DELETE", job_id, rng)
            if status == 410:
                self.absent.add(job_id)
            if status in (200, 410):
                return
            await asyncio.sleep(0.3)

    async def _call(self, method: str, job_id: str, rng: random.Random, body: bytes = b"") -> int:
        """Return the status from a random entry, or -1 without an answer."""
        entry = rng.choice(self.entries)
        return await self._call_entry(entry, method, job_id, body)

    async def _call_entry(
        self, entry: EntryProcess, method: str, job_id: str, body: bytes = b""
    ) -> int:
        key = self.sent_keys[self.customers[job_id]]
        return await self._call_with(entry, method, job_id, key, body)

    async def _call_with(
        self, entry: EntryProcess, method: str, job_id: str, key: str, body: bytes = b""
    ) -> int:
        try:
            headers = (("X-Curranthall-Request-Deadline", "2500"), ("Api-Key", key))
            answer = await entry.caller.call(method, PREFIX + job_id, body, CALL_S, headers)
        except CurranthallError:
            return -1
        self.last_body = answer.body
        return answer.status

    # Faults

    async def _inject_faults(self) -> None:
        """Start random faults, which may overlap, until the time is up."""
        until, running = now() + self.seconds, []
        faults: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._kill,
            self._freeze,
            self._terminate,
            self._kill_all,
            self._disturb_store_link,
            self._disturb_store_link,
            self._disturb_all_store_links,
            self._disturb_worker_link,
            self._disturb_worker_link,
            self._crash_worker,
            self._restart_workers,
            self._restart_workers,
            self._reconfigure,
            self._drop_history,
            self._evacuate,
            self._crowd,
        ]
        while now() < until:
            self.faults += 1
            running.append(asyncio.ensure_future(self.rng.choice(faults)()))
            await asyncio.sleep(self.rng.expovariate(1 / 1.5))
        await asyncio.gather(*running)

    async def _kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        entry = self.rng.choice(self.entries)
        if entry.should_run:
            await entry.stop(number)
            await asyncio.sleep(self.rng.uniform(0.1, 4))
            await entry.start()

    async def _terminate(self) -> None:
        await self._kill(signal.SIGTERM)

    async def _kill_all(self) -> None:
        up = [entry for entry in self.entries if entry.should_run]
        await asyncio.gather(*(entry.stop(signal.SIGKILL) for entry in up))
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        await asyncio.gather(*(entry.start() for entry in up))

    async def _freeze(self) -> None:
        entry = self.rng.choice(self.entries)
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.choice((0.5, 3, 8, 14)))
        entry.send_signal(signal.SIGCONT)

    async def _disturb_links(self, *links: Proxy) -> None:
        mode = self.rng.choice(list(Mode))
        for link in links:
            link.set_mode(mode)
        await asyncio.sleep(self.rng.uniform(0.3, 7))
        for link in links:
            link.set_mode(Mode.PASS)

    async def _disturb_store_link(self) -> None:
        await self._disturb_links(self.rng.choice(self.entries).store_link)

    async def _disturb_all_store_links(self) -> None:
        await self._disturb_links(*(entry.store_link for entry in self.entries))

    async def _disturb_worker_link(self) -> None:
        await self._disturb_links(self.links[self.rng.choice(sorted(self.links))])

    async def _crash_worker(self) -> None:
        """Crash a worker and its connections, and restart it at once."""
        name = self.rng.choice(sorted(self.workers))
        self._restart(name)
        self.links[name].reset()

    def _restart(self, name: str) -> None:
        """Restart a worker under the same id, without its former state."""
        worker = self.workers[name]
        self.judge.note_crash(name, worker.runner)
        worker.runner.running.clear()
        worker.runner = self._make_runner(name, worker.runner.host.domain)

    async def _restart_workers(self) -> None:
        """Restart workers in series; new boots execute earlier calls and are then cut off."""
        domain = self.rng.choice(DOMAINS)
        names = sorted(name for name in self.workers if name[0] == domain)
        names = self.rng.sample(names, self.rng.randint(1, len(names)))
        links = [self.links[name] for name in names]
        for _ in range(self.rng.randint(1, 3)):
            for link in links:
                link.set_mode(Mode.HOLD)
            await asyncio.sleep(self.rng.uniform(0.2, 3))
            for name, link in zip(names, links, strict=True):
                self._restart(name)
                link.set_mode(Mode.PASS)
            await asyncio.sleep(self.rng.uniform(0.05, 1.5))
            for link in links:
                link.set_mode(Mode.DROP_ALL)
            await asyncio.sleep(self.rng.uniform(0.3, 9))
            for link in links:
                link.set_mode(Mode.PASS)

    async def _reconfigure(self) -> None:
        self.version += self.rng.randint(1, 5)
        self._write_config()

    async def _drop_history(self) -> None:
        self.store.rows.drop_history()

    async def _evacuate(self) -> None:
        key = f"evacuate/{self.rng.choice(DOMAINS)}"
        self.store.write_as_operator(key, {})
        await asyncio.sleep(self.rng.uniform(1, 6))
        self.store.remove_as_operator(key)

    async def _crowd(self) -> None:
        """Let clients send large or finely chunked bodies to an entry, most without their end."""
        crowd = self.rng.choice((whole_bodies, pieced_bodies, small_chunks))(CROWD_CLIENTS)
        # Not to the queue: the judge knows no jobs of theirs.
        crowd = crowd._replace(head=crowd.head.replace(PREFIX.encode(), b"/none/"))
        clients = Clients()
        await clients.send(crowd, self.rng.choice(self.entries).frontend, self.rng.uniform(1, 6))
        clients.close()

    # End of the run

    async def _end_faults(self) -> None:
        for link in [*self.links.values(), *(entry.store_link for entry in self.entries)]:
            link.set_mode(Mode.PASS)
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            if not entry.should_run:
                await entry.start()

    async def _check_end_state(self) -> None:
        """Check that every entry reports all accepted jobs as completed, and that they are."""
        if not self.accepted:
            self.broken.append("nothing was accepted")
        await self._check_keys()
        until = now() + SETTLE_S
        for entry in self.entries:
            for job_id in sorted(self.accepted - self.cancelled):
                phase = await self._get_phase(entry, job_id)
                while phase != "completed" and now() < until:
                    await asyncio.sleep(0.2)
                    phase = await self._get_phase(entry, job_id)
                if phase != "completed":
                    self.broken.append(f"{job_id} is {phase} at {entry.name}")
        done = {task for task, _ in self.judge.done}
        for job_id in self.accepted - self.cancelled:
            for number, step in enumerate(self.judge.jobs[job_id].steps):
                tasks = {TaskId(job_id, 0, number, index) for index in range(step.width)}
                if not tasks <= done:
                    self.broken.append(f"{job_id} is shown as completed, but not done")
        for worker in self.workers.values():
            left = [task for task in worker.runner.running if task.job in self.cancelled]
            if left:
                self.broken.append(f"cancelled, but runs: {left} on {worker.instance}")

    async def _check_keys(self) -> None:
        """Check that every entry refuses the removed key, and accepts a customer's present one."""
        if not self.removed_keys:
            self.broken.append("no key was removed")
        for entry in self.entries:
            expected = [(key, 401) for key in self.removed_keys]
            expected += [(key, 200) for key in self.sent_keys.values()]
            for key, status in expected:
                until, found = now() + SETTLE_S, -1
                while found != status and now() < until:
                    found = await self._call_with(entry, "GET", "", key)
                    await asyncio.sleep(PROBE_S)
                if found != status:
                    self.broken.append(f"{key} is answered {found} at {entry.name}")

    async def _get_phase(self, entry: EntryProcess, job_id: str) -> Any:
        status = await self._call_entry(entry, "GET", job_id)
        return json.loads(self.last_body).get("phase") if status == 200 else status


async def soak(seed: int, seconds: float, folder: Path) -> list[str]:
    """Run one seed, print a summary line and return the violations."""
    run = Soak(seed, seconds, folder)
    try:
        violations = await run.play()
    except BaseException:
        await run.close()
        raise
    print(
        f"soak: seed={seed} seconds={seconds:g} faults={run.faults} jobs={len(run.judge.jobs)}"
        f" accepted={len(run.accepted)} cancelled={len(run.cancelled)}"
        f" absent={len(run.absent)} refused={len(run.refused)} starts={run.judge.starts}"
        f" broken={len(violations)}",
        flush=True,
    )
    return violations


def main() -> int:
    """Run the given seed or several random ones; keep the logs of a seed with violations."""
    if sys.argv[1] != "fresh":
        return run_seed(int(sys.argv[1]), float(sys.argv[2]))
    return max(run_seed(random.randrange(10**9), float(sys.argv[2])) for _ in range(FRESH_SEEDS))


def run_seed(seed: int, seconds: float) -> int:
    """Run a seed; return 1 if it has violations."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    violations = asyncio.run(soak(seed, seconds, folder))
    for line in violations[:20]:
        print(f"  {line}")
    if violations:
        print(f"  logs: {folder}", flush=True)
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
