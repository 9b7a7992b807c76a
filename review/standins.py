"""Stand-ins for the platform of the review's scripts: store, workers, operator and consumers.

Only the standard library is used. They follow the platform's page on what is spoken; where it is
silent they behave like a sound server.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "jobs.example"
GANG_TIMEOUT_MS = 3000
MAX_HOLD_MS = 6000
HEARTBEAT_S = 1.1
# The ports of an entry: callers, readiness, mesh, metrics.
ENTRY_PORTS = (8161, 8167, 7720, 9105)
BOUNDS = {
    "seed-lag-s": 3,
    "contact-ms": 3000,
    "ack-timeout-ms": 4000,
    "drain-ms": 2000,
    "grace-s": 6,
    "config-apply-ms": 2000,
    "max-hold-ms": MAX_HOLD_MS,
    "stop-timeout-ms": 900,
    "gang-timeout-ms": GANG_TIMEOUT_MS,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote-factor": 3,
    "checkpoint-interval-s": 0.5,
    "restore-ms": 250,
    "notice-ms": 4500,
    "evacuate-ms": 5000,
}


def now() -> float:
    """Return the steady clock in seconds."""
    return time.monotonic()


def free_subnet() -> int:
    """Return N so that the entries' fixed ports are free on the loopback addresses 127.N.x.y."""
    for step in range(200):
        subnet = 20 + (os.getpid() + step) % 200
        found = []
        try:
            for at in range(len(ZONES)):
                for port in ENTRY_PORTS:
                    found.append(socket.create_server((f"127.{subnet}.{at + 11}.1", port)))
            return subnet
        except OSError:
            continue
        finally:
            for each in found:
                each.close()
    raise RuntimeError("no free addresses")


