"""Cell ownership: the owner row in the store, and when another entry may take a cell."""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from math import ceil
from typing import Any, NamedTuple

from cbor2 import dumps, loads

from curranthall.cells.load import Load, decode_loads, encode_loads
from curranthall.dag import TaskId
from curranthall.events import Event, log
from curranthall.model import Host, HostState, Size
from curranthall.store import Listing, Row
from curranthall.values import (
    DECODE_ERRORS,
    MAX_WHOLE,
    checked,
    fields,
    finite,
    integer,
    items,
    reason,
    text,
    whole,
)

CELL_TABLE = "cells"
# Read only by holders, so that the owner row, which every entry polls, stays small.
DETAIL_TABLE = "cell-details"
CELL_PART = ""
# Holders renew their row, and all entries read the rows, at this interval.
RENEW_S = 0.8
# A holder that has not renewed for this long (three intervals) may be replaced.
VACANT_S = 2.4
# New jobs go to other cells once a holder's row is older: two intervals and the calls in between,
# which take longer while the store is slow.
OVERDUE_S = 1.7
OVERDUE_CALLS = 2
# A holder that cannot renew its row sends no orders after this time, and none of its leases lasts
# longer. It exceeds the store outages that a cell must survive, and it bounds a successor's wait.
ORDER_LIMIT_S = 12.0
# Margin for workers' clocks, which may be 2 % slow, and for old readings of them.
LEASE_SLACK_S = 0.5
# The longest that a worker's slow clock makes a lease, relative to its length.
LEASE_STRETCH = 1.03
# Margin of times handed over for the drift of the store's and the entries' clocks.
HANDOVER_SLACK_S = 0.1
# After a longer gap between two reads, an unchanged row does not show a missed renewal.
GAP_S = 1.6
# Delays before a vacant cell is taken: better suited entries try first, so that few compete.
OTHER_DOMAIN_S = 0.6
PER_HELD_CELL_S = 0.3
FEW_CORES_S = 0.15
# Delay of an entry with none of the cores that holding the cell takes; less in proportion to the
# cores that it has. It exceeds the time in which all entries notice a released cell.
TOO_FEW_CORES_S = 3.0
# What a holder needs for each worker of its cell.
CORES_PER_WORKER = 0.015
# The least pause between two probes of a cell whose workers are out of reach.
MIN_PROBE_PAUSE_S = 0.2
UNREACHED = float("inf")
# How long an entry that gave up a cell (e.g. its workers are out of reach) leaves it to others.
ABSTAIN_S = 6.0
# A published count of waiting jobs that lacks changes older than this is completed from the feed.
# It exceeds the age that the feed, the renewals and the polls of a healthy cell add up to.
MAX_COUNT_AGE_S = 4.0


def longest_lease_s(max_hold_s: float) -> float:
    """Return for how many seconds a lease lasts at most after it was sent, with a margin."""
    return max_hold_s * LEASE_STRETCH + LEASE_SLACK_S


class MovedJobs(NamedTuple):
    """Waiting jobs of a queue that a row of this version moved to another cell.

    They count until that cell's count includes the version.
    """

    cell: str
    version: int
    queue: str
    jobs: int


class Owner(NamedTuple):
    """A cell's owner row; `holder` is empty once the cell is released."""

    holder: str
    address: str
    incarnation: int
    epoch: int
    load: dict[str, Load]
    waiting: dict[str, int]
    # No worker accepts orders of an earlier holder any more.
    fenced: bool = True
    # When the row was written, by the store's clock; 0 if unknown.
    written_ms: int = 0
    # The number of workers in the roster.
    workers: int = 0
    # Until when orders of this holder and of earlier ones may have effect, by the store's clock; 0
    # if unknown. It counts from when the row was composed, and binds its writer.
    orders_until_ms: int = 0
    # The store version up to which progress rows are included in `waiting`; 0 if unknown.
    counted_to: int = 0
    moved: tuple[MovedJobs, ...] = ()

    def encode(self) -> bytes:
        """Encode the row's value."""
        return dumps([*self[:4], encode_loads(self.load), *self[5:]])


# Stands for the workers of a roster that cannot be read; nothing listens at its address.
UNKNOWN_WORKER = "unknown"
UNKNOWN_ADDRESS = "0.0.0.0:1"
# Shares of a worker's cores are computed.
MIN_CORES = 0.001
# Stands for a row that cannot be read: an entry of another version may hold the cell.
UNREADABLE_OWNER = Owner("unreadable", "", 0, 0, {}, {}, fenced=False)


