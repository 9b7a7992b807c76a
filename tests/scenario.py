"""The scenario language: grammar, parser and a player in virtual time."""

import asyncio
import hashlib
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from lark import Lark, Transformer

from curranthall.edits import Edits
from curranthall.errors import CurranthallError
from curranthall.jobs import Jobs, JobSpec
from curranthall.model import HostState
from curranthall.request import ServiceRequest
from curranthall.standin.table import LIST_LAG_S
from tests.judge import ENDS, DomainChange, Evidence, RequestRecord, find_violations
from tests.virtual import World

GRAMMAR = r"""
start: world step*
world: "world" "domains" INT "entries" INT "workers" INT
step: "at" NUMBER verb
verb: "kill" NAME                                          -> kill
    | "start" NAME                                         -> start_process
    | "drain" NAME                                         -> drain
    | "freeze" NAME                                        -> freeze
    | "thaw" NAME                                          -> thaw
    | "cut" NAME NAME                                      -> cut
    | "heal"                                               -> heal
    | "outage" "for" NUMBER                                -> outage
    | "slow" NUMBER "for" NUMBER                           -> slow
    | "lose" INT "answers" "of" NAME                       -> lose
    | "take" "out" NAME                                    -> take_out
    | "bring" "back" NAME                                  -> bring_back
    | "edit" NAME NAME NAME "=" NUMBER                     -> edit
    | "race" NAME NAME NAME                                -> race
    | "leaving" NAME                                       -> leaving
    | "gone" NAME                                          -> gone
    | "submit" NAME "class" NAME "tasks" INT               -> submit
    | "cancel" NAME                                        -> cancel
    | "close" NAME                                         -> close
    | "resume" NAME                                        -> resume
    | "request" NAME "every" NUMBER "for" NUMBER           -> request
    | "expect" "finished" NAME                             -> finished
    | "expect" "running" NAME INT                          -> running
    | "expect" "started" NAME "within" NUMBER              -> started
    | "expect" "held" NAME                                 -> held
    | "expect" "holder" "of" NAME "in" NAME                -> holder
    | "expect" "answered" NUMBER "since" NUMBER            -> answered
    | "expect" "no" "starts" "in" NAME "since" NUMBER      -> no_starts
    | "expect" "in" "force" "within" NUMBER                -> in_force
    | "expect" "settled"                                   -> settled
NAME: /[a-z][a-z0-9_.-]*/
%import common.INT
%import common.NUMBER
%import common.WS
%import common.SH_COMMENT
%ignore WS
%ignore SH_COMMENT
"""

TABLE: dict[str, Any] = {
    "customer": {"acme": {"limit": 1000}},
    "service": {"proof": {"customer": "acme", "replicas": 2, "cores": 1, "memory": 2}},
    "class": {
        "engrave": {"cores": 2, "memory": 2, "seconds": 6},
        "silver": {"cores": 2, "memory": 2, "seconds": 6, "on_worker_loss": "hold"},
        "rush": {"kind": "urgent", "cores": 2, "memory": 2, "seconds": 2, "priority": 90},
        "monogram": {"kind": "watcher", "cores": 0.5, "memory": 1, "seconds": 0},
    },
}
WARM_S = 25.0
DEADLINE_S = 1.0
SAMPLE_S = 0.5
TICK_S = 0.05
TRIES = 40


class Step(NamedTuple):
    """One line of a scenario: seconds after the start, verb and arguments."""

    at: float
    verb: str
    args: tuple[str, ...]


class Script(NamedTuple):
    """A scenario; entries and workers are counted per domain."""

    domains: int
    entries: int
    workers: int
    steps: list[Step]


class _Reader(Transformer[Any, Any]):
    def start(self, items: list[Any]) -> Script:
        domains, entries, workers = items[0]
        return Script(domains, entries, workers, sorted(items[1:], key=lambda step: step.at))

    def world(self, items: list[Any]) -> tuple[int, ...]:
        return tuple(int(item) for item in items)

    def step(self, items: list[Any]) -> Step:
        return Step(float(items[0]), *items[1])

    def __default__(self, data: Any, children: list[Any], meta: Any) -> Any:
        return str(data), tuple(str(child) for child in children)


