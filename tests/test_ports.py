"""A cluster in one process over real ports: callers, operators, mesh and shutdown."""

import asyncio
import hashlib
import json
import unittest
from typing import Any

from curranthall.client import OperatorClient
from curranthall.demo import LOOPBACK, MESH_KEY, OPERATOR_TOKEN, Demo
from curranthall.errors import AnswerLost, CurranthallError, PeerUnreachable
from curranthall.http import MAX_HEAD_BYTES, HttpClient, Response
from curranthall.link import SocketMesh
from curranthall.load import Load

PATH = "/v1/services/proof/requests"
CUSTOMER = ("Curranthall-Customer", "luzon-engravers")


class Ports(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.demo = Demo()
        await self.demo.start()
        await self.demo.wait_until_serving()
        self.caller = f"{LOOPBACK}:{self.demo.ports[0].caller}"
        self.operators = f"{LOOPBACK}:{self.demo.ports[0].operators}"

    async def asyncTearDown(self) -> None:
        await self.demo.close()

    async def send(
        self, method: str, path: str, body: bytes = b"", *headers: tuple[str, str]
    ) -> Response:
        client = HttpClient(self.caller, 1)
        try:
            return await client.call(method, path, body, 5.0, headers)
        finally:
            client.close()

    async def test_a_request_is_answered(self) -> None:
        await self.check_request_answered()

    async def check_request_answered(self) -> None:
        response = await self.send("POST", PATH, b"abc", CUSTOMER)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, hashlib.sha256(b"abc").hexdigest().encode())
        self.assertIn(("curranthall-outcome", "answered"), response.headers)

    async def test_bad_input_gets_an_error_code(self) -> None:
        bad_deadline = ("Curranthall-Deadline-Ms", "soon")
        unknown_customer = ("Curranthall-Customer", "nobody")
        big = b"x" * 2_000_000
        bad_key = json.dumps(
            {"key": "a b", "class": "report", "tasks": 1, "deadline_s": 9}
        ).encode()
        unknown_class = json.dumps(
            {"key": "k", "class": "none", "tasks": 1, "deadline_s": 9}
        ).encode()
        cases: list[tuple[str, str, bytes, tuple[tuple[str, str], ...], int, str]] = [
            ("POST", PATH, b"", (unknown_customer,), 404, "unknown-name"),
            ("POST", "/v1/services/none/requests", b"", (CUSTOMER,), 404, "unknown-name"),
            ("POST", PATH, b"", (CUSTOMER, bad_deadline), 400, "bad-deadline"),
            ("POST", PATH, big, (CUSTOMER,), 413, "too-large"),
            ("POST", "/v1/jobs", b"{", (CUSTOMER,), 400, "bad-input"),
            ("POST", "/v1/jobs", bad_key, (CUSTOMER,), 400, "bad-input"),
            ("POST", "/v1/jobs", unknown_class, (CUSTOMER,), 404, "unknown-name"),
            ("GET", "/v1/jobs/other.job", b"", (CUSTOMER,), 404, "unknown-name"),
        ]
        for method, path, body, headers, status, code in cases:
            response = await self.send(method, path, body, *headers)
            self.assertEqual((response.status, response.json()["error"]), (status, code), path)
            self.assertIn(("curranthall-outcome", "not-run"), response.headers)

    async def send_raw(self, data: bytes, half_close: bool = False) -> bytes:
        host, _, port = self.caller.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        if half_close:
            writer.write_eof()
        async with asyncio.timeout(8):
            found = await reader.read()
        writer.close()
        return found

    async def test_invalid_http_gets_an_error_code(self) -> None:
        self.assertIn(b"malformed-http", await self.send_raw(b"NOT HTTP\r\n\r\n"))
        head = b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * MAX_HEAD_BYTES * 2
        self.assertIn(b"too-large", await self.send_raw(head))
        incomplete = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"
        slow, half_closed = await asyncio.gather(
            self.send_raw(incomplete), self.send_raw(incomplete, half_close=True)
        )
        self.assertIn(b"slow-client", slow)
        self.assertIn(b"malformed-http", half_closed)
        await self.check_request_answered()

    async def test_a_job_is_accepted_once_and_finishes(self) -> None:
        value = {"key": "twice", "class": "report", "tasks": 3, "deadline_s": 60, "seconds": 0.5}
        body = json.dumps(value).encode()
        first = await self.send("POST", "/v1/jobs", body, CUSTOMER)
        again = await self.send("POST", "/v1/jobs", body, CUSTOMER)
        other = json.dumps({**value, "tasks": 4}).encode()
        third = await self.send("POST", "/v1/jobs", other, CUSTOMER)
        self.assertEqual((first.status, again.status, third.status), (201, 200, 409))
        async with asyncio.timeout(30):
            while not (await self.job_status("luzon-engravers.twice"))["finished"]:
                await asyncio.sleep(0.1)
        counts = (await self.job_status("luzon-engravers.twice"))["counts"]
        self.assertEqual(counts["done"], 3)

    async def job_status(self, name: str) -> Any:
        return (await self.send("GET", f"/v1/jobs/{name}", b"", CUSTOMER)).json()

    async def test_operators_need_a_token_and_edit_by_version(self) -> None:
        client = HttpClient(self.operators, 1)
        for headers in ((), (("Authorization", "Bearer wrong"),)):
            response = await client.call("GET", "/v1/table", b"", 5.0, headers)
            self.assertEqual(response.status, 401)
        page = await client.call("GET", "/")
        self.assertIn(b"Curranthall", page.body)
        metrics = await client.call("GET", "/metrics")
        self.assertIn(b"curranthall_config_revision", metrics.body)
        client.close()
        operator = OperatorClient(self.operators, OPERATOR_TOKEN)
        rows = (await operator.get("/v1/table"))["rows"]["customer"]
        row = next(row for row in rows if row["name"] == "luzon-engravers")
        edit = {"base": row["version"], "set": {"weight": 4}}
        found = await operator.post("/v1/table/customer/luzon-engravers", edit)
        with self.assertRaises(CurranthallError) as caught:
            await operator.post("/v1/table/customer/luzon-engravers", edit)
        self.assertEqual(caught.exception.fields["error"], "conflict")
        force = await operator.get(f"/v1/force/{found['revision']}")
        self.assertTrue(force["in_force"], force)
        with self.assertRaises(CurranthallError) as caught:
            await operator.set_domain_state("nowhere", "out")
        self.assertEqual(caught.exception.fields["error"], "unknown-name")
        last = (await operator.get("/v1/history"))[0]
        self.assertEqual((last["who"], last["after"]["weight"]), ("demo", 4.0))
        operator.close()

    async def test_the_mesh_refuses_a_wrong_key_and_bad_bodies(self) -> None:
        address = f"{LOOPBACK}:{self.demo.ports[0].mesh}"
        wrong_key_mesh = SocketMesh("south-e2", b"another-key-0123456789")
        wrong_key_mesh.dial(address)
        await asyncio.sleep(0.3)
        self.assertEqual(wrong_key_mesh.peers(), [])
        with self.assertRaises(PeerUnreachable):
            await wrong_key_mesh.call("north-e1", "snapshot", {}, 1.0)
        await wrong_key_mesh.close()
        visitor = SocketMesh("visitor", MESH_KEY.encode())
        visitor.dial(address)
        async with asyncio.timeout(3):
            while not visitor.peers():
                await asyncio.sleep(0.02)
        bodies: tuple[Any, ...] = (None, [], {"domain": 3}, b"x")
        for body in bodies:
            with self.assertRaises(AnswerLost):
                await visitor.call("north-e1", "forward", body, 1.0)
        await visitor.close()
        await self.check_request_answered()

    async def test_shutdown_under_load_fails_no_request(self) -> None:
        callers = [f"{LOOPBACK}:{ports.caller}" for ports in self.demo.ports[1:]]
        load = Load(callers, "proof", "luzon-engravers")
        sending = asyncio.create_task(load.run(60, 6, 2_000))
        await asyncio.sleep(1.5)
        async with asyncio.timeout(30):
            await self.demo.entries[0].drain()
        await sending
        load.close()
        self.assertEqual(dict(load.outcomes), {"answered": load.sent})
