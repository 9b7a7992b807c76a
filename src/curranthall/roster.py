"""Membership: heartbeats, suspected failures, and which entry should hold which worker."""

import hashlib
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypedDict

from curranthall.events import Event, log

HEARTBEAT_S = 1.0
SUSPICION_S = 3.0
SETTLE_S = 3.0
REMOTE_TAKEOVER_S = 60.0


class WorkerView(TypedDict):
    """A held worker as its holder describes it to peers."""

    domain: str
    services: list[str]
    inflight: int
    slots: int
    waiting: int
    latency: float
    leaving: bool


class Heartbeat(TypedDict):
    """The state of one entry, sent every HEARTBEAT_S to each peer."""

    id: str
    incarnation: int
    domain: str
    revision: int
    ready: bool
    workers: dict[str, WorkerView]
    demand: dict[str, int]
    cores: dict[str, float]


class Peer(NamedTuple):
    """A peer's last heartbeat and when it arrived."""

    heartbeat: Heartbeat
    received_at: float
    up_since: float


class Roster:
    """The known peers and the division of work among the live ones."""

    def __init__(self, own_id: str, own_domain: str, clock: Callable[[], float]) -> None:
        self._own_id = own_id
        self._own_domain = own_domain
        self._clock = clock
        self._started_at = clock()
        self.peers: dict[str, Peer] = {}
        self.newest_revision = 0

    def record(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; one of an earlier incarnation is ignored."""
        now = self._clock()
        known = self.peers.get(heartbeat["id"])
        if known is not None and heartbeat["incarnation"] < known.heartbeat["incarnation"]:
            return
        up_since = known.up_since if known is not None and self._is_alive(known) else now
        if known is None or up_since == now:
            log(Event.PEER_UP, peer=heartbeat["id"], incarnation=heartbeat["incarnation"])
        self.peers[heartbeat["id"]] = Peer(heartbeat, now, up_since)
        self.newest_revision = max(self.newest_revision, heartbeat["revision"])

    def forget(self, peer_id: str) -> None:
        """Remove a peer that is shutting down."""
        self.peers.pop(peer_id, None)

    def live(self) -> list[Peer]:
        """List the peers whose last heartbeat is younger than SUSPICION_S."""
        return [peer for peer in self.peers.values() if self._is_alive(peer)]

    def is_live(self, peer_id: str) -> bool:
        """Return whether a peer's last heartbeat is younger than SUSPICION_S."""
        peer = self.peers.get(peer_id)
        return peer is not None and self._is_alive(peer)

    def _is_alive(self, peer: Peer) -> bool:
        return self._clock() - peer.received_at < SUSPICION_S

    def should_hold(self, worker: str, domain: str) -> bool:
        """Return whether this entry should hold a worker."""
        now = self._clock()
        if domain != self._own_domain:
            return self._should_hold_remote(worker, domain)
        if now - self._started_at < HEARTBEAT_S * 2:
            return False
        ready_peers = [
            peer.heartbeat["id"]
            for peer in self.live()
            if peer.heartbeat["domain"] == domain and peer.heartbeat["ready"]
        ]
        return choose_entry(worker, [*ready_peers, self._own_id]) == self._own_id

    def _should_hold_remote(self, worker: str, domain: str) -> bool:
        now = self._clock()
        if now - self._started_at < REMOTE_TAKEOVER_S:
            return False
        received = [p.received_at for p in self.peers.values() if p.heartbeat["domain"] == domain]
        if received and now - max(received) < REMOTE_TAKEOVER_S:
            return False
        live = [peer.heartbeat["id"] for peer in self.live() if peer.heartbeat["ready"]]
        return choose_entry(worker, [*live, self._own_id]) == self._own_id

    def worker_views(self) -> Iterable[tuple[str, str, WorkerView]]:
        """Yield (peer, worker, view) of the workers that live peers hold."""
        for peer in self.live():
            for name, view in peer.heartbeat["workers"].items():
                yield peer.heartbeat["id"], name, view

    def limit_share(self, customer: str, own_demand: int) -> float:
        """Return this entry's share of a customer's limit: half split equally, half by demand."""
        live = self.live()
        others = sum(peer.heartbeat["demand"].get(customer, 0) for peer in live)
        equal_share = 1.0 / (1 + len(live))
        if own_demand + others == 0:
            return equal_share
        return 0.5 * equal_share + 0.5 * own_demand / (own_demand + others)

    def status(self) -> list[dict[str, Any]]:
        """Describe the peers for operators."""
        now = self._clock()
        return [
            {
                "id": peer.heartbeat["id"],
                "domain": peer.heartbeat["domain"],
                "live": self._is_alive(peer),
                "age_s": round(now - peer.received_at, 2),
                "revision": peer.heartbeat["revision"],
                "workers": sorted(peer.heartbeat["workers"]),
            }
            for peer in self.peers.values()
        ]


def choose_entry(worker: str, entries: list[str]) -> str:
    """Choose an entry by rendezvous hashing; a change of entries moves the fewest workers."""
    return max(entries, key=lambda entry: _weight(worker, entry))


def _weight(worker: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{worker}|{entry}".encode(), digest_size=8).digest()


def log_suspected_peers(roster: Roster, formerly_live: set[str]) -> set[str]:
    """Log peers that are no longer live; return the ids of the live ones."""
    live = {peer.heartbeat["id"] for peer in roster.live()}
    for peer_id in formerly_live - live:
        log(Event.PEER_SUSPECTED, peer=peer_id)
    return live
