"""The process of an entry: ports, platform client and signals."""

import asyncio
import random
import signal
import time
from typing import NamedTuple

from curranthall.access import Access
from curranthall.admission import Admission, derive_limits
from curranthall.callers import Callers
from curranthall.edits import Edits
from curranthall.entry import ENTRY_PREFIX, Entry, Identity
from curranthall.http import HttpServer
from curranthall.jobs import Jobs
from curranthall.link import SocketMesh
from curranthall.model import Host
from curranthall.operators import Operators
from curranthall.settings import Settings
from curranthall.table import HttpPlatform
from curranthall.worker import HttpWorker, Worker

DIAL_INTERVAL_S = 2.0
ANSWER_GRACE_S = 2.0


class Ports(NamedTuple):
    """The ports that an entry listens on."""

    caller: int
    operators: int
    mesh: int


def split_address(address: str) -> tuple[str, int]:
    """Split host:port into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class EntryProcess:
    """An entry with its ports and connections."""

    def __init__(self, cfg: Settings) -> None:
        self.cfg = cfg
        limits = derive_limits(cfg.memory_mb, cfg.max_fds, cfg.max_body_bytes)
        self._admission = Admission(limits)
        self.mesh = SocketMesh(cfg.id, cfg.mesh_key.encode(), admission=self._admission)
        self._platform = HttpPlatform(cfg.platform)
        self._callers: HttpServer
        self._operators: HttpServer
        self.entry: Entry
        self._dial_task: asyncio.Task[None] | None = None

    async def start(self) -> Ports:
        """Open the ports, connect to the peers and start the loops."""
        cfg = self.cfg
        mesh_host, mesh_port = split_address(cfg.mesh)
        port = await self.mesh.start(mesh_host, mesh_port)
        incarnation = time.time_ns() // 1_000_000
        identity = Identity(cfg.id, cfg.domain, incarnation, f"{mesh_host}:{port}")
        loop = asyncio.get_running_loop()
        self.entry = Entry(
            identity,
            self._platform,
            _connect,
            self.mesh,
            loop.time,
            time.time,
            random.Random(),
        )
        self.mesh.handler = self.entry.handle
        jobs = Jobs(self._platform, self.entry.config, time.time, self.entry.new_txn)
        edits = Edits(self._platform, self.entry.config, time.time, self.entry.new_txn)
        access = Access(cfg.operator_tokens, cfg.customer_tokens)
        callers = Callers(self.entry, jobs, access)
        operators = Operators(self.entry, jobs, edits, access, self._admission)
        self._callers = HttpServer(callers.handle, cfg.max_body_bytes, self._admission)
        self._operators = HttpServer(operators.handle, cfg.max_body_bytes, self._admission)
        for peer in cfg.peers:
            self.mesh.dial(peer)
        self.entry.start()
        self._dial_task = asyncio.create_task(self._dial_registered())
        return Ports(
            await self._callers.start(*split_address(cfg.caller)),
            await self._operators.start(*split_address(cfg.operators)),
            port,
        )

    async def drain(self) -> None:
        """Shut down gracefully, finishing the requests in flight."""
        self._callers.closing = True
        await self.entry.drain(lambda: self._callers.active)
        await self._callers.drain(ANSWER_GRACE_S)
        await self.close()

    async def close(self) -> None:
        """Close everything at once."""
        if self._dial_task is not None:
            self._dial_task.cancel()
        self.entry.stop()
        await self._callers.drain(0)
        await self._operators.drain(0)
        await self.mesh.close()
        self._platform.close()
        for held in self.entry.keeper.workers.values():
            held.worker.close()

    def count_running_replicas(self) -> int:
        """Count the replicas that run on held workers."""
        leases = [held.lease for held in self.entry.keeper.held() if held.lease is not None]
        return sum(bool(run.service) for lease in leases for run in lease.running.values())

    async def _dial_registered(self) -> None:
        """Dial the peers registered in the table, every DIAL_INTERVAL_S."""
        while True:
            for _, row in list(self.entry.config.mirror.rows_under(ENTRY_PREFIX)):
                if row["id"] != self.cfg.id:
                    self.mesh.dial(row["mesh_address"])
            await asyncio.sleep(DIAL_INTERVAL_S)


def _connect(host: Host) -> Worker:
    return HttpWorker(host.address, host.connections)


async def run_entry(cfg: Settings) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully."""
    process = EntryProcess(cfg)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    ports = await process.start()
    print(f"ready caller={ports.caller} operators={ports.operators} mesh={ports.mesh}", flush=True)
    await stop.wait()
    await process.drain()
