"""Who holds a cell: its row in the store, and when another entry may take it."""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from cbor2 import dumps, loads

from curranthall.cells.load import Load, decode_loads, encode_loads
from curranthall.model import Host, HostState, Size
from curranthall.store import Listing

CELL_TABLE = "cells"
# What only a holder reads, so that the row that every entry polls stays small.
DETAIL_TABLE = "cell-details"
CELL_PART = ""
# A holder renews its row this often, and all entries read the rows this often.
RENEW_S = 0.8
# A row unchanged this long has lost its holder: three renewals missed.
VACANT_S = 2.4
# A holder that can't renew its row orders nothing more after this, and no lease of it lasts longer;
# it outlasts the outages of the store that a cell is to bridge, and bounds what a successor waits
# for.
ORDER_LIMIT_S = 12.0
# Clocks of workers may be 2 % slow, and their readings a while old.
LEASE_SLACK_S = 0.5
# Reads of the rows further apart than this say nothing of the time between.
GAP_S = 1.6
# Entries take turns by how well they suit, so that few of them race for a row.
PER_HELD_CELL_S = 0.3
OTHER_DOMAIN_S = 0.6
WEAKNESS_S = 0.15
# An entry that gave a cell up because it can't reach its workers leaves it to others.
ABSTAIN_S = 6.0


class Owner(NamedTuple):
    """A cell's row; an empty holder has released it."""

    holder: str
    address: str
    incarnation: int
    epoch: int
    load: dict[str, Load]
    waiting: dict[str, int]
    # Whether no worker obeys an earlier holder any more.
    fenced: bool = True

    def encode(self) -> bytes:
        """Write the row's value."""
        return dumps([*self[:4], encode_loads(self.load), self.waiting, self.fenced])


def decode_owner(data: bytes) -> Owner:
    """Read a row's value; raise ValueError."""
    holder, address, incarnation, epoch, load, waiting, *more = loads(data)
    # A row of an earlier version does not tell.
    fenced = bool(more and more[0])
    return Owner(holder, address, incarnation, epoch, decode_loads(load), waiting, fenced)


class Details(NamedTuple):
    """A cell's other row, written only together with its row: its workers, what it learned."""

    roster: list[Host]
    learned: list[list[Any]] = []

    def encode(self) -> bytes:
        """Write the row's value."""
        roster = [[*host._replace(state=host.state.value)] for host in self.roster]  # type: ignore
        return dumps([roster, self.learned])


def decode_details(data: bytes) -> Details:
    """Read a row's value; raise ValueError."""
    roster, learned = loads(data)
    return Details([_host(values) for values in roster], learned)


def _host(values: list[Any]) -> Host:
    host = Host(*values)
    return host._replace(
        size=Size(*host.size), state=HostState(host.state), labels=tuple(host.labels)
    )


class Claimant(NamedTuple):
    """The entry that may take a cell."""

    name: str
    address: str
    incarnation: int
    domain: str
    strength: float


@dataclass(slots=True)
class Sighting:
    """A cell's row as last read, and since when it has not changed."""

    owner: Owner | None
    version: int
    since: float


class Vacancy(NamedTuple):
    """A cell that may be taken; its workers may obey the former holder until `proof_at`."""

    cell: str
    owner: Owner | None
    version: int
    takeable_at: float
    proof_at: float


@dataclass(slots=True)
class OwnerWatch:
    """What one entry has seen of the cells' rows."""

    cells: tuple[str, ...]
    max_hold_s: float
    sightings: dict[str, Sighting] = field(default_factory=dict)
    read_at: float = 0.0
    epoch_seen: int = 0
    abstain_until: dict[str, float] = field(default_factory=dict)

    def observe(self, listing: Listing, now: float) -> None:
        """Take in a read of the rows."""
        gap = now - self.read_at > GAP_S
        self.read_at = now
        self.epoch_seen = max(self.epoch_seen, listing.version)
        found = {row.key: row for row in listing.rows}
        for cell in self.cells:
            row = found.get(cell)
            version = row.version if row else 0
            known = self.sightings.get(cell)
            if known is None or known.version != version:
                owner = decode_owner(row.value) if row and row.value is not None else None
                self.sightings[cell] = Sighting(owner, version, now)
            elif gap:
                # A holder that could not renew while the store was away gets its time again.
                known.since = now

    def note(self, cell: str, owner: Owner, version: int, now: float) -> None:
        """Take in a row that this entry wrote."""
        self.sightings[cell] = Sighting(owner, version, now)

    def holder(self, cell: str) -> Owner | None:
        """Give the row of a cell that is held."""
        sighting = self.sightings.get(cell)
        if sighting is None or sighting.owner is None or not sighting.owner.holder:
            return None
        return sighting.owner

    def waiting(self, cell: str) -> dict[str, int]:
        """Count a cell's waiting jobs by queue as its row shows them, held or not."""
        sighting = self.sightings.get(cell)
        return sighting.owner.waiting if sighting is not None and sighting.owner else {}

    def epoch(self, cell: str) -> int:
        """Give the epoch of a cell's holder; 0 where none is known."""
        owner = self.holder(cell)
        return owner.epoch if owner is not None else 0

    def live_holder(self, cell: str, now: float) -> Owner | None:
        """Give the row of a cell whose holder renews it."""
        owner = self.holder(cell)
        live_holder = owner is not None and now - self.sightings[cell].since < VACANT_S
        return owner if live_holder else None

    def vacancy(self, me: Claimant, held: Collection[str], now: float) -> Vacancy | None:
        """Give the cell that this entry may take first, if there is one."""
        found = [
            vacancy
            for cell, sighting in self.sightings.items()
            if (vacancy := self._vacancy(cell, sighting, me, held, now)) is not None
        ]
        return min(found, key=lambda vacancy: vacancy.takeable_at, default=None)

    def _vacancy(
        self, cell: str, sighting: Sighting, me: Claimant, held: Collection[str], now: float
    ) -> Vacancy | None:
        owner, version = sighting.owner, sighting.version
        ended = now + self.max_hold_s * 1.03 + LEASE_SLACK_S
        silent_until = sighting.since + ORDER_LIMIT_S + LEASE_SLACK_S
        if owner is not None and not owner.fenced:
            # The holder before it was deposed after this holder's first row, at the latest.
            ended = max(ended, silent_until)
        turn_at = max(
            sighting.since + self._turn_s(cell, me, len(held)), self.abstain_until.get(cell, 0.0)
        )
        if owner is None or not owner.holder:
            return Vacancy(cell, owner, version, turn_at, ended)
        if cell in held:
            return None
        own = owner.incarnation == me.incarnation
        if owner.address != me.address or own:
            # An own row that is not held: a take or a release had no answer.
            ended = max(ended, silent_until)
            return Vacancy(cell, owner, version, turn_at + VACANT_S, ended)
        # The former process on this address is gone: this one has its port.
        return Vacancy(cell, owner, version, now, ended)

    def _turn_s(self, cell: str, me: Claimant, held: int) -> float:
        away = OTHER_DOMAIN_S if me.domain != cell else 0.0
        weak = WEAKNESS_S * max(0.0, 2.0 - me.strength) / 2.0
        return away + held * PER_HELD_CELL_S + weak
