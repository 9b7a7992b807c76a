"""Crowds of clients against real processes: memory, descriptors, and an ordinary request.

Clients outside our control ended a process by requests of legal size that they did not finish.
"""

import asyncio
import os
import tempfile
import unittest
from pathlib import Path

from curranthall.client import OperatorClient
from curranthall.demo import MESH_KEY, OPERATOR_TOKEN, TABLE
from curranthall.errors import CurranthallError
from curranthall.platform.__main__ import METRICS_PORT
from curranthall.standin.servers import PlatformServer
from tests.cluster import now
from tests.crowd import (
    BODY_BYTES,
    HUNG_S,
    Clients,
    Crowd,
    Server,
    call,
    large_chunks,
    make_chunked,
    make_job,
    pieced_bodies,
    small_chunks,
    unproven_frames,
    whole_bodies,
    write_json,
)
from tests.platform_fakes import FakeStore
from tests.soak import BOUNDS, QUEUE

# Limits in the settings of the process; both are also the bounds that are checked.
MEMORY_MB = 128
MAX_FDS = 320
CLIENTS = 500
SMALL_CHUNK_CLIENTS = 300
MESH_CLIENTS = 60
# Below the mesh's limit of 8 MB a frame.
FRAME_BYTES = 4_000_000
# The product's entry has its default limits here: 200 MB and bodies of 1 MB.
ENTRY_MEMORY_MB = 200
ENTRY_MAX_FDS = 1_024
ENTRY_CLIENTS = 300
ENTRY_BODY_BYTES = 1_048_576
POLL_S = 0.1
JOB_ID = "fedcba9876543210"


class CrowdTest(unittest.IsolatedAsyncioTestCase):
    """Base of the tests: a folder, a process and the clients."""

    memory_mb = MEMORY_MB
    max_fds = MAX_FDS

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="crowd-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        # Some ports are fixed, so each process has an address of its own.
        self.ip = f"127.1.{1 + os.getpid() % 250}.1"
        self.clients = Clients()
        self.addCleanup(self.clients.close)
        self.server: Server

    async def start(self, *args: str, **env: str) -> None:
        """Start the process and wait until it answers."""
        self.server = Server(["-m", *args], self.folder, **env)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        async with asyncio.timeout(HUNG_S):
            while await self.try_ordinary("0" * 16) != 200:
                await asyncio.sleep(POLL_S)

    async def ordinary(self, job_id: str) -> int:
        """Send one ordinary request and return the status."""
        raise NotImplementedError

    async def try_ordinary(self, job_id: str) -> int | str:
        """Send one ordinary request and return the status or the failure."""
        try:
            return await self.ordinary(job_id)
        except CurranthallError as exc:
            return str(exc)

    async def check_crowd(self, crowd: Crowd, address: str) -> None:
        """Let a crowd come, then check the bounds and an ordinary request beside it."""
        await self.clients.send(crowd, address)
        status = await self.try_ordinary(JOB_ID)
        usage = self.server.usage()
        print(f"{self.id().split('.')[-1]}: {usage} ordinary={status}", flush=True)
        self.assertTrue(self.server.is_alive, self.server.read_log()[-2000:])
        self.assertEqual(status, 200)
        self.assertLess(usage.memory_mb, self.memory_mb)
        self.assertLess(usage.descriptors, self.max_fds)


