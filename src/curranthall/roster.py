"""Who else is here: heartbeats, suspicion, and which entry should hold which worker."""

import hashlib
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypedDict

from curranthall.events import Event, log

HEARTBEAT_S = 1.0
SUSPICION_S = 3.0
SETTLE_S = 3.0
REPLACEMENT_S = 60.0


class WorkerView(TypedDict):
    """What a holder tells of a worker."""

    domain: str
    services: list[str]
    inflight: int
    slots: int
    waiting: int
    latency: float
    leaving: bool


class Heartbeat(TypedDict):
    """One entry's word about itself, once a second to every peer."""

    id: str
    incarnation: int
    domain: str
    revision: int
    ready: bool
    workers: dict[str, WorkerView]
    demand: dict[str, int]
    cores: dict[str, float]


class Peer(NamedTuple):
    """A peer as last heard."""

    heartbeat: Heartbeat
    heard_at: float
    up_since: float


class Roster:
    """The entries heard of late."""

    def __init__(self, own_id: str, own_domain: str, clock: Callable[[], float]) -> None:
        self._own_id = own_id
        self._own_domain = own_domain
        self._clock = clock
        self._since = clock()
        self.peers: dict[str, Peer] = {}
        self.revision_heard = 0

    def hear(self, beat: Heartbeat) -> None:
        """Take in a heartbeat; one of an earlier incarnation is dropped."""
        now = self._clock()
        known = self.peers.get(beat["id"])
        if known is not None and beat["incarnation"] < known.heartbeat["incarnation"]:
            return
        up_since = known.up_since if known is not None and self._alive(known) else now
        if known is None or up_since == now:
            log(Event.PEER_UP, peer=beat["id"], incarnation=beat["incarnation"])
        self.peers[beat["id"]] = Peer(beat, now, up_since)
        self.revision_heard = max(self.revision_heard, beat["revision"])

    def forget(self, peer_id: str) -> None:
        """Drop a peer that said goodbye."""
        self.peers.pop(peer_id, None)

    def live(self) -> list[Peer]:
        """List the peers heard within the suspicion time."""
        return [peer for peer in self.peers.values() if self._alive(peer)]

    def is_live(self, peer_id: str) -> bool:
        """Tell whether a peer was heard within the suspicion time."""
        peer = self.peers.get(peer_id)
        return peer is not None and self._alive(peer)

    def _alive(self, peer: Peer) -> bool:
        return self._clock() - peer.heard_at < SUSPICION_S

    def wants(self, worker: str, domain: str) -> bool:
        """Tell whether this entry is the one to hold a worker."""
        now = self._clock()
        if domain != self._own_domain:
            return self._wants_abroad(worker, domain)
        if now - self._since < HEARTBEAT_S * 2:
            return False
        settled = [
            peer.heartbeat["id"]
            for peer in self.live()
            if peer.heartbeat["domain"] == domain and peer.heartbeat["ready"]
        ]
        return choose_entry(worker, [*settled, self._own_id]) == self._own_id

    def _wants_abroad(self, worker: str, domain: str) -> bool:
        now = self._clock()
        if now - self._since < REPLACEMENT_S:
            return False
        heard = [p.heard_at for p in self.peers.values() if p.heartbeat["domain"] == domain]
        if heard and now - max(heard) < REPLACEMENT_S:
            return False
        live = [peer.heartbeat["id"] for peer in self.live() if peer.heartbeat["ready"]]
        return choose_entry(worker, [*live, self._own_id]) == self._own_id

    def worker_views(self) -> Iterable[tuple[str, str, WorkerView]]:
        """Give the workers that live peers hold: peer, worker, view."""
        for peer in self.live():
            for name, view in peer.heartbeat["workers"].items():
                yield peer.heartbeat["id"], name, view

    def share(self, customer: str, own_demand: int) -> float:
        """Give this entry's part of a customer's limit, by demand, never under half a fair part."""
        live = self.live()
        others = sum(peer.heartbeat["demand"].get(customer, 0) for peer in live)
        fair = 1.0 / (1 + len(live))
        if own_demand + others == 0:
            return fair
        return 0.5 * fair + 0.5 * own_demand / (own_demand + others)

    def status(self) -> list[dict[str, Any]]:
        """Show the peers to operators."""
        now = self._clock()
        return [
            {
                "id": peer.heartbeat["id"],
                "domain": peer.heartbeat["domain"],
                "live": self._alive(peer),
                "age_s": round(now - peer.heard_at, 2),
                "revision": peer.heartbeat["revision"],
                "workers": sorted(peer.heartbeat["workers"]),
            }
            for peer in self.peers.values()
        ]


def choose_entry(worker: str, entries: list[str]) -> str:
    """Choose by rendezvous hash: a change of entries moves the fewest workers."""
    return max(entries, key=lambda entry: _weight(worker, entry))


def _weight(worker: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{worker}|{entry}".encode(), digest_size=8).digest()


def suspects(roster: Roster, seen: set[str]) -> set[str]:
    """Log peers that have fallen silent; give the set of live ones."""
    live = {peer.heartbeat["id"] for peer in roster.live()}
    for gone in seen - live:
        log(Event.PEER_SUSPECTED, peer=gone)
    return live