class Record:
    """What was sent, answered and run, in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = now()

    def note(self, text: str) -> None:
        """Write a line with the seconds since the begin."""
        line = f"{now() - self._began:7.2f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


async def read_message(reader: asyncio.StreamReader):
    """Read one HTTP message; return its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = {}
        for line in lines:
            key, _, value = line.partition(":")
            headers[key.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return first, headers, body


class Server:
    """A small HTTP/1.1 server on a free port of an address."""

    def __init__(self) -> None:
        self._server = None
        self._writers: set = set()
        self._tasks: set = set()

    async def listen(self, ip: str, port: int = 0) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._accept, ip, port)
        return f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def shut(self) -> None:
        """Stop listening and reset all channels, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                status, value = await self.answer(method, path, query, headers, body)
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def answer(self, method, path, query, headers, body):
        """Answer one request."""
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 0
        self._rows: dict = {}
        self._history: list = []
        self._changed = asyncio.Event()
        self._began = now()

    def put(self, table: str, key: str, value) -> None:
        """Write a row of the operator or of a worker."""
        self._apply([(table, "", key, json.dumps(value).encode())])

    def drop(self, table: str, key: str) -> None:
        """Remove a row of the operator or of a worker."""
        if (table, "", key) in self._rows:
            self._apply([(table, "", key, None)])

    def _apply(self, changes) -> None:
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self._rows.pop((table, part, key), None)
            else:
                self._rows[table, part, key] = (value, self.version)
            self._history.append((self.version, table, part, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _page(self, rows, more=False):
        now_ms = int((now() - self._began) * 1000) + 1000
        page = {"rows": rows, "schema-version": self.version, "now-ms": now_ms}
        return {**page, "has-more": True} if more else page

    @staticmethod
    def _row(table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "schema-version": version}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(value).decode()}

    async def answer(self, method, path, query, headers, body):
        """Answer one call of the store's interface."""
        args = {key: values[0] for key, values in parse_qs(query).items()}
        if path == "/v1/rows-tx":
            await asyncio.sleep(0.005)
            return self._transact(json.loads(body))
        if path == "/v1/rows-get":
            await asyncio.sleep(0.004)
            table, part = args["table"], args.get("part", "")
            start, end = args.get("start-key", ""), args.get("to", "")
            keys = sorted(
                key
                for t, p, key in self._rows
                if t == table and p == part and key >= start and (not end or key < end)
            )
            rows = [self._row(table, part, k, *self._rows[table, part, k]) for k in keys[:500]]
            return 200, self._page(rows, len(keys) > 500)
        if path == "/v1/rows-feed":
            return 200, await self._feed(args["table"], int(args["after"]), int(args["wait-ms"]))
        return 404, {}

    async def _feed(self, table, after, wait_ms):
        until = now() + wait_ms / 1000
        while True:
            rows = [
                self._row(t, p, k, value, version)
                for version, t, p, k, value in self._history
                if version > after and t == table
            ]
            if rows or now() >= until:
                return self._page(rows)
            try:
                await asyncio.wait_for(self._changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        checks = body.get("expected-revision", [])
        for each in checks:
            found = self._rows.get((each["table"], each.get("part", ""), each["key"]))
            if (found[1] if found else 0) != each["schema-version"]:
                break
        else:
            changes = []
            for each in body.get("writes", []):
                value = base64.b64decode(each["value"])
                if len(value) > 65536:
                    return 400, {}
                changes.append((each["table"], each.get("part", ""), each["key"], value))
            for each in body.get("remove", []):
                changes.append((each["table"], each.get("part", ""), each["key"], None))
            self._apply(changes)
            return 200, self._page([])
        rows = []
        for each in checks:
            key = each["table"], each.get("part", ""), each["key"]
            if key in self._rows:
                rows.append(self._row(*key, *self._rows[key]))
        return 412, self._page(rows)


class Door(Server):
    """An entry's own way to the store, which can be cut."""

    def __init__(self, store: Store) -> None:
        super().__init__()
        self._store = store
        self._healed = asyncio.Event()
        self._healed.set()
        # The keys of the rows that were written here under a condition, with the last time.
        self.written: dict = {}

    def cut(self) -> None:
        """Drop all that passes, silently."""
        self._healed.clear()

    def heal(self) -> None:
        """Let calls pass again; what passed during the cut is lost with its channel."""
        self._healed.set()
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(self, method, path, query, headers, body):
        """Pass a call on, unless it is cut; a call or an answer that is dropped never arrives."""
        if not self._healed.is_set():
            await asyncio.Event().wait()
        answer = await self._store.answer(method, path, query, headers, body)
        if not self._healed.is_set():
            await asyncio.Event().wait()
        if path == "/v1/rows-tx" and answer[0] == 200:
            for each in json.loads(body).get("expected-revision", []):
                self.written[each["key"]] = now()
        return answer


class Run:
    """One run at a worker."""

    def __init__(self, task, number, step, kind, ms) -> None:
        self.task, self.number, self.step, self.kind = task, number, step, kind
        # None until a gang is complete.
        self.left_ms = float(ms)
        self.whole_ms = float(ms)
        self.pace = 100
        self.arrived_at = now()
        self.saved = ""

    @property
    def job_step(self):
        """Return the job and step that the run belongs to."""
        return self.task.rsplit(".", 1)[0]


class Worker(Server):
    """One life of a worker, which guards its capacity."""

    def __init__(self, site, name, zone, rack, labels, capacity) -> None:
        super().__init__()
        self.site, self.name, self.zone, self.rack = site, name, zone, rack
        self.labels, self.capacity = [*labels, rack], capacity
        self.up = False
        self.crashed_at = None
        self.address = ""
        self._sequence = 0
        self.reset()

    def reset(self) -> None:
        """Forget everything: a new boot."""
        self._booted_at = now()
        self.born = time.time_ns() // 1_000_000
        self.runs: dict = {}
        self._ends: list = []
        self._last_end = 0
        self._lease_ms = 0
        self._token = 0
        self._barred: dict = {}
        self._ended = asyncio.Event()

    async def start(self, ip: str, port: int = 0) -> None:
        """Boot and register."""
        self.reset()
        self.address = await self.listen(ip, port)
        self.up, self.crashed_at = True, None
        self.report()

    def report(self, phase: str = "ready") -> None:
        """Write the worker's entry in the store."""
        self._sequence += 1
        entry = {
            "backend": self.site.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 64,
            "phase": phase,
            "capacity": self.capacity,
            "labels": self.labels,
            "sequence": self._sequence,
            "born": self.born,
        }
        self.site.store.put("servers", self.name, entry)

    def crash(self) -> None:
        """Crash: all runs end unseen, channels are reset, nothing listens."""
        self.up, self.crashed_at = False, now()
        for run in list(self.runs.values()):
            self.site.note_run("crashed", run, self)
            self.site.leave_gang(run, self)
        self.runs.clear()
        self.shut()

    @property
    def clock_ms(self) -> int:
        """Return the worker's own steady clock."""
        return int((now() - self._booted_at) * 1000) + 1000

    def used(self, what: str) -> int:
        """Return how much of its capacity is taken."""
        return sum(
            run.step.get(what, 0)
            for run in self.runs.values()
            if not (what == "cpu" and run.step.get("fills"))
        )

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self._barred[run.task] = max(run.number, self._barred.get(run.task, 0))
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.number, how, run.saved])
        self.site.note_run(how, run, self)
        self._ended.set()
        self._ended = asyncio.Event()

    def step(self, seconds: float) -> None:
        """Let time pass."""
        if self.runs and self.clock_ms > self._lease_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
                self.site.leave_gang(run, self)
        for run in list(self.runs.values()):
            if run.step.get("gang") and not self.site.gang_is_complete(run):
                if now() - run.arrived_at > GANG_TIMEOUT_MS / 1000:
                    self.end(run, "alone")
                    self.site.leave_gang(run, self)
                continue
            run.left_ms -= seconds * 1000 * run.pace / 100
            if run.left_ms <= 0 and not run.step.get("long-running"):
                self.end(run, run.kind)
                if run.kind != "done":
                    self.site.leave_gang(run, self)

    async def answer(self, method, path, query, headers, body):
        """Answer one call."""
        if headers.get("x-curranthall-target-instance") != self.name:
            return 421, {}
        call = json.loads(body)
        token = call.get("fencing-token", 0)
        clock = {"clock-ms": self.clock_ms, "born": self.born}
        if token < self._token:
            return 409, {**clock, "reason": "fence"}
        self._token = token
        if path == "/v1/hold":
            self._ends = [end for end in self._ends if end[0] > call["ack-cursor"]]
            if "deadline-ms" in call:
                self._extend(call["deadline-ms"])
            if call.get("wait-ms") and not self._ends:
                try:
                    await asyncio.wait_for(self._ended.wait(), min(call["wait-ms"], 2000) / 1000)
                except asyncio.TimeoutError:
                    pass
            running = [self._list(run) for run in self.runs.values()]
            clock = {"clock-ms": self.clock_ms, "born": self.born}
            return 200, {**clock, "running": running, "finished": self._ends[:500]}
        if path == "/v1/run-start":
            status, value = self._start(call, clock)
            if status != 200:
                what = f"{call['task']} run {call['run-id']} {value.get('reason', '')}"
                self.site.record.note(f"{self.name}: start answered {status} {what}")
            return status, value
        if path == "/v1/run-stop":
            task, number = call["task"], call["run-id"]
            self._barred[task] = max(number, self._barred.get(task, 0))
            run = self.runs.get(task)
            if run is not None and run.number <= number:
                self.end(run, "stopped")
                self.site.leave_gang(run, self)
            return 200, clock
        if path == "/v1/pace":
            run = self.runs.get(call["task"])
            if run is not None and run.number == call["run-id"]:
                run.pace = call["percent"]
            return 200, clock
        return 404, {}

    @staticmethod
    def _list(run: Run):
        done = 100 if run.step.get("long-running") else 100 * (1 - run.left_ms / run.whole_ms)
        cpu = 0 if run.step.get("target-ms") else int(run.step.get("cpu", 0) * run.pace / 100)
        return [run.task, run.number, run.saved, min(100, int(done)), cpu]

    def _extend(self, deadline_ms: int) -> None:
        limit = self.clock_ms + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, limit))

    def _start(self, call, clock):
        task, number = call["task"], call["run-id"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, clock
        if call["deadline-ms"] < self.clock_ms:
            return 409, {**clock, "reason": "late"}
        if known is not None or number <= self._barred.get(task, 0):
            self._extend(call["deadline-ms"])
            return 409, {**clock, "reason": "old"}
        job_id, _, step_number, _ = task.split(".")
        job = self.site.jobs.get(job_id)
        if job is None:
            return 400, clock
        step = job["steps"][int(step_number)]
        for what in ("cpu", "mem-mb", "gpus"):
            need = 0 if what == "cpu" and step.get("fills") else step.get(what, 0)
            if need > self.capacity[what] - self.used(what):
                self._extend(call["deadline-ms"])
                return 409, {**clock, "reason": "room"}
        self._extend(call["deadline-ms"])
        kind, ms = self.site.plan_run(task, step)
        run = self.runs[task] = Run(task, number, step, kind, ms)
        run.saved = call.get("checkpoint", "")
        self.site.note_run("start", run, self)
        return 200, clock


class Site:
    """A small deployment: store, workers, entries, operator and consumers."""

    service = "desk"

    def __init__(self, folder: Path, scratch: Path, record: Record) -> None:
        self.folder, self.scratch, self.record = folder, scratch, record
        self.store = Store()
        self.workers: list[Worker] = []
        self.entries: list[Entry] = []
        self.jobs: dict = {}
        # By task, what its runs did: (what, run, worker, time).
        self.runs: dict = {}
        self.subnet = free_subnet()
        self.version = 0
        # The ids of all processes that were started.
        self.pids: list[int] = []
        # By task, how its runs end, in turn; afterwards `done`.
        self.endings: dict = {}

    async def open(self, workers, entries: int, labels=None, capacity=None) -> None:
        """Start the store, the workers and the entries, `workers` and `entries` a zone.

        `workers` is a number or a number by zone.
        """
        capacity = capacity or {"cpu": 32000, "mem-mb": 128000, "gpus": 0}
        for at, zone in enumerate(ZONES):
            for number in range(workers if isinstance(workers, int) else workers[zone]):
                kind = (labels or {}).get(zone, "kind-a")
                rack = f"r-{zone}-{number // 8}"
                worker = Worker(self, f"{zone}-w{number}", zone, rack, [kind], dict(capacity))
                self.workers.append(worker)
                await worker.start(f"127.{self.subnet}.{at + 1}.{number + 1}")
        for number in range(entries):
            for at, zone in enumerate(ZONES):
                ip = f"127.{self.subnet}.{at + 11}.{number + 1}"
                door = Door(self.store)
                address = await door.listen(f"127.{self.subnet}.0.1")
                entry = Entry(self, f"edge-{zone}-{number}", zone, ip, address)
                entry.door = door
                self.entries.append(entry)
        self._ticker = asyncio.create_task(self._tick())
        for entry in self.entries:
            await entry.start()

    async def close(self) -> None:
        """End all processes and servers."""
        for entry in self.entries:
            await entry.kill()
            entry.door.shut()
        self._ticker.cancel()
        for worker in self.workers:
            worker.shut()

    def holder(self, zone: str):
        """Return the entry that last wrote the row of a zone's cell under a condition."""
        return max(self.entries, key=lambda entry: entry.door.written.get(zone, 0.0))

    async def _tick(self) -> None:
        last, heartbeat_at = now(), now()
        while True:
            await asyncio.sleep(0.02)
            passed, last = now() - last, now()
            for worker in self.workers:
                if worker.up:
                    worker.step(passed)
                elif worker.crashed_at and now() - worker.crashed_at > 3 * HEARTBEAT_S:
                    # Its entry is removed after three report intervals of silence.
                    worker.crashed_at = None
                    self.store.drop("servers", worker.name)
            if now() - heartbeat_at > HEARTBEAT_S:
                heartbeat_at = now()
                for worker in self.workers:
                    if worker.up:
                        worker.report()

    # Operator

    def configure(self, routes) -> None:
        """Write a version of the configuration."""
        self.version += 3
        services = [{"name": self.service, "admission-check": True}]
        config = {"version": self.version, "routes": routes, "services": services, "limits": {}}
        self.store.put("op", "config", config)
        names = [route["path-prefix"] for route in routes]
        self.record.note(f"operator: version {self.version} with routes {names} confirmed")

    # Runs

    def plan_run(self, task, step):
        """Return how a run ends and after how many milliseconds."""
        endings = self.endings.get(task)
        return (endings.pop(0) if endings else ("done", step["estimated-ms"]))

    def note_run(self, what, run, worker) -> None:
        """Record a start or an end."""
        self.runs.setdefault(run.task, []).append((what, run.number, worker.name, now()))
        self.record.note(f"{worker.name}: {what} {run.task} run {run.number}")

    def _gang(self, run):
        for worker in self.workers:
            for other in list(worker.runs.values()):
                if other.job_step == run.job_step and other.number == run.number:
                    yield worker, other

    def gang_is_complete(self, run) -> bool:
        """Return whether all members of a run of a gang are present."""
        return sum(1 for _ in self._gang(run)) >= run.step["count"] or run.whole_ms != run.left_ms

    def leave_gang(self, run, _worker) -> None:
        """End the other members of a run of a gang."""
        if run.step.get("gang"):
            for worker, other in list(self._gang(run)):
                if other is not run:
                    worker.end(other, "broken")

    def count(self, job_id: str, what: str) -> int:
        """Count the runs of a job of which something was noted."""
        return sum(
            each[0] == what
            for task, notes in self.runs.items()
            if task.startswith(job_id)
            for each in notes
        )

    # Consumers

    async def call(self, entry, method, path, body=None, wait_ms=3000):
        """Call an entry as a consumer; return the status (0 without an answer) and the body."""
        data = b"" if body is None else json.dumps(body).encode()
        status, value = 0, {}
        try:
            host, port = entry.frontend.split(":")
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), wait_ms / 1000
            )
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
                f"X-Curranthall-Request-Deadline: {wait_ms}\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            message = await asyncio.wait_for(read_message(reader), wait_ms / 1000)
            writer.transport.abort()
            if message is not None:
                status = int(message[0].split(" ")[1])
                value = json.loads(message[2] or b"{}")
        except (OSError, asyncio.TimeoutError):
            pass
        sent = f" {data.decode()}" if data else ""
        self.record.note(f"consumer: {method} {path}{sent} at {entry.name} -> {status} {value}")
        return status, value

    async def submit(self, entry, prefix, job_id, job, tries=5) -> bool:
        """Hand a job in; return whether it was accepted."""
        self.jobs[job_id] = job
        for _ in range(tries):
            status, _ = await self.call(entry, "POST", prefix + job_id, job)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until all entries report themselves ready and all cells have read their workers."""
        until = now() + limit_s
        while now() < until:
            found = [await entry.is_ready() for entry in self.entries]
            if all(found):
                return True
            await asyncio.sleep(0.2)
        return False


class Entry:
    """A process of the product."""

    def __init__(self, site, name, zone, ip, store) -> None:
        self.site, self.name, self.zone, self.ip = site, name, zone, ip
        self.frontend, self.readiness = f"{ip}:8161", f"{ip}:8167"
        self.process = None
        self.door = None
        self.file = site.scratch / f"{name}.json"
        settings = {
            "node-name": name,
            "role": "entry",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": zone,
            "region": "land",
            "zones": {each: "land" for each in ZONES},
            "listen-addrs": {"frontend": self.frontend, "readiness": self.readiness},
            "internal-ports": [7720, 7735],
            "seeds": [],
            "bootstrap": True,
            "counts-as-loss": False,
            "limits": {"cpu-share": 0.537, "cores": 2, "memory-mb": 300, "max-fds": 4100},
            "data-dir": None,
            "discovery": "platform",
            "entrypoint": "vip",
            "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "recover", "sched", "places", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "orders": "rpc",
            "platform": {
                "address": store,
                "form": "table",
                "writes-per-s": 600,
                "reads-per-s": 2000,
                "txn-latency-ms": 5.0,
                "partition-writes-s": 200,
                "max-row-bytes": 65536,
                "cross-shard": False,
                "history-s": 20,
            },
        }
        self.file.write_text(json.dumps(settings), encoding="utf-8")

    async def start(self) -> None:
        """Start the process with the run command of the deploy file."""
        with (self.site.scratch / f"{self.name}.log").open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "curranthall.platform",
                cwd=ROOT,
                stdout=out,
                stderr=out,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "CURRANTHALL_NODE_FILE": str(self.file),
                },
            )
        self.site.pids.append(self.process.pid)
        self.site.record.note(f"platform: {self.name} started as process {self.process.pid}")

    async def terminate(self, grace_s: float = 6.0) -> None:
        """Stop the process as the platform does: SIGTERM, after the grace period SIGKILL."""
        self.site.record.note(f"platform: SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except asyncio.TimeoutError:
            await self.kill()

    async def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Probe the readiness address."""
        host, port = self.readiness.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"GET /v1/readiness HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            message = await asyncio.wait_for(read_message(reader), 1.0)
            writer.transport.abort()
        except (OSError, asyncio.TimeoutError):
            return False
        return message is not None and " 200 " in message[0] + " "


def main(play) -> None:
    """Run a case: `play(site, trouble)` returns whether the rule held; exit 0, 1 or 2."""
    import tempfile

    folder = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.note(f"trouble: {trouble}")

    started: list[int] = []

    async def run(scratch: Path):
        site = Site(folder, scratch, record)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(play(site, trouble), 110)
        finally:
            await site.close()
            started.extend(site.pids)

    code = 2
    keep = os.environ.get("KEEP_LOGS")
    try:
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            held = asyncio.run(run(Path(keep)))
        else:
            with tempfile.TemporaryDirectory(prefix="review-") as scratch:
                held = asyncio.run(run(Path(scratch)))
        code = 2 if held is None else 0 if held else 1
    except (Exception, asyncio.CancelledError) as exc:
        record.note(f"the case couldn't run: {exc!r}")
    left = [pid for pid in started if Path(f"/proc/{pid}").exists()]
    record.note(f"processes started: {started}, left running: {left}")
    record.note(f"exit {code}")
    sys.exit(code)
