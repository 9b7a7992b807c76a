"""Daemon of an entry host: connects the components and watches the store."""

import asyncio
import os
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import NamedTuple

from curranthall.admission import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB, Admission
from curranthall.catalogue import Catalogue, Evacuation, Operation, Operations
from curranthall.cells.advice import Advice
from curranthall.cells.options import Options
from curranthall.cells.owner import Claimant
from curranthall.cells.ports import AskAdvice, WorkerPort
from curranthall.cells.runtime import CellRuntime
from curranthall.cells.succession import Environment, Succession
from curranthall.cells.tracking import Bounds
from curranthall.cells.waits import idle_jobs
from curranthall.errors import AnswerLost, PlatformDown
from curranthall.events import Event, log
from curranthall.intake import Intake
from curranthall.link import SocketMesh
from curranthall.model import Host
from curranthall.store import ABSENT, Check, Put, Row, Stale, Store
from curranthall.telemetry import Sample
from curranthall.watch import FEED_WAIT_MS, TableWatch

ENTRY_TABLE = "entries"
MESH_KEY = "mesh-key"
MESH_KEY_BYTES = 32
STORE_RETRY_S = 0.1
# Pause before a loop that has failed runs again.
LOOP_RETRY_S = 0.5
# An entry is not ready if its last successful read of the store is older than this.
MAX_READ_AGE_S = 2.5
# Pause between reads of worker changes. A cell's holder must notice a leaving worker within 2 s
# (the platform's bound); other entries need the list only to take a cell.
HOLDER_PAUSE_S = 0.7
OTHER_PAUSE_S = 5.0
DIAL_INTERVAL_S = 0.5
# Reads of the configuration within the time after which keys are not accepted any more. A reading
# counts from when it was sent, so a healthy entry's is up to two reads old.
READS_PER_REVOCATION = 5


class Deployment(NamedTuple):
    """Startup settings of a process; addresses are host:port, times in seconds."""

    name: str
    domain: str
    domains: tuple[str, ...]
    frontend: str
    readiness: str
    mesh: str
    store: str
    cpu_cores: float
    advisor: str
    grace_s: float
    bounds: Bounds
    options: Options = Options()
    memory_mb: int = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS
    # Oldest reading of the configuration by which keys are accepted; None accepts any.
    revoke_s: float | None = None


class RowFormat(NamedTuple):
    """Names and row decoders of the platform's tables."""

    host_table: str
    operation_table: str
    decode_host: Callable[[Row], Host | None]
    decode_operation: Callable[[Row], Operation | None]


class HostDecoder:
    """Decodes workers' rows, caching each by its version; most updates change only a counter."""

    def __init__(self, decode: Callable[[Row], Host | None]) -> None:
        self._decode = decode
        self._decoded: dict[str, tuple[int, Host | None]] = {}

    def update(self, rows: Iterable[Row]) -> dict[str, Host]:
        """Return the workers in the rows, by name."""
        previous, self._decoded = self._decoded, {}
        for row in rows:
            cached = previous.get(row.key)
            is_current = cached is not None and cached[0] == row.version
            self._decoded[row.key] = (
                cached if is_current and cached else (row.version, self._decode(row))
            )
        return {host.name: host for _, host in self._decoded.values() if host is not None}


def boot_clock() -> float:
    """Return monotonic seconds, including time in which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> float:
    """Return milliseconds since the Unix epoch."""
    return time.time() * 1000


def _cell_samples(cell: str, runtime: CellRuntime, now: float) -> Iterator[Sample]:
    dispatcher, label = runtime.dispatcher, {"cell": cell}
    yield Sample("cell_epoch", label, dispatcher.epoch)
    yield Sample("cell_confirmed_age_seconds", label, now - runtime.confirmed_at)
    yield Sample("cell_jobs", label, len(dispatcher.tracked))
    members = list(dispatcher.members.values())
    usable = sum(member.is_usable(now) for member in members)
    yield Sample("workers", {**label, "state": "usable"}, usable)
    yield Sample("workers", {**label, "state": "other"}, len(members) - usable)
    yield Sample("workers_unproven", label, dispatcher.count_unproven())
    yield Sample("workers_paced", label, sum(member.pace < 100 for member in members))
    yield Sample("jobs_chosen_late", label, dispatcher.order.count_late())
    yield Sample("runs", label, sum(len(member.runs) for member in members))
    for state in dispatcher.quota.states():
        labels = {**label, "customer": state.customer}
        yield Sample("customer_parts", labels, state.parts)
        yield Sample("customer_used_parts", labels, state.used)
        yield Sample("customer_cores", labels, state.cores)
        yield Sample("customer_limited_tasks", labels, state.waiting_tasks)
    yield Sample("copies", label, len(dispatcher.copies.open))
    for service, load in runtime.owner.load.items():
        if load.backlog is not None:
            labels = {**label, "service": service}
            for kind, work in (("plain", load.backlog.plain), ("filling", load.backlog.filling)):
                total = sum(each.core_seconds for each in work)
                yield Sample("backlog_core_seconds", {**labels, "kind": kind}, total)
    for queue, count in runtime.waiting_jobs().items():
        yield Sample("queue_waiting_jobs", {**label, "queue": queue}, count)
    for row in dispatcher.waits:
        labels = {**label, "queue": row.queue, "size": row.size}
        yield Sample("waiting_tasks", {**labels, "reason": row.why}, row.tasks)
    waited_s = max((row.waited_s for row in dispatcher.lasting_waits), default=0.0)
    yield Sample("lasting_wait_seconds", label, waited_s)
    for (queue, size), count in idle_jobs(dispatcher.waits).items():
        yield Sample("idle_jobs", {**label, "queue": queue, "size": size}, count)


def _ownership_samples(succession: Succession, now: float) -> Iterator[Sample]:
    """Yield samples of what this entry knows about the cells' waiting jobs."""
    watch, held = succession.watch, succession.held
    for cell in watch.cells:
        label, age_ms = {"cell": cell}, watch.row_age_ms(cell, now)
        if cell in held:
            yield Sample("cell_loaded", label, float(held[cell].loaded))
        elif age_ms is not None:
            yield Sample("owner_row_age_seconds", label, age_ms / 1000)
            for queue, count in watch.waiting(cell).by_queue.items():
                yield Sample("shown_waiting_jobs", {**label, "queue": queue}, count)


