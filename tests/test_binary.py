"""Tests that the single-file binary starts and serves without a checkout or compiled modules."""

import asyncio
import subprocess
import sys
import unittest
from pathlib import Path

from curranthall.http import HttpClient

ROOT = Path(__file__).parent.parent
BINARY = ROOT / "dist" / "curranthall"


class Binary(unittest.IsolatedAsyncioTestCase):
    async def test_starts_and_serves(self) -> None:
        build = [sys.executable, str(ROOT / "tools" / "binary.py")]
        subprocess.run(build, check=True, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-I",
            str(BINARY),
            "demo",
            "--seconds",
            "0",
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            await self.check_endpoints(process)
        finally:
            process.kill()
            await process.wait()

    async def check_endpoints(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async with asyncio.timeout(60):
            line = (await process.stdout.readline()).decode()
            while "running until" not in (await process.stdout.readline()).decode():
                pass
        caller, operators = [word for word in line.split() if word.startswith("http://")]
        client = HttpClient(caller.removeprefix("http://"), 1)
        customer = ("Curranthall-Customer", "luzon-engravers")
        path = "/v1/services/proof/requests"
        response = await client.call("POST", path, b"x", 5.0, (customer,))
        self.assertEqual(response.status, 200)
        client.close()
        client = HttpClient(operators.removeprefix("http://"), 1)
        self.assertIn(b"curranthall_", (await client.call("GET", "/metrics")).body)
        self.assertIn(b"<title>", (await client.call("GET", "/")).body)
        client.close()
