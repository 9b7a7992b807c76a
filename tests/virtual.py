"""An event loop in virtual time, and fakes of the interfaces that an entry uses."""

import asyncio
import random
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from result import Result

from curranthall.entry import Entry, Identity
from curranthall.errors import (
    AnswerLost,
    Conflict,
    ConnectFailed,
    CurranthallError,
    PeerUnreachable,
    PlatformDown,
)
from curranthall.link import failure_from_wire, failure_to_wire
from curranthall.model import (
    Commit,
    Host,
    HostState,
    LeaseGrant,
    Scan,
    Size,
    StartOrder,
    Task,
    Token,
)
from curranthall.standin.engine import Run, WorkerEngine
from curranthall.standin.table import TableCore

# Mean one-way delay of a message.
NET_S = 0.001
CALL_TIMEOUT_S = 1.5
WALL_CLOCK_OFFSET_S = 1_000_000.0


class _Selector(selectors.DefaultSelector):
    """Advances the loop's clock by the timeout instead of waiting."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("no timer is left: the loop would wait forever")
        self.loop.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        selector = _Selector()
        super().__init__(selector)
        selector.loop = self
        self.now = 100.0

    def time(self) -> float:
        return self.now


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class Call(NamedTuple):
    """One call between two processes, named by its protocol step."""

    step: str
    caller: str
    target: str


class Net:
    """Simulated network: delays, cuts, lost answers, and frozen or dead processes."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.cuts: set[frozenset[str]] = set()
        self.frozen: dict[str, asyncio.Event] = {}
        self.dead: set[str] = set()
        self.answers_to_lose: dict[str, int] = {}
        self.domain_of: dict[str, str] = {}
        # Hooks of the fault matrix; each returns a delay in seconds: of the message, of its
        # answer, and of a second copy of the message (0: no copy).
        self.on_send: Callable[[Call], float] = lambda call: 0.0
        self.on_effect: Callable[[Call], float] = lambda call: 0.0
        self.duplicate_delay_s: Callable[[Call], float] = lambda call: 0.0

    def is_connected(self, a: str, b: str) -> bool:
        """Return whether messages pass; a cut names processes or failure domains."""
        names = {a, self.domain_of.get(a, a)}, {b, self.domain_of.get(b, b)}
        return not any(frozenset((x, y)) in self.cuts for x in names[0] for y in names[1])

    async def wait_until_thawed(self, name: str) -> None:
        """Wait while a process is frozen."""
        while name in self.frozen:
            await self.frozen[name].wait()

    async def transmit(self, a: str, b: str) -> bool:
        """Deliver a message one way; return False if it is lost."""
        await asyncio.sleep(NET_S * (0.5 + self.rng.random()))
        await self.wait_until_thawed(b)
        return self.is_connected(a, b) and b not in self.dead

    async def exchange(self, call: Call, effect: Any, timeout: float = CALL_TIMEOUT_S) -> Any:
        """Send a call and wait for its answer, subject to the injected faults."""
        await self.wait_until_thawed(call.caller)
        delay_s = self.on_send(call)
        a, b = call.caller, call.target
        if a in self.dead or b in self.dead or not self.is_connected(a, b):
            await asyncio.sleep(min(timeout, 0.05))
            raise ConnectFailed(peer=b)
        duplicate_delay_s = self.duplicate_delay_s(call)
        if duplicate_delay_s:
            _spawn_ignoring_errors(self._deliver(call, effect, duplicate_delay_s))
        task = asyncio.ensure_future(self._deliver(call, effect, delay_s))
        # The target continues after the caller has timed out.
        done, _ = await asyncio.wait({task}, timeout=timeout)
        await self.wait_until_thawed(a)
        if not done:
            task.add_done_callback(lambda t: t.cancelled() or t.exception())
            raise AnswerLost(peer=b, why="timeout")
        answer = task.result()
        if isinstance(answer, CurranthallError):
            raise answer
        return answer

    async def _deliver(self, call: Call, effect: Any, delay_s: float) -> Any:
        a, b = call.caller, call.target
        await asyncio.sleep(delay_s)
        if not await self.transmit(a, b):
            await asyncio.sleep(CALL_TIMEOUT_S * 4)
            return AnswerLost(peer=b)
        try:
            answer = effect()
            if asyncio.iscoroutine(answer):
                answer = await answer
        except CurranthallError as exc:
            answer = exc
        answer_delay_s = self.on_effect(call)
        if self.answers_to_lose.get(b, 0) > 0:
            self.answers_to_lose[b] -= 1
            answer_delay_s = CALL_TIMEOUT_S * 4
        await asyncio.sleep(answer_delay_s)
        if not await self.transmit(b, a):
            await asyncio.sleep(CALL_TIMEOUT_S * 4)
        return answer