class PlatformCrowds(CrowdTest):
    async def asyncSetUp(self) -> None:
        self.store = FakeStore(now)
        self.store.page_rows = 500
        address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.write_config()
        settings = {
            "node-name": "a-e1",
            "ip": self.ip,
            "zone": "a",
            "zones": {"a": "land"},
            "listen-addrs": {"frontend": f"{self.ip}:8161", "readiness": f"{self.ip}:8167"},
            "internal-ports": [7720, 7735],
            "limits": {"cpu-share": 1.0, "cores": 1, "memory-mb": MEMORY_MB, "max-fds": MAX_FDS},
            "bounds": BOUNDS,
            "platform": {"address": address},
        }
        self.callers = f"{self.ip}:8161"
        path = write_json(self.folder / "settings.json", settings)
        await self.start("curranthall.platform", CURRANTHALL_NODE_FILE=path)

    def write_config(self) -> None:
        """Write a configuration; callers name the process's address as the host."""
        routes = [{**QUEUE, "hostname": self.ip}]
        config = {"version": 1, "routes": routes, "services": [{"name": "desk"}]}
        self.store.write_as_operator("config", config)

    async def ordinary(self, job_id: str) -> int:
        """Submit one ordinary job."""
        answer = await call(self.callers, "POST", f"/cuts/{job_id}", make_job(200))
        return answer.status

    async def test_whole_bodies_that_stop_short(self) -> None:
        await self.check_crowd(whole_bodies(CLIENTS), self.callers)

    async def test_pieced_bodies_that_stop_short(self) -> None:
        await self.check_crowd(pieced_bodies(CLIENTS), self.callers)

    async def test_large_chunks_that_stop_short(self) -> None:
        await self.check_crowd(large_chunks(CLIENTS), self.callers)

    async def test_chunks_of_one_byte(self) -> None:
        await self.check_crowd(small_chunks(SMALL_CHUNK_CLIENTS), self.callers)

    async def test_bodies_at_the_port_of_readiness(self) -> None:
        await self.check_crowd(whole_bodies(CLIENTS), f"{self.ip}:8167")

    async def test_bodies_at_the_port_of_metrics(self) -> None:
        await self.check_crowd(whole_bodies(CLIENTS), f"{self.ip}:{METRICS_PORT}")

    async def test_frames_at_the_mesh_before_the_key_is_proved(self) -> None:
        await self.check_crowd(unproven_frames(MESH_CLIENTS, FRAME_BYTES), f"{self.ip}:7720")

    async def test_a_single_body_in_chunks_of_one_byte_is_answered(self) -> None:
        body = make_chunked(make_job(BODY_BYTES), 1)
        async with asyncio.timeout(HUNG_S):
            reader, writer = await asyncio.open_connection(self.ip, 8161)
            head = f"POST /cuts/{JOB_ID} HTTP/1.1\r\nHost: {self.ip}\r\n"
            writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + body)
            await writer.drain()
            answer = await reader.readline()
        writer.close()
        self.assertIn(b" 200 ", answer)
        self.assertEqual(await self.ordinary("1" * 16), 200)


class EntryCrowds(CrowdTest):
    """The product's own entry."""

    memory_mb = ENTRY_MEMORY_MB
    max_fds = ENTRY_MAX_FDS

    async def asyncSetUp(self) -> None:
        platform = PlatformServer()
        address = f"127.0.0.1:{await platform.start('127.0.0.1', 0)}"
        self.addAsyncCleanup(platform.close)
        self.callers, self.operators = f"{self.ip}:8201", f"{self.ip}:8202"
        settings = {
            "id": "e1",
            "domain": "north",
            "caller": self.callers,
            "operators": self.operators,
            "mesh": f"{self.ip}:8203",
            "platform": address,
            "mesh_key": MESH_KEY,
            "operator_tokens": {"ann": OPERATOR_TOKEN},
        }
        path = write_json(self.folder / "settings.json", settings)
        await self.start("curranthall", "entry", "--settings", path)
        operator = OperatorClient(self.operators, OPERATOR_TOKEN)
        await operator.post("/v1/import", TABLE)
        operator.close()

    async def ordinary(self, job_id: str) -> int:
        """Ask the entry for its state."""
        return (await call(self.operators, "GET", "/healthz")).status

    async def test_bodies_at_the_port_of_callers(self) -> None:
        await self.check_crowd(whole_bodies(ENTRY_CLIENTS, ENTRY_BODY_BYTES), self.callers)

    async def test_bodies_at_the_port_of_operators(self) -> None:
        await self.check_crowd(whole_bodies(ENTRY_CLIENTS, ENTRY_BODY_BYTES), self.operators)


if __name__ == "__main__":
    unittest.main()
