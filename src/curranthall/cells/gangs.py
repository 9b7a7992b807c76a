"""Gangs that do not run: what each waits for, and where the members are that it lacks."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from curranthall.cells.poison import crash_key, needs_answer
from curranthall.cells.tracking import Batch

# A gang is reported once it has been idle for this long.
REPORT_AFTER_S = 1.0
# The most gangs that one report lists, those that have been idle longest.
MAX_REPORTED_GANGS = 8


class IdleReason(Enum):
    """Why a gang does not run."""

    SPLIT = "split"  # other cells own some of its members
    RUNS = "runs"  # runs of some members are not over, as far as is known
    CLOSED = "closed"  # the cell is evacuated or being released
    HELD = "held"  # a former holder's worker may run it, or its row does not name this epoch
    ANSWER = "answer"  # a worker has to show first whether it crashed with it
    ROOM = "room"  # no workers for all members at once


class IdleGang(NamedTuple):
    """A gang that does not run; members are named by their indexes."""

    job: str
    occurrence: int
    step: int
    width: int
    idle_s: float
    why: str
    # Index, worker and state of the runs that are not over.
    runs: list[list[object]]
    # By cell, the members that other cells own.
    elsewhere: dict[str, list[int]]
    # Workers that may have crashed with a member.
    in_doubt: list[str]
    # How many members found a worker when the gang was last tried.
    fitting: int


class IdleGangs:
    """The gangs with members in a cell that do not run there as a whole."""

    def __init__(self, cell: str) -> None:
        self._cell = cell
        # By gang, since when it has been idle.
        self._since: dict[Batch, float] = {}

    def update(self, batch: Batch, now: float) -> None:
        """Note whether a gang is idle: this cell owns members, and some have no run."""
        if self._is_idle(batch):
            self._since.setdefault(batch, now)
        else:
            self.drop(batch)

    def drop(self, batch: Batch) -> None:
        """Forget a gang that runs or does not have to run."""
        self._since.pop(batch, None)

    def list_strays(self) -> list[tuple[Batch, list[int]]]:
        """Return the split gangs without a run here, and the members that other cells wait for.

        A split gang runs in the cell that owns its first member.
        """
        return [
            (batch, self._list_owned(batch))
            for batch in self._since
            if self._is_idle(batch)
            and not batch.active
            and batch.tracked.progress.owner(batch.key(0)) != self._cell
        ]

    def report(
        self, now: float, is_closed: bool, is_held: Callable[[Batch, float], bool]
    ) -> list[IdleGang]:
        """Return the gangs that have been idle longest, and why each is."""
        self._since = {batch: since for batch, since in self._since.items() if self._is_idle(batch)}
        found = sorted(self._since.items(), key=lambda row: row[1])[:MAX_REPORTED_GANGS]
        return [
            self._describe(batch, now - since, is_closed, is_held(batch, now))
            for batch, since in found
            if now - since >= REPORT_AFTER_S
        ]

    def _is_idle(self, batch: Batch) -> bool:
        tracked, at = batch.tracked, (batch.occurrence, batch.number)
        if tracked.progress.phase.is_final or tracked.batches.get(at) is not batch:
            return False
        if tracked.progress.is_done(*batch.key(0)) and not batch.step.lasting:
            return False
        return len(batch.active) < batch.step.width and bool(self._list_owned(batch))

    def _list_owned(self, batch: Batch) -> list[int]:
        owner = batch.tracked.progress.owner
        return [index for index in range(batch.step.width) if owner(batch.key(index)) == self._cell]

    def _describe(self, batch: Batch, idle_s: float, is_closed: bool, is_held: bool) -> IdleGang:
        progress = batch.tracked.progress
        elsewhere: dict[str, list[int]] = {}
        for index in range(batch.step.width):
            owner = progress.owner(batch.key(index))
            if owner != self._cell:
                elsewhere.setdefault(owner, []).append(index)
        key = crash_key(batch.step, batch.task(0))
        reasons = {
            IdleReason.SPLIT: bool(elsewhere),
            IdleReason.RUNS: bool(batch.active),
            IdleReason.CLOSED: is_closed,
            IdleReason.HELD: is_held or bool(batch.held),
            IdleReason.ANSWER: needs_answer(batch, 0),
            IdleReason.ROOM: True,
        }
        return IdleGang(
            batch.tracked.job.id,
            batch.occurrence,
            batch.number,
            batch.step.width,
            round(idle_s, 2),
            next(reason.value for reason, applies in reasons.items() if applies),
            [
                [index, run.worker, run.state.value]
                for index, runs in sorted(batch.active.items())
                for run in runs
            ],
            elsewhere,
            sorted(run_key[4] for run_key in progress.doubts if run_key[:3] == key),
            batch.fitting,
        )
