"""Log of what workers' restarts leave open: unanswered starts, skipped ends, runs that reappear."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any, NamedTuple

from curranthall.cells.fleet import LATE_CALL_S, NO_EFFECT, EndReason, Member, Run
from curranthall.cells.ports import Ending
from curranthall.dag import TaskId
from curranthall.dag.progress import TaskKey
from curranthall.events import Event, log

# A call without an answer may be executed seconds later; what it starts lasts for one lease.
KEEP_S = 20.0
# A line names at most this many starts.
MAX_LISTED = 20


class RemovedRun(NamedTuple):
    """A run that was taken for over."""

    worker: str
    why: EndReason
    removed_at: float
    sent_at: float
    sent_to: int
    is_unsure: bool
    # A later boot may still execute its start.
    is_open: bool
    # The task's start before this one was left without an answer by the same worker.
    is_second: bool


def _has_open_start(run: Run, why: EndReason) -> bool:
    return run.may_begin and why not in NO_EFFECT


def _why_left(worker: str, run: Run, member: Member | None, now: float) -> str:
    """Return what kept a task's next run from the worker of a former run."""
    if run.worker == worker:
        return "same"
    if member is None:
        return "gone"
    if not member.is_listed_live:
        return member.listed_state
    if member.silent_since is not None:
        return "silent"
    if not member.is_ready:
        return "unfenced"
    if member.is_quarantined(now):
        return "quarantined"
    if not member.is_usable(now):
        return "paused"
    step = run.step
    if not step.reserved.fits(member.room) or (
        step.filling and step.size.cores > member.idle_cores
    ):
        return "full"
    return "other"


