"""Starts without an answer that a later boot of their worker may still execute.

While a task has one, it starts again on that worker only: a run there ends with its boot, before a
later boot can execute the first start.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from curranthall.cells.fleet import LATE_CALL_S, Member, Run, late_lease_end
from curranthall.cells.tracking import Batch, OpenStart, TrackedJob
from curranthall.dag import Step, TaskId
from curranthall.dag.progress import TaskKey
from curranthall.events import Event, log

# The platform expects a lasting task to run again by this long after its last run, and 3 s more.
LASTING_WAIT_S = 6.0
# A worker that answers no start of a task in this many attempts gets no further one of it.
MAX_ATTEMPTS = 3
# A start without an answer for this long is published before its call has failed.
UNANSWERED_S = 0.3
# The most starts that are published, the latest ones: a row has a limited size.
MAX_PUBLISHED = 400


class StartRow(NamedTuple):
    """An open start as published for a successor, with a time when it was sent."""

    worker: str
    task: TaskId
    run: int
    sent_at: float


class OpenStarts:
    """Tells which tasks of a cell are bound to a worker, and until when.

    `dropped` are former members; they are kept until late calls to them are over.
    """

    def __init__(
        self, members: Mapping[str, Member], dropped: Mapping[str, Member], lease_s: float
    ) -> None:
        self._members = members
        self._dropped = dropped
        self._lease_s = lease_s
        # Those of a former holder, by job that is not tracked yet.
        self._inherited: dict[str, list[StartRow]] = {}

    def note(self, run: Run, member: Member, tracked: TrackedJob, now: float) -> None:
        """Record a start that the present boot of its worker does not execute any more."""
        member.late_start_until = max(member.late_start_until, run.sent_at + LATE_CALL_S)
        key, since = run.task[1:], run.sent_at
        if run.wait.expected_since is not None:
            since = min(since, run.wait.expected_since - LASTING_WAIT_S)
        start = OpenStart(run.worker, run.number, run.sent_at, since, 1)
        former = tracked.open_starts.get(key)
        if former is not None and former.worker == run.worker:
            start = start._replace(
                since=former.since, attempts=former.attempts + 1, is_only=self._is_over(former, now)
            )
        tracked.open_starts[key] = start
        if start.attempts >= MAX_ATTEMPTS:
            tracked.refused_on.setdefault(key, set()).add(run.worker)

    def note_begun(self, tracked: TrackedJob, task: TaskId, run: int, now: float) -> None:
        """Record that a worker has begun a run of a task; a start is executed only once."""
        start = tracked.open_starts.get(task[1:])
        if start is None:
            return
        if start.run == run and start.is_only:
            del tracked.open_starts[task[1:]]
        else:
            tracked.open_starts[task[1:]] = start._replace(since=now, attempts=0)

    def find(self, batch: Batch, index: int, now: float) -> OpenStart | None:
        """Return the open start that binds a task to its worker, if any."""
        start = batch.tracked.open_starts.get(batch.key(index))
        if start is None or batch.step.copies or not self._binds(start, batch.step, now):
            return None
        return start

    def may_begin(self, batch: Batch, index: int, now: float) -> bool:
        """Return whether a boot may still execute an earlier start of a task."""
        start = batch.tracked.open_starts.get(batch.key(index))
        return start is not None and not self._is_over(start, now)

    def sent_at(self, batch: Batch, index: int, worker: str, now: float) -> float:
        """Return when the open start of a task on a worker was sent; 0 if there is none."""
        start = batch.tracked.open_starts.get(batch.key(index))
        if start is None or start.worker != worker or self._is_over(start, now):
            return 0.0
        return start.sent_at

    def has_any(self, tracked: TrackedJob, now: float) -> bool:
        """Return whether any task of a job has an open start."""
        return any(
            self._binds(start, tracked.job.steps[key[1]], now)
            for key, start in tracked.open_starts.items()
        )

    def list_over(self, tracked: TrackedJob, now: float) -> list[tuple[TaskKey, str, int]]:
        """Return the tasks of a job whose open starts are over, and their workers and runs."""
        return [
            (key, start.worker, start.run)
            for key, start in tracked.open_starts.items()
            if self._is_over(start, now)
        ]

    def list_movable(self, batch: Batch, now: float) -> list[int]:
        """Return the waiting tasks that may start on any worker; of a gang all or none."""
        bound = self.list_bound(batch, now)
        return [] if batch.step.gang and bound else sorted(batch.waiting - bound)

    def list_bound(self, batch: Batch, now: float) -> set[int]:
        """Return the waiting tasks that may start on one worker only."""
        if not batch.tracked.open_starts:
            return set()
        return {index for index in batch.waiting if self.find(batch, index, now) is not None}

    def choose_from(
        self, batch: Batch, index: int, usable: list[Member], now: float
    ) -> list[Member]:
        """Return the usable workers on which a task may start."""
        start = self.find(batch, index, now)
        if start is None:
            return usable
        if start.attempts >= MAX_ATTEMPTS:
            return []
        return [member for member in usable if member.name == start.worker]

    def inherit(self, rows: Iterable[StartRow]) -> None:
        """Take over the open starts that a former holder has published."""
        for row in rows:
            self._inherited.setdefault(row.task.job, []).append(row)
            member = self._members.get(row.worker)
            if member is not None:
                late_until = row.sent_at + LATE_CALL_S
                member.late_start_until = max(member.late_start_until, late_until)

    def adopt(self, tracked: TrackedJob) -> None:
        """Attach the inherited open starts of a job that is tracked from now on."""
        for row in self._inherited.pop(tracked.job.id, ()):
            if tracked.job.has_task(row.task):
                start = OpenStart(row.worker, row.run, row.sent_at, row.sent_at, is_only=False)
                tracked.open_starts[row.task[1:]] = start

    def publish(
        self, jobs: Iterable[TrackedJob], now: float, unanswered_s: float
    ) -> list[StartRow]:
        """List the open starts, and those that have no answer after some seconds."""
        found = [row for rows in self._inherited.values() for row in rows]
        if not any(self._is_recent(row, now) for row in found):
            self._inherited.clear()
        for tracked in jobs:
            if tracked.progress.phase.is_final:
                continue
            for key, start in tracked.open_starts.items():
                if self._binds(start, tracked.job.steps[key[1]], now):
                    task = TaskId(tracked.job.id, *key)
                    used_at = self._used_at(start.worker, start.sent_at)
                    found.append(StartRow(start.worker, task, start.run, used_at))
        for member in self._members.values():
            for run in member.runs.values():
                is_awaited = run.is_unsure or now - run.sent_at >= unanswered_s
                if run.may_begin and is_awaited:
                    used_at = self._used_at(run.worker, run.sent_at)
                    found.append(StartRow(run.worker, run.task, run.number, used_at))
        found = [row for row in found if self._is_recent(row, now)]
        if len(found) > MAX_PUBLISHED:
            log(Event.STARTS_UNPUBLISHED, starts=len(found) - MAX_PUBLISHED)
        return sorted(found, key=lambda row: row.sent_at)[-MAX_PUBLISHED:]

    def list_tasks(
        self, member: Member, jobs: Iterable[TrackedJob], now: float
    ) -> frozenset[TaskId]:
        """Return the tasks that a later boot of a worker may begin, or that it may have begun."""
        found = {
            run.task
            for run in member.runs.values()
            if run.may_begin
            or 0 < run.unanswered_at
            and now < late_lease_end(run.unanswered_at, self._lease_s)
        }
        for rows in self._inherited.values():
            found.update(row.task for row in rows if row.worker == member.name)
        for tracked in jobs:
            if not tracked.progress.phase.is_final:
                found.update(
                    TaskId(tracked.job.id, *key)
                    for key, start in tracked.open_starts.items()
                    if start.worker == member.name and not self._is_over(start, now)
                )
        return frozenset(found)

    def _is_recent(self, row: StartRow, now: float) -> bool:
        return now < late_lease_end(row.sent_at, self._lease_s)

    def _binds(self, start: OpenStart, step: Step, now: float) -> bool:
        is_too_long = step.lasting and now >= start.since + LASTING_WAIT_S
        return not is_too_long and not self._is_over(start, now)

    def _is_over(self, start: OpenStart, now: float) -> bool:
        """Return whether no boot executes a start any more, nor runs what it has started."""
        member = self._members.get(start.worker)
        if member is not None and member.is_fenced and member.silent_since is None:
            return member.all_ends_listed and member.asked_at >= start.sent_at + LATE_CALL_S
        return now >= late_lease_end(self._used_at(start.worker, start.sent_at), self._lease_s)

    def _used_at(self, worker: str, sent_at: float) -> float:
        """Return when the last call was sent that may extend the lease of what a start began."""
        member = self._members.get(worker) or self._dropped.get(worker)
        if member is None or (member.is_fenced and member.silent_since is None):
            return sent_at
        return max(sent_at, member.used_at)
