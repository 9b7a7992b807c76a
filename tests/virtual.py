"""An event loop whose time jumps to the next timer, and fakes at an entry's interfaces."""

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

NET_S = 0.001
LOST_S = 1.5
EPOCH = 1_000_000.0


class _Selector(selectors.DefaultSelector):
    """Never waits: hands the wanted wait to the loop's clock."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing left to happen")
        self.loop.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Virtual seconds."""

    def __init__(self) -> None:
        selector = _Selector()
        super().__init__(selector)
        selector.loop = self
        self.now = 100.0

    def time(self) -> float:
        return self.now


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run to the end in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class Call(NamedTuple):
    """One message and its answer between two processes."""

    step: str
    a: str
    b: str


class Net:
    """Who can reach whom, who is frozen, and how slow it all is."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.cuts: set[frozenset[str]] = set()
        self.frozen: dict[str, asyncio.Event] = {}
        self.dead: set[str] = set()
        self.lose: dict[str, int] = {}
        self.places: dict[str, str] = {}
        # Hooks of the fault matrix: before a message is sent, and between effect and answer.
        self.on_send: Callable[[Call], float] = lambda call: 0.0
        self.on_effect: Callable[[Call], float] = lambda call: 0.0
        self.copies: Callable[[Call], float] = lambda call: 0.0

    def open(self, a: str, b: str) -> bool:
        """Tell whether a message gets from one to the other."""
        names = {a, self.places.get(a, a)}, {b, self.places.get(b, b)}
        return not any(frozenset((x, y)) in self.cuts for x in names[0] for y in names[1])

    async def thawed(self, name: str) -> None:
        """Wait while a process is frozen."""
        while name in self.frozen:
            await self.frozen[name].wait()

    async def hop(self, a: str, b: str) -> bool:
        """Carry a message; False when it is lost."""
        await asyncio.sleep(NET_S * (0.5 + self.rng.random()))
        await self.thawed(b)
        return self.open(a, b) and b not in self.dead

    async def exchange(self, call: Call, effect: Any, timeout: float = LOST_S) -> Any:
        """Call and answer, with what can go wrong on the way there and back."""
        await self.thawed(call.a)
        late = self.on_send(call)
        a, b = call.a, call.b
        if a in self.dead or b in self.dead or not self.open(a, b):
            await asyncio.sleep(min(timeout, 0.05))
            raise ConnectFailed(peer=b)
        again = self.copies(call)
        if again:
            _quietly(self._deliver(call, effect, again))
        task = asyncio.ensure_future(self._deliver(call, effect, late))
        # The other side goes on when the caller has given up.
        done, _ = await asyncio.wait({task}, timeout=timeout)
        await self.thawed(a)
        if not done:
            task.add_done_callback(lambda t: t.cancelled() or t.exception())
            raise AnswerLost(peer=b, why="timeout")
        answer = task.result()
        if isinstance(answer, CurranthallError):
            raise answer
        return answer

    async def _deliver(self, call: Call, effect: Any, late: float) -> Any:
        a, b = call.a, call.b
        await asyncio.sleep(late)
        if not await self.hop(a, b):
            await asyncio.sleep(LOST_S * 4)
            return AnswerLost(peer=b)
        try:
            answer = effect()
            if asyncio.iscoroutine(answer):
                answer = await answer
        except CurranthallError as exc:
            answer = exc
        lost = self.on_effect(call)
        if self.lose.get(b, 0) > 0:
            self.lose[b] -= 1
            lost = LOST_S * 4
        await asyncio.sleep(lost)
        if not await self.hop(b, a):
            await asyncio.sleep(LOST_S * 4)
        return answer


def _quietly(coroutine: Coroutine[Any, Any, Any]) -> None:
    task = asyncio.ensure_future(coroutine)
    task.add_done_callback(lambda t: t.cancelled() or t.exception())


class FreezableEngine(WorkerEngine):
    """A worker whose timers stand still while it is frozen."""

    net: Net

    def _finish(self, task: Task) -> None:
        if self.host.name in self.net.frozen:
            _quietly(self._finish_later(task))
        else:
            super()._finish(task)

    async def _finish_later(self, task: Task) -> None:
        await self.net.thawed(self.host.name)
        super()._finish(task)

    def _lapse_due(self) -> None:
        if self.host.name not in self.net.frozen:
            super()._lapse_due()

    def die(self) -> None:
        """End with all that runs."""
        for task, act in list(self._active.items()):
            if act.timer is not None:
                act.timer.cancel()
            self._note("died", task, 0)
        self._active.clear()


class GatedEntry(Entry):
    """An entry whose loops stand still while it is frozen."""

    net: Net

    async def _loop(self, seconds: float, step: Any) -> None:
        async def gated() -> None:
            await self.net.thawed(self.identity.id)
            await step()

        gated.__name__ = step.__name__
        await super()._loop(seconds, gated)


def commit_step(commit: Commit) -> str:
    """Name the protocol step that a transaction is."""
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
    """The platform as one entry reaches it."""

    traffic = 0

    def __init__(self, who: str, net: Net, core: TableCore) -> None:
        self._who = who
        self._net = net
        self._core = core

    async def _call(self, step: str, effect: Any) -> Any:
        call = Call(step, self._who, "platform")
        try:
            return await self._net.exchange(call, lambda: self._slow(effect))
        except ConnectFailed as exc:
            raise PlatformDown(why=exc) from exc

    async def _slow(self, effect: Any) -> Any:
        if self._core.slow_s:
            await asyncio.sleep(self._core.slow_s)
        return effect()

    async def commit(self, commit: Commit) -> Result[int, Conflict]:
        found: Result[int, Conflict] = await self._call(
            commit_step(commit), lambda: self._core.commit(commit)
        )
        return found

    async def scan(self, since: int, prefixes: list[str]) -> Scan:
        found: Scan = await self._call("table.scan", lambda: self._core.scan(since, prefixes))
        return found

    async def hosts(self) -> list[Host]:
        found: list[Host] = await self._call("hosts.list", self._core.hosts)
        return found

    async def put_object(self, key: str, data: bytes) -> None:
        await self._call("object.put", lambda: self._core.objects.__setitem__(key, data))

    async def get_object(self, key: str) -> bytes | None:
        found: bytes | None = await self._call("object.get", lambda: self._core.objects.get(key))
        return found


class FakeWorker:
    """A worker as one entry reaches it."""

    control_bytes = 0

    def __init__(self, who: str, net: Net, world: "World", name: str) -> None:
        self._who, self._net, self._world, self._name = who, net, world, name

    async def _call(self, step: str, effect: Any, timeout: float = LOST_S) -> Any:
        call = Call(step, self._who, self._name)
        return await self._net.exchange(
            call, lambda: effect(self._world.workers[self._name]), timeout
        )

    async def lease(
        self, token: Token, echo: float, seq: int, seen: int, term: float
    ) -> tuple[LeaseGrant, int]:
        found: tuple[LeaseGrant, int] = await self._call(
            "lease.renew" if echo else "lease.claim",
            lambda w: (w.lease(token, echo, seq, seen, term), w.changes),
        )
        return found

    async def release(self, token: Token) -> None:
        await self._call("lease.release", lambda w: w.release(token))

    async def start(self, token: Token, seq: int, order: StartOrder, until: float) -> None:
        await self._call("task.start", lambda w: w.start(token, seq, order, until))

    async def stop(self, token: Token, task: Task, finish: bool) -> Any:
        return await self._call("task.stop", lambda w: w.stop(token, task, finish))

    async def throttle(self, token: Token, task: Task, on: bool) -> None:
        await self._call("task.throttle", lambda w: w.throttle(token, task, on))

    async def acknowledge(self, token: Token, tasks: list[Task]) -> None:
        await self._call("task.acknowledge", lambda w: w.acknowledge(token, tasks))

    async def serve(self, service: str, request: str, body: bytes, timeout: float) -> bytes:
        seconds = self._world.serve_s * self._world.slowdown.get(self._name, 1.0)
        found: bytes = await self._call(
            "request.send", lambda w: w.serve(service, request, body, seconds), timeout
        )
        return found

    def close(self) -> None:
        pass


class FakeMesh:
    """The mesh as one entry reaches it."""

    traffic = 0

    def __init__(self, who: str, net: Net, world: "World") -> None:
        self._who, self._net, self._world = who, net, world

    def peers(self) -> list[str]:
        return [
            name
            for name in self._world.entries
            if name != self._who and name not in self._net.dead and self._net.open(self._who, name)
        ]

    def cast(self, peer: str, verb: str, body: Any) -> None:
        task = asyncio.ensure_future(self._quiet(peer, verb, body))
        task.add_done_callback(lambda t: t.cancelled() or t.exception())

    async def settle(self, limit_s: float) -> None:
        """Answers are carried by the asking side here."""

    async def _quiet(self, peer: str, verb: str, body: Any) -> None:
        try:
            await self.call(peer, verb, body, LOST_S)
        except CurranthallError:
            pass

    async def call(self, peer: str, verb: str, body: Any, timeout: float) -> Any:
        async def effect() -> Any:
            try:
                return "ok", await self._world.entries[peer].handle(self._who, verb, body)
            except CurranthallError as exc:
                return "failed", failure_to_wire(exc)

        try:
            call = Call(f"mesh.{verb}", self._who, peer)
            how, answer = await self._net.exchange(call, effect, timeout)
        except ConnectFailed as exc:
            raise PeerUnreachable(peer=peer) from exc
        if how == "failed":
            raise failure_from_wire(answer)
        return answer


class World:
    """A platform, workers and entries under one virtual clock."""

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
        """Put a worker into a failure domain."""
        size = Size(cores, memory, 0)
        host = Host(name, domain, f"{domain}-r1", name, size, slots, 64, HostState.LIVE)
        self._incarnations += 1
        self.workers[name] = FreezableEngine(
            host, self.loop.time, f"b{self._incarnations}", self.log
        )
        self.workers[name].net = self.net
        self.net.places[name] = domain
        self.net.dead.discard(name)
        self.core.register(host, lag=False)
        return self.workers[name]

    def add_entry(self, name: str, domain: str) -> Entry:
        """Start an entry; one of the same name is a new incarnation."""
        self._incarnations += 1
        self.net.places[name] = domain
        self.net.dead.discard(name)
        entry = GatedEntry(
            Identity(name, domain, self._incarnations),
            FakePlatform(name, self.net, self.core),
            lambda host: FakeWorker(name, self.net, self, host.name),
            FakeMesh(name, self.net, self),
            self.loop.time,
            lambda: EPOCH + self.loop.time(),
            random.Random(self.rng.random()),
        )
        entry.net = self.net
        self.entries[name] = entry
        entry.start()
        return entry

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.net.dead.add(name)
        if name in self.entries:
            self.entries[name].stop()
        elif name in self.workers:
            self.workers[name].die()

    def freeze(self, name: str) -> None:
        """Stop a process without ending it."""
        self.net.frozen[name] = asyncio.Event()

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        event = self.net.frozen.pop(name, None)
        if name in self.workers:
            self.workers[name].check_lapse()
        if event is not None:
            event.set()
