"""One entry as a process of its own with stand-ins around it, and what it costs."""

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
KEY = "rig-mesh-key-0123456789"
TICKS = os.sysconf("SC_CLK_TCK")
SETTLE_S = 4.0


def free_port() -> int:
    """Find a free port."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        return port


def cpu_s(pid: int) -> float:
    """Give a process's processor seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Give a process's resident memory."""
    with open(f"/proc/{pid}/status") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


class EntryUnderTest:
    """An entry process and the operators' client on it."""

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
            "mesh_key": KEY,
            "operator_tokens": {"rig": TOKEN},
            "peers": peers,
            "log_decisions": False,
        }
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        """Start the process and wait for its ports."""
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
        """Name the process."""
        return self.process.pid

    async def cost(self, seconds: float) -> dict[str, float]:
        """Measure over a while: share of a core, bytes a second, resident memory."""
        before, began = cpu_s(self.pid), asyncio.get_running_loop().time()
        sent = (await self.client.get("/v1/status"))["control_bytes"]
        await asyncio.sleep(seconds)
        took = asyncio.get_running_loop().time() - began
        status = await self.client.get("/v1/status")
        return {
            "cpu_percent": 100 * (cpu_s(self.pid) - before) / took,
            "bytes_s": (status["control_bytes"] - sent) / took,
            "rss_mb": resident_mb(self.pid),
            "starts": status["tasks"].get("starts", 0),
        }

    async def stop(self) -> None:
        """End the process at once."""
        self.client.close()
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class Rig:
    """A platform, workers and entries."""

    def __init__(self) -> None:
        self.platform = PlatformServer()
        self.workers: list[WorkerServer] = []
        self.entries: list[EntryUnderTest] = []

    async def start(
        self, workers: int, entries: int = 1, serve_s: float = 0.0, cores: float = 64
    ) -> EntryUnderTest:
        """Start all; give the first entry."""
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
            # All but the first are in another domain, so that the first holds every worker.
            entry = EntryUnderTest(f"e{number}", f"d{1 + bool(number)}", address, list(peers))
            await entry.start()
            peers.append(entry.mesh_address)
            self.entries.append(entry)
        return self.entries[0]

    async def until_held(self) -> None:
        """Wait until all workers are held."""
        while sum(not worker.engine.is_free for worker in self.workers) < len(self.workers):
            await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)

    async def close(self) -> None:
        """End all."""
        for entry in self.entries:
            await entry.stop()
        for worker in self.workers:
            await worker.close()
        await self.platform.close()
