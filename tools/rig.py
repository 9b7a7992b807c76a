"""Run entries as separate processes against stand-ins, and measure their resource use."""

import asyncio
import json
import os
import socket
import sys
import tempfile
from typing import Any

from curranthall.client import OperatorClient
from curranthall.model import Host, HostState, Size
from curranthall.standin.servers import PlatformServer, WorkerServer

LOOPBACK = "127.0.0.1"
TOKEN = "rig-operator-token-1"
MESH_KEY = "rig-mesh-key-0123456789"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SETTLE_S = 4.0


def free_port() -> int:
    """Return a free TCP port of the loopback interface."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        return port


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    with open(f"/proc/{pid}/status") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


class EntryUnderTest:
    """An entry process and an operator client connected to it."""

    def __init__(self, name: str, domain: str, platform: str, peers: list[str]) -> None:
        self.name = name
        self.mesh_address = f"{LOOPBACK}:{free_port()}"
        self.caller_address = f"{LOOPBACK}:{free_port()}"
        operators = f"{LOOPBACK}:{free_port()}"
        self.client = OperatorClient(operators, TOKEN)
        self._settings: dict[str, Any] = {
            "id": name,
            "domain": domain,
            "caller": self.caller_address,
            "operators": operators,
            "mesh": self.mesh_address,
            "platform": platform,
            "mesh_key": MESH_KEY,
            "operator_tokens": {"rig": TOKEN},
            "peers": peers,
            "log_decisions": False,
        }
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(self._settings, file)
        command = (sys.executable, "-m", "curranthall", "entry", "--settings", file.name)
        self.process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL
        )
        assert self.process.stdout is not None
        await self.process.stdout.readline()
        os.unlink(file.name)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    async def measure_cost(self, seconds: float) -> dict[str, float]:
        """Measure CPU percent of a core, control bytes/s and resident MiB; `starts` is a total."""
        cpu_before, started_at = read_cpu_s(self.pid), asyncio.get_running_loop().time()
        bytes_before = (await self.client.get("/v1/status"))["control_bytes"]
        await asyncio.sleep(seconds)
        elapsed_s = asyncio.get_running_loop().time() - started_at
        status = await self.client.get("/v1/status")
        return {
            "cpu_percent": 100 * (read_cpu_s(self.pid) - cpu_before) / elapsed_s,
            "bytes_s": (status["control_bytes"] - bytes_before) / elapsed_s,
            "rss_mb": read_resident_mb(self.pid),
            "starts": status["tasks"].get("starts", 0),
        }

    async def stop(self) -> None:
        """Kill the process."""
        self.client.close()
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class Rig:
    """A platform stand-in with worker stand-ins and entries."""

    def __init__(self) -> None:
        self.platform = PlatformServer()
        self.workers: list[WorkerServer] = []
        self.entries: list[EntryUnderTest] = []

    async def start(
        self, workers: int, entries: int = 1, serve_s: float = 0.0, cores: float = 64
    ) -> EntryUnderTest:
        """Start everything and return the first entry."""
        address = f"{LOOPBACK}:{await self.platform.start(LOOPBACK, 0)}"
        for number in range(workers):
            size = Size(cores, 250, 0)
            host = Host(f"w{number}", "d1", f"r{number // 8}", "", size, 8, 64, HostState.LIVE)
            server = WorkerServer(host, "b1", serve_s)
            await server.start(LOOPBACK, 0)
            await server.register(address)
            self.workers.append(server)
        peers: list[str] = []
        for number in range(entries):
            # The other entries are in another domain, so the first one holds all workers.
            entry = EntryUnderTest(f"e{number}", f"d{1 + bool(number)}", address, list(peers))
            await entry.start()
            peers.append(entry.mesh_address)
            self.entries.append(entry)
        return self.entries[0]

    async def wait_until_held(self) -> None:
        """Wait until all workers are held, then let the entries settle."""
        while sum(not worker.engine.is_free for worker in self.workers) < len(self.workers):
            await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)

    async def close(self) -> None:
        """Stop everything."""
        for entry in self.entries:
            await entry.stop()
        for worker in self.workers:
            await worker.close()
        await self.platform.close()