def decode_owner(data: bytes) -> Owner:
    """Decode a row's value; raise one of DECODE_ERRORS when it is invalid."""
    holder, address, incarnation, epoch, load, waiting, *more = items(loads(data))
    # Rows written by earlier versions lack these fields.
    defaults: tuple[Any, ...] = False, 0, 0, 0, 0, []
    fenced, written_ms, workers, until_ms, counted_to, moved = (*more, *defaults[len(more) :])[:6]
    return Owner(
        text(holder),
        text(address),
        integer(incarnation),
        whole(epoch),
        decode_loads(load),
        {text(queue): whole(count) for queue, count in fields(waiting).items()},
        fenced is True,
        whole(written_ms),
        whole(workers),
        whole(until_ms),
        whole(counted_to),
        tuple(map(_moved_jobs, items(moved))),
    )


def _moved_jobs(value: object) -> MovedJobs:
    cell, version, queue, jobs = items(value)
    return MovedJobs(text(cell), whole(version), text(queue), whole(jobs))


def decode_owner_row(row: Row, newest_version: int = MAX_WHOLE) -> Owner | None:
    """Decode a row; return None for a deleted one and, logged, UNREADABLE_OWNER for an odd one.

    No epoch is above the store's newest version; the next holder would take a greater one still.
    """
    if row.value is None:
        return None
    try:
        owner = decode_owner(row.value)
        if owner.epoch > newest_version:
            raise ValueError("an epoch that no holder has taken")
        return owner
    except DECODE_ERRORS as exc:
        log(Event.ROW_SKIPPED, table=row.table, key=row.key, why=reason(exc))
        return UNREADABLE_OWNER


# Starts without an answer: worker, task, run, and when each was sent, by the store's clock.
OpenStartRows = tuple[tuple[str, str, int, int], ...]


class Details(NamedTuple):
    """A cell's workers and interference estimates; written only together with the owner row.

    Details that are not `readable` are empty, but the cell may have workers.
    """

    roster: list[Host]
    learned: list[list[Any]] = []
    # By worker, when the last lease of its runs is over, by the store's clock. Its holder grants it
    # nothing beyond, until a row without it is stored. A worker that is missing here may run tasks
    # for as long as any lease.
    lease_ends: dict[str, int] = {}
    # The epoch of the holder that wrote the lease ends.
    epoch: int = 0
    # With a release, the workers that never answered the holder that released the cell.
    unheard: tuple[str, ...] = ()
    open_starts: OpenStartRows = ()
    # By silent worker with open starts, as in `lease_ends`, when all runs there are over but those
    # of the tasks in `open_starts`.
    run_ends: dict[str, int] = {}
    # The version of the row as read; not stored in it.
    version: int = 0
    readable: bool = True

    def encode(self) -> bytes:
        """Encode the row's value."""
        roster = [[*host._replace(state=host.state.value)] for host in self.roster]  # type: ignore
        starts, ends = self.open_starts, self.run_ends
        return dumps(
            [roster, self.learned, self.lease_ends, self.epoch, self.unheard, starts, ends]
        )

    @property
    def lease_limits(self) -> dict[str, int]:
        """Return by worker, until when its leases may last at most while the row is stored."""
        ends = self.lease_ends
        return ends | {name: min(at, ends.get(name, at)) for name, at in self.run_ends.items()}


def decode_details(data: bytes) -> Details:
    """Decode a row's value; raise one of DECODE_ERRORS when it is invalid."""
    roster, learned, *more = items(loads(data))
    # Rows written by earlier versions lack these fields.
    defaults: tuple[Any, ...] = {}, 0, [], [], {}
    lease_ends, epoch, unheard, starts, run_ends = (*more, *defaults[len(more) :])[:5]
    return Details(
        [_host(values) for values in items(roster)],
        list(map(_learned, items(learned))),
        {text(name): whole(end_ms) for name, end_ms in fields(lease_ends).items()},
        whole(epoch),
        tuple(map(text, items(unheard))),
        tuple(map(_open_start, items(starts))),
        {text(name): whole(end_ms) for name, end_ms in fields(run_ends).items()},
    )


def decode_details_row(row: Row) -> Details:
    """Decode a row; log an odd one and return unreadable details."""
    try:
        return decode_details(row.value or b"")
    except DECODE_ERRORS as exc:
        log(Event.ROW_SKIPPED, table=row.table, key=row.key, why=reason(exc))
        return Details([], [], readable=False)