def _spawn_ignoring_errors(coroutine: Coroutine[Any, Any, Any]) -> None:
    task = asyncio.ensure_future(coroutine)
    task.add_done_callback(lambda t: t.cancelled() or t.exception())


class FreezableEngine(WorkerEngine):
    """Worker engine whose timers take effect only after it is thawed."""

    net: Net

    def _finish(self, task: Task) -> None:
        if self.host.name in self.net.frozen:
            _spawn_ignoring_errors(self._finish_later(task))
        else:
            super()._finish(task)

    async def _finish_later(self, task: Task) -> None:
        await self.net.wait_until_thawed(self.host.name)
        super()._finish(task)

    def _lapse_due(self) -> None:
        if self.host.name not in self.net.frozen:
            super()._lapse_due()

    def die(self) -> None:
        """End all runs, as when the process is killed."""
        for task, active in list(self._active.items()):
            if active.timer is not None:
                active.timer.cancel()
            self._log_run("died", task, 0)
        self._active.clear()


class FreezableEntry(Entry):
    """Entry whose periodic loops pause while it is frozen."""

    net: Net

    async def _loop(self, seconds: float, step: Any) -> None:
        async def step_when_thawed() -> None:
            await self.net.wait_until_thawed(self.identity.id)
            await step()

        step_when_thawed.__name__ = step.__name__
        await super()._loop(seconds, step_when_thawed)


def commit_step(commit: Commit) -> str:
    """Return the name of the protocol step that a transaction performs."""
    keys = list(commit.writes)
    if any(key.startswith("config/") for key in keys):
        return "table.edit"
    if any(key.startswith("entry/") for key in keys):
        return "table.register"
    if any(key.startswith("job/") for key in keys):
        return "table.submit"
    if any(key.startswith("queue/") and commit.writes[key] is None for key in keys):
        return "table.claim"
    if any(key.startswith("queue/") for key in keys):
        return "table.requeue"
    if any(key.startswith("done/") for key in keys):
        return "table.finish"
    return "table.progress"


class FakePlatform:
    """One entry's connection to the simulated platform."""

    traffic = 0

    def __init__(self, entry: str, net: Net, core: TableCore) -> None:
        self._entry = entry
        self._net = net
        self._core = core

    async def _call(self, step: str, effect: Any) -> Any:
        call = Call(step, self._entry, "platform")
        try:
            return await self._net.exchange(call, lambda: self._run_delayed(effect))
        except ConnectFailed as exc:
            raise PlatformDown(why=exc) from exc

    async def _run_delayed(self, effect: Any) -> Any:
        if self._core.slow_s:
            await asyncio.sleep(self._core.slow_s)
        return effect()

    async def commit(self, commit: Commit) -> Result[int, Conflict]:
        result: Result[int, Conflict] = await self._call(
            commit_step(commit), lambda: self._core.commit(commit)
        )
        return result

    async def scan(self, since: int, prefixes: list[str]) -> Scan:
        result: Scan = await self._call("table.scan", lambda: self._core.scan(since, prefixes))
        return result

    async def hosts(self) -> list[Host]:
        result: list[Host] = await self._call("hosts.list", self._core.hosts)
        return result

    async def put_object(self, key: str, data: bytes) -> None:
        await self._call("object.put", lambda: self._core.objects.__setitem__(key, data))

    async def get_object(self, key: str) -> bytes | None:
        result: bytes | None = await self._call("object.get", lambda: self._core.objects.get(key))
        return result


class FakeWorker:
    """One entry's connection to a simulated worker."""

    control_bytes = 0

    def __init__(self, entry: str, net: Net, world: "World", name: str) -> None:
        self._entry, self._net, self._world, self._name = entry, net, world, name

    async def _call(self, step: str, effect: Any, timeout: float = CALL_TIMEOUT_S) -> Any:
        call = Call(step, self._entry, self._name)
        return await self._net.exchange(
            call, lambda: effect(self._world.workers[self._name]), timeout
        )

    async def lease(
        self, token: Token, echo: float, seq: int, seen: int, term: float, boot: str
    ) -> tuple[LeaseGrant, int]:
        result: tuple[LeaseGrant, int] = await self._call(
            "lease.renew" if echo else "lease.claim",
            lambda w: (w.lease(token, echo, seq, seen, term, boot), w.changes),
        )
        return result

    async def release(self, token: Token) -> None:
        await self._call("lease.release", lambda w: w.release(token))

    async def start(
        self, token: Token, seq: int, order: StartOrder, until: float, boot: str
    ) -> None:
        await self._call("task.start", lambda w: w.start(token, seq, order, until, boot))

    async def stop(self, token: Token, task: Task, finish: bool) -> Any:
        return await self._call("task.stop", lambda w: w.stop(token, task, finish))

    async def throttle(self, token: Token, task: Task, on: bool) -> None:
        await self._call("task.throttle", lambda w: w.throttle(token, task, on))

    async def acknowledge(self, token: Token, tasks: list[Task]) -> None:
        await self._call("task.acknowledge", lambda w: w.acknowledge(token, tasks))

    async def serve(self, service: str, request: str, body: bytes, timeout: float) -> bytes:
        seconds = self._world.serve_s * self._world.slowdown.get(self._name, 1.0)
        result: bytes = await self._call(
            "request.send", lambda w: w.serve(service, request, body, seconds), timeout
        )
        return result

    def close(self) -> None:
        pass