PARSER = Lark(GRAMMAR, parser="lalr")


def read(path: Path) -> Script:
    """Read a scenario file."""
    script: Any = _Reader().transform(PARSER.parse(path.read_text()))
    return script


class Player:
    """Plays a script in virtual time."""

    def __init__(self, script: Script, seed: int, warm_s: float = WARM_S) -> None:
        self.script = script
        self.world = World(seed)
        self.requests: list[RequestRecord] = []
        self.accepted: list[str] = []
        self.leaving: list[tuple[float, str]] = []
        self.revisions: dict[str, list[int]] = {}
        self.failures: list[str] = []
        self.on_begin: Callable[[], None] = lambda: None
        self._warm_s = warm_s
        self._edited: tuple[float, int] = (0.0, 0)
        self._in_force_s = 0.0
        self._sent = 0
        self._submitted: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._outcomes: list[tuple[float, str]] = []

    async def play(self) -> list[str]:
        """Play all steps; return failed expectations and violated invariants."""
        await self._build_world()
        self._spawn(self._sample_revisions())
        self.began = self.world.loop.time()
        self.on_begin()
        for step in self.script.steps:
            await asyncio.sleep(max(0.0, self.began + step.at - self.world.loop.time()))
            await self._run_step(step)
        return [*self.failures, *find_violations(self.collect_evidence())]

    def collect_evidence(self) -> Evidence:
        """Collect the records that the invariants are checked against."""
        return Evidence(
            self.world.log,
            self.world.core.commits,
            self.requests,
            self.read_domain_changes(),
            self.leaving,
            sum(worker.overcommits for worker in self.world.workers.values()),
            self.revisions,
            self.world.net.domain_of,
        )

    def read_domain_changes(self) -> list[DomainChange]:
        """Read the changes of failure domains from the table's commits."""
        return [
            DomainChange(at, key.split("/")[2], value["state"])
            for at, _, commit in self.world.core.commits
            for key, value in commit.writes.items()
            if key.startswith("config/domain/") and value is not None
        ]

    async def _build_world(self) -> None:
        world, script = self.world, self.script
        domains = [f"d{n}" for n in range(1, script.domains + 1)]
        for domain in domains:
            for n in range(1, script.workers + 1):
                world.add_worker(f"{domain}w{n}", domain)
            for n in range(1, script.entries + 1):
                world.add_entry(f"{domain}e{n}", domain)
        await asyncio.sleep(1)
        table = {"domain": {domain: {} for domain in domains}, **TABLE}
        await self._make_edits().load("scenario", table)
        await asyncio.sleep(self._warm_s)

    # Steps

    def _find_reachable_entry(self) -> Any:
        net = self.world.net
        for entry in self.world.entries.values():
            name = entry.identity.id
            is_usable = net.is_connected(name, "platform") and name not in net.frozen
            if name not in net.dead and entry.ready and is_usable:
                return entry
        return next(iter(self.world.entries.values()))

    def _make_edits(self) -> Edits:
        entry = self._find_reachable_entry()
        return Edits(entry.platform, entry.config, entry.wall_clock, entry.new_txn)

    def _make_jobs(self) -> Jobs:
        entry = self._find_reachable_entry()
        return Jobs(entry.platform, entry.config, entry.wall_clock, entry.new_txn)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _sample_revisions(self) -> None:
        while True:
            for name, entry in self.world.entries.items():
                if entry.ready and name not in self.world.net.dead:
                    self.revisions.setdefault(name, []).append(entry.config.revision)
            await asyncio.sleep(SAMPLE_S)

    async def _run_step(self, step: Step) -> None:
        world, net = self.world, self.world.net
        match step.verb, step.args:
            case "kill", (name,):
                world.kill(name)
            case "start_process", (name,):
                self.restart(name)
            case "drain", (name,):
                self._spawn(self._drain(name))
            case "freeze", (name,):
                world.freeze(name)
            case "thaw", (name,):
                world.thaw(name)
            case "cut", (a, b):
                net.cuts.add(frozenset((a, b)))
            case "heal", ():
                net.cuts.clear()
            case "outage", (seconds,):
                world.core.outage = True
                world.loop.call_later(float(seconds), setattr, world.core, "outage", False)
            case "slow", (by, seconds):
                world.core.slow_s = float(by)
                world.loop.call_later(float(seconds), setattr, world.core, "slow_s", 0.0)
            case "lose", (count, name):
                net.answers_to_lose[name] = int(count)
            case "take_out", (domain,):
                self._spawn(self._edit("domain", domain, {"state": "out"}))
            case "bring_back", (domain,):
                self._spawn(self._edit("domain", domain, {"state": "in"}))
            case "edit", (kind, name, column, value):
                self._spawn(self._edit(kind, name, {column: float(value)}))
            case "race", (kind, name, column):
                await self._race(kind, name, column)
            case "leaving", (name,):
                world.core.mark(name, HostState.LEAVING)
                self.leaving.append((world.loop.time() + LIST_LAG_S, name))
            case "gone", (name,):
                world.kill(name)
                world.core.mark(name, HostState.GONE)
            case "submit", (key, cls, count):
                self._spawn(self._submit(JobSpec("acme", key, cls, int(count), 10_000.0)))
            case "cancel" | "close" | "resume", (key,):
                self._spawn(self._change_job(step.verb, key))
            case "request", (service, every, seconds):
                self._spawn(self._send_requests(service, float(every), float(seconds)))
            case _:
                await self._expect(step)

    def restart(self, name: str) -> None:
        """Restart a process without its former state."""
        world = self.world
        if name in world.entries:
            world.add_entry(name, world.net.domain_of[name])
        else:
            world.add_worker(name, world.net.domain_of[name])

    async def _drain(self, name: str) -> None:
        entry = self.world.entries[name]
        await entry.drain(lambda: sum(entry.router.demand.values()))
        self.world.net.dead.add(name)

    async def _edit(self, kind: str, name: str, columns: dict[str, Any]) -> None:
        table: dict[str, dict[str, dict[str, Any]]] = {kind: {name: columns}}
        for _ in range(TRIES):
            try:
                await self._make_edits().load("scenario", table)
                self._edited = (self.world.loop.time(), self.world.core.revision)
                await self._measure_in_force(*self._edited)
                return
            except CurranthallError:
                await asyncio.sleep(1)

    async def _measure_in_force(self, at: float, revision: int) -> None:
        while self._list_outdated(revision) and self.world.loop.time() - at < 60:
            await asyncio.sleep(TICK_S)
        self._in_force_s = self.world.loop.time() - at

    def _list_outdated(self, revision: int) -> list[str]:
        net = self.world.net
        return [
            name
            for name, entry in self.world.entries.items()
            if name not in net.dead and name not in net.frozen and entry.config.revision < revision
        ]

    async def _race(self, kind: str, name: str, column: str) -> None:
        """Edit one version as two operators; exactly one must get a conflict."""
        current = [row for row in self._make_edits().table()[kind] if row["name"] == name][0]
        entries = [self.world.entries["d1e1"], list(self.world.entries.values())[-1]]
        edits = [Edits(e.platform, e.config, e.wall_clock, e.new_txn) for e in entries]
        calls = [
            edit.edit(f"op{n}", kind, name, {column: 10 + n}, current["version"])
            for n, edit in enumerate(edits)
        ]
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        codes = sorted(getattr(item, "code", "accepted") for item in outcomes)
        if codes != ["accepted", "conflict"]:
            self.failures.append(f"two edits of one version gave {codes}")

    async def _submit(self, spec: JobSpec) -> None:
        self._submitted[spec.key] = self.world.loop.time()
        for _ in range(TRIES):
            try:
                result = await self._make_jobs().submit(spec)
                self.accepted.append(result["job"])
                return
            except CurranthallError:
                await asyncio.sleep(1)

    async def _change_job(self, verb: str, key: str) -> None:
        for _ in range(TRIES):
            try:
                await getattr(self._make_jobs(), verb)(f"acme.{key}")
                return
            except CurranthallError:
                await asyncio.sleep(1)

    async def _send_requests(self, service: str, interval_s: float, duration_s: float) -> None:
        end = self.world.loop.time() + duration_s
        while self.world.loop.time() < end:
            self._sent += 1
            self._spawn(self._send_request(service, f"q{self._sent}", self._sent % 2 == 0))
            await asyncio.sleep(interval_s)

    async def _send_request(self, service: str, request_id: str, idempotent: bool) -> None:
        world = self.world
        ready = [
            entry
            for name, entry in world.entries.items()
            if name not in world.net.dead and name not in world.net.frozen and entry.ready
        ]
        if not ready:
            self._outcomes.append((world.loop.time(), "nobody"))
            return
        entry = world.rng.choice(ready)
        body = request_id.encode()
        now = world.loop.time()
        req = ServiceRequest(request_id, service, "acme", body, now + DEADLINE_S, idempotent)
        outcome, is_correct = "answered", False
        try:
            answer = await entry.router.request(req)
            is_correct = answer == hashlib.sha256(body).hexdigest().encode()
        except CurranthallError as exc:
            outcome = exc.code
        if entry.identity.id in world.net.dead:
            outcome = "unknown"
        self.requests.append(RequestRecord(request_id, now, idempotent, outcome, is_correct))
        self._outcomes.append((now, outcome))

    # Expectations

    async def _expect(self, step: Step) -> None:
        failure = await self._check(step)
        if failure:
            self.failures.append(f"at {step.at:g}: {failure}")

    async def _check(self, step: Step) -> str:
        world = self.world
        match step.verb, step.args:
            case "finished", (key,):
                status = await self._make_jobs().status(f"acme.{key}")
                return "" if status["finished"] else f"{key} is not finished: {status}"
            case "held", (key,):
                status = await self._make_jobs().status(f"acme.{key}")
                return "" if status["held"] else f"nothing of {key} is held"
            case "running", (key, count):
                running = self.running(f"acme.{key}/")
                return "" if running == int(count) else f"{running} of {key} run, not {count}"
            case "started", (key, seconds):
                starts = [
                    run.at
                    for run in world.log
                    if run.what == "start" and run.name.startswith(f"acme.{key}/")
                ]
                waited = max(starts, default=float("inf")) - self._submitted[key]
                return "" if waited <= float(seconds) else f"{key} started after {waited:.2f} s"
            case "holder", (worker, domain):
                holder = world.workers[worker].token.holder
                free = world.workers[worker].is_free
                is_held = holder.startswith(domain) and not free
                is_held = is_held and holder.split(".")[0] not in world.net.dead
                return "" if is_held else f"{worker} is held by {holder}, free={free}"
            case "answered", (percent, since):
                return self._check_answered(float(percent), self.began + float(since))
            case "no_starts", (domain, since):
                unwanted = [
                    run
                    for run in world.log
                    if run.what == "start" and world.net.domain_of[run.worker] == domain
                    if run.at > self.began + float(since)
                ]
                return f"{len(unwanted)} starts in {domain}" if unwanted else ""
            case "in_force", (seconds,):
                late = self._in_force_s > float(seconds)
                return f"in force after {self._in_force_s:.2f} s" if late else ""
            case "settled", ():
                return await self.describe_unfinished()
            case _:
                raise ValueError(step.verb)

    def running(self, prefix: str) -> int:
        """Count the active runs of tasks with this name prefix, by the run log."""
        active: set[tuple[str, int]] = set()
        for run in sorted(self.world.log, key=lambda run: (run.at, run.what == "start")):
            if not run.name.startswith(prefix):
                continue
            match run.what:
                case "start":
                    active.add((run.name, run.attempt))
                case _ if run.what in ENDS:
                    active.discard((run.name, run.attempt))
        return len(active)

    def _check_answered(self, percent: float, since: float) -> str:
        outcomes = [outcome for at, outcome in self._outcomes if at >= since]
        good = sum(outcome == "answered" for outcome in outcomes)
        if outcomes and good >= len(outcomes) * percent / 100:
            return ""
        return f"{good} of {len(outcomes)} answered"

    async def describe_unfinished(self) -> str:
        """Describe the first accepted job that is not finished, or return ""."""
        for job in self.accepted:
            status = await self._make_jobs().status(job)
            if not status["finished"]:
                reasons = {
                    name: entry.ledger.wait_reasons for name, entry in self.world.entries.items()
                }
                return f"{job} is not finished: {status} {reasons}"
        return ""
