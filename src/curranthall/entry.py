"""An entry: its components, their loops, readiness and graceful shutdown."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from curranthall.block import BLOCK_PREFIX, QUEUE_PREFIX
from curranthall.config import POLL_S, Config
from curranthall.dispatch import Dispatcher
from curranthall.errors import AnswerLost, CurranthallError, NotReady, PeerUnreachable
from curranthall.events import Event, log
from curranthall.lease import LeaseKeeper
from curranthall.ledger import Ledger
from curranthall.link import Mesh
from curranthall.model import Change, Commit, Host, HostState, Scan, Task
from curranthall.placement import Placer
from curranthall.request import Endpoints, Router, ServiceRequest
from curranthall.roster import HEARTBEAT_S, Heartbeat, Roster, log_suspected_peers
from curranthall.rows import CONFIG_PREFIX
from curranthall.table import Platform, host_from_json, host_to_json
from curranthall.takeover import Survey
from curranthall.worker import Worker

ENTRY_PREFIX = "entry/"
HOSTS_POLL_S = 1.0
LEASE_TICK_S = 0.2
WORKERS_TICK_S = 0.1
TABLE_TICK_S = 0.2
CALL_TIMEOUT_S = 1.0
DRAIN_NOTICE_S = 1.5
DRAIN_LIMIT_S = 20.0
# Time at the end of a shutdown to finish answering peers.
MESH_DRAIN_S = 1.0


class Identity(NamedTuple):
    """The id and addresses of an entry; `incarnation` grows with each start."""

    id: str
    domain: str
    incarnation: int
    mesh_address: str = ""
    caller_address: str = ""


class Entry:
    """One entry without its ports; EntryProcess adds them."""

    def __init__(
        self,
        identity: Identity,
        platform: Platform,
        connect: Callable[[Host], Worker],
        mesh: Mesh,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.platform = platform
        self.mesh = mesh
        self.clock = clock
        self.wall_clock = wall_clock
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()
        self._live_peers: set[str] = set()
        self.draining = False
        prefixes = [
            CONFIG_PREFIX,
            ENTRY_PREFIX,
            QUEUE_PREFIX,
            f"{BLOCK_PREFIX}{identity.domain}/",
        ]
        self.config = Config(platform, clock, prefixes, self._scan_via_peer)
        self.roster = Roster(identity.id, identity.domain, clock)
        self.ledger = Ledger(
            identity.id,
            identity.incarnation,
            identity.domain,
            clock,
            self.new_txn,
            self.config,
            self.roster,
            platform,
        )
        self.dispatcher = Dispatcher(self.ledger, Placer(), self._survey_peers, self.spawn)
        holder = f"{identity.id}.{identity.incarnation}"
        self.keeper = LeaseKeeper(
            holder,
            clock,
            connect,
            self.dispatcher.on_outcome,
            self.spawn,
            self.dispatcher.on_report,
        )
        self.ledger.keeper = self.keeper
        self.keeper.on_change = self.ledger.mark_due
        self.config.on_change = self.ledger.mark_due
        self.endpoints = Endpoints(self.keeper, self.config, clock)
        self.router = Router(
            identity.id,
            identity.domain,
            clock,
            rng,
            self.config,
            self.roster,
            self.endpoints,
            mesh,
        )

    # Lifecycle

    def start(self) -> None:
        """Start the loops."""
        log(Event.ENTRY_STARTED, id=self.identity.id, domain=self.identity.domain)
        self._every(POLL_S, self._poll)
        self._every(HOSTS_POLL_S, self._follow_hosts)
        self._every(HEARTBEAT_S, self._beat)
        self._every(LEASE_TICK_S, self._hold_workers)
        self._every(WORKERS_TICK_S, self._run_workers)
        self._every(TABLE_TICK_S, self.dispatcher.step_table)

    def stop(self) -> None:
        """Cancel everything at once and release nothing, as in a crash."""
        for task in list(self._tasks):
            task.cancel()

    async def drain(self, in_flight: Callable[[], int]) -> None:
        """Shut down gracefully: finish the requests, release blocks and leases."""
        log(Event.ENTRY_DRAINING, id=self.identity.id)
        self.draining = True
        self.ledger.draining = True
        await self._beat()
        await asyncio.sleep(DRAIN_NOTICE_S)
        limit = self.clock() + DRAIN_LIMIT_S
        while self.clock() < limit and (in_flight() or self._is_busy()):
            await asyncio.sleep(0.05)
        # A peer that learns late of the shutdown may still forward requests here.
        self.endpoints.closed = True
        while self.clock() < limit and self.endpoints.is_busy:
            await asyncio.sleep(0.05)
        for held in list(self.keeper.workers.values()):
            await self.keeper.release(held)
        for peer in self.mesh.peers():
            self.mesh.cast(peer, "bye", {"id": self.identity.id})
        await asyncio.sleep(0.05)
        await self.mesh.drain(MESH_DRAIN_S)
        self.stop()
        log(Event.ENTRY_STOPPED, id=self.identity.id)

    def _is_busy(self) -> bool:
        return self.endpoints.is_busy or any(True for _ in self.ledger.held_blocks())

    @property
    def ready(self) -> bool:
        """Return whether callers may use this entry."""
        return self.config.revision > 0 and not self.draining

    @property
    def control_bytes(self) -> int:
        """Return the bytes of control traffic, including requests forwarded over the mesh."""
        workers = sum(held.worker.control_bytes for held in self.keeper.workers.values())
        return self.platform.traffic + self.mesh.traffic + workers

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the loops; its failure is logged."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def new_txn(self) -> str:
        """Make a transaction id."""
        return f"{self.identity.id}.{self.identity.incarnation}.{self._rng.getrandbits(64):x}"

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(Event.LOOP_FAILED, error=repr(task.exception()))

    def _every(self, seconds: float, step: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self.spawn(self._loop(seconds, step))

    async def _loop(self, seconds: float, step: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                await step()
            except CurranthallError as exc:
                log(Event.LOOP_FAILED, where=step.__name__, error=exc)
            except Exception as exc:
                # An unexpected fault must not end the loop, as nothing would start it again.
                log(Event.LOOP_FAILED, where=step.__name__, error=repr(exc))
            await asyncio.sleep(seconds * (0.95 + 0.1 * self._rng.random()))

    # Loops

    async def _poll(self) -> None:
        was_ready = self.ready
        await self.config.poll()
        stale = self.clock() - self.config.confirmed_at > HEARTBEAT_S
        if stale and self.roster.newest_revision > self.config.revision:
            await self._adopt_peer_config()
        if self.ready and not was_ready:
            log(Event.ENTRY_READY, revision=self.config.revision)
        await self._register()

    async def _adopt_peer_config(self) -> None:
        live = self.roster.live()
        if not live:
            return
        newest = max(live, key=lambda peer: peer.heartbeat["revision"])
        try:
            found = await self.mesh.call(newest.heartbeat["id"], "snapshot", {}, CALL_TIMEOUT_S)
        except CurranthallError:
            return
        self.config.apply_snapshot(found["revision"], [Change(*row) for row in found["changes"]])

    async def _register(self) -> None:
        key = ENTRY_PREFIX + self.identity.id
        row = self.config.mirror.value(key)
        own = {**self.identity._asdict()}
        if self.config.mirror.scanned == 0 and self.config.confirmed_at < 0 or row == own:
            return
        version = self.config.mirror.version(key)
        result = await self.platform.commit(Commit(self.new_txn(), {key: version}, {key: own}))
        if result.is_ok():
            self.config.mirror.apply(Change(key, result.unwrap(), "", own))

    async def _follow_hosts(self) -> None:
        asked_at = self.clock()
        try:
            hosts = await self.platform.hosts()
        except CurranthallError:
            await self._update_hosts_from_peer()
            return
        self.keeper.update_hosts(hosts)
        self.ledger.hosts_listed_at = asked_at
        for host in hosts:
            if host.state is HostState.GONE:
                self.dispatcher.on_gone(host.name)

    async def _update_hosts_from_peer(self) -> None:
        """Get the workers from a peer if the list can't be read and none is known yet."""
        if self.keeper.workers:
            return
        for peer in self.mesh.peers():
            try:
                found = await self.mesh.call(peer, "hosts", {}, CALL_TIMEOUT_S)
            except CurranthallError:
                continue
            self.keeper.update_hosts([host_from_json(value) for value in found])
            return

    async def _beat(self) -> None:
        self._live_peers = log_suspected_peers(self.roster, self._live_peers)
        heartbeat = self.heartbeat()
        for peer in self.mesh.peers():
            self.mesh.cast(peer, "beat", heartbeat)

    def heartbeat(self) -> Heartbeat:
        """Build the heartbeat for peers."""
        return Heartbeat(
            id=self.identity.id,
            incarnation=self.identity.incarnation,
            domain=self.identity.domain,
            revision=self.config.revision,
            ready=self.ready,
            workers=self.endpoints.worker_views() if not self.draining else {},
            demand={name: count for name, count in self.router.demand.items() if count},
            cores=self.ledger.cores_by_customer(),
        )

    async def _hold_workers(self) -> None:
        self.keeper.step(self._has_lease if self.draining else self._should_hold)

    def _should_hold(self, host: Host) -> bool:
        return self.roster.should_hold(host.name, host.domain)

    def _has_lease(self, host: Host) -> bool:
        # During a shutdown, leases are renewed but none is claimed.
        return self.keeper.workers[host.name].lease is not None

    async def _run_workers(self) -> None:
        self.dispatcher.step_workers()

    # Calls from peers

    async def handle(self, peer: str, verb: str, body: Any) -> Any:
        """Answer a message or call of a peer."""
        match verb:
            case "beat":
                known = peer in self.roster.peers
                self.roster.record(body)
                if not known:
                    self.mesh.cast(peer, "beat", self.heartbeat())
                return None
            case "bye":
                self.roster.forget(body["id"])
                return None
            case "forward":
                return await self._serve_forwarded(body)
            case "survey":
                return self._answer_survey(body["domain"])
            case "scan":
                scan = await self.platform.scan(body["since"], body["prefixes"])
                return [scan.revision, [list(change) for change in scan.changes]]
            case "snapshot":
                found = self.config.snapshot()
                return {**found, "changes": [list(change) for change in found["changes"]]}
            case "hosts":
                return [host_to_json(held.host) for held in self.keeper.workers.values()]
            case _:
                raise NotReady(why="unknown verb", verb=verb)

    async def _serve_forwarded(self, body: dict[str, Any]) -> bytes:
        deadline = self.clock() + body["left"]
        req = ServiceRequest(
            body["id"],
            body["service"],
            body["customer"],
            body["body"],
            deadline,
            body["idempotent"],
        )
        return await self.endpoints.serve(body["worker"], req)

    def _answer_survey(self, domain: str) -> dict[str, list[list[Any]]]:
        found = self.dispatcher.takeover.own_survey(domain)
        return {name: [list(task) for task in tasks] for name, tasks in found.items()}

    # Calls to peers

    async def _survey_peers(self, domain: str) -> Survey:
        found: Survey = {}
        calls = [
            self.mesh.call(peer, "survey", {"domain": domain}, CALL_TIMEOUT_S)
            for peer in self.mesh.peers()
        ]
        for answer in await asyncio.gather(*calls, return_exceptions=True):
            if isinstance(answer, dict):
                for name, tasks in answer.items():
                    found[name] = [Task(*task) for task in tasks]
        return found

    async def _scan_via_peer(self, since: int, prefixes: list[str]) -> Scan:
        body = {"since": since, "prefixes": prefixes}
        for peer in self._rng.sample(self.mesh.peers(), len(self.mesh.peers())):
            try:
                revision, changes = await self.mesh.call(peer, "scan", body, CALL_TIMEOUT_S)
            except (AnswerLost, PeerUnreachable):
                continue
            return Scan(revision, [Change(*change) for change in changes])
        raise PeerUnreachable(why="no peer reaches the table")
