"""An event loop whose time jumps to the next timer, and fakes at an entry's interfaces."""

import asyncio
import random
import selectors
from collections.abc import Coroutine
from typing import Any

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


class Net:
    """Who can reach whom, who is frozen, and how slow it all is."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.cuts: set[frozenset[str]] = set()
        self.frozen: dict[str, asyncio.Event] = {}
        self.dead: set[str] = set()
        self.late_s: dict[str, float] = {}
        self.lose: dict[str, int] = {}
        self.places: dict[str, str] = {}

    def open(self, a: str, b: str) -> bool:
        """Tell whether a message gets from one to the other."""
        names = {a, self.places.get(a, a)}, {b, self.places.get(b, b)}
        return not any(frozenset((x, y)) in self.cuts for x in names[0] for y in names[1])

    async def hop(self, a: str, b: str) -> bool:
        """Carry a message; False when it is lost."""
        await asyncio.sleep(NET_S * (0.5 + self.rng.random()) + self.late_s.get(b, 0.0))
        while b in self.frozen:
            await self.frozen[b].wait()
        return self.open(a, b) and b not in self.dead

    async def exchange(self, a: str, b: str, effect: Any, timeout: float = LOST_S) -> Any:
        """Call and answer, with what can go wrong on the way there and back."""
        if a in self.dead or b in self.dead or not self.open(a, b):
            await asyncio.sleep(min(timeout, 0.05))
            raise ConnectFailed(peer=b)
        task = asyncio.ensure_future(self._deliver(a, b, effect))
        # The other side goes on when the caller has given up.
        done, _ = await asyncio.wait({task}, timeout=timeout)
        if not done:
            task.add_done_callback(lambda t: t.cancelled() or t.exception())
            raise AnswerLost(peer=b, why="timeout")
        answer = task.result()
        if isinstance(answer, CurranthallError):
            raise answer
        return answer

    async def _deliver(self, a: str, b: str, effect: Any) -> Any:
        if not await self.hop(a, b):
            await asyncio.sleep(LOST_S * 4)
            return AnswerLost(peer=b)
        try:
            answer = effect()
            if asyncio.iscoroutine(answer):
                answer = await answer
        except CurranthallError as exc:
            answer = exc
        if self.lose.get(b, 0) > 0:
            self.lose[b] -= 1
            await asyncio.sleep(LOST_S * 4)
        if not await self.hop(b, a):
            await asyncio.sleep(LOST_S * 4)
        return answer


class FakePlatform:
    """The platform as one entry reaches it."""

    def __init__(self, who: str, net: Net, core: TableCore) -> None:
        self._who = who
        self._net = net
        self._core = core

    async def _call(self, effect: Any) -> Any:
        try:
            return await self._net.exchange(self._who, "platform", lambda: self._slow(effect))
        except ConnectFailed as exc:
            raise PlatformDown(why=exc) from exc

    async def _slow(self, effect: Any) -> Any:
        if self._core.slow_s:
            await asyncio.sleep(self._core.slow_s)
        return effect()

    async def commit(self, commit: Commit) -> Result[int, Conflict]:
        found: Result[int, Conflict] = await self._call(lambda: self._core.commit(commit))
        return found

    async def scan(self, since: int, prefixes: list[str]) -> Scan:
        found: Scan = await self._call(lambda: self._core.scan(since, prefixes))
        return found

    async def hosts(self) -> list[Host]:
        found: list[Host] = await self._call(self._core.hosts)
        return found

    async def put_object(self, key: str, data: bytes) -> None:
        await self._call(lambda: self._core.objects.__setitem__(key, data))

    async def get_object(self, key: str) -> bytes | None:
        found: bytes | None = await self._call(lambda: self._core.objects.get(key))
        return found


class FakeWorker:
    """A worker as one entry reaches it."""

    def __init__(self, who: str, net: Net, world: "World", name: str) -> None:
        self._who, self._net, self._world, self._name = who, net, world, name

    async def _call(self, effect: Any, timeout: float = LOST_S) -> Any:
        return await self._net.exchange(
            self._who, self._name, lambda: effect(self._world.workers[self._name]), timeout
        )

    async def lease(
        self, token: Token, echo: float, seq: int, seen: int, term: float
    ) -> tuple[LeaseGrant, int]:
        found: tuple[LeaseGrant, int] = await self._call(
            lambda w: (w.lease(token, echo, seq, seen, term), w.changes)
        )
        return found

    async def release(self, token: Token) -> None:
        await self._call(lambda w: w.release(token))

    async def start(self, token: Token, seq: int, order: StartOrder) -> None:
        await self._call(lambda w: w.start(token, seq, order))

    async def stop(self, token: Token, task: Task, finish: bool) -> Any:
        return await self._call(lambda w: w.stop(token, task, finish))

    async def throttle(self, token: Token, task: Task, on: bool) -> None:
        await self._call(lambda w: w.throttle(token, task, on))

    async def acknowledge(self, token: Token, tasks: list[Task]) -> None:
        await self._call(lambda w: w.acknowledge(token, tasks))

    async def serve(self, service: str, request: str, body: bytes, timeout: float) -> bytes:
        seconds = self._world.serve_s
        found: bytes = await self._call(lambda w: w.serve(service, request, body, seconds), timeout)
        return found

    def close(self) -> None:
        pass


class FakeMesh:
    """The mesh as one entry reaches it."""

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
            how, answer = await self._net.exchange(self._who, peer, effect, timeout)
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
        self.workers: dict[str, WorkerEngine] = {}
        self.entries: dict[str, Entry] = {}
        self.serve_s = serve_s
        self._incarnations = 0

    def add_worker(
        self, name: str, domain: str, cores: float = 8, memory: float = 32, slots: int = 8
    ) -> WorkerEngine:
        """Put a worker into a failure domain."""
        size = Size(cores, memory, 0)
        host = Host(name, domain, f"{domain}-r1", name, size, slots, 64, HostState.LIVE)
        self._incarnations += 1
        self.workers[name] = WorkerEngine(host, self.loop.time, f"b{self._incarnations}", self.log)
        self.net.places[name] = domain
        self.core.register(host, lag=False)
        return self.workers[name]

    def add_entry(self, name: str, domain: str) -> Entry:
        """Start an entry; one of the same name is a new incarnation."""
        self._incarnations += 1
        self.net.places[name] = domain
        self.net.dead.discard(name)
        entry = Entry(
            Identity(name, domain, self._incarnations),
            FakePlatform(name, self.net, self.core),
            lambda host: FakeWorker(name, self.net, self, host.name),
            FakeMesh(name, self.net, self),
            self.loop.time,
            lambda: EPOCH + self.loop.time(),
            random.Random(self.rng.random()),
        )
        self.entries[name] = entry
        entry.start()
        return entry

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.net.dead.add(name)
        if name in self.entries:
            self.entries[name].stop()