def guess_roster(cell: str, listed: Iterable[Host]) -> list[Host]:
    """Return the listed workers of a cell whose details cannot be read, and one for all others.

    It never answers, so only the lapse of its leases proves the cell, also to later holders.
    """
    size = Size(MIN_CORES, 0.0)
    unknown = Host(UNKNOWN_WORKER, cell, "", UNKNOWN_ADDRESS, size, 0, 0, HostState.GONE)
    return [*(host for host in listed if host.domain == cell), unknown]


def _host(values: list[Any]) -> Host:
    # A later version may add fields.
    host = Host(*items(values)[: len(Host._fields)])
    size, labels = checked(Size(*host.size)), tuple(map(text, items(host.labels)))
    if min(size) < 0 or not size.cores:
        raise ValueError("a worker without cores")
    return checked(host._replace(size=size, state=HostState(host.state), labels=labels))


def _open_start(row: object) -> tuple[str, str, int, int]:
    worker, task, run, sent_ms = items(row)
    return text(worker), str(TaskId.parse(text(task))), whole(run), whole(sent_ms)


def _learned(row: object) -> list[Any]:
    serving, image, weight, variance = items(row)
    return [text(serving), text(image), finite(weight), finite(variance)]


class WaitingJobs(NamedTuple):
    """A cell's waiting jobs by queue, as of a store version of the progress rows."""

    by_queue: dict[str, int]
    counted_to: int
    moved: tuple[MovedJobs, ...] = ()


class Claimant(NamedTuple):
    """An entry that may take cells; `cores` is its CPU quota."""

    name: str
    address: str
    incarnation: int
    domain: str
    cores: float


@dataclass(slots=True)
class OwnerObservation:
    """A cell's owner row as last read.

    `first_seen` is when its version was first read: the row was written before. `since` and
    `renewed_at`, when it was written as far as the holder could tell, start again after an outage
    of the store; all entries agree on the latter, whenever they read the row. `orders_over_at` is
    when orders of its holder and of earlier ones have no effect any more.
    """

    owner: Owner | None
    version: int
    since: float
    renewed_at: float
    first_seen: float
    orders_over_at: float


def _published_count(owner: Owner | None, version: int) -> WaitingJobs:
    """Return the count in an owner row of the given version."""
    if owner is None:
        return WaitingJobs({}, 0)
    # Rows written by earlier versions don't tell what they count, only when.
    return WaitingJobs(owner.waiting, owner.counted_to or version, owner.moved)


class Vacancy(NamedTuple):
    """When a cell may be taken; leases of former holders may last until `proof_at`.

    From `probe_at` on, a probe of the workers may show that the cell has to be left to others.
    Another entry that finds the same row counts on leases until `silent_until` at the latest.
    """

    cell: str
    owner: Owner | None
    version: int
    takeable_at: float
    proof_at: float
    probe_at: float
    silent_until: float = 0.0

    @property
    def waiting(self) -> WaitingJobs:
        """Return the count that the former holder published."""
        return _published_count(self.owner, self.version)

    @property
    def is_released(self) -> bool:
        """Return whether the cell's last holder has released it."""
        return self.owner is not None and not self.owner.holder

    def drop_foreign_ends(self, details: Details) -> Details:
        """Drop lease ends that the holder in the owner row did not write, or not with that row."""
        epoch = self.owner.epoch if self.owner else 0
        if details.epoch == epoch and details.version <= self.version:
            return details
        return details._replace(lease_ends={}, run_ends={})


