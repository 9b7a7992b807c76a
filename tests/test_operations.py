"""From a failed request's id to its cause, by the commands of docs/OPERATIONS.md alone."""

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
from curranthall.dag import Job, Phase, Step
from curranthall.intake import Verdict
from curranthall.logwriter import LogWriter
from curranthall.model import Size
from tests.cluster import SERVICE, Cluster, now
from tests.virtual import run

PAGE = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
Line = dict[str, Any]


def page_command(beginning: str) -> str:
    """Give the page's command that begins so."""
    commands = re.findall(r"`(grep [^`]+)`", PAGE.read_text())
    return next(command for command in commands if command.startswith(beginning))


def made(number: int, *steps: Step) -> Job:
    """Build a job."""
    return Job(f"{number:016x}", "q", SERVICE, "spec", steps, int(now() * 1000))


class FromIdToCause(unittest.TestCase):
    def setUp(self) -> None:
        self.logs = tempfile.NamedTemporaryFile(suffix=".log")
        self.addCleanup(self.logs.close)

    def play(self, scene: Callable[[Cluster], Coroutine[Any, Any, None]]) -> None:
        """Play a scene in virtual time, its log lines going to the file."""

        async def main() -> None:
            cluster = Cluster(1)
            writer = LogWriter(self.logs.fileno(), now)
            with patch.object(events, "_writer", writer):
                cluster.start()
                await asyncio.sleep(3)
                await scene(cluster)
                cluster.close()

        run(main())

    def ask(self, beginning: str, **names: str) -> list[Line]:
        """Run a command of the page with the names filled in; give the lines that it prints."""
        command = page_command(beginning).replace("LOGS", self.logs.name)
        for name, value in names.items():
            command = re.sub(rf"\b{name}\b", value, command)
        found = subprocess.run(["bash", "-c", command], capture_output=True, text=True, timeout=10)
        return [json.loads(line) for line in found.stdout.splitlines()]

    def test_a_refused_job(self) -> None:
        async def scene(cluster: Cluster) -> None:
            cluster.store_down = True
            self.assertIs(await cluster.submit("a-e0", job := made(1, one_task())), Verdict.REFUSED)
            self.job = job.id

        self.play(scene)
        (line,) = self.ask("grep '\"JOB_REFUSED\"'", ID=self.job)
        self.assertIn("platform-down", line["why"])

    def test_a_job_accepted_but_late_for_want_of_room(self) -> None:
        async def scene(cluster: Cluster) -> None:
            cluster.evacuated = frozenset(("b", "c"))
            first = made(1, Step(16, Size(4, 1_000), 1_000))
            late = made(2, Step(1, Size(4, 1_000), 1_000))
            cluster.work[first.id] = 5.0
            await cluster.submit("a-e0", first)
            await asyncio.sleep(0.3)
            await cluster.submit("a-e0", late)
            await cluster.until(lambda: completed(cluster, late), 40)
            self.job = late.id

        self.play(scene)
        lines = self.ask("grep ID LOGS", ID=self.job)
        (stored,) = [line for line in lines if line["name"] == "JOB_STORED"]
        placed = [line for line in lines if line["name"] == "RUN_PLACED"]
        self.assertGreater(placed[0]["waited_ms"], 1_000)
        states = [line for line in self.ask("grep ID LOGS", ID="CELL_STATE")]
        between = [
            line
            for line in states
            if stored["t"] <= line["t"] <= placed[0]["t"] and line["cell"] == stored["cell"]
        ]
        self.assertTrue(any(line["waiting_tasks"] > 0 for line in between))

    def test_a_job_whose_worker_was_lost(self) -> None:
        async def scene(cluster: Cluster) -> None:
            job = made(1, Step(1, Size(1, 1_000), 4_000))
            cluster.work[job.id] = 4.0
            await cluster.submit("a-e0", job)
            await asyncio.sleep(1)
            (self.worker,) = [n for n, r in cluster.runners.items() if r.running]
            cluster.crash_worker(self.worker)
            await cluster.until(lambda: completed(cluster, job), 40)
            self.job = job.id

        self.play(scene)
        placed = [line for line in self.ask("grep ID LOGS", ID=self.job) if "worker" in line]
        self.assertEqual(placed[0]["worker"], self.worker)
        fate = {line["name"] for line in self.ask("grep WORKER LOGS", WORKER=self.worker)}
        self.assertIn("WORKER_SILENT", fate)
        self.assertTrue(fate & {"WORKER_GONE", "WORKER_LAPSED"})

    def test_a_task_that_started_again_names_the_run_before(self) -> None:
        async def scene(cluster: Cluster) -> None:
            job = made(1, Step(1, Size(1, 1_000), 4_000))
            cluster.work[job.id] = 4.0
            await cluster.submit("a-e0", job)
            await asyncio.sleep(1)
            (self.worker,) = [n for n, r in cluster.runners.items() if r.running]
            cluster.crash_worker(self.worker)
            await cluster.until(lambda: completed(cluster, job), 40)
            self.task = f"{job.id}.0.0.0"

        self.play(scene)
        lines = self.ask("grep -E 'RUN_(PLACED", TASK=self.task)
        first, second = [line for line in lines if line["name"] == "RUN_PLACED"]
        self.assertEqual(second["after"][1:], [first["run"], self.worker])
        (judged,) = [line for line in lines if line["name"] == "RUN_VANISHED"]
        self.assertEqual((judged["why"], judged["run"]), (second["after"][0], first["run"]))
        told = self.explain("twice")
        self.assertEqual(told, ["0 RUN_DUPLICATE"])

    def explain(self, table: str) -> list[str]:
        """Give a table of the page's tool."""
        self.assertIn(f"`python -m tools.explain {table} LOG...`", PAGE.read_text())
        with open(self.logs.name, encoding="utf-8") as log:
            found = list(tools.explain.events(log))
        return list(getattr(tools.explain, table)(found))

    def test_jobs_that_no_worker_has_room_for_are_told_by_size(self) -> None:
        async def scene(cluster: Cluster) -> None:
            small, large = made(1, one_task()), made(2, Step(1, Size(90, 1_000), 1_000))
            for job in (small, large):
                await cluster.submit("a-e0", job)
            await cluster.until(lambda: completed(cluster, small), 40)
            await asyncio.sleep(5)

        self.play(scene)
        rows = [row.split() for row in self.explain("sizes")]
        heads = ["stored", "begun", "in_time", "late", "expired", "failed", "cancelled", "open"]
        self.assertEqual(rows[0][2:10], heads)
        (row,) = [row for row in rows if row[:2] == ["q", "all"]]
        self.assertEqual(row[2:10], ["2", "1", "1", "0", "0", "0", "0", "1"])
        self.assertTrue(row[10].startswith("full:"), row)

    def test_a_job_whose_dispatcher_died(self) -> None:
        async def scene(cluster: Cluster) -> None:
            job = made(1, one_task(), one_task()._replace(after=(0,)))
            await cluster.submit("a-e0", job)
            await asyncio.sleep(0.3)
            cell = next(line for line in ("a", "b", "c") if runs_in(cluster, line))
            self.killed = cluster.holder(cell)
            assert self.killed is not None
            cluster.kill(self.killed)
            await cluster.until(lambda: completed(cluster, job), 40)
            self.cell = cell

        self.play(scene)
        lines = self.ask("grep -E 'CELL_(TAKEN")
        story = [line["name"] for line in lines if line["cell"] == self.cell]
        self.assertEqual(story.count("CELL_TAKEN"), 2)
        again = story[story.index("CELL_TAKEN", 1) :]
        self.assertIn("CELL_PROVEN", again)
        taken = [line for line in lines if line["name"] == "CELL_TAKEN"]
        self.assertIn(self.killed, {line.get("former") for line in taken})


def one_task() -> Step:
    """Build a step of one task of a second."""
    return Step(1, Size(1, 1_000), 1_000)


def runs_in(cluster: Cluster, cell: str) -> bool:
    """Tell whether a worker of a cell runs something."""
    return any(r.running for r in cluster.runners.values() if r.host.domain == cell)


async def completed(cluster: Cluster, job: Job) -> bool:
    """Tell whether an entry that lives shows the job as completed."""
    name = next(name for name, entry in cluster.entries.items() if not entry.dead)
    return await cluster.phase(name, job.id) is Phase.COMPLETED


if __name__ == "__main__":
    unittest.main()