class BootLog:
    """Relates what a worker's boot lists to the starts that were sent to its boots.

    `token` returns the fencing token of the calls to a worker.
    """

    def __init__(self, cell: str, epoch: int, token: Callable[[str], int]) -> None:
        self._holder: dict[str, object] = {"cell": cell, "epoch": epoch}
        self._token = token
        # Runs that were taken for over in the last KEEP_S, the oldest first.
        self._removed: dict[tuple[TaskId, int], RemovedRun] = {}
        # Those with open starts, by job.
        self._open: dict[str, dict[tuple[TaskId, int], RemovedRun]] = {}

    def boots(self, run: Run, member: Member | None) -> dict[str, object]:
        """Return fields with the boot that a start was sent to, and the boot that answers now."""
        born = member.born if member is not None else 0
        sent = {"sent_to": run.sent_to, "sent_token": run.token}
        return {**sent, "born": born, "token": self._token(run.worker)}

    def note_unsure(self, run: Run, member: Member) -> None:
        """Note and log that a start got no answer."""
        run.is_unsure = True
        log(
            Event.RUN_UNSURE,
            task=run.task,
            run=run.number,
            worker=run.worker,
            **self.boots(run, member),
        )

    def note_removed(self, run: Run, why: EndReason, now: float) -> None:
        """Note a run that is taken for over."""
        self._drop_old(now)
        key = run.task, run.number
        self._forget(key)
        removed = self._removed[key] = RemovedRun(
            run.worker,
            why,
            now,
            run.sent_at,
            run.sent_to,
            run.is_unsure,
            _has_open_start(run, why),
            run.unanswered_at > 0,
        )
        if removed.is_open:
            self._open.setdefault(run.task.job, {})[key] = removed

    def open_starts(
        self, run: Run, members: Mapping[str, Member], now: float
    ) -> list[list[Any]] | None:
        """Return a task's earlier starts that a later boot may still execute, or None.

        Each has its number, worker, age in ms, why the run is over and why the task left.
        """
        found = [
            (number, former)
            for (task, number), former in self._list_open(run.task.job, now)
            if task == run.task
        ]
        left = {
            former.worker: _why_left(former.worker, run, members.get(former.worker), now)
            for _, former in found
        }
        for _, former in found:
            if former.is_second and former.worker != run.worker:
                left[former.worker] = "second"
        rows = [
            [
                number,
                former.worker,
                round((now - former.sent_at) * 1000),
                former.why.value,
                left[former.worker],
            ]
            for number, former in found
        ]
        return rows or None

    def log_moved(self, job: str, keys: Collection[TaskKey] | None, to: str, now: float) -> None:
        """Log the open starts of tasks that move to another cell, of all if `keys` is None."""
        found = [
            (key, former)
            for key, former in self._list_open(job, now)
            if keys is None or key[0][1:] in keys
        ]
        self._log_left("moved", to, map(self._open_row, found), now)

    def log_lost(self, why: str, members: Iterable[Member], now: float) -> None:
        """Log the open starts that the holder of a cell leaves."""
        rows = [
            [run.sent_at, run.task, run.number, run.worker, run.sent_to, run.state.value]
            for member in members
            for run in member.runs.values()
            if run.may_begin
        ]
        found = (each for job in list(self._open) for each in self._list_open(job, now))
        rows.extend(map(self._open_row, found))
        self._log_left(why, None, rows, now)

    def _open_row(self, item: tuple[tuple[TaskId, int], RemovedRun]) -> list[Any]:
        (task, number), former = item
        return [former.sent_at, task, number, former.worker, former.sent_to, former.why.value]

    def _log_left(self, why: str, to: str | None, rows: Iterable[list[Any]], now: float) -> None:
        newest = sorted(rows, key=lambda row: -row[0])
        if newest:
            log(
                Event.STARTS_LEFT,
                **self._holder,
                why=why,
                to=to,
                starts=len(newest),
                newest=[
                    [str(task), number, worker, round((now - sent_at) * 1000), sent_to, state]
                    for sent_at, task, number, worker, sent_to, state in newest[:MAX_LISTED]
                ],
            )

    def _list_open(self, job: str, now: float) -> list[tuple[tuple[TaskId, int], RemovedRun]]:
        return [
            (key, former)
            for key, former in self._open.get(job, {}).items()
            if now < former.sent_at + LATE_CALL_S
        ]

    def log_unlisted(self, run: Run, why: EndReason, member: Member | None) -> None:
        """Log a run that is considered over although no worker listed its end."""
        log(
            Event.RUN_VANISHED,
            task=run.task,
            run=run.number,
            worker=run.worker,
            **self._holder,
            state=run.state.value,
            why=why.value,
            unsure=run.is_unsure,
            lasting=run.step.lasting,
            listed=member.listed_state if member is not None else None,
            late_ms=self._late_ms(run),
            **self.boots(run, member),
        )

    def _late_ms(self, run: Run) -> int:
        """Return for how long the start of a removed run, or the one before, may be executed."""
        removed = self._removed.get((run.task, run.number))
        if removed is None or not (removed.is_open or removed.is_second):
            return 0
        sent_at = run.sent_at if removed.is_open else run.unanswered_at
        return max(0, round((sent_at + LATE_CALL_S - removed.removed_at) * 1000))

    def log_duplicate(self, run: Run, done: bool, others: list[Run]) -> None:
        """Log a listed run whose task is done or has other runs."""
        log(
            Event.RUN_DUPLICATE,
            task=run.task,
            run=run.number,
            worker=run.worker,
            **self._holder,
            done=done,
            others=[[other.number, other.worker] for other in others if other is not run],
        )

    def check_owner(self, run: Run, owner: str, member: Member) -> None:
        """Log a run found on a worker here if another cell is to run its task."""
        if owner != self._holder["cell"]:
            log(
                Event.RUN_MISPLACED,
                task=run.task,
                run=run.number,
                worker=run.worker,
                **self._holder,
                owner=owner,
                born=member.born,
                token=self._token(run.worker),
            )

    def note_restart(self, member: Member, now: float) -> None:
        """Log a restart, and the unanswered starts that the new boot may execute."""
        self._drop_old(now)
        removed = sum(
            each.is_unsure and each.worker == member.name and each.sent_to != member.born
            for each in self._removed.values()
        )
        log(
            Event.WORKER_REBORN,
            worker=member.name,
            born=member.born,
            token=self._token(member.name),
            open_starts=member.count_unanswered(),
            removed_starts=removed,
        )

    def check_end(self, member: Member, ending: Ending) -> None:
        """Log a gap before the next end of a boot: this holder did not acknowledge those in it."""
        if ending.number > member.last_end + 1:
            log(
                Event.ENDS_SKIPPED,
                worker=member.name,
                born=member.born,
                after=member.last_end,
                first=ending.number,
                acked=member.acked_end,
                followed=member.lists_all_ends_here,
                **self._holder,
            )

    def check_listed(
        self, member: Member, task: TaskId, number: int, listed: str, now: float
    ) -> None:
        """Log a listed run, or its end, if the run was taken for over before."""
        self._drop_old(now)
        removed = self._forget((task, number))
        if removed is None:
            return
        log(
            Event.RUN_REAPPEARED,
            task=task,
            run=number,
            worker=member.name,
            listed=listed,
            why=removed.why.value,
            removed_ms=round((now - removed.removed_at) * 1000),
            sent_ms=round((now - removed.sent_at) * 1000),
            unsure=removed.is_unsure,
            sent_to=removed.sent_to,
            born=member.born,
            token=self._token(member.name),
            **self._holder,
        )

    def _drop_old(self, now: float) -> None:
        while self._removed:
            key = next(iter(self._removed))
            if now - self._removed[key].removed_at <= KEEP_S:
                return
            self._forget(key)

    def _forget(self, key: tuple[TaskId, int]) -> RemovedRun | None:
        removed, job = self._removed.pop(key, None), key[0].job
        if removed is not None and removed.is_open:
            del self._open[job][key]
            if not self._open[job]:
                del self._open[job]
        return removed
