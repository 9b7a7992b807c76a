"""The platform adapter, against fakes of the platform's HTTP APIs on loopback."""

import asyncio
import json
import os
import tempfile
import time
import unittest
from collections.abc import Awaitable
from typing import Any
from unittest.mock import patch

from curranthall import events
from curranthall.catalogue import Catalogue, Evacuation, MaintenanceWave
from curranthall.cells.advice import Advice
from curranthall.cells.dispatcher import RUNS_PER_EPOCH
from curranthall.cells.owner import CELL_PART, CELL_TABLE
from curranthall.cells.ports import (
    AskAdvice,
    EndKind,
    PaceTask,
    Snapshot,
    StartResult,
    StartTask,
    StopTask,
)
from curranthall.cells.runtime import CellRuntime
from curranthall.cells.tracking import Bounds
from curranthall.daemon import Daemon, Deployment, RowFormat, boot_clock
from curranthall.dag import Queue, TaskId
from curranthall.errors import (
    AnswerLost,
    BadInput,
    Fenced,
    HistoryLost,
    OtherBoot,
    PlatformDown,
    SettingsInvalid,
)
from curranthall.http import MAX_RESPONSE_BYTES, HttpClient, HttpServer, Request, Response
from curranthall.model import Host, HostState, Size
from curranthall.platform.advisor import PlatformAdvisor
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
from curranthall.store import Check, Committed, Listing, Put, Row, Stale
from curranthall.telemetry import Sample
from tests.cell_fixtures import step
from tests.cluster import no_advice
from tests.odd_input import DEPTHS, list_odd_configs, list_odd_rows, nest, place
from tests.platform_fakes import LOOPBACK, FakeStore, FakeWorker

