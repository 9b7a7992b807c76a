"""The adapter against fakes that speak the users' pages, on loopback."""

import asyncio
import json
import os
import tempfile
import time
import unittest

from curranthall.catalogue import Catalogue, Evacuation, MaintenanceWave
from curranthall.cells.ports import EndKind, PaceTask, StartResult, StartTask, StopTask
from curranthall.cells.tracking import Bounds, Queue
from curranthall.daemon import Daemon, Deployment, RowFormat
from curranthall.dag import TaskId
from curranthall.errors import (
    AnswerLost,
    BadInput,
    Fenced,
    HistoryLost,
    OtherBoot,
    PlatformDown,
    SettingsInvalid,
)
from curranthall.http import HttpClient, HttpServer, Response
from curranthall.model import Host, HostState, Size
from curranthall.platform.decode import (
    HOST_TABLE,
    OPERATION_TABLE,
    decode_host,
    decode_job,
    decode_operation,
)
from curranthall.platform.front import Frontend
from curranthall.platform.settings import FILE_VARIABLE, decode_deployment, load_deployment
from curranthall.platform.store import PlatformStore
from curranthall.platform.worker import PlatformWorker, is_reachable
from curranthall.standin.runner import Runner, Work
from curranthall.store import Check, Committed, Put, Row, Stale
from tests.cell_fixtures import step
from tests.cluster import no_advice
from tests.platform_fakes import LOOPBACK, FakeStore, FakeWorker

