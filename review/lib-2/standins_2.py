"""Stand-ins for the platform's store, its workers and its consumers, as the pages describe them.

Everything listens on loopback addresses. Nothing here is slow, lost or wrong unless a case says so.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

REPO = Path(__file__).resolve().parents[2]
TXN_S = 0.005
READ_S = 0.004
HISTORY_S = 20.0
PAGE_ROWS = 500
MAX_ROW_BYTES = 65_536
MAX_TX_ENTRIES = 100
MAX_TX_BYTES = 1_000_000
MAX_HOLD_MS = 6_000
GANG_TIMEOUT_S = 3.0
MAX_WAIT_MS = 2_000
HEARTBEAT_S = 1.1
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, Any]]]


def now() -> float:
    """Return steady seconds."""
    return time.monotonic()


class Server:
    """A small HTTP/1.1 server; its open connections can be reset."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)

    async def stop(self) -> None:
        """Stop listening and reset all connections, as the end of the process would."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for line in lines:
                    key, _, value = line.partition(":")
                    headers[key.strip().lower()] = value.strip()
                length = int(headers.get("content-length") or 0)
                body = await reader.readexactly(length) if length else b""
                status, value = await self._handler(method, target, headers, body)
                data = value if isinstance(value, bytes) else json.dumps(value).encode()
                reason = REASONS.get(status, "Status")
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store: rows, transactions and feeds, linearizable."""

    def __init__(self) -> None:
        self.tables: dict[tuple[str, str], dict[str, tuple[str, int]]] = {}
        self._sorted: dict[tuple[str, str], list[str]] = {}
        self.version = 0
        self._history: deque[tuple[float, int, str, str, str, str | None]] = deque()
        self._dropped = 0
        self._changed = asyncio.Event()
        self._began = now()
        self.calls = 0
        self.refused_rows = 0
        self.server = Server(self._handle)

    def write(self, table: str, part: str, key: str, value: bytes | None) -> None:
        """Write or drop a row as the operator, a worker or the platform does."""
        self.version += 1
        self._put(table, part, key, None if value is None else base64.b64encode(value).decode())
        self._notify()

    def seed(self, table: str, part: str, key: str, value: str) -> None:
        """Put a row that was written long ago, so that no history has it."""
        self.tables.setdefault((table, part), {})[key] = (value, self.version)

    def forget_order(self, table: str, part: str) -> None:
        """Sort the keys of a part again after rows were seeded."""
        self._sorted.pop((table, part), None)
        self.keys((table, part))

    def _put(self, table: str, part: str, key: str, value: str | None) -> None:
        place = table, part
        rows = self.tables.setdefault(place, {})
        if value is None:
            if rows.pop(key, None) is not None:
                self._sorted.pop(place, None)
        else:
            if key not in rows and place in self._sorted:
                bisect.insort(self._sorted[place], key)
            rows[key] = value, self.version
        self._history.append((now(), self.version, table, part, key, value))
        while self._history and now() - self._history[0][0] > HISTORY_S:
            self._dropped = self._history.popleft()[1]

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _now_ms(self) -> int:
        return 1_000_000 + int((now() - self._began) * 1000)

    def keys(self, place: tuple[str, str]) -> list[str]:
        """Return the keys of a part in order."""
        if place not in self._sorted:
            self._sorted[place] = sorted(self.tables.get(place, {}))
        return self._sorted[place]

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        from urllib.parse import parse_qs

        self.calls += 1
        path, _, query_text = target.partition("?")
        query = {k: v[0] for k, v in parse_qs(query_text, keep_blank_values=True).items()}
        match path:
            case "/v1/rows-tx":
                await asyncio.sleep(TXN_S)
                return self._transact(json.loads(body))
            case "/v1/rows-get":
                await asyncio.sleep(READ_S)
                return self._get(query)
            case "/v1/rows-feed":
                await asyncio.sleep(READ_S)
                return await self._feed(query)
        return 404, {}

    def _transact(self, tx: dict[str, Any]) -> tuple[int, Any]:
        checks, writes = tx.get("expected-revision") or [], tx.get("writes") or []
        removes = tx.get("remove") or []
        entries = [*checks, *writes, *removes]
        size = sum(len(row["value"]) for row in writes)
        if len(entries) > MAX_TX_ENTRIES or size > MAX_TX_BYTES:
            return 400, {"error": "transaction too large"}
        if len({row.get("part", "") for row in entries}) > 1:
            return 400, {"error": "several parts"}
        for row in [*writes, *removes]:
            if row["table"] in ("op", "servers"):
                return 403, {}
        for row in writes:
            if len(base64.b64decode(row["value"])) > MAX_ROW_BYTES:
                self.refused_rows += 1
                return 400, {"error": "row too large"}
        stale = False
        for row in checks:
            found = self.tables.get((row["table"], row["part"]), {}).get(row["key"])
            stale = stale or (found[1] if found else 0) != row["schema-version"]
        if stale:
            rows = [self._row(r["table"], r["part"], r["key"]) for r in checks]
            return 412, {
                "rows": [row for row in rows if row],
                "schema-version": self.version,
                "now-ms": self._now_ms(),
            }
        self.version += 1
        for row in writes:
            self._put(row["table"], row["part"], row["key"], row["value"])
        for row in removes:
            self._put(row["table"], row["part"], row["key"], None)
        self._notify()
        return 200, {"schema-version": self.version, "now-ms": self._now_ms()}

    def _row(self, table: str, part: str, key: str) -> dict[str, Any] | None:
        found = self.tables.get((table, part), {}).get(key)
        if found is None:
            return None
        value, version = found
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "schema-version": version,
        }

    def _get(self, query: dict[str, str]) -> tuple[int, Any]:
        place = query["table"], query.get("part", "")
        keys = self.keys(place)
        start = bisect.bisect_left(keys, query.get("start-key", ""))
        end = bisect.bisect_left(keys, query["to"]) if query.get("to") else len(keys)
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        rows, size, at = [], 0, start
        while at < end and len(rows) < limit and size < 1_000_000:
            row = self._row(*place, keys[at])
            assert row is not None
            rows.append(row)
            size += len(row["value"]) + 150
            at += 1
        return 200, {
            "rows": rows,
            "has-more": at < end,
            "schema-version": self.version,
            "now-ms": self._now_ms(),
        }

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any]:
        table, after = query["table"], int(query["after"])
        until = now() + int(query.get("wait-ms", 0)) / 1000
        while True:
            if after < self._dropped:
                return 410, {}
            newest: dict[tuple[str, str], dict[str, Any]] = {}
            for _, version, row_table, part, key, value in self._history:
                if row_table == table and version > after:
                    row: dict[str, Any] = {"table": table, "part": part, "key": key}
                    row["schema-version"] = version
                    row |= {"deleted": True} if value is None else {"value": value}
                    newest.pop((part, key), None)
                    newest[part, key] = row
            left = until - now()
            if newest or left <= 0:
                return 200, {
                    "rows": list(newest.values()),
                    "schema-version": self.version,
                    "now-ms": self._now_ms(),
                }
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass


class Run:
    """A run at a worker."""

    def __init__(self, order: dict[str, Any], step: dict[str, Any], work_s: float) -> None:
        self.task, self.number = order["task"], order["run-id"]
        self.step, self.work_s = step, work_s
        self.began = now()
        # When the work began: for a gang, once all are present.
        self.at_work: float | None = None if step.get("gang") else self.began
        self.pace = 100

    def percent(self) -> int:
        """Return the progress; of a lasting task, whether it has started up."""
        if self.at_work is None:
            return 0
        if self.step.get("long-running"):
            return 100 if now() - self.at_work > 0.2 else 0
        return min(99, int(100 * (now() - self.at_work) / max(self.work_s, 0.001)))


class Worker:
    """A worker's machine; `crash` ends its boot, `boot` starts a new one at its address."""

    def __init__(self, site: "Site", index: int, zone: str) -> None:
        self.site, self.zone, self.index = site, zone, index
        self.host = site.address(100 + index)
        self.port = site.port + 50
        self.cpu, self.mem = site.worker_cpu, site.worker_mem
        self.rack = f"r{zone[-1]}-{index % 2}"
        self.server = Server(self._handle)
        self.boots = 0
        self.up = False
        self.id = ""
        # Called with the run when one starts.
        self.on_start: Callable[["Worker", Run], None] | None = None
        # While set, nothing is answered and nothing done.
        self.dark = False

    async def boot(self, same_id: bool = False) -> None:
        """Start a boot that holds nothing of a former one."""
        self.boots += 1
        if not (same_id and self.id):
            self.id = f"i-{self.index:02d}-{self.boots}-{random.randrange(16**6):06x}"
        self.born = time.time_ns() // 1_000_000
        self.booted_at = now()
        self.epoch = 0
        self.lease_ms = 0
        self.running: dict[str, Run] = {}
        self.finished: list[list[Any]] = []
        self.last_end = 0
        self.barred: dict[str, int] = {}
        self.sequence = 0
        self.up = True
        self.dark = False
        self.changed = asyncio.Event()
        await self.server.start(self.host, self.port)
        self.site.record("worker-up", worker=self.id, zone=self.zone)
        self.beat()

    def beat(self, phase: str = "ready") -> None:
        """Write the worker's entry."""
        self.sequence += 1
        entry = {
            "backend": self.site.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "phase": phase,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
            "machine": f"m-{self.index:02d}",
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem, "gpus": 0},
            "labels": ["kind-a", self.rack],
        }
        self.last_beat = now()
        self.site.store.write("servers", "", self.id, json.dumps(entry).encode())

    async def crash(self) -> None:
        """End the boot; nothing is sent. Its entry is removed after three intervals."""
        self.up = False
        lost, self.running = list(self.running.values()), {}
        for run in lost:
            self.site.note_end(self, run, "lost")
            if run.step.get("gang"):
                self.site.break_gang(run)
        self.site.record("worker-crash", worker=self.id)
        await self.server.stop()
        gone, left = self.id, max(0.0, self.last_beat + 3 * HEARTBEAT_S - now())
        asyncio.get_running_loop().call_later(left, self._expire, gone)

    def _expire(self, gone: str) -> None:
        if not (self.up and self.id == gone):
            self.site.store.write("servers", "", gone, None)

    @property
    def clock_ms(self) -> int:
        """Return the worker's steady clock."""
        return int((now() - self.booted_at) * 1000)

    def step_runs(self) -> None:
        """Advance all runs to now."""
        if self.running and self.clock_ms > self.lease_ms:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
        for run in list(self.running.values()):
            if run.at_work is None:
                if now() - run.began > GANG_TIMEOUT_S:
                    self.end(run, "alone")
            elif not run.step.get("long-running") and now() - run.at_work >= run.work_s:
                how = self.site.outcome(run)
                if run.step.get("gang"):
                    self.site.end_gang(run, how)
                else:
                    self.end(run, how)

    def end(self, run: Run, how: str) -> None:
        """End a run; its end is listed until it is taken note of."""
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.last_end += 1
        self.finished.append([self.last_end, run.task, run.number, how, ""])
        self.site.note_end(self, run, how)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        if run.step.get("gang") and how in ("stopped", "lapsed", "alone"):
            self.site.break_gang(run)

    def _used(self, what: str) -> int:
        return sum(
            run.step.get(what, 0)
            for run in self.running.values()
            if not (what == "cpu" and run.step.get("fills"))
        )

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if self.dark or not self.up:
            await asyncio.sleep(3600)
        if headers.get("x-curranthall-target-instance") != self.id:
            return 421, {"clock-ms": self.clock_ms, "born": self.born}
        order = json.loads(body or b"{}")
        token = order.get("fencing-token", 0)
        if token < self.epoch:
            return 409, {"clock-ms": self.clock_ms, "reason": "fence", "born": self.born}
        self.epoch = token
        self.step_runs()
        match target:
            case "/v1/run-start":
                return self._start(order)
            case "/v1/run-stop":
                task, number = order["task"], order["run-id"]
                self.barred[task] = max(number, self.barred.get(task, 0))
                run = self.running.get(task)
                if run is not None and run.number <= number:
                    self.end(run, "stopped")
                return 200, {"clock-ms": self.clock_ms, "born": self.born}
            case "/v1/hold":
                return await self._hold(order, token)
            case "/v1/pace":
                run = self.running.get(order["task"])
                if run is not None:
                    run.pace = order["percent"]
                return 200, {"clock-ms": self.clock_ms, "born": self.born}
        return 404, {}

    def _extend(self, deadline_ms: int) -> None:
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms + MAX_HOLD_MS))

    def _start(self, order: dict[str, Any]) -> tuple[int, Any]:
        clock = {"clock-ms": self.clock_ms, "born": self.born}
        task, number = order["task"], order["run-id"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            return 200, clock
        if run is not None or number <= self.barred.get(task, 0):
            self._extend(order["deadline-ms"])
            return 409, {**clock, "reason": "old"}
        if order["deadline-ms"] < self.clock_ms:
            return 409, {**clock, "reason": "late"}
        step = self.site.step_of(task)
        self._extend(order["deadline-ms"])
        cpu = 0 if step.get("fills") else step.get("cpu", 0)
        if self._used("cpu") + cpu > self.cpu:
            return 409, {**clock, "reason": "room"}
        if self._used("mem-mb") + step.get("mem-mb", 0) > self.mem:
            return 409, {**clock, "reason": "room"}
        run = Run(order, step, self.site.work_s(task))
        self.running[task] = run
        self.site.note_start(self, run)
        if step.get("gang"):
            self.site.join_gang(run)
        if self.on_start is not None:
            self.on_start(self, run)
        return 200, clock

    async def _hold(self, order: dict[str, Any], token: int) -> tuple[int, Any]:
        cursor = order["ack-cursor"]
        self.finished = [end for end in self.finished if end[0] > cursor]
        if "deadline-ms" in order:
            self._extend(order["deadline-ms"])
        until = now() + min(MAX_WAIT_MS, order.get("wait-ms", 0)) / 1000
        boot = self.boots
        while not self.finished and now() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(0.05, max(0.0, until - now())))
            except TimeoutError:
                pass
            if boot != self.boots or not self.up or self.dark:
                await asyncio.sleep(3600)
            self.step_runs()
        running = [
            [run.task, run.number, "", run.percent(), run.step.get("cpu", 0)]
            for run in self.running.values()
        ]
        return 200, {
            "clock-ms": self.clock_ms,
            "born": self.born,
            "running": running,
            "finished": self.finished[:500],
        }