WORKER_ROW = {
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


def make_row(key: str, value: object, table: str = "servers") -> Row:
    """Build a row as read from the store."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return Row(table, "", key, data, 3)


class Decoding(unittest.TestCase):
    def test_a_worker_row_is_decoded(self) -> None:
        host = decode_host(make_row("i-1", WORKER_ROW))
        assert host is not None
        self.assertEqual((host.name, host.domain, host.rack), ("i-1", "north", "r1-3"))
        self.assertEqual(host.size, Size(16, 32768, 0))
        self.assertIs(host.state, HostState.LIVE)

    def test_a_draining_worker_tells_how_long_it_serves_at_least(self) -> None:
        row = {**WORKER_ROW, "phase": "draining", "remaining-ms": 3012}
        host = decode_host(make_row("i-1", row))
        assert host is not None
        self.assertIs(host.state, HostState.LEAVING)
        self.assertEqual(host.remaining_ms, 3012)

    def test_invalid_worker_rows_are_skipped(self) -> None:
        invalid: list[object] = [
            b"\xff\x00",
            b"",
            [],
            "text",
            {**WORKER_ROW, "phase": "asleep"},
            {**WORKER_ROW, "capacity": {"cpu": "16"}},
            {**WORKER_ROW, "capacity": {"cpu": True, "mem-mb": 1, "gpus": 0}},
            {**WORKER_ROW, "labels": []},
            {**WORKER_ROW, "labels": [1, 2]},
            {**WORKER_ROW, "address": "nowhere"},
            {**WORKER_ROW, "zone": None},
            {**WORKER_ROW, "remaining-ms": "3012"},
            {key: value for key, value in WORKER_ROW.items() if key != "backend"},
        ]
        for value in invalid:
            with self.subTest(value=value):
                self.assertIsNone(decode_host(make_row("i-1", value)))

    def test_an_odd_row_names_no_worker_and_raises_nothing(self) -> None:
        for name, data in list_odd_rows(WORKER_ROW).items():
            with self.subTest(name):
                self.assertIsNone(decode_host(make_row("i-1", data)))

    def test_a_row_whose_key_fits_in_no_header_names_no_worker(self) -> None:
        for key in ("", "i 1", "i\r\n1", "í-1"):
            with self.subTest(key=key):
                self.assertIsNone(decode_host(make_row(key, WORKER_ROW)))

    def test_a_worker_that_has_shrunk_to_no_cores_stays_listed(self) -> None:
        capacity = {"cpu": 0, "mem-mb": 0, "gpus": 0}
        found = decode_host(make_row("i-1", {**WORKER_ROW, "capacity": capacity}))
        assert found is not None
        self.assertGreater(found.size.cores, 0, "shares of its cores are computed")

    def test_a_configuration_is_decoded(self) -> None:
        catalogue = decode_operation(make_row("config", CONFIG, "op"))
        assert isinstance(catalogue, Catalogue)
        route = catalogue.find("desk.example", "/cuts/0123456789abcdef")
        assert route is not None
        self.assertEqual(route.queue, Queue("r-1", "desk", 0, 2, 1.5, 250))
        self.assertIsNone(catalogue.find("desk.example", "/other/"))
        self.assertIsNone(catalogue.find("other.example", "/cuts/1"))

    def test_an_odd_configuration_names_none_and_raises_nothing(self) -> None:
        for name, data in list_odd_configs(CONFIG).items():
            with self.subTest(name):
                self.assertIsNone(decode_operation(make_row("config", data, "op")))

    def test_the_longest_prefix_wins(self) -> None:
        longer = {**CONFIG["routes"][0], "name": "r-2", "path-prefix": "/cuts/fine/"}  # type: ignore
        config = {**CONFIG, "routes": [*CONFIG["routes"], longer]}  # type: ignore
        catalogue = decode_operation(make_row("config", config, "op"))
        assert isinstance(catalogue, Catalogue)
        route = catalogue.find("desk.example", "/cuts/fine/0123456789abcdef")
        assert route is not None
        self.assertEqual(route.queue.name, "r-2")

    def test_evacuations_and_maintenance_waves_are_decoded(self) -> None:
        self.assertEqual(
            decode_operation(make_row("evacuate/north", {}, "op")), Evacuation("north")
        )
        wave = {"wave": 1, "machines": ["m-1"], "duration-s": 20, "max-count": 1}
        found = decode_operation(make_row("wave/1", wave, "op"))
        self.assertEqual(found, MaintenanceWave(1, ("m-1",), 20.0, 1))
        self.assertIsNone(decode_operation(make_row("config", b"{", "op")))

    def test_a_job_is_decoded(self) -> None:
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

    def test_invalid_jobs_raise_bad_input(self) -> None:
        invalid = [
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
            b'{"steps":[{"cpu":1e308}]}',
            b'{"steps":[{"cpu":1000,"estimated-ms":1e308}]}',
            b'{"repeat-count":1e12,"steps":[{}]}',
            place({"steps": [{}]}, "spec", nest(DEPTHS[0])),
        ]
        for body in invalid:
            with self.subTest(body=body[:30]), self.assertRaises(BadInput):
                decode_job("0" * 16, Queue("r-1", "desk"), body, 5.0)

    def test_a_job_with_more_steps_than_a_row_holds_is_refused_undecoded(self) -> None:
        """Decoding 87,000 steps of one legal body took the event loop for seconds."""
        with patch("curranthall.platform.decode._decode_step") as decode_step:
            with self.assertRaises(BadInput):
                body = b'{"steps":[' + b",".join([b"{}"] * 87_000) + b"]}"
                decode_job("0" * 16, Queue("r-1", "desk"), body, 5.0)
            decode_step.assert_not_called()
        largest = decode_job(
            "0" * 16, Queue("r-1", "desk"), json.dumps({"steps": [{}] * 2_340}).encode(), 5.0
        )
        self.assertGreater(len(largest.encode()), 65_000)

    def test_settings_are_decoded(self) -> None:
        found = decode_deployment(SETTINGS)
        self.assertEqual(found.mesh, "127.0.0.1:7720")
        self.assertEqual(found.domains, ("north", "south"))
        self.assertEqual(found.cpu_cores, 1.0)
        self.assertEqual(found.bounds.max_hold_s, 6.0)
        self.assertFalse(any(found.options))

    def test_memory_and_descriptors_are_optional(self) -> None:
        # Processes without them must not hold more than the smallest machines have.
        found = decode_deployment(SETTINGS)
        self.assertEqual((found.memory_mb, found.max_fds), (200, 1_024))
        limits = {"cpu-share": 0.5, "memory-mb": 160, "max-fds": 4_100}
        found = decode_deployment({**SETTINGS, "limits": limits})
        self.assertEqual((found.memory_mb, found.max_fds), (160, 4_100))
        for name, value in (("memory-mb", 0), ("max-fds", "many"), ("max-fds", None)):
            with self.subTest(name=name, value=value), self.assertRaises((ValueError, TypeError)):
                decode_deployment({**SETTINGS, "limits": {**limits, name: value}})

    def test_unreadable_settings_raise_settings_invalid(self) -> None:
        previous = os.environ.get(FILE_VARIABLE)
        with tempfile.NamedTemporaryFile() as file:
            os.environ[FILE_VARIABLE] = file.name
            for data in (b"", b"{", b"{}", b"[]"):
                with self.subTest(data=data), self.assertRaises(SettingsInvalid):
                    with open(file.name, "wb") as out:
                        out.write(data)
                    load_deployment()
        if previous is None:
            del os.environ[FILE_VARIABLE]
        else:
            os.environ[FILE_VARIABLE] = previous


class StoreCalls(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fake = FakeStore(time.monotonic)
        self.store = PlatformStore(await self.fake.start())

    async def asyncTearDown(self) -> None:
        self.store.close()
        await self.fake.stop()

    async def test_a_failed_precondition_returns_the_current_row(self) -> None:
        put = Put("t", "k", b"\x00v")
        first = await self.store.commit("p", [Check("t", "k", 0)], [put], [])
        assert isinstance(first, Committed)
        second = await self.store.commit("p", [Check("t", "k", 0)], [put], [])
        assert isinstance(second, Stale)
        self.assertEqual(second.rows, [Row("t", "p", "k", b"\x00v", first.version)])

    async def test_a_scan_reads_all_pages(self) -> None:
        for number in range(5):
            await self.store.commit("p", [], [Put("t", f"k{number}", b"v")], [])
        listing = await self.store.scan("t", "p", "k1")
        self.assertEqual([each.key for each in listing.rows], ["k1", "k2", "k3", "k4"])

    async def test_the_feed_returns_changes_and_reports_lost_history(self) -> None:
        waiting = asyncio.ensure_future(self.store.feed("t", 0, 1_000))
        await asyncio.sleep(0.05)
        await self.store.commit("p", [], [Put("t", "k", b"v")], [])
        page = await waiting
        self.assertEqual([each.key for each in page.rows], ["k"])
        self.fake.rows.drop_history()
        with self.assertRaises(HistoryLost):
            await self.store.feed("t", 0, 100)

    async def test_a_refused_commit_has_no_effect(self) -> None:
        self.fake.refuse_next = 1
        with self.assertRaises(PlatformDown):
            await self.store.commit("p", [], [Put("t", "k", b"v")], [])
        self.assertTrue(self.store.failing)
        self.assertEqual((await self.store.scan("t", "p")).rows, [])
        self.assertFalse(self.store.failing)

    async def test_a_lost_answer_is_not_reported_as_a_refusal(self) -> None:
        self.fake.lose_next = 1
        with self.assertRaises(AnswerLost):
            await self.store.commit("p", [], [Put("t", "k", b"v")], [])
        self.assertEqual(len((await self.store.scan("t", "p")).rows), 1)


class RawServer:
    """Answers every request with the same status and body."""

    def __init__(self) -> None:
        self.status = 200
        self.body = b""
        self._server = HttpServer(self._answer)

    async def start(self) -> str:
        """Listen; return the address."""
        return f"{LOOPBACK}:{await self._server.start(LOOPBACK, 0)}"

    async def stop(self) -> None:
        """Close the server."""
        await self._server.drain(0)

    async def _answer(self, req: Request) -> Response:
        return Response(self.status, self.body)


class OddStoreAnswers(unittest.IsolatedAsyncioTestCase):
    """Answers of the store that cannot be read; their effect is unknown."""

    async def asyncSetUp(self) -> None:
        self.server = RawServer()
        self.store = PlatformStore(await self.server.start())

    async def asyncTearDown(self) -> None:
        self.store.close()
        await self.server.stop()

    async def test_an_answer_that_cannot_be_read_counts_as_lost(self) -> None:
        """An answer without a version raised KeyError, which ended the watch of a table."""
        row = {"table": "t", "part": "", "key": "k", "value": "dg==", "schema-version": 1}
        page = {"rows": [row], "has-more": False, "schema-version": 1, "now-ms": 1}
        odd: list[object] = [b"", b"{", [], {}, nest(DEPTHS[1])]
        odd += [{**page, "schema-version": value} for value in (None, "1", [1], -1, 10**30)]
        odd += [{**page, "now-ms": value} for value in ("1", [1])]
        for value in odd:
            self.server.body = value if isinstance(value, bytes) else json.dumps(value).encode()
            calls = {
                "commit": self.store.commit("", [], [], []),
                "scan": self.store.scan("t", ""),
                "feed": self.store.feed("t", 0, 0),
            }
            for name, call in calls.items():
                with self.subTest(name, value=str(value)[:40]), self.assertRaises(AnswerLost):
                    await call

    async def test_rows_that_cannot_be_read_count_as_a_lost_answer(self) -> None:
        row = {"table": "t", "part": "", "key": "k", "value": "dg==", "schema-version": 1}
        odd: list[object] = [{}, "rows", [[]], ["k"], [{**row, "key": 1}], [{**row, "key": None}]]
        odd += [[{**row, "schema-version": value}] for value in ("1", None, -1)]
        for rows in odd:
            page = {"rows": rows, "has-more": False, "schema-version": 1, "now-ms": 1}
            for status in (200, 412):
                self.server.status, self.server.body = status, json.dumps(page).encode()
                call = self.store.scan("t", "") if status == 200 else self._commit()
                with self.subTest(rows=rows, status=status), self.assertRaises(AnswerLost):
                    await call

    def _commit(self) -> Awaitable[object]:
        return self.store.commit("", [Check("t", "k", 1)], [], [])

    async def test_a_page_that_comes_again_does_not_hold_up_a_scan_for_ever(self) -> None:
        row = {"table": "t", "part": "", "key": "k", "value": "dg==", "schema-version": 1}
        page = {"rows": [row], "has-more": True, "schema-version": 1, "now-ms": 1}
        self.server.body = json.dumps(page).encode()
        with self.assertRaises(AnswerLost):
            async with asyncio.timeout(2):
                await self.store.scan("t", "")

    async def test_a_value_that_is_not_base64_is_empty(self) -> None:
        odd: list[object] = ["é", "a", 5, [], {}]
        for value in odd:
            row = {"table": "t", "key": "k", "value": value, "schema-version": 1}
            page = {"rows": [row], "schema-version": 1, "now-ms": 1}
            self.server.body = json.dumps(page).encode()
            with self.subTest(value=value):
                self.assertEqual((await self.store.scan("t", "")).rows[0].value, b"")


class OddWorkerAnswers(unittest.IsolatedAsyncioTestCase):
    """A worker's answers that cannot be read, wholly or in part."""

    async def asyncSetUp(self) -> None:
        self.server = RawServer()
        address = await self.server.start()
        host = Host("i-1", "north", "r1", address, Size(2, 1_000), 8, 0, HostState.LIVE)
        self.worker = PlatformWorker(host)

    async def asyncTearDown(self) -> None:
        self.worker.close()
        await self.server.stop()

    async def hold(self, value: object) -> Snapshot:
        """Hold; the worker answers with the value."""
        self.server.body = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self.worker.hold(3, 0, None, 0)

    async def test_an_answer_of_another_type_counts_as_lost(self) -> None:
        """A list raised AttributeError, which ended the cell."""
        good = {"clock-ms": 5, "born": 7, "running": [], "finished": []}
        odd: list[object] = [
            [],
            None,
            "text",
            5,
            {},
            b"",
            b"\xff",
            nest(DEPTHS[0]),
            nest(DEPTHS[1]),
        ]
        times: list[object] = [None, "5", True, [], -1, 1e308, 10**30]
        odd += [{**good, field: value} for field in ("clock-ms", "born") for value in times]
        lists: list[object] = [{}, "x", 5, False]
        odd += [{**good, field: value} for field in ("running", "finished") for value in lists]
        odd += [place(good, "clock-ms", nest(DEPTHS[0]))]
        for value in odd:
            with self.subTest(str(value)[:60]), self.assertRaises(AnswerLost):
                await self.hold(value)

    async def test_an_answer_without_end_counts_as_lost(self) -> None:
        """What listens at an odd entry's address could fill the memory of the process."""
        self.server.body = b"[" * (MAX_RESPONSE_BYTES + 1)
        with self.assertRaises(AnswerLost):
            await self.worker._send(self.worker._holds, "/v1/hold", {}, 5.0)

    async def test_the_clock_of_an_answer_is_whole(self) -> None:
        self.assertIs(type((await self.hold({"clock-ms": 5.5, "born": 7})).clock_ms), int)

    async def test_an_odd_run_hides_no_other_and_proves_none_absent(self) -> None:
        """One run that could not be read made the worker silent for good."""
        task = f"{'0' * 16}.0.0.0"
        good = [f"{'0' * 16}.0.0.1", 1, "", 10, 0]
        odd: list[Any] = [[], {}, 5, [task], [5, 1, "", 10, 0]]
        runs: list[object] = ["1", True, None, -1, 10**30, []]
        odd += [[task, run, "", 10, 0] for run in runs]
        odd += [json.loads(nest(500))]
        for row in odd:
            with self.subTest(str(row)[:60]):
                answer = await self.hold({"clock-ms": 5, "born": 7, "running": [row, good]})
                self.assertEqual([each.task.number for each in answer.running], [1])
                self.assertFalse(answer.complete)

    async def test_the_runs_of_a_store_with_many_transactions_are_read(self) -> None:
        run = 4_000_000_000 * RUNS_PER_EPOCH + 5
        row = [f"{'0' * 16}.0.0.0", run, "", 10, 0]
        answer = await self.hold({"clock-ms": 5, "born": 7, "running": [row]})
        self.assertEqual(answer.running[0].run, run)

    async def test_figures_of_a_run_that_cannot_be_read_count_as_none(self) -> None:
        task = f"{'0' * 16}.0.0.0"
        for row in ([task, 1, None, "41", "3"], [task, 1, 5, True, []], [task, 1, {}, -1, 1e300]):
            with self.subTest(row=row):
                answer = await self.hold({"clock-ms": 5, "born": 7, "running": [row]})
                self.assertEqual(answer.running[0][1:], (1, "", 0.0, 0.0))
                self.assertTrue(answer.complete)

    async def test_ends_from_the_first_odd_one_on_are_left_unacknowledged(self) -> None:
        """The one after it would acknowledge it unread, and its task would run again."""
        ends = [[number, f"{'0' * 16}.0.0.{number}", 1, "done", ""] for number in (1, 2, 3)]
        odd: list[Any] = [[], {}, 5, [2], ["2", *ends[1][1:]], [2, ends[1][1], "1", "done", ""]]
        kinds: list[object] = ["gone", None, [], 5]
        odd += [[2, ends[1][1], 1, kind, ""] for kind in kinds]
        for row in odd:
            with self.subTest(str(row)[:60]):
                rows = [ends[0], row, ends[2]]
                answer = await self.hold({"clock-ms": 5, "born": 7, "finished": rows})
                self.assertEqual([each.number for each in answer.ended], [1])
                self.assertFalse(answer.complete)

    async def test_runs_under_names_that_this_system_gives_none_are_left_out(self) -> None:
        names = ["", "x", "a.b.c.d", "zz.0.0.0", f"{'0' * 16}.0.0.-1", f"{'0' * 16}.0.0.²"]
        names += [f"{'0' * 16}.0.0.{'9' * digits}" for digits in (30, 5_000)]
        good = f"{'0' * 16}.0.0.1"
        running = [[name, 1, "", 10, 0] for name in (*names, good)]
        ends = [[at + 1, name, 1, "done", ""] for at, name in enumerate((*names, good))]
        lists = {"running": running, "finished": ends}
        answer = await self.hold({"clock-ms": 5, "born": 7, **lists})
        self.assertEqual([str(each.task) for each in answer.running], [good])
        self.assertEqual([str(each.task) for each in answer.ended], [good])
        self.assertTrue(answer.complete)

    async def test_odd_answers_to_orders_raise_nothing_else(self) -> None:
        order = StartTask("i-1", TaskId("0" * 16, 0, 0, 0), 1, "spec", "", 1_000)
        self.server.status = 409
        for body in (b"", b"[]", b"{", b'{"reason":[]}', b"null", nest(DEPTHS[1])):
            self.server.body = body
            with self.subTest(body=body[:20]):
                self.assertIs((await self.worker.start(3, order)).result, StartResult.MALFORMED)


class OddAdvice(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = RawServer()
        self.advisor = PlatformAdvisor(await self.server.start())

    async def asyncTearDown(self) -> None:
        self.advisor.close()
        await self.server.stop()

    async def test_advice_that_cannot_be_read_counts_as_lost(self) -> None:
        """A ticket that is no text was sent; one that never expires as NaN was asked for again."""
        good = {"approved": [["i-1", "t1"]], "validity-ms": 500}
        order = AskAdvice("0" * 16, 0, 0, ("i-1",))
        odd: list[object] = [[], None, 5, {}, b"", nest(DEPTHS[0]), nest(DEPTHS[1])]
        validities: list[object] = [None, "500", "NaN", True, -1, 1e308, [500]]
        odd += [{**good, "validity-ms": value} for value in validities]
        approvals: list[object] = [5, "i-1", {"i-1": "t1"}, ["i-1"], [["i-1"]], [["i-1", 5]]]
        approvals += [[["i-1", ["t1"]]], [[5, "t1"]], [None], [["i-1", "t1", 5]]]
        odd += [{**good, "approved": value} for value in approvals]
        for value in odd:
            self.server.body = value if isinstance(value, bytes) else json.dumps(value).encode()
            with self.subTest(str(value)[:60]), self.assertRaises(AnswerLost):
                await self.advisor.ask(order)
        self.server.body = json.dumps(good).encode()
        self.assertEqual(await self.advisor.ask(order), Advice({"i-1": "t1"}, 0.5))


class WorkerCalls(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        host = Host("i-1", "north", "r1", "", Size(2, 1_000), 8, 0, HostState.LIVE)
        work = Work(step(1), 0.05)
        runner = Runner(host, time.monotonic, lambda task: work, lambda *event: None)
        self.fake = FakeWorker(runner)
        address = await self.fake.start()
        self.host = host._replace(address=address)
        self.worker = PlatformWorker(self.host)

    async def asyncTearDown(self) -> None:
        self.worker.close()
        await self.fake.stop()

    def make_order(self, run: int = 1, deadline_in_ms: int = 1_500) -> StartTask:
        """Build a start order."""
        task = TaskId("0" * 16, 0, 0, 0)
        return StartTask("i-1", task, run, "spec", "", self.fake.runner.clock_ms + deadline_in_ms)

    async def test_a_run_starts_and_its_end_is_listed_until_acknowledged(self) -> None:
        order = self.make_order()
        clock_ms = self.fake.runner.clock_ms
        answer = await self.worker.start(3, order)
        self.assertIs(answer.result, StartResult.STARTED)
        assert answer.clock_ms is not None
        self.assertGreaterEqual(answer.clock_ms, clock_ms)
        await asyncio.sleep(0.1)
        snapshot = await self.worker.hold(3, 0, None, 0)
        self.assertEqual([end.kind for end in snapshot.ended], [EndKind.DONE])
        self.assertEqual(snapshot.born, self.fake.runner.born)
        snapshot = await self.worker.hold(3, 1, None, 0)
        self.assertEqual(snapshot.ended, [])

    async def test_refusal_reasons_are_distinguished(self) -> None:
        self.assertIs(
            (await self.worker.start(3, self.make_order(deadline_in_ms=-100))).result,
            StartResult.TOO_LATE,
        )
        await self.worker.stop(3, StopTask("i-1", self.make_order().task, 5))
        answer = await self.worker.start(3, self.make_order(5))
        self.assertIs(answer.result, StartResult.OLD_RUN)
        with self.assertRaises(Fenced):
            await self.worker.start(2, self.make_order(9))
        with self.assertRaises(Fenced):
            await self.worker.hold(2, 0, None, 0)
        with self.assertRaises(Fenced):
            await self.worker.pace(2, PaceTask("i-1", self.make_order().task, 1, 50))

    async def test_another_boot_at_the_address_is_reported(self) -> None:
        self.fake.instance = "i-2"
        with self.assertRaises(OtherBoot):
            await self.worker.hold(3, 0, None, 0)

    async def test_a_lost_answer_raises_answer_lost(self) -> None:
        self.fake.lose_next = 1
        with self.assertRaises(AnswerLost):
            await self.worker.start(3, self.make_order())

    async def test_an_address_that_cannot_be_is_not_reachable(self) -> None:
        """It raised out of the loop that takes cells."""
        for address in ("", "x", "a..b:1", "127.0.0.1:99999", "\0:5", f"{'a' * 64}.b:1", "::1:²"):
            with self.subTest(address=address[:20]):
                self.assertFalse(await is_reachable(self.host._replace(address=address)))

    async def test_is_reachable(self) -> None:
        self.assertTrue(await is_reachable(self.host))
        await self.fake.stop()
        self.assertFalse(await is_reachable(self.host))


class EndToEnd(unittest.IsolatedAsyncioTestCase):
    """One entry with a store and a worker, from a caller's request to a completed job."""

    async def asyncSetUp(self) -> None:
        self.fake = FakeStore(time.monotonic)
        address = await self.fake.start()
        host = Host("i-1", "north", "r1", "", Size(16, 32_768), 8, 0, HostState.LIVE)
        work = Work(step(1), 0.1)
        self.events: list[tuple[object, ...]] = []
        runner = Runner(
            host, time.monotonic, lambda task: work, lambda *event: self.events.append(event)
        )
        self.worker = FakeWorker(runner)
        self.fake.write_as_worker("i-1", {**WORKER_ROW, "address": await self.worker.start()})
        self.fake.write_as_worker("i-bad", b"\x00")
        self.store = PlatformStore(address)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, LOOPBACK, 0)
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
        """Send a caller's request; its only Host header is the client's, the loopback address."""
        return await self.caller.call(method, path, body, 3.0)

    async def configure(self) -> None:
        """Apply a configuration that routes requests to the loopback host; wait until ready."""
        host = f"{LOOPBACK}"
        route = {**CONFIG["routes"][0], "hostname": host}  # type: ignore
        self.fake.write_as_operator("config", {**CONFIG, "routes": [route]})
        for _ in range(100):
            if (await self.prober.call("GET", "/v1/readiness")).status == 200:
                return
            await asyncio.sleep(0.05)
        self.fail("never ready")

    async def wait_for_phase(self, path: str, phase: str) -> None:
        """Wait until the job at a path is shown in a phase."""
        for _ in range(100):
            answer = await self.call("GET", path)
            if answer.status == 200 and answer.json()["phase"] == phase:
                return
            await asyncio.sleep(0.05)
        self.fail(f"{path} never {phase}: {answer}")

    def samples(self) -> dict[str, list[Sample]]:
        """Return the daemon's samples by name."""
        found: dict[str, list[Sample]] = {}
        for sample in self.daemon.collect_samples():
            found.setdefault(sample.name, []).append(sample)
        return found

    async def test_the_metrics_show_what_a_count_of_waiting_jobs_comes_from(self) -> None:
        await self.configure()
        runtime = await self.wait_for_cell()
        for _ in range(100):
            if runtime.loaded:
                break
            await asyncio.sleep(0.05)
        for is_loaded in (False, True):
            runtime.loaded = is_loaded
            (loaded,) = self.samples()["cell_loaded"]
            self.assertEqual(loaded[1:], ({"cell": "north"}, float(is_loaded)))
        self.assertNotIn("owner_row_age_seconds", self.samples())
        del self.daemon.succession.held["north"]
        watch = self.daemon.succession.watch
        seen = watch.observations["north"]
        assert seen.owner is not None
        renewed = seen.owner._replace(waiting={"cuts": 3}).encode()
        row = Row(CELL_TABLE, CELL_PART, "north", renewed, seen.version + 1)
        watch.observe(Listing([row], row.version, 0), boot_clock())
        watch.observations["north"].since -= 30
        samples = self.samples()
        self.assertNotIn("cell_loaded", samples)
        (shown,), (age,) = samples["shown_waiting_jobs"], samples["owner_row_age_seconds"]
        self.assertEqual(shown[1:], ({"cell": "north", "queue": "cuts"}, 3))
        self.assertEqual(age.labels, {"cell": "north"})
        self.assertTrue(30 <= age.value < 40)
        self.daemon.succession.held["north"] = runtime

    async def test_requests_before_any_configuration_get_a_retryable_error(self) -> None:
        answer = await self.call("GET", "/cuts/" + "0" * 16)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", {name.lower() for name, _ in answer.headers})

    async def test_jobs_are_submitted_shown_and_cancelled(self) -> None:
        await self.configure()
        job, path = b'{"spec":"s","steps":[{"count":2,"cpu":500}]}', "/cuts/" + "a" * 16
        self.assertEqual((await self.call("POST", path, job)).status, 200)
        self.assertEqual((await self.call("POST", path, job)).status, 200)
        await self.wait_for_phase(path, "completed")
        starts = [each for each in self.events if each[0] == "start"]
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
        await self.wait_for_phase(path, "running")
        self.assertEqual((await self.call("DELETE", path)).status, 200)
        await self.wait_for_phase(path, "cancelled")

    async def wait_for_workers(self, *names: str) -> None:
        """Wait until exactly these workers are listed."""
        for _ in range(100):
            if set(self.daemon._hosts or ()) == set(names):
                return
            await asyncio.sleep(0.05)
        self.fail(f"listed: {self.daemon._hosts}")

    async def wait_for_cell(self) -> CellRuntime:
        """Wait until the cell is held."""
        for _ in range(100):
            if "north" in self.daemon.succession.held:
                return self.daemon.succession.held["north"]
            await asyncio.sleep(0.05)
        self.fail("never held")

    async def test_lost_links_and_renewals_are_timed_by_one_clock(self) -> None:
        """Of two clocks one may stand still while the machine is suspended."""
        await self.configure()
        await self.wait_for_cell()
        assert self.daemon._mesh is not None
        self.assertIs(self.daemon._mesh._clock, self.daemon.intake._clock)
        self.assertEqual(self.daemon.lost_at("e2:1"), -float("inf"))

    async def test_odd_entries_end_neither_the_cell_nor_the_watch_of_the_list(self) -> None:
        """A port out of range ended the watch; a host with an empty label ended the cell."""
        await self.configure()
        await self.wait_for_workers("i-1")
        runtime = await self.wait_for_cell()
        good = {**WORKER_ROW, "address": f"{LOOPBACK}:1"}
        self.fake.page_rows = 500
        self.fake.write_as_worker("i-2", good)
        for number, (_, data) in enumerate(list_odd_rows(good).items()):
            self.fake.write_as_worker(f"i-odd-{number}", data)
        await self.wait_for_workers("i-1", "i-2")
        self.fake.write_as_worker("i-2", {**good, "address": f"{LOOPBACK}:99999"})
        await self.wait_for_workers("i-1")
        self.fake.write_as_worker("i-2", good)
        await self.wait_for_workers("i-1", "i-2")
        job, path = b'{"spec":"s","steps":[{"count":2,"cpu":500}]}', "/cuts/" + "f" * 16
        self.assertEqual((await self.call("POST", path, job)).status, 200)
        await self.wait_for_phase(path, "completed")
        self.assertIs(self.daemon.succession.held.get("north"), runtime)

    async def test_the_former_configuration_stays_in_force_while_the_newest_is_odd(self) -> None:
        """A queue whose name is a list ended the watch of the operator's rows."""
        await self.configure()
        for data in list_odd_configs(CONFIG).values():
            self.fake.write_as_operator("config", data)
            await asyncio.sleep(0.01)
        self.fake.write_as_operator("evacuate/north", {})
        for _ in range(100):
            if self.daemon.operations.evacuated:
                break
            await asyncio.sleep(0.05)
        self.assertEqual(self.daemon.operations.evacuated, {"north"})
        catalogue = self.daemon.operations.catalogue
        assert catalogue is not None
        self.assertEqual(catalogue.version, CONFIG["version"])

    async def test_a_failure_while_taking_cells_does_not_end_the_taking(self) -> None:
        """The loop was a task that nobody awaited: no cell was taken, and no line said so."""
        failures = events.counts["LOOP_FAILED"]
        with patch.object(self.daemon.succession, "_poll", side_effect=OverflowError("port")):
            async with asyncio.timeout(10.0):
                while events.counts["LOOP_FAILED"] == failures:
                    await asyncio.sleep(0.05)
        await self.wait_for_cell()

    async def test_an_odd_mesh_key_is_replaced(self) -> None:
        """An empty one was neither used nor replaced: the entry read it again without a pause."""
        await self.daemon.stop()
        self.fake.rows.apply("", [], [Put("entries", "mesh-key", b"")], [])
        await self.daemon.start()
        await self.wait_for_cell()
        self.assertLess(self.fake.calls.count("POST /v1/rows-tx"), 20)

    async def test_a_mesh_port_that_is_taken_at_the_start_is_bound_once_it_is_free(self) -> None:
        await self.daemon.stop()
        host, _, port = self.daemon.deployment.mesh.rpartition(":")
        loop = asyncio.get_running_loop()
        other = await loop.create_server(asyncio.Protocol, host, int(port))
        await self.daemon.start()
        await asyncio.sleep(0.3)
        other.close()
        await self.wait_for_cell()

    async def test_only_with_a_bound_an_old_configuration_is_stale(self) -> None:
        """A deployment that does not enforce revocation serves keyed calls in any outage."""
        await self.configure()
        bounded = self.daemon.deployment._replace(revoke_s=5.0)
        with patch.object(self.daemon, "deployment", bounded):
            self.assertFalse(self.daemon.config_is_stale)
        self.daemon._operation_watch.read_at -= 5
        self.assertFalse(self.daemon.config_is_stale)
        with patch.object(self.daemon, "deployment", bounded):
            self.assertTrue(self.daemon.config_is_stale)

    async def test_a_job_refused_by_the_store_is_never_stored(self) -> None:
        await self.configure()
        self.fake.refuse_next = 1_000
        path = "/cuts/" + "e" * 16
        job = b'{"spec":"s","steps":[{"cpu":500}]}'
        self.assertEqual((await self.call("POST", path, job)).status, 503)
        self.fake.refuse_next = 0
        await asyncio.sleep(0.5)
        self.assertEqual((await self.call("GET", path)).status, 410)


if __name__ == "__main__":
    unittest.main()
