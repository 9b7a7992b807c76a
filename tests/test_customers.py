"""Customers: decoding, keys at the front, and removed keys in front of real processes."""

import asyncio
import json
import signal
import tempfile
import unittest
from pathlib import Path
from time import monotonic
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock, patch

from cbor2 import dumps, loads

from curranthall.catalogue import Catalogue, Operations
from curranthall.cells.records import create_job
from curranthall.customers import Customer
from curranthall.daemon import Daemon
from curranthall.dag import Job, Phase, Progress
from curranthall.dag.model import decode_job
from curranthall.errors import MalformedHttp, PlatformDown
from curranthall.events import counts
from curranthall.http import HttpServer, Request, Response
from curranthall.intake import Intake, Verdict
from curranthall.intake.intake import Answer, JobStatus
from curranthall.model import Size
from curranthall.platform.decode import decode_operation
from curranthall.platform.front import Frontend
from curranthall.platform.settings import decode_deployment
from curranthall.standin.store import MemoryStore
from curranthall.store import Listing, Row, Stale
from curranthall.watch import TableWatch
from tests.cell_fixtures import job as make_job
from tests.platform_fakes import LOOPBACK
from tests.proxy import Mode
from tests.soak import PREFIX, REVOKE_S, Soak
from tests.test_platform import CONFIG, SETTINGS, make_row

ROUTE = CONFIG["routes"][0]  # type: ignore[index]
PUBLIC = {**ROUTE, "name": "r-2", "path-prefix": "/open/", "public": True}
ACME: dict[str, Any] = {
    "name": "acme",
    "api-keys": ["acme-key-1", "acme-key-2"],
    "weight": 3,
    "max-count": {"cpu": 8_000, "mem-mb": 4_096, "gpus": 0},
    "priority": 5,
}
BIRCH: dict[str, Any] = {"name": "birch", "api-keys": ["birch-kéy"], "weight": 1.5}
JOB = "0123456789abcdef"
# Bound on the application of a new configuration.
APPLY_S = 3.0
# Cold start of a process on a loaded machine.
START_S = 30.0


def decode(version: int = 7, tenants: object = (ACME, BIRCH)) -> Catalogue | None:
    """Decode a configuration with two routes, one of them public."""
    config = {**CONFIG, "version": version, "routes": [ROUTE, PUBLIC], "tenants": tenants}
    found = decode_operation(make_row("config", config, "op"))
    assert found is None or isinstance(found, Catalogue)
    return found


class Decoding(unittest.TestCase):
    def test_customers_are_found_by_name_and_key(self) -> None:
        catalogue = decode()
        assert catalogue is not None
        acme = Customer("acme", 3, Size(8, 4_096, 0))
        birch = Customer("birch", 1.5, Size(0, 0, 0))
        customers = catalogue.customers
        self.assertEqual((list(customers), customers.key_count), ([acme, birch], 3))
        self.assertEqual(customers.find("acme"), acme)
        self.assertEqual(customers.find_by_key(b"acme-key-2"), acme)
        self.assertEqual(customers.find_by_key("birch-kéy".encode()), birch)
        for key in (b"", b"acme-key", b"acme-key-22", b"ACME-KEY-1", b"acme"):
            self.assertIsNone(customers.find_by_key(key))
        self.assertEqual([route.public for route in catalogue.routes], [False, True])

    def test_keys_are_not_kept(self) -> None:
        """A dump of the state or of a configuration must not reveal keys."""
        catalogue = decode()
        assert catalogue is not None
        self.assertNotIn("-key", repr((catalogue, vars(catalogue.customers))))

    def test_an_invalid_configuration_is_skipped_and_no_log_line_has_its_keys(self) -> None:
        odd: list[object] = [None, {}, "x", [5], [["secret"]], [{"api-keys": ["secret"]}]]
        fields: list[tuple[str, object]] = [("name", ""), ("name", 5), ("api-keys", "secret")]
        fields += [("api-keys", [["secret"]]), ("api-keys", {"secret": 1}), ("weight", "secret")]
        fields += [("weight", -1), ("max-count", []), ("max-count", {"cpu": "secret"})]
        odd += [[{**ACME, "api-keys": ["secret"], field: value}] for field, value in fields]
        for tenants in odd:
            with self.subTest(tenants=tenants), patch("curranthall.platform.decode.log") as log:
                self.assertIsNone(decode(tenants=tenants))
                log.assert_called_once()
                self.assertNotIn("secret", str(log.call_args))

    def test_only_true_makes_a_route_public(self) -> None:
        odd: list[object] = ["false", 1, None, []]
        for value in odd:
            row = make_row("config", {**CONFIG, "routes": [{**PUBLIC, "public": value}]}, "op")
            with self.subTest(value=value):
                self.assertIsNone(decode_operation(row))

    def test_of_two_customers_with_a_key_or_name_the_first_counts(self) -> None:
        """A mistake in one customer's entry must not stop all further configurations."""
        other = {**BIRCH, "api-keys": ["acme-key-1", ""]}
        catalogue = decode(tenants=[ACME, other, {**ACME, "weight": 9, "api-keys": ["k3"]}])
        assert catalogue is not None
        customers = catalogue.customers
        for key in (b"acme-key-1", b"k3"):
            self.assertEqual(customers.find_by_key(key), customers.find("acme"))
        self.assertEqual(customers.ambiguous, {"acme", "birch"})
        self.assertIsNone(customers.find_by_key(b""))

    def test_a_customer_is_known_after_its_removal(self) -> None:
        operations = Operations()
        for version, tenants in ((1, [ACME]), (2, [BIRCH]), (1, [ACME])):
            catalogue = decode(version, tenants)
            assert catalogue is not None
            operations.apply(catalogue)
        assert operations.catalogue is not None
        self.assertIsNone(operations.catalogue.customers.find_by_key(b"acme-key-1"))
        self.assertEqual(operations.customer_of("acme"), Customer("acme", 3, Size(8, 4_096, 0)))
        self.assertIsNone(operations.customer_of("other"))

    def test_a_row_of_earlier_code_has_no_customer(self) -> None:
        job = make_job(JOB)._replace(customer="acme")
        self.assertEqual(decode_job(job.encode()), job)
        value = loads(job.encode())
        del value["customer"]
        self.assertEqual(decode_job(dumps(value)).customer, "")

    def test_a_removed_key_is_bounded_only_if_that_is_enforced(self) -> None:
        for enforced, expected in ((True, 4.0), (False, None)):
            bounds = {**SETTINGS["bounds"], "enforce-revocation": enforced, "revoke-ms": 4_000}  # type: ignore[dict-item]
            found = decode_deployment({**SETTINGS, "bounds": bounds})
            self.assertEqual(found.revoke_s, expected)
        self.assertIsNone(decode_deployment(SETTINGS).revoke_s)


