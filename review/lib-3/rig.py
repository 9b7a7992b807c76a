"""Stand-ins of the platform for the cases of REPORT-3: store, workers, consumers; entries are real.

Only the standard library is used. The store and the workers follow PROTOCOL.md; everything listens
on loopback addresses. Entries are started with the command of deploy/system.toml.
"""

import asyncio
import base64
import bisect
import json
import os
import signal
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs

REPO = Path(__file__).resolve().parents[2]
ZONE_NAMES = ("zone-a", "zone-b", "zone-c")
SERVICE = "desk"
PREFIX = "/work/"
HOST = "desk.example"
HEARTBEAT_S = 1.1
MAX_HOLD_MS = 6_000
STOP_S = 0.1
ENDS = ("done", "failed", "stopped", "lapsed", "lost")
MAX_ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
PAGE_ROWS = 500
TXN_S = 0.005
READ_S = 0.004
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000,
    "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000, "cold-overage": 1.5,
    "cold-slack": 5, "evacuate-ms": 5000, "recovery-s": 12, "max-hold-ms": MAX_HOLD_MS,
    "stop-timeout-ms": 900, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "remote-factor": 3,
    "checkpoint-interval-s": 0.5, "restore-ms": 250, "notice-ms": 4500, "migration-s": 1.5,
    "maintenance-s": 2, "enforce-fencing": False, "lease-ms": 3000, "thaw-slack-ms": 300,
    "pace-ms": 100, "impact-ms": 4000,
}  # fmt: skip