@dataclass(slots=True)
class OwnerWatch:
    """Tracks the owner rows of all cells as one entry reads them."""

    cells: tuple[str, ...]
    max_hold_s: float
    observations: dict[str, OwnerObservation] = field(default_factory=dict)
    read_at: float = 0.0
    epoch_seen: int = 0
    abstain_until: dict[str, float] = field(default_factory=dict)
    # When a vacant cell's workers were found in reach, or UNREACHED after a failed probe.
    reachable_since: dict[str, float] = field(default_factory=dict)
    # The counts of waiting jobs as of the last read.
    _waiting: dict[str, WaitingJobs] = field(default_factory=dict)
    # When the rows were read lately, and the store's version then.
    _reads: deque[tuple[float, int]] = field(default_factory=deque)
    # How long the last read took.
    _read_s: float = 0.0
    # The store's clock minus the local one, if known: at least and at most.
    _store_offset_ms: float | None = None
    _max_store_offset_ms: float | None = None

    def store_ms(self, now: float) -> int:
        """Estimate the store's clock from the last read of the owner rows; 0 if it is unknown."""
        return 0 if self._store_offset_ms is None else int(now * 1000 + self._store_offset_ms)

    def local_time_of(self, store_ms: int) -> float:
        """Return the local time by which the store's clock has certainly reached a value."""
        if self._store_offset_ms is None:
            return float("inf")
        # The offset is at most the delay of the last read too small.
        return (store_ms - self._store_offset_ms) / 1000

    def store_time_of(self, at: float) -> int | None:
        """Return a value that the store's clock certainly reaches no earlier than a local time."""
        if self._max_store_offset_ms is None:
            return None
        return ceil(at * 1000 + self._max_store_offset_ms)

    def observe(self, listing: Listing, now: float, asked_at: float | None = None) -> None:
        """Process a read of the owner rows that was sent at `asked_at`, by default just now."""
        read_at, self.read_at = self.read_at, now
        missed_reads = now - read_at > GAP_S
        self._read_s = 0.0 if asked_at is None else now - asked_at
        if listing.now_ms:
            self._store_offset_ms = listing.now_ms - now * 1000
            sent_at = now if asked_at is None else asked_at
            self._max_store_offset_ms = listing.now_ms - sent_at * 1000
        self.epoch_seen = max(self.epoch_seen, listing.version)
        self._reads.append((now, listing.version))
        while now - self._reads[0][0] > MAX_COUNT_AGE_S:
            self._reads.popleft()
        found = {row.key: row for row in listing.rows}
        for cell in self.cells:
            row = found.get(cell)
            version = row.version if row else 0
            known = self.observations.get(cell)
            if known is None or known.version != version:
                owner = decode_owner_row(row, listing.version) if row else None
                renewed_at = now
                if owner and owner.written_ms and listing.now_ms and not missed_reads:
                    age_s = (listing.now_ms - owner.written_ms) / 1000
                    renewed_at = min(now, max(read_at, now - age_s))
                over_at = now + ORDER_LIMIT_S + LEASE_SLACK_S
                if owner and owner.orders_until_ms and listing.now_ms:
                    # The store read its clock before now, so the time is not too early.
                    left_s = (owner.orders_until_ms - listing.now_ms) / 1000
                    over_at = min(over_at, now + left_s)
                self.observations[cell] = OwnerObservation(
                    owner, version, now, renewed_at, now, over_at
                )
                self.reachable_since.pop(cell, None)
            elif missed_reads:
                # The holder could not renew either if the store was down: restart its timeout.
                known.since = known.renewed_at = now
            seen = self.observations[cell]
            self._waiting[cell] = _published_count(seen.owner, seen.version)

    def record(self, cell: str, owner: Owner, version: int, now: float) -> None:
        """Record a row that this entry wrote."""
        over_at = now + ORDER_LIMIT_S + LEASE_SLACK_S
        self.observations[cell] = OwnerObservation(owner, version, now, now, now, over_at)
        self.reachable_since.pop(cell, None)

    def note_probe(
        self, cell: str, reached: bool, me: Claimant, held: Collection[str], now: float
    ) -> bool:
        """Record whether a probe reached a cell's workers; return whether it may be taken now.

        Workers that come back are found by all entries within a probe's pause. The delays apply
        from then on, so that the cell goes to a well suited entry and not to the first one.
        """
        delay_s = self._take_delay_s(cell, me, held)
        if not reached:
            pause_s = max(MIN_PROBE_PAUSE_S, min(RENEW_S, delay_s))
            self.abstain_until[cell] = now + pause_s
            self.reachable_since[cell] = UNREACHED
            return False
        since = self.reachable_since.get(cell)
        if since == UNREACHED or (since is None and self.holder(cell) is None):
            self.reachable_since[cell] = now
            return delay_s == 0
        return True

    def holder(self, cell: str) -> Owner | None:
        """Return a cell's owner row, or None when it has no holder."""
        seen = self.observations.get(cell)
        if seen is None or seen.owner is None or not seen.owner.holder:
            return None
        return seen.owner

    def waiting(self, cell: str) -> WaitingJobs:
        """Return the count of waiting jobs in a cell's row, whether it is held or not.

        The counts of all cells are of one read, so that no job that moved is in two of them.
        """
        return self._waiting.get(cell, WaitingJobs({}, 0))

    def due_version(self, now: float) -> int:
        """Return the store version that a count of waiting jobs has to include not to be old.

        It is the first one that was read within MAX_COUNT_AGE_S. While none can be read, all counts
        are old.
        """
        recent = (version for read_at, version in self._reads if now - read_at <= MAX_COUNT_AGE_S)
        return next(recent, MAX_WHOLE)

    def row_age_ms(self, cell: str, now: float) -> int | None:
        """Return for how long a cell's row has not changed, or None if none was read yet.

        It starts again after an outage of the store, like the time until the holder is replaced.
        """
        seen = self.observations.get(cell)
        return None if seen is None else int((now - seen.since) * 1000)

    def epoch(self, cell: str) -> int:
        """Return the epoch of a cell's holder, or 0 when none is known."""
        owner = self.holder(cell)
        return owner.epoch if owner is not None else 0

    def live_holder(self, cell: str, now: float) -> Owner | None:
        """Return a cell's owner row, or None unless the holder renewed it within VACANT_S."""
        owner = self.holder(cell)
        live_holder = owner is not None and now - self.observations[cell].since < VACANT_S
        return owner if live_holder else None

    def is_doubtful(self, cell: str, lost_at: float, now: float) -> bool:
        """Return whether a holder may be gone: the link to it was lost, or its row is overdue.

        A renewal that was written after the loss shows that it works.
        """
        written_at = self._written_at(self.observations[cell])
        return lost_at > written_at or now - written_at > OVERDUE_S + OVERDUE_CALLS * self._read_s

    def _written_at(self, seen: OwnerObservation) -> float:
        """Return about when a row was written; at the latest when it was first read."""
        if seen.owner is None or not seen.owner.written_ms:
            return seen.first_seen
        return min(seen.first_seen, self.local_time_of(seen.owner.written_ms))

    def vacancy(self, me: Claimant, held: Collection[str], now: float) -> Vacancy | None:
        """Return the cell that this entry may take first, if there is one."""
        found = [
            vacancy
            for cell, seen in self.observations.items()
            if (vacancy := self._vacancy(cell, seen, me, held, now)) is not None
        ]
        return min(found, key=lambda vacancy: vacancy.probe_at, default=None)

    def _vacancy(
        self, cell: str, seen: OwnerObservation, me: Claimant, held: Collection[str], now: float
    ) -> Vacancy | None:
        owner, version = seen.owner, seen.version
        # The holder in the row, and its predecessor if that was not fenced, sent nothing that lasts
        # longer: neither renewed its row after this version was first read.
        silent_until = seen.first_seen + ORDER_LIMIT_S + LEASE_SLACK_S
        proof_at = seen.orders_over_at
        if owner is None or owner.fenced:
            # If the holder has ended, nothing that it sent lasts longer.
            ended_proof_at = min(proof_at, now + longest_lease_s(self.max_hold_s))
        else:
            ended_proof_at = proof_at
        is_released = owner is None or not owner.holder
        vacant_at = seen.renewed_at + (0.0 if is_released else VACANT_S)
        delay_s = self._take_delay_s(cell, me, held)
        takeable_at = max(vacant_at + delay_s, self.abstain_until.get(cell, 0.0))
        reachable_since = self.reachable_since.get(cell, 0.0)
        if reachable_since < UNREACHED:
            takeable_at = max(takeable_at, reachable_since + delay_s)
        if owner is None or is_released:
            probe_at = takeable_at
            if cell not in self.reachable_since:
                # The holder may have released the cell because its workers are out of reach.
                probe_at = max(vacant_at, self.abstain_until.get(cell, 0.0))
            return Vacancy(
                cell, owner, version, takeable_at, ended_proof_at, probe_at, silent_until
            )
        if cell in held:
            return None
        own_process = owner.incarnation == me.incarnation
        if owner.address != me.address or own_process:
            # If `own_process`, the answer to this entry's take or release was lost.
            return Vacancy(cell, owner, version, takeable_at, proof_at, takeable_at, silent_until)
        # The former process on this address has exited: this process is bound to its port.
        return Vacancy(cell, owner, version, now, ended_proof_at, now, silent_until)

    def _take_delay_s(self, cell: str, me: Claimant, held: Collection[str]) -> float:
        other_domain = OTHER_DOMAIN_S if me.domain != cell else 0.0
        few_cores = FEW_CORES_S * max(0.0, 2.0 - me.cores) / 2.0
        weak = self.weak_delay_s(cell, me, held)
        return other_domain + len(held) * PER_HELD_CELL_S + few_cores + weak

    def weak_delay_s(self, cell: str, me: Claimant, held: Collection[str]) -> float:
        """Return how long an entry too weak for one more cell leaves it to stronger ones."""
        needed = self._cores_needed(cell)
        left = max(0.0, me.cores - sum(self._cores_needed(each) for each in held))
        return TOO_FEW_CORES_S * (1 - left / needed) if needed > left else 0.0

    def _cores_needed(self, cell: str) -> float:
        seen = self.observations.get(cell)
        workers = seen.owner.workers if seen is not None and seen.owner is not None else 0
        return CORES_PER_WORKER * workers