def _config_wait_ms(revoke_s: float | None) -> int:
    """Return how long a read of the configuration's feed waits for a change."""
    if revoke_s is None:
        return FEED_WAIT_MS
    return min(FEED_WAIT_MS, int(revoke_s * 1000) // READS_PER_REVOCATION)


class Daemon:
    """Runs one entry on the platform."""

    def __init__(
        self,
        deployment: Deployment,
        store: Store,
        row_format: RowFormat,
        connect: Callable[[Host], WorkerPort],
        is_reachable: Callable[[Host], Awaitable[bool]],
        advise: Callable[[AskAdvice], Awaitable[Advice]],
        admission: Admission | None = None,
    ) -> None:
        self.deployment = deployment
        self._admission = admission
        self.operations = Operations()
        self.leaving = False
        self._store = store
        self._row_format = row_format
        self._hosts: dict[str, Host] | None = None
        # The workers that the held cells have processed.
        self._passed_hosts: dict[str, Host] | None = None
        self._host_decoder = HostDecoder(row_format.decode_host)
        self._tasks: list[asyncio.Task[None]] = []
        self._mesh: SocketMesh | None = None
        self._operation_watch = TableWatch(
            store,
            row_format.operation_table,
            self._on_operations,
            clock=boot_clock,
            feed_wait_ms=_config_wait_ms(deployment.revoke_s),
        )
        self._host_watch = TableWatch(
            store, row_format.host_table, self._on_hosts, pause_s=self._host_pause
        )
        me = Claimant(
            deployment.name,
            deployment.mesh,
            time.time_ns() // 1_000_000 ^ int.from_bytes(os.urandom(3), "big") << 44,
            deployment.domain,
            deployment.cpu_cores,
        )
        environment = Environment(
            store,
            connect,
            boot_clock,
            wall_ms,
            self.operations.queue_of,
            lambda: self._hosts,
            lambda: self.operations.evacuated,
            self.cast,
            is_reachable,
            lambda: self._host_watch.skip_pause(),
            advise,
            self.lost_at,
            self.operations.customers,
            self.operations.customer_of,
        )
        self.succession = Succession(
            me, deployment.domains, deployment.bounds, environment, deployment.options
        )
        self.intake = Intake(
            self.succession,
            store,
            self,
            boot_clock,
            lambda: self.operations.evacuated,
            self.operations.queue_of,
        )

    @property
    def ready(self) -> bool:
        """Return whether this entry should get new connections."""
        is_fresh = boot_clock() - self.succession.read_ok_at < MAX_READ_AGE_S
        return self.operations.catalogue is not None and is_fresh and not self.leaving

    @property
    def config_is_stale(self) -> bool:
        """Return whether the configuration was read too long ago to accept keys by it."""
        revoke_s = self.deployment.revoke_s
        return revoke_s is not None and self._config_age_s() >= revoke_s

    def _config_age_s(self) -> float:
        return boot_clock() - self._operation_watch.read_at

    async def start(self) -> None:
        """Start the loops; those that need the store retry until it answers."""
        for loop in (self._operation_watch.run, self._host_watch.run, self._join, self._dial):
            self._tasks.append(asyncio.create_task(self._keep_running(loop)))

    async def leave(self) -> None:
        """Stop being ready and release all held cells."""
        self.leaving = True
        await self.succession.leave()

    async def stop(self) -> None:
        """Stop all loops and close the mesh."""
        for task in self._tasks:
            task.cancel()
        self.succession.stop()
        if self._mesh is not None:
            await self._mesh.close()

    def collect_samples(self) -> Iterator[Sample]:
        """Yield the metric samples of this process."""
        now, catalogue = boot_clock(), self.operations.catalogue
        yield Sample("ready", {}, float(self.ready))
        yield Sample("store_read_age_seconds", {}, now - self.succession.read_ok_at)
        yield Sample("configuration_version", {}, catalogue.version if catalogue else 0)
        yield Sample("configuration_age_seconds", {}, self._config_age_s())
        if catalogue is not None:
            yield Sample("customers", {}, len(catalogue.customers))
            yield Sample("customer_keys", {}, catalogue.customers.key_count)
        for cell, runtime in self.succession.held.items():
            yield from _cell_samples(cell, runtime, now)
        yield from _ownership_samples(self.succession, now)
        if self._admission is not None:
            yield from self._admission.samples()

    # Links to other entries, for the intake and the held cells

    def cast(self, peer: str, verb: str, body: object) -> None:
        """Send a message to a peer without waiting for an answer."""
        if self._mesh is not None:
            self._mesh.cast(peer, verb, body)

    async def call(self, peer: str, verb: str, body: object, timeout: float) -> object:
        """Call a peer and return its answer; raise a CurranthallError."""
        if self._mesh is None:
            raise PlatformDown(why="no mesh yet")
        return await self._mesh.call(peer, verb, body, timeout)

    def lost_at(self, peer: str) -> float:
        """Return when a link to a peer was last lost, -inf if never."""
        return -float("inf") if self._mesh is None else self._mesh.lost_at(peer)

    async def _keep_running(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop until cancelled; after a failure, log it and run the loop again.

        The process goes on: its other loops work, and would meet the same input after a restart.
        """
        while True:
            try:
                await loop()
            except Exception as exc:
                log(Event.LOOP_FAILED, where=loop.__qualname__, error=repr(exc))
            await asyncio.sleep(LOOP_RETRY_S)

    async def _join(self) -> None:
        """Start the mesh with the shared key, then run the succession."""
        if self._mesh is None:
            self._mesh = await self._start_mesh(await self._obtain_mesh_key())
        await self.succession.run()

    async def _start_mesh(self, key: bytes) -> SocketMesh:
        mesh = SocketMesh(self.deployment.mesh, key, boot_clock, self._admission)
        mesh.handler = self.intake.handle
        host, _, port = self.deployment.mesh.rpartition(":")
        await mesh.start(host, int(port))
        return mesh

    async def _obtain_mesh_key(self) -> bytes:
        while True:
            try:
                listing = await self._store.scan(ENTRY_TABLE, "", MESH_KEY, MESH_KEY + "\0")
                version = ABSENT
                for row in listing.rows:
                    if row.value:
                        return row.value
                    version = row.version
                key = os.urandom(MESH_KEY_BYTES)
                answer = await self._store.commit(
                    "",
                    [Check(ENTRY_TABLE, MESH_KEY, version)],
                    [Put(ENTRY_TABLE, MESH_KEY, key)],
                    [],
                )
                if not isinstance(answer, Stale):
                    return key
            except (PlatformDown, AnswerLost) as exc:
                log(Event.STORE_FAILED, what="mesh key", error=exc)
                await asyncio.sleep(STORE_RETRY_S)

    async def _dial(self) -> None:
        """Keep links to the holders of cells only."""
        while True:
            await asyncio.sleep(DIAL_INTERVAL_S)
            if self._mesh is None:
                continue
            watch = self.succession.watch
            owners = [watch.holder(cell) for cell in watch.cells]
            wanted = {owner.address for owner in owners if owner is not None and owner.address}
            self._mesh.retain(wanted - {self.deployment.mesh})

    # Changes of operations and workers

    def _on_operations(self) -> None:
        evacuated = set()
        for row in self._operation_watch.rows.values():
            match self._row_format.decode_operation(row):
                case Catalogue() as catalogue:
                    self._on_catalogue(catalogue)
                case Evacuation(domain):
                    evacuated.add(domain)
        if frozenset(evacuated) != self.operations.evacuated:
            self.operations.evacuated = frozenset(evacuated)
            log(Event.DOMAINS_OUT, domains=sorted(evacuated))
            self.succession.on_evacuated(self.operations.evacuated)

    def _on_catalogue(self, catalogue: Catalogue) -> None:
        if not self.operations.apply(catalogue):
            return
        customers = catalogue.customers
        log(
            Event.CONFIG_IN_FORCE,
            version=catalogue.version,
            routes=len(catalogue.routes),
            customers=len(customers),
            keys=customers.key_count,
            ambiguous=sorted(customers.ambiguous),
        )
        for runtime in self.succession.held.values():
            runtime.dispatcher.reconfigure()

    def _host_pause(self) -> float:
        return HOLDER_PAUSE_S if self.succession.held else OTHER_PAUSE_S

    def _on_hosts(self) -> None:
        hosts = self._host_decoder.update(self._host_watch.rows.values())
        if hosts != self._passed_hosts:
            self._hosts = hosts
            self.succession.on_hosts(hosts)
            self._passed_hosts = hosts
