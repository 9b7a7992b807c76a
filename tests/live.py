"""Plays scenario files against separate processes on loopback, with real signals."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

from curranthall.errors import AnswerLost, ConnectFailed, CurranthallError
from curranthall.http import HttpClient
from curranthall.load import Load
from curranthall.standin.engine import Run
from curranthall.standin.servers import PlatformServer
from tests.judge import DomainChange, Evidence, find_violations
from tests.scenario import TABLE, TRIES, Script, Step, read
from tools.rig import LOOPBACK, EntryUnderTest, free_port

SCENARIOS = Path(__file__).parent / "scenarios"
SELECTED = ("entry-killed", "entry-frozen", "worker-frozen", "drain", "watcher", "lost-answers")
WARM_S = 20.0
COLLECT_S = 0.3
DEADLINE_MS = 2_000.0


class LiveWorker:
    """A worker stand-in in its own process, with its run log as last read."""

    def __init__(self, name: str, domain: str, platform: str) -> None:
        self.name = name
        self.domain = domain
        self._platform = platform
        self._port = free_port()
        self.http = HttpClient(f"{LOOPBACK}:{self._port}", 2)
        self.log: list[Run] = []
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        """Start the process."""
        options = ("--name", self.name, "--domain", self.domain, "--platform", self._platform)
        size = ("--port", str(self._port), "--cores", "8", "--memory", "32")
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "curranthall", "standin", "worker", *options, *size),
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.process.stdout is not None
        await self.process.stdout.readline()

    async def collect(self) -> None:
        """Read the run log."""
        try:
            lines = (await self.http.call("GET", "/runlog", b"", 1.0)).json()
        except (ConnectFailed, AnswerLost):
            return
        self.log = [Run(*line) for line in lines]


class LivePlayer:
    """Plays a script in real time."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.platform = PlatformServer()
        self.workers: dict[str, LiveWorker] = {}
        self.entries: dict[str, EntryUnderTest] = {}
        self.failures: list[str] = []
        self.loads: list[Load] = []
        self.down: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> list[str]:
        """Play all steps; return failed expectations and violated invariants."""
        try:
            await self._start_cluster()
            started_at = asyncio.get_running_loop().time()
            for step in self.script.steps:
                await asyncio.sleep(
                    max(0.0, started_at + step.at - asyncio.get_running_loop().time())
                )
                await self._run_step(step)
            for worker in self.workers.values():
                await worker.collect()
            return [
                *self.failures,
                *find_violations(self._collect_evidence()),
                *self._find_wrong_answers(),
            ]
        finally:
            await self._close()

    async def _start_cluster(self) -> None:
        platform = f"{LOOPBACK}:{await self.platform.start(LOOPBACK, 0)}"
        domains = [f"d{n}" for n in range(1, self.script.domains + 1)]
        peers: list[str] = []
        for domain in domains:
            for n in range(1, self.script.workers + 1):
                worker = LiveWorker(f"{domain}w{n}", domain, platform)
                self.workers[worker.name] = worker
            for n in range(1, self.script.entries + 1):
                entry = EntryUnderTest(f"{domain}e{n}", domain, platform, list(peers))
                peers.append(entry.mesh_address)
                self.entries[entry.name] = entry
        processes: list[LiveWorker | EntryUnderTest] = [
            *self.workers.values(),
            *self.entries.values(),
        ]
        await asyncio.gather(*[each.start() for each in processes])
        await asyncio.sleep(2)
        await self._call("/v1/import", {"domain": {domain: {} for domain in domains}, **TABLE})
        self._spawn(self._collect())
        await asyncio.sleep(WARM_S)

    async def _collect(self) -> None:
        while True:
            running = [worker for name, worker in self.workers.items() if name not in self.down]
            await asyncio.gather(*[worker.collect() for worker in running])
            await asyncio.sleep(COLLECT_S)

    async def _call(self, path: str, value: Any = None) -> Any:
        for _ in range(TRIES):
            for name, entry in self.entries.items():
                if name not in self.down:
                    try:
                        if value is None:
                            return await entry.client.get(path)
                        return await entry.client.post(path, value)
                    except CurranthallError:
                        continue
            await asyncio.sleep(0.5)
        raise ConnectFailed(path=path)

    async def _run_step(self, step: Step) -> None:
        match step.verb, step.args:
            case "kill" | "freeze" | "thaw" | "drain", (name,):
                self._signal(step.verb, name)
            case "start_process", (name,):
                await self._find_process(name).start()
                self.down.discard(name)
            case "outage", (seconds,):
                core = self.platform.core
                core.outage = True
                asyncio.get_running_loop().call_later(float(seconds), setattr, core, "outage", 0)
            case "lose", (count, "platform"):
                self.platform.core.lose_answers = int(count)
            case "take_out" | "bring_back", (domain,):
                state = "out" if step.verb == "take_out" else "in"
                self._spawn(self._call("/v1/import", {"domain": {domain: {"state": state}}}))
            case "submit", (key, cls, tasks):
                job = {"customer": "acme", "key": key, "class": cls, "deadline_s": 10_000}
                self._spawn(self._call("/v1/jobs", {**job, "tasks": int(tasks)}))
            case "close" | "cancel" | "resume", (key,):
                self._spawn(self._call(f"/v1/jobs/acme.{key}/{step.verb}", {}))
            case "request", (service, every, seconds):
                # As behind a load balancer: no requests to entries that the script disrupts.
                callers = [
                    e.caller_address for n, e in self.entries.items() if n not in self._disrupted()
                ]
                load = Load(callers, service, "acme")
                self.loads.append(load)
                self._spawn(load.run(1 / float(every), float(seconds), DEADLINE_MS))
            case "finished", (key,):
                status = await self._call(f"/v1/jobs/acme.{key}")
                if not status["finished"]:
                    self.failures.append(f"{key} is not finished: {status['counts']}")
            case _:
                # Other steps are played in virtual time only.
                return

    def _disrupted(self) -> set[str]:
        verbs = ("kill", "freeze", "drain")
        return {step.args[0] for step in self.script.steps if step.verb in verbs}

    def _find_process(self, name: str) -> Any:
        return self.entries.get(name) or self.workers[name]

    def _signal(self, verb: str, name: str) -> None:
        signals = {
            "kill": signal.SIGKILL,
            "freeze": signal.SIGSTOP,
            "thaw": signal.SIGCONT,
            "drain": signal.SIGTERM,
        }
        self._find_process(name).process.send_signal(signals[verb])
        if verb == "thaw":
            self.down.discard(name)
        else:
            self.down.add(name)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _collect_evidence(self) -> Evidence:
        log = sorted(
            (run for worker in self.workers.values() for run in worker.log),
            key=lambda run: run.written_at,
        )
        commits = self.platform.core.commits
        domain_changes = [
            DomainChange(at, key.split("/")[2], value["state"])
            for at, _, commit in commits
            for key, value in commit.writes.items()
            if key.startswith("config/domain/") and value is not None
        ]
        domain_of = {worker.name: worker.domain for worker in self.workers.values()}
        return Evidence(log, commits, [], domain_changes, [], 0, {}, domain_of)

    def _find_wrong_answers(self) -> list[str]:
        outcomes = [dict(load.outcomes) for load in self.loads]
        return [f"wrong answers: {counts}" for counts in outcomes if counts.get("wrong")]

    async def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for each in [*self.workers.values(), *self.entries.values()]:
            process = getattr(each, "process", None)
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        await self.platform.close()


async def main() -> int:
    """Play the named scenarios, or the selected ones, in parallel."""
    chosen = sys.argv[1:] or SELECTED
    players = [LivePlayer(read(SCENARIOS / f"{name}.scenario")) for name in chosen]
    results = await asyncio.gather(*[player.play() for player in players])
    for name, player, problems in zip(chosen, players, results, strict=True):
        starts = sum(run.what == "start" for w in player.workers.values() for run in w.log)
        answers = [dict(load.outcomes) for load in player.loads]
        print(f"{name}: {'FAILED' if problems else 'ok'} starts={starts} requests={answers}")
        for text in problems[:5]:
            print(f"    {text[:300]}")
    failed = sum(bool(problems) for problems in results)
    print(f"scenarios-live: played={len(results)} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