ENTRY = {
    "backend": "desk",
    "address": "10.0.0.9:80",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "phase": "ready",
    "cold-remaining-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "clock-ms": 1,
    "sequence": 4,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "hostname": "Desk.example",
            "path-prefix": "/cuts/",
            "type": "non_idempotent",
            "timeout-ms": 3000,
            "slo-ms": 250,
            "backend": "desk",
            "max-attempts": 2,
            "stretch-factor": 1.5,
        }
    ],
    "services": [{"name": "desk", "admission-check": True, "standby": False}],
    "limits": {},
}
SETTINGS = {
    "node-name": "e1",
    "ip": "127.0.0.1",
    "zone": "north",
    "zones": {"north": "land", "south": "land"},
    "listen-addrs": {"frontend": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
    "internal-ports": [7720, 7735],
    "limits": {"cpu-share": 0.5, "cores": 2},
    "bounds": {
        "grace-s": 6,
        "max-hold-ms": 6000,
        "gang-timeout-ms": 3000,
        "early_ms": 250,
        "status_s": 120,
    },
    "platform": {"address": "127.0.0.1:3"},
}


def row(key: str, value: object, table: str = "servers") -> Row:
    """Build a row as read."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return Row(table, "", key, data, 3)


class Decoding(unittest.TestCase):
    def test_a_workers_entry(self) -> None:
        host = decode_host(row("i-1", ENTRY))
        assert host is not None
        self.assertEqual((host.name, host.domain, host.rack), ("i-1", "north", "r1-3"))
        self.assertEqual(host.size, Size(16, 32768, 0))
        self.assertIs(host.state, HostState.LIVE)

    def test_entries_of_another_writer_name_no_worker(self) -> None:
        broken: list[object] = [
            b"\xff\x00",
            b"",
            [],
            "text",
            {**ENTRY, "phase": "asleep"},
            {**ENTRY, "capacity": {"cpu": "16"}},
            {**ENTRY, "capacity": {"cpu": True, "mem-mb": 1, "gpus": 0}},
            {**ENTRY, "labels": []},
            {**ENTRY, "labels": [1, 2]},
            {**ENTRY, "address": "nowhere"},
            {**ENTRY, "zone": None},
            {key: value for key, value in ENTRY.items() if key != "backend"},
        ]
        for value in broken:
            with self.subTest(value=value):
                self.assertIsNone(decode_host(row("i-1", value)))

    def test_a_configuration(self) -> None:
        catalogue = decode_operation(row("config", CONFIG, "op"))
        assert isinstance(catalogue, Catalogue)
        route = catalogue.find("desk.example", "/cuts/0123456789abcdef")
        assert route is not None
        self.assertEqual(route.queue, Queue("r-1", "desk", 0, 2, 1.5, 250))
        self.assertIsNone(catalogue.find("desk.example", "/other/"))
        self.assertIsNone(catalogue.find("other.example", "/cuts/1"))

    def test_the_longest_prefix_wins(self) -> None:
        longer = {**CONFIG["routes"][0], "name": "r-2", "path-prefix": "/cuts/fine/"}  # type: ignore
        config = {**CONFIG, "routes": [*CONFIG["routes"], longer]}  # type: ignore
        catalogue = decode_operation(row("config", config, "op"))
        assert isinstance(catalogue, Catalogue)
        route = catalogue.find("desk.example", "/cuts/fine/0123456789abcdef")
        assert route is not None
        self.assertEqual(route.queue.name, "r-2")

    def test_a_domain_taken_out_and_a_wave(self) -> None:
        self.assertEqual(decode_operation(row("evacuate/north", {}, "op")), Evacuation("north"))
        wave = {"wave": 1, "machines": ["m-1"], "duration-s": 20, "max-count": 1}
        found = decode_operation(row("wave/1", wave, "op"))
        self.assertEqual(found, MaintenanceWave(1, ("m-1",), 20.0, 1))
        self.assertIsNone(decode_operation(row("config", b"{", "op")))

    def test_a_job(self) -> None:
        queue = Queue("r-1", "desk")
        body = {
            "spec": "s",
            "steps": [
                {"count": 4, "cpu": 500, "mem-mb": 256, "estimated-ms": 900, "affinity": "r1"},
                {"cpu": 2000, "after": [0], "checkpointing": True, "fills": True, "image": "x"},
            ],
        }
        job = decode_job("0" * 16, queue, json.dumps(body).encode(), 5.0)
        self.assertEqual([each.width for each in job.steps], [4, 1])
        self.assertEqual(job.steps[0].size, Size(0.5, 256, 0))
        self.assertEqual(job.steps[1].after, (0,))
        self.assertTrue(job.steps[1].filling)

    def test_broken_jobs_are_refused_with_a_type(self) -> None:
        broken = [
            b"",
            b"[]",
            b"{}",
            b'{"steps":[]}',
            b'{"steps":[{"cpu":-1}]}',
            b'{"steps":[{"cpu":"1"}]}',
            b'{"steps":[{"after":[0]}]}',
            b'{"steps":[{"count":1e9}]}',
            b'{"spec":5,"steps":[{}]}',
            json.dumps({"spec": "x" * 4001, "steps": [{}]}).encode(),
        ]
        for body in broken:
            with self.subTest(body=body[:30]), self.assertRaises(BadInput):
                decode_job("0" * 16, Queue("r-1", "desk"), body, 5.0)

    def test_settings(self) -> None:
        found = decode_deployment(SETTINGS)
        self.assertEqual(found.mesh, "127.0.0.1:7720")
        self.assertEqual(found.domains, ("north", "south"))
        self.assertEqual(found.cpu_cores, 1.0)
        self.assertEqual(found.bounds.max_hold_s, 6.0)

    def test_unreadable_settings_say_why(self) -> None:
        former = os.environ.get(FILE_VARIABLE)
        with tempfile.NamedTemporaryFile() as file:
            os.environ[FILE_VARIABLE] = file.name
            for data in (b"", b"{", b"{}", b"[]"):
                with self.subTest(data=data), self.assertRaises(SettingsInvalid):
                    with open(file.name, "wb") as out:
                        out.write(data)
                    load_deployment()
        if former is None:
            del os.environ[FILE_VARIABLE]
        else:
            os.environ[FILE_VARIABLE] = former


class Storing(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fake = FakeStore(time.monotonic)
        self.store = PlatformStore(await self.fake.start())

    async def asyncTearDown(self) -> None:
        self.store.close()
        await self.fake.stop()

    async def test_a_transaction_and_its_conflict(self) -> None:
        put = Put("t", "k", b"\x00v")
        first = await self.store.commit("p", [Check("t", "k", 0)], [put], [])
        assert isinstance(first, Committed)
        second = await self.store.commit("p", [Check("t", "k", 0)], [put], [])
        assert isinstance(second, Stale)
        self.assertEqual(second.rows, [Row("t", "p", "k", b"\x00v", first.version)])

    async def test_a_range_comes_page_by_page(self) -> None:
        for number in range(5):
            await self.store.commit("p", [], [Put("t", f"k{number}", b"v")], [])
        listing = await self.store.scan("t", "p", "k1")
        self.assertEqual([each.key for each in listing.rows], ["k1", "k2", "k3", "k4"])

    async def test_the_feed_gives_changes_and_tells_of_lost_history(self) -> None:
        waiting = asyncio.ensure_future(self.store.feed("t", 0, 1_000))
        await asyncio.sleep(0.05)
        await self.store.commit("p", [], [Put("t", "k", b"v")], [])
        page = await waiting
        self.assertEqual([each.key for each in page.rows], ["k"])
        self.fake.rows.forget()
        with self.assertRaises(HistoryLost):
            await self.store.feed("t", 0, 100)

    async def test_a_refusal_had_no_effect(self) -> None:
        self.fake.refuse = 1
        with self.assertRaises(PlatformDown):
            await self.store.commit("p", [], [Put("t", "k", b"v")], [])
        self.assertTrue(self.store.failing)
        self.assertEqual((await self.store.scan("t", "p")).rows, [])
        self.assertFalse(self.store.failing)

    async def test_a_lost_answer_is_not_taken_for_a_refusal(self) -> None:
        self.fake.lose = 1
        with self.assertRaises(AnswerLost):
            await self.store.commit("p", [], [Put("t", "k", b"v")], [])
        self.assertEqual(len((await self.store.scan("t", "p")).rows), 1)


class Working(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        host = Host("i-1", "north", "r1", "", Size(2, 1_000), 8, 0, HostState.LIVE)
        work = Work(step(1), 0.05)
        runner = Runner(host, time.monotonic, lambda task: work, lambda *seen: None)
        self.fake = FakeWorker(runner)
        address = await self.fake.start()
        self.host = host._replace(address=address)
        self.worker = PlatformWorker(self.host)

    async def asyncTearDown(self) -> None:
        self.worker.close()
        await self.fake.stop()

    def order(self, run: int = 1, late: int = 1_500) -> StartTask:
        """Build a start."""
        task = TaskId("0" * 16, 0, 0, 0)
        return StartTask("i-1", task, run, "spec", "", self.fake.runner.clock_ms + late)

    async def test_a_run_starts_and_its_end_is_listed_until_acknowledged(self) -> None:
        order = self.order()
        self.assertIs(await self.worker.start(3, order), StartResult.STARTED)
        await asyncio.sleep(0.1)
        snapshot = await self.worker.hold(3, 0, None, 0)
        self.assertEqual([end.kind for end in snapshot.ended], [EndKind.DONE])
        self.assertEqual(snapshot.born, self.fake.runner.born)
        snapshot = await self.worker.hold(3, 1, None, 0)
        self.assertEqual(snapshot.ended, [])

    async def test_refusals_are_told_apart(self) -> None:
        self.assertIs(await self.worker.start(3, self.order(late=-100)), StartResult.TOO_LATE)
        await self.worker.stop(3, StopTask("i-1", self.order().task, 5))
        self.assertIs(await self.worker.start(3, self.order(5)), StartResult.OLD_RUN)
        with self.assertRaises(Fenced):
            await self.worker.start(2, self.order(9))
        with self.assertRaises(Fenced):
            await self.worker.hold(2, 0, None, 0)
        with self.assertRaises(Fenced):
            await self.worker.pace(2, PaceTask("i-1", self.order().task, 1, 50))

    async def test_another_boot_at_the_address(self) -> None:
        self.fake.instance = "i-2"
        with self.assertRaises(OtherBoot):
            await self.worker.hold(3, 0, None, 0)

    async def test_a_lost_answer_is_unknown(self) -> None:
        self.fake.lose = 1
        with self.assertRaises(AnswerLost):
            await self.worker.start(3, self.order())

    async def test_reach(self) -> None:
        self.assertTrue(await is_reachable(self.host))
        await self.fake.stop()
        self.assertFalse(await is_reachable(self.host))


class WholePath(unittest.IsolatedAsyncioTestCase):
    """One entry, a store and a worker, from a caller's request to a completed job."""

    async def asyncSetUp(self) -> None:
        self.fake = FakeStore(time.monotonic)
        address = await self.fake.start()
        host = Host("i-1", "north", "r1", "", Size(16, 32_768), 8, 0, HostState.LIVE)
        work = Work(step(1), 0.1)
        self.seen: list[tuple[object, ...]] = []
        runner = Runner(host, time.monotonic, lambda task: work, lambda *s: self.seen.append(s))
        self.worker = FakeWorker(runner)
        self.fake.write_as_worker("i-1", {**ENTRY, "address": await self.worker.start()})
        self.fake.write_as_worker("i-bad", b"\x00")
        self.store = PlatformStore(address)
        free = asyncio.get_running_loop()
        server = await free.create_server(asyncio.Protocol, LOOPBACK, 0)
        mesh = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        server.close()
        deployment = Deployment(
            "e1", "north", ("north",), "", "", mesh, address, 1.0, "", 6.0, Bounds()
        )
        row_format = RowFormat(HOST_TABLE, OPERATION_TABLE, decode_host, decode_operation)
        self.daemon = Daemon(
            deployment, self.store, row_format, PlatformWorker, is_reachable, no_advice
        )
        frontend = Frontend(self.daemon)
        self.server = HttpServer(frontend.handle)
        self.probe = HttpServer(frontend.handle_probe)
        port = await self.server.start(LOOPBACK, 0)
        self.caller = HttpClient(f"{LOOPBACK}:{port}", 4)
        probe_port = await self.probe.start(LOOPBACK, 0)
        self.prober = HttpClient(f"{LOOPBACK}:{probe_port}", 1)
        await self.daemon.start()

    async def asyncTearDown(self) -> None:
        await self.daemon.stop()
        await self.server.drain(0)
        await self.probe.drain(0)
        self.caller.close()
        self.prober.close()
        self.store.close()
        await self.worker.stop()
        await self.fake.stop()

    async def call(self, method: str, path: str, body: bytes = b"") -> Response:
        """Call as a consumer; the route's host comes second, as one header only is read."""
        return await self.caller.call(method, path, body, 3.0)

    async def configured(self) -> None:
        """Put a configuration in force, with the caller's host as the route's."""
        host = f"{LOOPBACK}"
        route = {**CONFIG["routes"][0], "hostname": host}  # type: ignore
        self.fake.write_as_operator("config", {**CONFIG, "routes": [route]})
        for _ in range(100):
            if (await self.prober.call("GET", "/v1/readiness")).status == 200:
                return
            await asyncio.sleep(0.05)
        self.fail("never ready")

    async def shown(self, path: str, phase: str) -> None:
        """Wait until a phase is shown."""
        for _ in range(100):
            answer = await self.call("GET", path)
            if answer.status == 200 and answer.json()["phase"] == phase:
                return
            await asyncio.sleep(0.05)
        self.fail(f"{path} never {phase}: {answer}")

    async def test_before_any_configuration_nothing_is_refused_for_good(self) -> None:
        answer = await self.call("GET", "/cuts/" + "0" * 16)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", {name.lower() for name, _ in answer.headers})

    async def test_a_job_from_its_post_to_completed_cancelled_and_unknown(self) -> None:
        await self.configured()
        job, path = b'{"spec":"s","steps":[{"count":2,"cpu":500}]}', "/cuts/" + "a" * 16
        self.assertEqual((await self.call("POST", path, job)).status, 200)
        self.assertEqual((await self.call("POST", path, job)).status, 200)
        await self.shown(path, "completed")
        starts = [each for each in self.seen if each[0] == "start"]
        self.assertEqual(len(starts), 2)
        self.assertEqual((await self.call("GET", "/cuts/" + "b" * 16)).status, 410)
        self.assertEqual((await self.call("DELETE", "/cuts/" + "b" * 16)).status, 410)
        self.assertEqual((await self.call("GET", "/cuts/")).json(), {"pending": 0})
        self.assertEqual((await self.call("GET", "/none/" + "a" * 16)).status, 404)
        self.assertEqual((await self.call("POST", "/cuts/xyz", job)).status, 404)
        self.assertEqual((await self.call("POST", "/cuts/" + "c" * 16, b"{")).status, 400)
        lasting = b'{"spec":"s","steps":[{"cpu":500,"long-running":true}]}'
        path = "/cuts/" + "d" * 16
        self.assertEqual((await self.call("POST", path, lasting)).status, 200)
        await self.shown(path, "running")
        self.assertEqual((await self.call("DELETE", path)).status, 200)
        await self.shown(path, "cancelled")

    async def test_a_store_that_turns_away_is_a_true_refusal(self) -> None:
        await self.configured()
        self.fake.refuse = 1_000
        path = "/cuts/" + "e" * 16
        job = b'{"spec":"s","steps":[{"cpu":500}]}'
        self.assertEqual((await self.call("POST", path, job)).status, 503)
        self.fake.refuse = 0
        await asyncio.sleep(0.5)
        self.assertEqual((await self.call("GET", path)).status, 410)


if __name__ == "__main__":
    unittest.main()