class Entry:
    """One machine with the project's own program."""

    def __init__(self, site: "Site", index: int, zone: str) -> None:
        self.site, self.zone, self.index = site, zone, index
        self.host = site.address(10 + index)
        self.name = f"edge-{zone}-{index}"
        self.process: subprocess.Popen[bytes] | None = None
        self.frontend = f"{self.host}:{site.port}"
        self.readiness = f"{self.host}:{site.port + 1}"
        self.log = site.folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        site = self.site
        settings = {
            "node-name": self.name,
            "role": "entry",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": self.zone,
            "region": "r",
            "zones": {zone: "r" for zone in site.zones},
            "listen-addrs": {"frontend": self.frontend, "readiness": self.readiness},
            "internal-ports": [site.port + 2, site.port + 17],
            "seeds": [],
            "bootstrap": False,
            "limits": {"cpu-share": 0.537, "cores": 2, "memory-mb": 300, "max-fds": 4100},
            "data-dir": None,
            "discovery": "platform",
            "entrypoint": "vip",
            "heartbeat-ms": 1100,
            "bounds": {
                "contact-ms": 3000,
                "drain-ms": 2000,
                "grace-s": 6,
                "max-hold-ms": MAX_HOLD_MS,
                "stop-timeout-ms": 900,
                "gang-timeout-ms": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "early_ms": 250,
                "finish_s": 14,
                "status_s": 120,
            },
            "orders": "rpc",
            "platform": {
                "address": site.store_address,
                "form": "table",
                "writes-per-s": 600,
                "reads-per-s": 2000,
                "txn-latency-ms": 5.0,
                "partition-writes-s": 200,
                "max-row-bytes": MAX_ROW_BYTES,
                "cross-shard": False,
                "history-s": 20,
            },
        }
        path = site.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": "target/deps",
            "CURRANTHALL_NODE_FILE": str(path),
        }
        self.process = subprocess.Popen(
            ["python3", "-m", "curranthall.platform"],
            cwd=REPO,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )
        site.record("entry-up", entry=self.name, pid=self.process.pid)

    def kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.site.record("signal", entry=self.name, signal=number.name)
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the process's resident memory."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Site:
    """A small deployment: a store, workers, entries and consumers."""

    def __init__(
        self,
        folder: Path,
        zones: tuple[str, ...] = ("z-a", "z-b", "z-c"),
        workers: int = 4,
        entries: int = 2,
        worker_cpu: int = 32_000,
        worker_mem: int = 128_000,
    ) -> None:
        self.zones, self.service = zones, "sheet-desk"
        self.worker_cpu, self.worker_mem = worker_cpu, worker_mem
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self._record = (folder / "record.txt").open("w")
        self.began = now()
        self.net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.port = 20_000 + random.randrange(0, 100) * 100
        self.store = Store()
        self.store_address = f"{self.address(2)}:{self.port}"
        self.workers = [
            Worker(self, number, zone)
            for number, zone in enumerate(zone for zone in zones for _ in range(workers))
        ]
        self.entries = [
            Entry(self, number, zone)
            for number, zone in enumerate(zone for zone in zones for _ in range(entries))
        ]
        self.jobs: dict[str, dict[str, Any]] = {}
        self._routes: dict[str, str] = {}
        self.ends: list[dict[str, Any]] = []
        self.starts: list[dict[str, Any]] = []
        self._gangs: dict[tuple[str, int], list[tuple[Worker, Run]]] = {}
        self._queue = 0
        self.work: dict[str, float] = {}
        self.fails: Callable[[Run], bool] = lambda run: False
        self.version = 1
        self.routes: list[dict[str, Any]] = []
        self._beats: asyncio.Task[None] | None = None

    def address(self, number: int) -> str:
        """Return a loopback address of this site."""
        return f"{self.net}.{number}"

    def record(self, event: str, **fields: Any) -> None:
        """Write a line of the record."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._record.write(f"{now() - self.began:8.3f} {event} {text}\n")
        self._record.flush()

    async def start(self) -> None:
        """Start everything and wait until the entries are ready."""
        host, _, port = self.store_address.partition(":")
        await self.store.server.start(host, int(port))
        self.routes = [
            {
                "name": name,
                "hostname": "desk.example",
                "path-prefix": f"/{name}/",
                "backend": self.service,
                "priority": priority,
                "max-attempts": 4,
                "stretch-factor": 2.0,
                "slo-ms": 1000,
                "timeout-ms": 3000,
            }
            for name, priority in (("cuts", 0), ("reports", 2))
        ]
        self.write_config()
        for worker in self.workers:
            await worker.boot()
        self._beats = asyncio.create_task(self._beat())
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await self.wait_ready(entry)
        await asyncio.sleep(4.0)

    def write_config(self) -> None:
        """Write the next configuration as the operator."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": [{"name": self.service, "admission-check": True, "standby": False}],
            "limits": {},
        }
        self.store.write("op", "", "config", json.dumps(config).encode())
        self.record("config", version=self.version)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for worker in self.workers:
                if worker.up:
                    worker.step_runs()
                if worker.up and not worker.dark and now() - worker.last_beat >= HEARTBEAT_S:
                    worker.beat()

    async def wait_ready(self, entry: Entry, limit_s: float = 20.0) -> None:
        """Wait until an entry answers its readiness probe with 200."""
        until = now() + limit_s
        while now() < until:
            status, _ = await call(entry.readiness, "GET", "/v1/readiness", timeout=1.0)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{entry.name} is not ready")

    async def stop(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
                entry.process.wait()
        if self._beats is not None:
            self._beats.cancel()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()

    # Jobs

    def step_of(self, task: str) -> dict[str, Any]:
        """Return the step of a task that a consumer sent."""
        job, _, step, _ = task.split(".")
        found = self.jobs[job]["steps"][int(step)]
        return found

    def work_s(self, task: str) -> float:
        """Return how long a task works."""
        return self.step_of(task).get("estimated-ms", 0) / 1000

    def outcome(self, run: Run) -> str:
        """Return how a run ends that has done its work."""
        return "failed" if self.fails(run) else "done"

    def note_start(self, worker: Worker, run: Run) -> None:
        """Record a start."""
        self.starts.append({"at": now(), "task": run.task, "run": run.number, "worker": worker.id})
        self.record("start", task=run.task, run=run.number, worker=worker.id)

    def note_end(self, worker: Worker, run: Run, how: str) -> None:
        """Record the end of a run."""
        end = {"at": now(), "task": run.task, "run": run.number, "worker": worker.id, "how": how}
        self.ends.append(end)
        self.record("end", task=run.task, run=run.number, worker=worker.id, how=how)

    def _members(self, run: Run) -> list[tuple[Worker, Run]]:
        step = run.task.rpartition(".")[0]
        return [
            (worker, other)
            for worker in self.workers
            if worker.up
            for other in worker.running.values()
            if other.task.rpartition(".")[0] == step and other.number == run.number
        ]

    def join_gang(self, run: Run) -> None:
        """Let a gang begin to work once all are present."""
        members = self._members(run)
        if len(members) == run.step["count"]:
            for _, each in members:
                each.at_work = now()

    def end_gang(self, run: Run, how: str) -> None:
        """End all members of a gang that has done its work."""
        for worker, each in self._members(run):
            worker.end(each, how)

    def break_gang(self, run: Run) -> None:
        """End the others of a gang of which one has ended."""
        for worker, each in self._members(run):
            if each.at_work is not None:
                worker.end(each, "broken")

    async def request(
        self,
        entry: Entry,
        method: str,
        path: str,
        value: Any = None,
        timeout: float = 3.0,
    ) -> tuple[int, Any]:
        """Send a consumer's request."""
        body = b"" if value is None else json.dumps(value).encode()
        status, answer = await call(entry.frontend, method, path, body, timeout, "desk.example")
        self.record(
            "request", entry=entry.name, what=f"{method} {path}", answer=status, body=answer
        )
        return status, answer

    async def submit(
        self, job: dict[str, Any], route: str = "cuts", entry: Entry | None = None
    ) -> str:
        """Hand a job in, with retries as a consumer; return its id."""
        job_id = f"{random.randrange(16**16):016x}"
        self.jobs[job_id], self._routes[job_id] = job, route
        for _ in range(5):
            chosen = entry or random.choice([e for e in self.entries if e.process is not None])
            status, _ = await self.request(chosen, "POST", f"/{route}/{job_id}", job)
            if status == 200:
                return job_id
            await asyncio.sleep(0.5)
        raise RuntimeError("a job was not accepted")

    async def phase(self, job_id: str, entry: Entry | None = None) -> str:
        """Return the phase that a consumer is shown; a status if there is none."""
        route = self._routes.get(job_id, "cuts")
        for _ in range(3):
            chosen = entry or random.choice(self.entries)
            status, answer = await self.request(chosen, "GET", f"/{route}/{job_id}")
            if status == 200:
                return str(answer["phase"])
            if status == 410:
                break
        return str(status)


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout: float = 3.0,
    host: str = "",
) -> tuple[int, Any]:
    """Send one request on a new connection; return status 0 without an answer."""
    name, _, port = address.partition(":")
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(name, int(port))
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                    f"X-Curranthall-Request-Deadline: {int(timeout * 1000)}\r\n"
                    "Connection: close\r\n\r\n".encode() + body
                )
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status, length = int(head.split(" ", 2)[1]), 0
                for line in head.split("\r\n")[1:]:
                    key, _, value = line.partition(":")
                    if key.strip().lower() == "content-length":
                        length = int(value)
                data = await reader.readexactly(length)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    try:
        return status, json.loads(data or b"null")
    except ValueError:
        return status, None


def play(folder: str, case: Callable[[Path, bool], Awaitable[bool]]) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # Ended from outside, the script still ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(115):
            return await case(Path(folder), trouble)

    try:
        socket.inet_aton("127.0.0.1")
        broken = asyncio.run(limited())
    except BaseException as exc:
        print(f"could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