class FakeMesh:
    """One entry's connections to its simulated peers."""

    traffic = 0

    def __init__(self, entry: str, net: Net, world: "World") -> None:
        self._entry, self._net, self._world = entry, net, world

    def peers(self) -> list[str]:
        return [
            name
            for name in self._world.entries
            if name != self._entry
            and name not in self._net.dead
            and self._net.is_connected(self._entry, name)
        ]

    def cast(self, peer: str, verb: str, body: Any) -> None:
        task = asyncio.ensure_future(self._call_ignoring_errors(peer, verb, body))
        task.add_done_callback(lambda t: t.cancelled() or t.exception())

    async def drain(self, limit_s: float) -> None:
        """Return at once: in the simulation the task of the caller delivers the answer."""

    async def _call_ignoring_errors(self, peer: str, verb: str, body: Any) -> None:
        try:
            await self.call(peer, verb, body, CALL_TIMEOUT_S)
        except CurranthallError:
            pass

    async def call(self, peer: str, verb: str, body: Any, timeout: float) -> Any:
        async def effect() -> Any:
            try:
                return "ok", await self._world.entries[peer].handle(self._entry, verb, body)
            except CurranthallError as exc:
                return "failed", failure_to_wire(exc)

        try:
            call = Call(f"mesh.{verb}", self._entry, peer)
            status, answer = await self._net.exchange(call, effect, timeout)
        except ConnectFailed as exc:
            raise PeerUnreachable(peer=peer) from exc
        if status == "failed":
            raise failure_from_wire(answer)
        return answer


class World:
    """A simulated platform, workers and entries that share a virtual clock."""

    def __init__(self, seed: int = 1, serve_s: float = 0.02) -> None:
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.net = Net(self.rng)
        self.core = TableCore(self.loop.time)
        self.log: list[Run] = []
        self.workers: dict[str, FreezableEngine] = {}
        self.entries: dict[str, Entry] = {}
        self.serve_s = serve_s
        self.slowdown: dict[str, float] = {}
        self._incarnations = 0

    def add_worker(
        self, name: str, domain: str, cores: float = 8, memory: float = 32, slots: int = 8
    ) -> FreezableEngine:
        """Add a worker to a failure domain."""
        size = Size(cores, memory, 0)
        host = Host(name, domain, f"{domain}-r1", name, size, slots, 64, HostState.LIVE)
        self._incarnations += 1
        self.workers[name] = FreezableEngine(
            host, self.loop.time, f"b{self._incarnations}", self.log
        )
        self.workers[name].net = self.net
        self.net.domain_of[name] = domain
        self.net.dead.discard(name)
        self.core.register(host, lag=False)
        return self.workers[name]

    def add_entry(self, name: str, domain: str) -> Entry:
        """Start an entry; a name used before gets a new incarnation."""
        self._incarnations += 1
        self.net.domain_of[name] = domain
        self.net.dead.discard(name)
        entry = FreezableEntry(
            Identity(name, domain, self._incarnations),
            FakePlatform(name, self.net, self.core),
            lambda host: FakeWorker(name, self.net, self, host.name),
            FakeMesh(name, self.net, self),
            self.loop.time,
            lambda: WALL_CLOCK_OFFSET_S + self.loop.time(),
            random.Random(self.rng.random()),
        )
        entry.net = self.net
        self.entries[name] = entry
        entry.start()
        return entry

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.net.dead.add(name)
        if name in self.entries:
            self.entries[name].stop()
        elif name in self.workers:
            self.workers[name].die()

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        self.net.frozen[name] = asyncio.Event()

    def thaw(self, name: str) -> None:
        """Resume a frozen process."""
        event = self.net.frozen.pop(name, None)
        if name in self.workers:
            self.workers[name].expire_lease()
        if event is not None:
            event.set()