class StubIntake:
    """Records the jobs submitted; all calls succeed unless set otherwise."""

    def __init__(self) -> None:
        self.jobs: list[Job] = []
        self.stored: Phase | None = None
        self.is_down = False

    async def accept(self, job: Job, wait_s: float) -> Answer:
        self.jobs.append(job)
        return Answer(Verdict.ACCEPTED)

    async def phase(self, job_id: str) -> JobStatus:
        return JobStatus(self.stored)

    async def refuse(self, job_id: str) -> bool:
        if self.is_down:
            raise PlatformDown()
        return self.stored is None

    async def cancel(self, job_id: str, wait_s: float) -> bool:
        return True

    async def count_pending(self, queue: str) -> int:
        return 0


class Front(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.intake = StubIntake()
        self.operations = Operations()
        self.daemon = SimpleNamespace(
            operations=self.operations, intake=self.intake, config_is_stale=False
        )
        self.front = Frontend(cast(Daemon, self.daemon))
        self.apply(7, [ACME, BIRCH])

    def apply(self, version: int, tenants: object) -> None:
        """Apply a configuration."""
        catalogue = decode(version, tenants)
        assert catalogue is not None
        self.operations.apply(catalogue)

    async def call(
        self, key: str | None, path: str = f"/cuts/{JOB}", method: str = "POST", cpu: int = 500
    ) -> Response:
        """Call with a key as its UTF-8 bytes arrive in a header."""
        headers = {"host": "desk.example"}
        if key is not None:
            headers["api-key"] = key.encode().decode("latin-1")
        body = json.dumps({"spec": "s", "steps": [{}, {"cpu": cpu}]}).encode()
        return await self.front.handle(Request(method, path, "", headers, body))

    async def test_each_call_to_a_route_that_is_not_public_requires_a_listed_key(self) -> None:
        calls = [("POST", f"/cuts/{JOB}"), ("GET", f"/cuts/{JOB}")]
        calls += [("DELETE", f"/cuts/{JOB}"), ("GET", "/cuts/")]
        self.intake.stored = Phase.QUEUED
        for method, path in calls:
            for key in (None, "", "acme", "acme-key-3", "Bearer acme-key-1"):
                with self.subTest(method, path=path, key=key):
                    self.assertEqual((await self.call(key, path, method)).status, 401)
            with self.subTest(method, path=path):
                self.assertEqual((await self.call("acme-key-1", path, method)).status, 200)
        self.assertEqual([job.customer for job in self.intake.jobs], ["acme"])
        await self.call("birch-kéy")
        self.assertEqual(self.intake.jobs[-1].customer, "birch")

    async def test_a_refusal_has_no_key_in_its_answer_log_line_or_metric(self) -> None:
        denied = counts["ACCESS_DENIED"]
        with (
            patch("curranthall.platform.front.log") as log,
            patch("curranthall.platform.front.calls_denied") as metric,
        ):
            answer = await self.call("wrong-secret", "/cuts/wrong-secret")
        self.assertEqual(answer.status, 401)
        self.assertNotIn("secret", f"{answer} {log.call_args} {metric.mock_calls}")
        await self.call("wrong-secret")
        self.assertEqual(counts["ACCESS_DENIED"], denied + 1)

    async def test_an_unknown_route_is_answered_before_the_key_is_checked(self) -> None:
        for key in (None, "wrong", "acme-key-1"):
            self.assertEqual((await self.call(key, f"/none/{JOB}")).status, 404)

    async def test_an_entry_without_a_configuration_answers_503(self) -> None:
        self.operations.catalogue = None
        self.assertEqual((await self.call("acme-key-1")).status, 503)

    async def test_on_a_public_route_a_known_key_still_identifies_the_customer(self) -> None:
        for key in (None, "wrong", "acme-key-2"):
            self.assertEqual((await self.call(key, f"/open/{JOB}")).status, 200)
        self.assertEqual([job.customer for job in self.intake.jobs], ["", "", "acme"])

    async def test_keys_follow_the_newest_configuration_only(self) -> None:
        """A late read of an older configuration must not bring a removed key back."""
        self.apply(9, [{**ACME, "api-keys": ["acme-key-2", "acme-key-3"]}])
        self.apply(8, [ACME])
        answers = [(await self.call(f"acme-key-{number}")).status for number in (1, 2, 3)]
        self.assertEqual(answers, [401, 200, 200])
        self.apply(10, [])
        self.assertEqual((await self.call(None)).status, 200)
        self.assertEqual(self.intake.jobs[-1].customer, "")

    async def test_a_stale_configuration_accepts_no_key(self) -> None:
        """An entry that is cut off from the store does not learn of removed keys."""
        self.daemon.config_is_stale = True
        for key in (None, "wrong", "acme-key-1"):
            answer = await self.call(key)
            self.assertEqual(answer.status, 503)
            self.assertIn("Retry-After", dict(answer.headers))
        self.assertEqual((await self.call(None, f"/open/{JOB}")).status, 200)
        self.apply(8, [])
        self.assertEqual((await self.call(None)).status, 200)

    async def test_a_job_with_a_task_over_the_whole_limit_is_refused(self) -> None:
        """It would wait for ever; a limit of 0 or none admits any size."""
        self.assertEqual((await self.call("acme-key-1", cpu=8_000)).status, 200)
        self.assertEqual((await self.call("acme-key-1", cpu=8_001)).status, 429)
        self.assertEqual((await self.call("birch-kéy", cpu=64_000)).status, 200)
        self.assertEqual((await self.call(None, f"/open/{JOB}", cpu=64_000)).status, 200)
        self.assertEqual(len(self.intake.jobs), 3)

    async def test_an_oversized_job_is_refused_only_if_it_is_surely_not_stored(self) -> None:
        """An earlier try may have been stored under a higher limit."""
        self.intake.stored = Phase.QUEUED
        self.assertEqual((await self.call("acme-key-1", cpu=9_000)).status, 200)
        self.intake.is_down = True
        self.assertEqual((await self.call("acme-key-1", cpu=9_000)).status, 504)
        self.assertEqual(self.intake.jobs, [])

    async def test_an_earlier_try_is_not_stored_after_the_refusal_of_an_oversized_job(self) -> None:
        """Its write was sent under a higher limit, and took effect after a later try got 429."""
        store, succession = MemoryStore(monotonic), Mock(held={})
        self.daemon.intake = Intake(
            succession, store, Mock(), monotonic, frozenset, lambda job: None
        )
        self.assertEqual((await self.call("acme-key-1", cpu=9_000)).status, 429)
        earlier = await create_job(store, make_job(JOB), Progress("a"))
        self.assertIsInstance(earlier, Stale)


class ReadingAge(unittest.IsolatedAsyncioTestCase):
    async def test_a_reading_counts_from_when_it_was_sent_and_once_it_is_applied(self) -> None:
        """A stopped process finds an old answer when it goes on; it must not count as new."""
        clock = [10.0]

        class SlowStore:
            async def scan(self, table: str, part: str) -> Listing:
                clock[0] += 30
                return Listing([Row("op", "", "config", b"{}", 1)], 1, 0)

            async def feed(self, table: str, after: int, wait_ms: int) -> Listing:
                raise PlatformDown()

        seen: list[float] = []
        watch = TableWatch(
            SlowStore(),  # type: ignore[arg-type]
            "op",
            lambda: seen.append(watch.read_at),
            clock=lambda: clock[0],
        )
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.05)
        task.cancel()
        self.assertEqual((seen, watch.read_at), ([-float("inf")], 10.0))