class Record:
    """What was sent, answered and run, by seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def __call__(self, *words: object) -> None:
        print(f"{self.now():8.3f}", *words, file=self._file, flush=True)


class Server:
    """A small HTTP/1.1 server with JSON bodies; a closed one resets its channels."""

    def __init__(self, answer) -> None:
        self._answer = answer
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self, ip: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, ip, port, backlog=512)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, value = await self._answer(method, target, headers, body)
                data = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(data), data)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            with suppress(Exception):
                writer.transport.abort()


async def http(method, ip, port, path, body=None, headers=(), timeout=3.0):
    """Send one request on a new channel; return (status, value), or (0, why) without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
            if not any(name == "Host" for name, _ in headers):
                lines.append(f"Host: {ip}:{port}")
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ")[1])
            size = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    size = int(line.partition(":")[2])
            found = await reader.readexactly(size)
            return status, json.loads(found or b"null")
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError) as exc:
        return 0, type(exc).__name__
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store: rows by (table, part, key), one version counter, a feed."""

    def __init__(self, record: Record, version: int = 0) -> None:
        self.record = record
        self.rows = {}
        # The keys of each table and part, in ascending order.
        self.keys = {}
        self.version = version
        self.history = []
        self.changed = asyncio.Event()
        self.refused = 0
        # Of a write: after how many seconds it is done without an answer, or None.
        self.late = lambda tables: None
        self.writes = self.lost = 0
        self._late_tasks = set()
        self._locks = {}
        self._server = Server(self._answer)
        self._began = time.monotonic()

    async def start(self, ip: str, port: int) -> str:
        await self._server.start(ip, port)
        return f"{ip}:{port}"

    async def stop(self) -> None:
        await self._server.stop()

    def now_ms(self) -> int:
        return int((time.monotonic() - self._began) * 1000) + 5_000

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a worker."""
        self._apply("", [(table, key, json.dumps(value).encode())], [])

    def drop(self, table: str, key: str) -> None:
        if (table, "", key) in self.rows:
            self._apply("", [], [(table, key)])

    def _apply(self, part, writes, removed) -> None:
        self.version += 1
        for table, key, data in writes:
            self._set(table, part, key, data)
        for table, key in removed:
            if (table, part, key) in self.rows:
                self._set(table, part, key, None)
        self.changed.set()
        self.changed = asyncio.Event()

    def _set(self, table, part, key, data) -> None:
        row = {"table": table, "part": part, "key": key, "schema-version": self.version}
        if data is None:
            row["deleted"] = True
            del self.rows[table, part, key]
            self.keys[table, part].remove(key)
        else:
            row["value"] = base64.b64encode(data).decode()
            if (table, part, key) not in self.rows:
                bisect.insort(self.keys.setdefault((table, part), []), key)
            self.rows[table, part, key] = row
        self.history.append(row)
        del self.history[:-200_000]

    async def _answer(self, method, target, headers, body):
        path, _, query = target.partition("?")
        query = {key: values[0] for key, values in parse_qs(query, keep_blank_values=True).items()}
        if path == "/v1/rows-tx":
            return await self._transact(body)
        await asyncio.sleep(READ_S)
        if path == "/v1/rows-get":
            table, part = query["table"], query.get("part", "")
            keys = self.keys.get((table, part), [])
            first = bisect.bisect_left(keys, query.get("start-key", ""))
            last = bisect.bisect_left(keys, query["to"]) if query.get("to") else len(keys)
            page = keys[first : min(last, first + PAGE_ROWS)]
            rows = [self.rows[table, part, key] for key in page]
            return 200, self._page(rows, last > first + PAGE_ROWS)
        if path == "/v1/rows-feed":
            return await self._feed(
                query["table"], int(query["after"]), int(query.get("wait-ms", 0))
            )
        return 404, {}

    def _page(self, rows, more=False):
        return {
            "rows": rows, "has-more": more, "schema-version": self.version, "now-ms": self.now_ms()
        }  # fmt: skip

    async def _feed(self, table, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            rows = []
            for row in reversed(self.history):
                if row["schema-version"] <= after:
                    break
                if row["table"] == table:
                    rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self._page(rows[::-1])
            with suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()

    async def _transact(self, body):
        value = json.loads(body)
        checks, writes = value.get("expected-revision", []), value.get("writes", [])
        removed = value.get("remove", [])
        parts = {row.get("part", "") for row in [*checks, *writes, *removed]}
        part = next(iter(parts), "")
        decoded = [(row["table"], row["key"], base64.b64decode(row["value"])) for row in writes]
        if any(table in ("op", "servers") for table, _, _ in decoded):
            return 403, {}
        too_long = [(t, k, len(data)) for t, k, data in decoded if len(data) > MAX_ROW_BYTES]
        if (
            too_long
            or len(parts) > 1
            or len(checks) + len(writes) + len(removed) > MAX_ENTRIES
            or len(body) > MAX_CALL_BYTES
        ):
            self.refused += 1
            if self.refused <= 20:
                self.record("store refuses", len(writes), "rows in one call,", len(body),
                            "bytes; rows over max-row-bytes:", too_long)  # fmt: skip
            return 400, {"error": "too large"}
        self.writes += 1
        delay_s = self.late({(table, key) for table, key, _ in decoded})
        if delay_s is not None:
            self.lost += 1
            task = asyncio.create_task(self._apply_late(delay_s, part, checks, decoded, removed))
            self._late_tasks.add(task)
            # The channel delivers nothing further.
            await asyncio.sleep(3600)
        return await self._apply_if(part, checks, decoded, removed)

    async def _apply_late(self, delay_s, part, checks, decoded, removed) -> None:
        names = [f"{table}/{key}" for table, key, _ in decoded]
        self.record("store loses the answer to a write of", names, f"and does it {delay_s} s later")
        await asyncio.sleep(delay_s)
        status, _ = await self._apply_if(part, checks, decoded, removed)
        self.record("store has done the late write of", names, "->", status)

    async def _apply_if(self, part, checks, decoded, removed):
        lock = self._locks.setdefault(part, asyncio.Lock())
        async with lock:
            await asyncio.sleep(TXN_S)
            for check in checks:
                row = self.rows.get((check["table"], part, check["key"]))
                if (row["schema-version"] if row else 0) != check["schema-version"]:
                    found = [self.rows.get((c["table"], part, c["key"])) for c in checks]
                    return 412, self._page([row for row in found if row is not None])
            self._apply(part, decoded, [(row["table"], row["key"]) for row in removed])
            return 200, {"schema-version": self.version, "now-ms": self.now_ms()}


class Machine:
    """A worker's machine: boots of one worker, under one id and at one address."""

    def __init__(self, rig: "Rig", name, zone, ip, port, kind="a", cpu=8_000, guards=True):
        self.rig, self.name, self.zone = rig, name, zone
        self.ip, self.port = ip, port
        self.kind, self.cpu, self.mem_mb = kind, cpu, 32_000
        self.rack = f"r-{zone}"
        self.guards = guards
        self.up = False
        self.boots = 0
        self._server = None
        self._beat = None

    async def boot(self, kind: str | None = None) -> None:
        """Start a boot; it registers itself before it takes calls."""
        self.kind = kind or self.kind
        self.boots += 1
        self.born = int(time.time() * 1000)
        self.booted_at = time.monotonic()
        self.running, self.ended, self.barred = {}, [], {}
        self.token, self.lease_ms, self.last_end, self.sequence = 0, 0, 0, 0
        self.end_added = asyncio.Event()
        self.up = True
        self.register()
        self.rig.record("worker", self.name, "boots, kind", self.kind, "born", self.born)
        self._server = Server(self._answer)
        await self._server.start(self.ip, self.port)
        self._beat = asyncio.create_task(self._run_beat())

    def register(self) -> None:
        self.sequence += 1
        self.rig.store.put("servers", self.name, {
            "backend": SERVICE, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "1", "slots": 8, "phase": "ready", "cold-remaining-ms": 0,
            "sequence": self.sequence, "born": self.born, "machine": f"m-{self.name}",
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpus": 0},
            "labels": [self.kind, self.rack],
        })  # fmt: skip
        self.registered_at = time.monotonic()

    async def crash(self) -> None:
        """End the boot: its runs are gone and its channels are reset."""
        self.up = False
        self.rig.record("worker", self.name, "crashes with",
                        [f"{task} run {run['run']}" for task, run in self.running.items()])  # fmt: skip
        for task, run in self.running.items():
            self.rig.note(self, task, run["run"], "lost")
        self.running = {}
        self._beat.cancel()
        await self._server.stop()

    async def close(self) -> None:
        if self.up:
            self.up = False
            self._beat.cancel()
            await self._server.stop()

    async def _run_beat(self) -> None:
        at = 0.0
        while True:
            await asyncio.sleep(0.02)
            self.step()
            if time.monotonic() - at > HEARTBEAT_S:
                at = time.monotonic()
                self.register()

    def clock_ms(self) -> int:
        return int((time.monotonic() - self.booted_at) * 1000)

    def step(self) -> None:
        """Advance the runs to now: lapse them, stop them, or end them."""
        now = time.monotonic()
        if self.running and self.clock_ms() > self.lease_ms:
            for task in list(self.running):
                self._end(task, "lapsed")
        for task, run in list(self.running.items()):
            if run["stop_at"] is not None and now >= run["stop_at"]:
                self._end(task, "stopped")
            elif run["work_s"] is not None and now - run["began"] >= run["work_s"]:
                self._end(task, "failed" if run["fails"] else "done")

    def _end(self, task, how) -> None:
        run = self.running.pop(task)
        self.last_end += 1
        self.barred[task] = max(run["run"], self.barred.get(task, 0))
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.rig.note(self, task, run["run"], how)
        self.end_added.set()
        self.end_added = asyncio.Event()

    def _extend(self, deadline_ms: int) -> None:
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    async def _answer(self, method, path, headers, body):
        if headers.get("x-curranthall-target-instance", self.name) != self.name:
            return 421, {}
        value = json.loads(body)
        token = value.get("fencing-token", 0)
        if token < self.token:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.token = token
        self.step()
        match path:
            case "/v1/hold":
                return await self._hold(token, value)
            case "/v1/run-start":
                return self._start(value)
            case "/v1/run-stop":
                task, number = value["task"], value["run-id"]
                self.barred[task] = max(number, self.barred.get(task, 0))
                run = self.running.get(task)
                if run is not None and run["run"] <= number and run["stop_at"] is None:
                    run["stop_at"] = time.monotonic() + STOP_S
                return 200, {"clock-ms": self.clock_ms()}
            case "/v1/pace":
                return 200, {"clock-ms": self.clock_ms()}
        return 400, {}

    async def _hold(self, token, value):
        cursor = value.get("ack-cursor", 0)
        for number, task, run, how, _ in self.ended:
            if number <= cursor:
                self.rig.note(self, task, run, f"acked {how}")
        self.ended = [end for end in self.ended if end[0] > cursor]
        if value.get("deadline-ms"):
            self._extend(value["deadline-ms"])
        until = time.monotonic() + min(value.get("wait-ms", 0), 2_000) / 1000
        while not self.ended and time.monotonic() < until:
            with suppress(TimeoutError):
                async with asyncio.timeout(until - time.monotonic()):
                    await self.end_added.wait()
        if token < self.token:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.step()
        running = [[task, run["run"], "", self._percent(run), 0] for task, run in self.running.items()]
        return 200, {
            "clock-ms": self.clock_ms(), "born": self.born, "running": running,
            "finished": self.ended[:500],
        }  # fmt: skip

    def _percent(self, run) -> int:
        if run["work_s"] is None:
            return 100
        return min(99, int(100 * (time.monotonic() - run["began"]) / run["work_s"]))

    def _start(self, value):
        task, number, clock = value["task"], value["run-id"], {"clock-ms": self.clock_ms()}
        known = self.running.get(task)
        if known is not None and known["run"] == number:
            return 200, clock
        if known is not None or number <= self.barred.get(task, 0):
            self._extend(value["deadline-ms"])
            return 409, {**clock, "reason": "old"}
        if value["deadline-ms"] < self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self._extend(value["deadline-ms"])
        job, _, step, _ = task.split(".")
        wanted = self.rig.jobs[job]["steps"][int(step)]
        used = sum(run["cpu"] for run in self.running.values())
        used_mb = sum(run["mem-mb"] for run in self.running.values())
        is_full = used + wanted.get("cpu", 0) > self.cpu
        if self.guards and (is_full or used_mb + wanted.get("mem-mb", 0) > self.mem_mb):
            return 409, {**clock, "reason": "room"}
        lasts = wanted.get("long-running", False)
        self.running[task] = {
            "run": number, "cpu": wanted.get("cpu", 0), "mem-mb": wanted.get("mem-mb", 0), "began": time.monotonic(), "stop_at": None,
            "work_s": None if lasts else wanted["estimated-ms"] / 1000,
            "fails": self.rig.fails(task),
        }  # fmt: skip
        self.rig.note(self, task, number, "start")
        return 200, clock


class Entry:
    """A process of the product, started as deploy/system.toml says."""

    def __init__(self, rig: "Rig", number: int, zone: str, ip: str) -> None:
        self.rig, self.zone, self.ip = rig, zone, ip
        self.name = f"edge-{zone}-{number}"
        self.file = rig.folder / f"{self.name}.json"
        self.process = None

    def write_settings(self, store: str) -> None:
        self.file.write_text(json.dumps({
            "node-name": self.name, "role": "entry", "machine-class": "edge", "serves": ["edge"],
            "ip": self.ip, "zone": self.zone, "region": "land",
            "zones": {zone: "land" for zone in self.rig.zones},
            "listen-addrs": {"frontend": f"{self.ip}:8161", "readiness": f"{self.ip}:8167"},
            "internal-ports": [7720, 7735], "seeds": [], "bootstrap": True,
            "limits": {"cpu-share": 0.537, "cores": 2, "memory-mb": 300, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entrypoint": "vip", "heartbeat-ms": 1100,
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "orders": "rpc",
            "platform": {"address": store, "form": "table", "writes-per-s": 600,
                         "reads-per-s": 2000, "txn-latency-ms": 5.0, "partition-writes-s": 200,
                         "max-row-bytes": MAX_ROW_BYTES, "cross-shard": False, "history-s": 20},
        }))  # fmt: skip

    async def start(self) -> None:
        with (self.rig.folder / f"{self.name}.log").open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-m", "curranthall.platform", cwd=REPO, stdout=out, stderr=out,
                env={
                    "PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(REPO / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1",
                    "CURRANTHALL_NODE_FILE": str(self.file),
                },
            )  # fmt: skip
        self.rig.record("entry", self.name, "started")

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class Rig:
    """A small deployment: a store, machines, entries, and what consumers and workers saw."""

    def __init__(self, folder: Path, zones=ZONE_NAMES, entries=1) -> None:
        if not (REPO / "target" / "deps" / "curranthall").is_dir():
            raise RuntimeError("target/deps is not built")
        self.record = Record(folder / "record.txt")
        self.scratch = tempfile.TemporaryDirectory(prefix="curranthall-review-")
        self.folder = Path(self.scratch.name)
        self.net = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.zones = zones
        self.store = Store(self.record)
        self.entries = [
            Entry(self, at // len(zones) + 1, zones[at % len(zones)], f"{self.net}.{10 + at}")
            for at in range(entries * len(zones))
        ]
        self.machines: dict[str, Machine] = {}
        self.jobs: dict[str, dict] = {}
        self.events: list[tuple[float, str, str, int, str]] = []
        self.fails = lambda task: False
        self.queue = {
            "name": "cuts", "hostname": HOST, "path-prefix": PREFIX, "backend": SERVICE,
            "priority": 0, "max-attempts": 4, "stretch-factor": 2.0, "slo-ms": 1000,
        }  # fmt: skip

    def note(self, machine: Machine, task: str, run: int, what: str) -> None:
        self.events.append((self.record.now(), what, task, run, machine.name))
        self.record("worker", machine.name, what, task, "run", run)

    def add_machine(self, name: str, zone: str, **options) -> Machine:
        port = 8_200 + len(self.machines)
        machine = Machine(self, name, zone, f"{self.net}.200", port, **options)
        self.machines[name] = machine
        return machine

    async def start(self, lead_s: float = 12.0) -> None:
        """Start everything and wait until all entries are ready."""
        self.store.put("op", "config", {
            "version": 3, "routes": [self.queue], "limits": {},
            "services": [{"name": SERVICE, "admission-check": True}],
        })  # fmt: skip
        address = await self.store.start(f"{self.net}.1", 8169)
        for machine in self.machines.values():
            await machine.boot()
        for entry in self.entries:
            entry.write_settings(address)
            await entry.start()
        until = time.monotonic() + 20
        for entry in self.entries:
            while (await http("GET", entry.ip, 8167, "/v1/readiness", timeout=1.0))[0] != 200:
                if time.monotonic() > until:
                    raise RuntimeError("an entry is not ready")
                await asyncio.sleep(0.1)
        # Traffic starts 12 s after the machines do.
        await asyncio.sleep(max(0.0, lead_s - self.record.now()))
        self.record("all entries are ready")

    async def close(self) -> None:
        for entry in self.entries:
            await entry.stop()
        for machine in self.machines.values():
            await machine.close()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            for entry in self.entries:
                log = self.folder / f"{entry.name}.log"
                Path(os.environ["KEEP_LOGS"], log.name).write_bytes(log.read_bytes())
        self.scratch.cleanup()

    # Consumers

    async def _call(self, method, path, body, at, timeout=3.0):
        entry = self.entries[at % len(self.entries)]
        headers = [("Host", HOST), ("Content-Type", "application/json")]
        headers += [("X-Curranthall-Request-Deadline", str(int(timeout * 1000)))]
        return await http(method, entry.ip, 8161, path, body, headers, timeout)

    async def submit(self, job: str, steps: list[dict], at=0, tries=5, **fields) -> int:
        """Hand a job in as a consumer does, with retries at other entries; return the status."""
        self.jobs[job] = {"steps": steps}
        body = {"spec": f"spec of {job}", "steps": steps, **fields}
        status = 0
        for attempt in range(tries):
            status, value = await self._call("POST", PREFIX + job, body, at + attempt)
            self.record("consumer POST", job, "->", status, value)
            if status in (200, 201, 202, 404, 400):
                break
            await asyncio.sleep(0.5)
        return status

    async def phase(self, job: str, at=0, tries=3):
        """Ask for a job's phase; return it, or the status if that is not 200."""
        found = None
        for attempt in range(tries):
            status, value = await self._call("GET", PREFIX + job, None, at + attempt)
            found = value["phase"] if status == 200 else status
            self.record("consumer GET", job, "->", found)
            if status in (200, 410):
                break
        return found

    async def cancel(self, job: str, at=0):
        status, _ = await self._call("DELETE", PREFIX + job, None, at)
        self.record("consumer DELETE", job, "->", status)
        return status

    def idle_spans(self, job: str, since: float, until: float, least_s: float):
        """Return the spans of at least `least_s` in which no worker ran anything of a job."""
        busy, spans, idle_from = set(), [], since
        for at, what, task, run, worker in self.events:
            if not task.startswith(job + "."):
                continue
            key = task, run, worker
            if what == "start":
                if not busy and at > since:
                    spans.append((idle_from, min(at, until)))
                busy.add(key)
            elif what in ENDS and key in busy:
                busy.discard(key)
                if not busy:
                    idle_from = max(at, since)
        if not busy:
            spans.append((idle_from, until))
        return [(a, b) for a, b in spans if b - a >= least_s]

    def cpu_in_use(self) -> float:
        """Return the share of all workers' cores that runs reserve."""
        up = [machine for machine in self.machines.values() if machine.up]
        used = sum(run["cpu"] for machine in up for run in machine.running.values())
        return used / max(1, sum(machine.cpu for machine in up))

    def memory_in_use(self) -> float:
        """Return the share of all workers' memory that runs reserve."""
        up = [machine for machine in self.machines.values() if machine.up]
        used = sum(run["mem-mb"] for machine in up for run in machine.running.values())
        return used / max(1, sum(machine.mem_mb for machine in up))

    def of_job(self, job: str, what: str):
        return [each for each in self.events if each[1] == what and each[2].startswith(job + ".")]


def run(play, folder: str, limit_s: float = 110.0) -> None:
    """Run a case: `play` returns the rules that it saw broken; exit with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                broken = await play(Path(folder), trouble)
        except (Exception, asyncio.CancelledError) as exc:
            print("the case could not run:", repr(exc))
            return 2
        print(*broken or ["no rule broken"], sep="\n")
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
