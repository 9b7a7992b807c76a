"""Trace jobs and tasks from their ids to a cause in the log, by commands of docs/OPERATIONS.md."""

import asyncio
import json
import re
import subprocess
import tempfile
import unittest
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any
from unittest.mock import patch

import tools.explain
from curranthall import events
from curranthall.cells.owner import VACANT_S
from curranthall.dag import Job, Phase, Step
from curranthall.intake import Verdict
from curranthall.logwriter import LogWriter
from curranthall.model import Size
from tests.cluster import SERVICE, Cluster, now
from tests.virtual import run
from tools import lasting

PAGE = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
Line = dict[str, Any]


def find_page_command(prefix: str) -> str:
    """Return the first command of the page that starts with the given text."""
    commands = re.findall(r"`(grep [^`]+)`", PAGE.read_text())
    return next(command for command in commands if command.startswith(prefix))


def make_job(number: int, *steps: Step) -> Job:
    """Build a job."""
    return Job(f"{number:016x}", "q", SERVICE, "spec", steps, int(now() * 1000))


class LogTracing(unittest.TestCase):
    def setUp(self) -> None:
        self.logs = tempfile.NamedTemporaryFile(suffix=".log")
        self.addCleanup(self.logs.close)

    def run_scenario(self, scenario: Callable[[Cluster], Coroutine[Any, Any, None]]) -> None:
        """Run a scenario in virtual time, logging to the file."""

        async def main() -> None:
            cluster = Cluster(1)
            writer = LogWriter(self.logs.fileno(), now)
            with patch.object(events, "_writer", writer):
                cluster.start()
                await asyncio.sleep(3)
                await scenario(cluster)
                cluster.close()

        run(main())

    def grep_logs(self, prefix: str, **names: str) -> list[Line]:
        """Run a command of the page with its placeholders replaced; return the lines printed."""
        command = find_page_command(prefix).replace("LOGS", self.logs.name)
        for name, value in names.items():
            command = re.sub(rf"\b{name}\b", value, command)
        found = subprocess.run(["bash", "-c", command], capture_output=True, text=True, timeout=10)
        return [json.loads(line) for line in found.stdout.splitlines()]

    def test_the_cause_of_a_refused_job(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            cluster.store_down = True
            self.assertIs(
                await cluster.submit("a-e0", job := make_job(1, make_step())), Verdict.REFUSED
            )
            self.job = job.id

        self.run_scenario(scenario)
        (line,) = self.grep_logs("grep '\"JOB_REFUSED\"'", ID=self.job)
        self.assertIn("platform-down", line["why"])

    def test_a_job_delayed_by_lack_of_capacity(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            cluster.evacuated = frozenset(("b", "c"))
            first = make_job(1, Step(16, Size(4, 1_000), 1_000))
            late = make_job(2, Step(1, Size(4, 1_000), 1_000))
            cluster.work[first.id] = 5.0
            await cluster.submit("a-e0", first)
            await asyncio.sleep(0.3)
            await cluster.submit("a-e0", late)
            await cluster.until(lambda: is_completed(cluster, late), 40)
            self.job = late.id

        self.run_scenario(scenario)
        lines = self.grep_logs("grep ID LOGS", ID=self.job)
        (stored,) = [line for line in lines if line["name"] == "JOB_STORED"]
        placed = [line for line in lines if line["name"] == "RUN_PLACED"]
        self.assertGreater(placed[0]["waited_ms"], 1_000)
        states = [line for line in self.grep_logs("grep ID LOGS", ID="CELL_STATE")]
        waiting_states = [
            line
            for line in states
            if stored["t"] <= line["t"] <= placed[0]["t"] and line["cell"] == stored["cell"]
        ]
        self.assertTrue(any(line["waiting_tasks"] > 0 for line in waiting_states))

    def test_the_rooms_that_decided_the_cell_of_a_job(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            cluster.evacuated = frozenset("c")
            job = make_job(1, Step(2, Size(4, 1_000), 1_000))
            await cluster.submit("a-e0", job)
            self.job = job.id

        self.run_scenario(scenario)
        lines = {line["name"]: line for line in self.grep_logs("grep ID LOGS", ID=self.job)}
        chosen = lines["CELL_CHOSEN"]
        self.assertEqual((chosen["cell"], chosen["cores"]), (lines["JOB_STORED"]["cell"], 8))
        self.assertEqual(set(chosen["rooms"]), {"a", "b"})
        self.assertGreaterEqual(chosen["rooms"][chosen["cell"]], 8)
        self.assertEqual(chosen["doubted"], [])

    def test_a_job_whose_worker_was_lost(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            job = make_job(1, Step(1, Size(1, 1_000), 4_000))
            cluster.work[job.id] = 4.0
            await cluster.submit("a-e0", job)
            await asyncio.sleep(1)
            (self.worker,) = [n for n, r in cluster.runners.items() if r.running]
            cluster.crash_worker(self.worker)
            await cluster.until(lambda: is_completed(cluster, job), 40)
            self.job = job.id

        self.run_scenario(scenario)
        placed = [line for line in self.grep_logs("grep ID LOGS", ID=self.job) if "worker" in line]
        self.assertEqual(placed[0]["worker"], self.worker)
        names = {line["name"] for line in self.grep_logs("grep WORKER LOGS", WORKER=self.worker)}
        self.assertIn("WORKER_SILENT", names)
        self.assertTrue(names & {"WORKER_GONE", "WORKER_LAPSED"})

    def test_a_restarted_task_names_its_previous_run(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            job = make_job(1, Step(1, Size(1, 1_000), 4_000))
            cluster.work[job.id] = 4.0
            await cluster.submit("a-e0", job)
            await asyncio.sleep(1)
            (self.worker,) = [n for n, r in cluster.runners.items() if r.running]
            cluster.crash_worker(self.worker)
            await cluster.until(lambda: is_completed(cluster, job), 40)
            self.task = f"{job.id}.0.0.0"

        self.run_scenario(scenario)
        lines = self.grep_logs("grep -E 'RUN_(PLACED", TASK=self.task)
        first, second = [line for line in lines if line["name"] == "RUN_PLACED"]
        self.assertEqual(second["after"][1:], [first["run"], self.worker])
        (vanished,) = [line for line in lines if line["name"] == "RUN_VANISHED"]
        self.assertEqual((vanished["why"], vanished["run"]), (second["after"][0], first["run"]))
        duplicates = self.run_explain("twice")
        self.assertEqual(duplicates, ["0 RUN_DUPLICATE"])

    def run_explain(self, table: str) -> list[str]:
        """Return a table of tools.explain; the page must name the command."""
        self.assertIn(f"`python -m tools.explain {table} LOG...`", PAGE.read_text())
        with open(self.logs.name, encoding="utf-8") as log:
            found = list(tools.explain.parse_events(log))
        return list(getattr(tools.explain, table)(found))

    def test_lasting_tasks_that_move_after_their_worker_was_lost(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            cluster.evacuated = frozenset("bc")
            job = make_job(1, Step(3, Size(1, 1_000), 1_000, lasting=True))
            await cluster.submit("a-e0", job)
            await asyncio.sleep(1)
            self.worker = next(n for n, r in cluster.runners.items() if r.running)
            self.lost = len(cluster.runners[self.worker].running)
            self.lost_at = now()
            cluster.crash_worker(self.worker)
            cluster.evacuated = frozenset("abc")
            await asyncio.sleep(8)
            cluster.evacuated = frozenset("a")
            await asyncio.sleep(4)
            self.job = job.id

        self.run_scenario(scenario)
        runs = self.grep_logs("grep -E '\"RUN_(PLACED|ENDED", ID=self.job)
        moved_to = {line["cell"] for line in runs} - {"a"}
        self.assertTrue(moved_to)
        starts = [line for line in runs if line["name"] == "RUN_PLACED" and line["cell"] != "a"]
        self.assertEqual([line["gap_ms"] for line in starts], [None] * self.lost)
        lost = self.grep_logs(
            "grep WORKER LOGS | grep -E 'WORKER_(SILENT|LAPSED", WORKER=self.worker
        )
        self.assertEqual(lost[0]["name"], "WORKER_SILENT")
        states = self.grep_logs("grep '\"CELL_STATE\"' LOGS | grep ID", ID=self.job)
        self.assertEqual(states[-1]["cell"], "a")
        waits = [row[2:4] + row[5:] for row in states[-1]["lasting_waits"]]
        self.assertEqual(waits, [[self.lost, 1, "closed"]])
        way = self.grep_logs("grep -E 'JOB_(ADOPTED|MOVED|NOT_MOVED", ID=self.job)
        moves = [line for line in way if line["name"] == "JOB_MOVED"]
        self.assertEqual({line["to"] for line in moves}, moved_to)
        for line in moves:
            self.assertEqual((line["why"], line["lasting"]), ("closed", True))
            self.assertGreaterEqual(line["slots"], line["left"])
            self.assertTrue(0 <= line["row_age_ms"] < VACANT_S * 1000, line)
        self.assertIn("`python -m tools.explain lasting LOG...`", PAGE.read_text())
        with open(self.logs.name, encoding="utf-8") as log:
            rows = list(lasting.report(list(tools.explain.parse_events(log)), self.lost_at))
        found = [row for row in rows if row.startswith(f"  {self.job}.0.0.")]
        self.assertEqual(len(found), self.lost, rows)
        for row in found:
            self.assertRegex(
                row, f"0.0 .lapsed on {self.worker}. to .* .placed in [bc].: lease:.* closed:"
            )
        self.assertFalse([row for row in rows if "no cell" in row])

    def test_jobs_that_fit_no_worker_are_counted_by_size(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            small, large = make_job(1, make_step()), make_job(2, Step(1, Size(90, 1_000), 1_000))
            for job in (small, large):
                await cluster.submit("a-e0", job)
            await cluster.until(lambda: is_completed(cluster, small), 40)
            await asyncio.sleep(5)

        self.run_scenario(scenario)
        rows = [row.split() for row in self.run_explain("sizes")]
        columns = ["stored", "begun", "in_time", "late", "expired", "failed", "cancelled", "open"]
        self.assertEqual(rows[0][2:10], columns)
        (row,) = [row for row in rows if row[:2] == ["q", "all"]]
        self.assertEqual(row[2:10], ["2", "1", "1", "0", "0", "0", "0", "1"])
        self.assertTrue(row[10].startswith("full:"), row)

    def test_a_job_whose_dispatcher_died(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            job = make_job(1, make_step(), make_step()._replace(after=(0,)))
            await cluster.submit("a-e0", job)
            await asyncio.sleep(0.3)
            cell = next(line for line in ("a", "b", "c") if has_runs_in(cluster, line))
            self.killed = cluster.holder(cell)
            assert self.killed is not None
            cluster.kill(self.killed)
            await cluster.until(lambda: is_completed(cluster, job), 40)
            self.cell = cell

        self.run_scenario(scenario)
        lines = self.grep_logs("grep -E 'CELL_(TAKEN")
        names = [line["name"] for line in lines if line["cell"] == self.cell]
        self.assertEqual(names.count("CELL_TAKEN"), 2)
        second_takeover = names[names.index("CELL_TAKEN", 1) :]
        self.assertIn("CELL_PROVEN", second_takeover)
        taken = [line for line in lines if line["name"] == "CELL_TAKEN"]
        self.assertIn(self.killed, {line.get("former") for line in taken})

    def test_a_waiting_job_of_a_cell_whose_holder_is_cut_off(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            cluster.evacuated = frozenset("bc")
            await asyncio.sleep(1)
            cluster.cuts = {frozenset(("a", other)) for other in ("b", "c", "store")}
            job = make_job(1, Step(1, Size(90, 1_000), 1_000))
            await cluster.submit("b-e0", job)
            for _ in range(40):
                await asyncio.sleep(0.2)
                await cluster.entries["b-e0"].intake.count_pending("q")
            self.healed_at, self.job = now(), job.id
            cluster.cuts = set()
            await asyncio.sleep(10)

        self.run_scenario(scenario)
        lines = self.grep_logs("grep -E 'JOB_(STORED", ID=self.job)
        (stored,) = [line for line in lines if line["name"] == "JOB_STORED"]
        adopted = [line for line in lines if line["name"] == "JOB_ADOPTED"]
        self.assertEqual((stored["cell"], adopted[0]["version"]), ("a", stored["version"]))
        self.assertLess(stored["row_age_ms"], VACANT_S * 1000)
        shown = [line for line in self.grep_logs("grep '\"PENDING_SHOWN\"'")]
        unread = [line for line in shown if stored["t"] < line["t"] < self.healed_at]
        self.assertLess(self.healed_at, adopted[0]["t"])
        self.assertGreater(sum(not line["cells"]["a"]["live"] for line in unread), 5)
        self.assertEqual((unread[-1]["shown"], unread[-1]["cells"]["a"]["added"]), (1, 1))
        for line in unread:
            cell = line["cells"]["a"]
            self.assertEqual((line["queue"], cell["shown"]), ("q", 0))
            self.assertLess(cell["version"], stored["version"])
            self.assertEqual((cell["source"], cell["epoch"]), ("row", stored["epoch"]))
            self.assertEqual(cell["live"], cell["age_ms"] < VACANT_S * 1000)
            self.assertIsNone(cell["loaded"])

    def test_a_holder_that_shows_its_predecessors_count(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            cluster.evacuated = frozenset("bc")
            await asyncio.sleep(1)
            await cluster.submit("b-e0", make_job(1, Step(1, Size(90, 1_000), 1_000)))
            await asyncio.sleep(3)
            former = cluster.holder("a")
            assert former is not None
            cluster.kill(former)
            cluster.parts_away = {(name, "7") for name in cluster.entries}
            await cluster.until(lambda: is_held(cluster, "a"), 30)
            successor = cluster.holder("a")
            assert successor is not None
            await cluster.entries[successor].intake.count_pending("q")
            cluster.parts_away = set()
            await asyncio.sleep(5)

        self.run_scenario(scenario)
        lines = [line for line in self.grep_logs("grep -E 'CELL_(TAKEN") if line["cell"] == "a"]
        taken = [line for line in lines if line["name"] == "CELL_TAKEN"][-1]
        loaded = [line for line in lines if line["name"] == "CELL_LOADED"][-1]
        self.assertEqual((taken["waiting"], loaded["waiting"]), ({"q": 1}, {"q": 1}))
        self.assertEqual(taken["epoch"], loaded["epoch"])
        shown = self.grep_logs("grep '\"PENDING_SHOWN\"'")[-1]
        self.assertTrue(taken["t"] <= shown["t"] < loaded["t"])
        cell = shown["cells"]["a"]
        self.assertEqual((cell["source"], cell["loaded"], cell["shown"]), ("held", False, 1))
        self.assertEqual(cell["epoch"], taken["epoch"])

    def test_a_count_that_misses_no_cell_is_not_logged(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            await asyncio.sleep(3)
            for entry in cluster.entries.values():
                await entry.intake.count_pending("q")

        self.run_scenario(scenario)
        self.assertEqual(self.grep_logs("grep '\"PENDING_SHOWN\"'"), [])


def make_step() -> Step:
    """Build a step with one task of one second."""
    return Step(1, Size(1, 1_000), 1_000)


def has_runs_in(cluster: Cluster, cell: str) -> bool:
    """Return whether a worker of a cell has runs."""
    return any(r.running for r in cluster.runners.values() if r.host.domain == cell)


async def is_held(cluster: Cluster, cell: str) -> bool:
    """Return whether a live entry holds a cell."""
    return cluster.holder(cell) is not None


async def is_completed(cluster: Cluster, job: Job) -> bool:
    """Return whether a live entry shows the job as completed."""
    name = next(name for name, entry in cluster.entries.items() if not entry.dead)
    return await cluster.phase(name, job.id) is Phase.COMPLETED


if __name__ == "__main__":
    unittest.main()