class MalformedHeads(unittest.IsolatedAsyncioTestCase):
    async def test_a_malformed_header_line_with_a_key_is_neither_logged_nor_sent_back(self) -> None:
        """The parser's message quotes the line."""

        async def handle(req: Request) -> Response:
            return Response(200)

        server = HttpServer(handle)
        port = await server.start(LOOPBACK, 0)
        for line in (b"Api-Key secret", b"Api-Key : secret", b" Api-Key: secret"):
            with self.subTest(line=line), patch("curranthall.http.log") as log:
                reader, writer = await asyncio.open_connection(LOOPBACK, port)
                writer.write(b"GET / HTTP/1.1\r\n" + line + b"\r\nHost: h\r\n\r\n")
                answer = await reader.read()
                writer.close()
                self.assertIn(b" 400 ", answer)
                self.assertIsInstance(log.call_args.kwargs["error"], MalformedHttp)
                self.assertNotIn("secret", f"{answer!r} {log.call_args}")
        await server.drain(0)


class Connection:
    """One connection to an entry that stays open between calls."""

    def __init__(self, host: str, port: int) -> None:
        self._address = host, port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, key: str) -> int:
        """Count a queue's jobs; return the status. Raise OSError or EOFError."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        head = f"GET {PREFIX} HTTP/1.1\r\nHost: {self._address[0]}\r\nApi-Key: {key}\r\n\r\n"
        writer.write(head.encode())
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        (length,) = (line[15:] for line in lines if line.startswith("content-length:"))
        await reader.readexactly(int(length))
        return int(lines[0].split()[1])

    async def wait_for(self, key: str, status: int, seconds: float) -> bool:
        """Call until a status comes; return whether it came in time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            try:
                if await self.call(key) == status:
                    return True
            except (OSError, EOFError):
                self.close()
            await asyncio.sleep(0.05)
        return False

    def close(self) -> None:
        """Close the connection; the next call opens another one."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


class RealProcesses(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="keys-")
        self.addCleanup(folder.cleanup)
        self.soak = Soak(1, 0, Path(folder.name))
        await self.soak.start(("a", "b"))
        self.connections = [Connection(entry.ip, 8161) for entry in self.soak.entries]

    async def asyncTearDown(self) -> None:
        for connection in self.connections:
            connection.close()
        await self.soak.close()

    async def test_a_removed_key_is_refused_on_open_connections_and_after_a_restart(self) -> None:
        for connection in self.connections:
            self.assertTrue(await connection.wait_for("acme-1", 200, START_S))
            self.assertEqual(await connection.call("acme-2"), 401)
        opened = [connection._streams for connection in self.connections]
        self.soak.replace_keys("acme", ["acme-2"])
        for connection in self.connections:
            self.assertTrue(await connection.wait_for("acme-1", 401, APPLY_S))
            self.assertEqual(await connection.call("acme-2"), 200)
        self.assertEqual([each._streams for each in self.connections], opened)
        entry = self.soak.entries[0]
        await entry.stop(signal.SIGKILL)
        await entry.start()
        self.assertTrue(await self.connections[0].wait_for("acme-2", 200, START_S))
        for connection in self.connections:
            self.assertEqual(await connection.call("acme-1"), 401)
        logs = "".join(file.read_text() for file in self.soak.folder.glob("*.log"))
        self.assertIn("ACCESS_DENIED", logs)
        for key in ("acme-1", "acme-2"):
            self.assertNotIn(key, logs)

    async def test_an_entry_cut_off_from_the_store_accepts_no_key_after_the_bound(self) -> None:
        """It can't learn that a key was removed, and must not accept it for longer."""
        cut, other = self.connections
        for connection in self.connections:
            self.assertTrue(await connection.wait_for("acme-1", 200, START_S))
        self.soak.entries[0].store_link.set_mode(Mode.DROP_ALL)
        self.soak.replace_keys("acme", ["acme-2"])
        self.assertTrue(await other.wait_for("acme-1", 401, APPLY_S))
        self.assertTrue(await cut.wait_for("acme-1", 503, REVOKE_S))
        self.soak.entries[0].store_link.set_mode(Mode.PASS)
        self.assertTrue(await cut.wait_for("acme-1", 401, START_S))
        self.assertEqual(await cut.call("acme-2"), 200)


if __name__ == "__main__":
    unittest.main()
