"""Scheduling decisions of a cell's holder: which runs start and stop, and what is recorded.

Does no I/O and never blocks: events come in with the local time, orders leave through `orders`.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial
from types import MappingProxyType
from typing import NamedTuple

from curranthall.cells.advice import Advice
from curranthall.cells.backlog import sum_waiting, with_backlogs
from curranthall.cells.boot_log import BootLog
from curranthall.cells.copies import COPY_START_WINDOW_S, Copies, CopyContext
from curranthall.cells.departure import Departures, has_room_elsewhere
from curranthall.cells.fencing import Fencing, RunEnd
from curranthall.cells.fleet import (
    NO_EFFECT,
    NO_END_LISTED,
    EndReason,
    FormerRun,
    Member,
    PendingAck,
    Run,
    RunState,
    late_lease_end,
)
from curranthall.cells.forecast import CALLER_ESTIMATES, Estimates
from curranthall.cells.gangs import IdleGangs
from curranthall.cells.headroom import (
    FILLING_HEADROOM,
    NO_HEADROOM,
    Headroom,
    keep_headroom,
)
from curranthall.cells.interference import Interference
from curranthall.cells.load import MOVED_S, Load, count_slots, measure, measure_cores
from curranthall.cells.open_starts import OpenStarts, StartRow
from curranthall.cells.options import NO_OPTIONS, Options
from curranthall.cells.order import Order as PlacementOrder
from curranthall.cells.owner import UNKNOWN_WORKER
from curranthall.cells.pacing import FULL_PACE, adjust_pace, list_slowed, worst_tail_ratio
from curranthall.cells.placement import PlacementRequest, Refusal, choose_worker, without_reserved
from curranthall.cells.poison import (
    ISOLATION_CRASHES,
    PROBATION_S,
    Crash,
    PoisonDetector,
    count_for_placement,
    count_suspicions,
    crash_key,
    is_given_up,
    needs_answer,
    needs_quiet,
    startable,
)
from curranthall.cells.ports import (
    AskAdvice,
    Ending,
    EndKind,
    ListedRun,
    Order,
    PaceTask,
    Snapshot,
    StartResult,
    StartTask,
    StopTask,
    WorkerOrder,
)
from curranthall.cells.preemption import Preemption, log_preempted
from curranthall.cells.quota import Quota
from curranthall.cells.records import PARTS, has_tasks_in, part_of
from curranthall.cells.reports import find_stalled, learn_interference
from curranthall.cells.shares import SharesKeeper
from curranthall.cells.spare import (
    MAX_OVERDUE_S,
    OVERDUE_DECAY,
    KeptRoomAccess,
    SpareRoom,
)
from curranthall.cells.summary import CellView, log_summary
from curranthall.cells.tracking import (
    Batch,
    Bounds,
    JobMove,
    TrackedJob,
    classify,
)
from curranthall.cells.waits import LastingWait, WaitContext, WaitRow
from curranthall.customers import NO_CUSTOMERS
from curranthall.dag import Job, Phase, Progress, Queue, Step, TaskId
from curranthall.dag.progress import TaskKey, newest_queue
from curranthall.events import Event, log
from curranthall.model import Host, HostState, Size
from curranthall.telemetry import completion_seconds, jobs_by_size
from curranthall.values import MAX_WHOLE

# A worker refuses a start that it processes later than this, by its own clock.
START_WINDOW_S = 1.5
# A stop that was not answered is sent again after this time.
STOP_RETRY_S = 0.6
# Run numbers carry the epoch in the high digits and a counter in the low ones.
RUNS_PER_EPOCH = 1_000_000
# Pause before another start on a worker that refused one for lack of room, health or time.
NO_ROOM_PAUSE_S = 0.5
# Pause before a job is tried again after a worker rejected its start as malformed.
MALFORMED_PAUSE_S = 5.0
# A filling job with no run for this long gets one task started regardless of interference, and
# after FORCE_START_S even where no core is idle: the platform allows 3 s. A finite job that could
# not start here by LAST_ROOM_S may use the last room for one of its tasks in another cell.
STANDSTILL_S = 1.2
FORCE_START_S = 2.0
LAST_ROOM_S = 2.2
# A share of each worker is kept free for short tasks (neither lasting nor filling) for this long
# after the last job with such tasks arrived.
SHORT_TASK_WINDOW_S = 20.0
# A lasting task that waited this long, although two like it would fit, may use the room kept free
# for short tasks: the platform allows 3 s, of which moving the task to another cell takes 0.4 s.
LASTING_WAIT_S = 1.5
# The platform counts that time from this long after the end of the task's last run.
RERUN_S = 6.0
# A job may go without a run while this share of its service is in use. The platform requires half
# and does not define whether reserved or used cores count, so both must reach this share.
BUSY_SHARE = 0.6
# The most time that one tick accounts for: the process may have been suspended before it.
MAX_TICK_S = 0.5
# Interval between logged summaries of the cell.
SUMMARY_INTERVAL_S = 2.0
# While this many steps of a job wait in the cell, no further occurrences of it are opened.
MAX_WAITING_STEPS = 32
# Differs from every percentage, so that the next snapshot orders the pace again.
UNKNOWN_PACE = -1


class _Unsent(NamedTuple):
    """A run whose start is sent once the job's row contains the change that records it."""

    run: Run
    tracked: TrackedJob
    change: int


class Dispatcher:
    """Schedules the tasks of one cell under one epoch."""

    def __init__(
        self,
        cell: str,
        epoch: int,
        bounds: Bounds,
        queue_of: Callable[[Job], Queue | None],
        wall_ms: Callable[[], float],
        options: Options = NO_OPTIONS,
        quota: Quota | None = None,
    ) -> None:
        self.cell = cell
        self.epoch = epoch
        self.bounds = bounds
        self.options = options
        self.quota = quota or Quota(SharesKeeper(cell, (cell,)), lambda: NO_CUSTOMERS)
        # The source of run times for what is published and predicted.
        self.estimates: Estimates = CALLER_ESTIMATES
        self.members: dict[str, Member] = {}
        # The highest fencing token that is certainly lower than any successor's.
        self._newest_token = epoch
        # Former members to which late calls may still be under way.
        self._dropped: dict[str, Member] = {}
        self.open_starts = OpenStarts(self.members, self._dropped, bounds.lease_s)
        self.tracked: dict[str, TrackedJob] = {}
        self._poison = PoisonDetector(self.tracked, cell)
        self.orders: deque[Order] = deque()
        self.interference = Interference()
        self.copies = Copies()
        self._departures = Departures()
        self._idle_gangs = IdleGangs(cell)
        self.dirty: dict[str, TrackedJob] = {}
        # The number of waiting jobs by the rows that moved them to cells which may not count them.
        self.job_moves: Counter[JobMove] = Counter()
        self.urgent = False
        # Nothing starts here, because the failure domain is taken out or the cell is released.
        self.closed = False
        self.releasing = False
        self.unknown_jobs: set[str] = set()
        # By job that is not known yet, ends that workers listed before they restarted or went.
        self._orphaned_ends: dict[str, list[tuple[Host, Ending]]] = {}
        self._queue_of = queue_of
        self._wall_ms = wall_ms
        self._ready: dict[tuple[str, int, int], Batch] = {}
        # By job, when to look for occurrences that are due.
        self._due_at: dict[str, float] = {}
        self._unsent: list[_Unsent] = []
        # Workers were proven or rows were read since the held tasks were last checked.
        self._recheck_held = False
        self._fencing = Fencing()
        self._boot_log = BootLog(cell, epoch, self.token)
        # Whether the rows of all parts, and of which, were read after all workers were fenced.
        self.proven = True
        self._proven_parts: set[str] = set()
        self._last_run = epoch * RUNS_PER_EPOCH
        self._summary_at = 0.0
        self._ticked_at = 0.0
        self._short_seen_at: float | None = None
        # Computed once a planning pass, when it is first needed.
        self._headroom: Headroom | None = None
        self._spare_room = SpareRoom()
        # Valid as of a time, the last run placed and whether the cell is closed.
        self._rooms: dict[str, list[Size]] = {}
        self._rooms_as_of: tuple[float, int, bool] | None = None
        self._busy_by_service: dict[str, bool] = {}
        self.order = PlacementOrder(options.deadline_order, self.quota.fair_rank, cell)
        self._preemption = Preemption()
        # Wait reasons as of the last summary.
        self.waits: list[WaitRow] = []
        self.lasting_waits: list[LastingWait] = []
        # By service, the loads that other cells last published, and what is left of them beside
        # the tasks that were moved there since.
        self.other_cell_loads: dict[str, list[Load]] = {}
        self.other_cell_rooms: dict[str, list[Load]] = {}

    # Workers

    def take_over(
        self,
        roster: Iterable[Host],
        proof_at: float,
        lease_ends: Mapping[str, float] = MappingProxyType({}),
        now: float = 0.0,
        run_ends: Mapping[str, RunEnd] = MappingProxyType({}),
    ) -> None:
        """Start with the former holder's workers, whose leases will be over at `proof_at`.

        `lease_ends` are earlier local times by worker, `run_ends` those of runs that have begun.
        """
        for host in roster:
            self._add_member(host, prior=True)
        self._fencing.take_over(self.members, proof_at, lease_ends, now, run_ends)
        self.proven = self.is_fully_fenced

    def lease_end(self, member: Member, now: float) -> float | None:
        """Return the local time by which a worker's runs are over if it gets no more orders.

        None if a late call may have effect: a restarted worker does not know its deadline.
        """
        former = self._fencing.lease_end(member.name)
        if not (member.born or member.used_at):
            # It got nothing from this holder.
            return former
        if member.has_open_start(now) or (member.born and not member.is_fenced):
            return None
        end = max(former, member.lapses_at()) if member.born else former
        if member.silent_since is not None and member.silent_since < member.late_start_until:
            end = max(end, late_lease_end(member.used_at, self.bounds.lease_s))
        return end

    def run_end(self, member: Member, now: float) -> RunEnd | None:
        """Return when the begun runs of a silent worker with open starts are over, if known.

        Only a later boot may execute an open start, and a run that has begun ends with its boot.
        """
        if not (member.born or member.used_at):
            return self._fencing.run_end(member.name)
        if not (member.born and member.is_fenced and member.silent_since is not None):
            return None
        open_tasks = self.open_starts.list_tasks(member, self.tracked.values(), now)
        if not (open_tasks or member.has_open_start(now)):
            return None
        end = max(self._fencing.lease_end(member.name), member.lapses_at())
        return RunEnd(end, open_tasks)

    @property
    def is_fully_fenced(self) -> bool:
        """Return whether no worker accepts orders of a former holder any more."""
        return not self._fencing.unproven

    def count_unproven(self) -> int:
        """Return the number of workers that may still accept orders of a former holder."""
        return len(self._fencing.unproven)

    def needs_proof(self, part: str) -> bool:
        """Return whether a part's rows were not read since all workers were fenced."""
        return not self.proven and part not in self._proven_parts

    def note_rows_read(self, parts: Iterable[str] = PARTS) -> None:
        """Record that the rows of parts were read after all workers were fenced.

        A former holder acknowledges an end only after its row is committed, so the rows contain
        every end that the workers no longer list. A job's row is in one part.
        """
        self._proven_parts.update(parts)
        self.proven = self._proven_parts.issuperset(PARTS)
        for tracked in self.tracked.values():
            if part_of(tracked.job.id) not in parts:
                continue
            was_claimed = tracked.claim_change > 0
            self._claim(tracked)
            only_records_starts = all(step.records_starts for step in tracked.job.steps)
            if was_claimed and not (only_records_starts or tracked.progress.phase.is_final):
                # As with a claim, a row with ends recorded since it was read makes this conflict.
                self._mark_dirty(tracked, urgent=True)
                tracked.proof_change = tracked.change
        self._recheck_held = True

    def _is_proven(self, tracked: TrackedJob) -> bool:
        """Return whether a job's part was read after all workers were fenced."""
        return not self.needs_proof(part_of(tracked.job.id))

    def _free_held(self, now: float) -> None:
        """Let the held tasks start that no worker of a former holder can run any more."""
        self._recheck_held = False
        for tracked in self.tracked.values():
            for batch in tracked.batches.values():
                if batch.held:
                    self._update_waiting(batch, now)

    def _may_still_run(self, batch: Batch, key: TaskKey) -> bool:
        """Return whether a worker of a former holder may run a task of a lasting step.

        The job's row names the worker of the task's last start; rows without the record don't.
        """
        if not batch.tracked.prior or not batch.step.records_starts:
            return False
        if self._is_proven(batch.tracked):
            return False
        places = batch.tracked.progress.places
        if places is None or UNKNOWN_WORKER in self._fencing.unproven:
            return True
        place = places.get(key)
        task = TaskId(batch.tracked.job.id, *key)
        return place is not None and self._fencing.may_run(place.worker, task)

    def _claim_if_safe(self, tracked: TrackedJob) -> None:
        """Claim a job once its tasks may start; one with lasting steps even before all of them.

        Once it is claimed, its row holds the last start of each lasting task for good: a former
        holder sends a start only after it is recorded.
        """
        records_starts = any(step.records_starts for step in tracked.job.steps)
        if self._is_proven(tracked) or (records_starts and tracked.progress.places is not None):
            self._claim(tracked)

    def _claim(self, tracked: TrackedJob) -> None:
        """Write this epoch into a row that names an earlier one, before any of its tasks starts.

        A later write of the former holder (delayed, or sent when its paused process resumes) then
        conflicts, which shows it that it lost the cell.
        """
        progress = tracked.progress
        if progress.phase.is_final or not has_tasks_in(progress, self.cell):
            return
        if progress.claims.get(self.cell, 0) < self.epoch:
            progress.claims[self.cell] = self.epoch
            self._mark_dirty(tracked, urgent=True)
            tracked.claim_change = tracked.change

    def update_host(self, host: Host) -> Member | None:
        """Update a worker from its listing; return the member if it is new or has moved."""
        if host.state is HostState.LEAVING:
            self._poison.note_leaving(host.name)
            self._record_cleared()
        member = self.members.get(host.name)
        if member is None:
            return self._add_member(host)
        moved = member.host.address != host.address
        member.host, member.missing_since = host, None
        return member if moved else None

    def _add_member(self, host: Host, prior: bool = False) -> Member:
        member = self.members[host.name] = Member(host, prior, token=self._newest_token)
        if host.name in self._dropped:
            member.expect_late_calls(self._dropped.pop(host.name))
        return member

    def _drop_member(self, member: Member, now: float) -> None:
        del self.members[member.name]
        self._dropped[member.name] = member
        for each in list(self._dropped.values()):
            if now >= late_lease_end(each.used_at, self.bounds.lease_s):
                del self._dropped[each.name]

    def mark_host_missing(self, name: str, now: float) -> None:
        """Record that a worker is no longer listed."""
        member = self.members.get(name)
        if member is not None and member.missing_since is None:
            member.missing_since = now

    def roster(self) -> list[Host]:
        """Return the workers that may run tasks of this cell, as stored for a successor."""
        return [member.host._replace(remaining_ms=0) for member in self.members.values()]

    def log_open_starts(self, why: str, now: float) -> None:
        """Log the open starts that this holder leaves; `why` it ends."""
        self._boot_log.log_lost(why, self.members.values(), now)

    def token(self, worker: str) -> int:
        """Return the fencing token of calls to a worker."""
        member = self.members.get(worker)
        return member.token if member is not None else self.epoch

    def boot_ids(self) -> dict[str, int]:
        """Return the boot of each worker that has answered, as of its last answer."""
        return {member.name: member.born for member in self.members.values() if member.born}

    def unheard_members(self, now: float) -> list[Member]:
        """Return the workers that have not answered this holder, or are silent for long."""
        return [each for each in self.members.values() if not each.born or each.is_lost(now)]

    def list_open_starts(self, now: float, unanswered_s: float) -> list[StartRow]:
        """Return the open starts to publish, also those without an answer after some seconds."""
        return self.open_starts.publish(self.tracked.values(), now, unanswered_s)

    def departing_members(self) -> list[Member]:
        """Return the answering workers with runs that have announced their shutdown."""
        return [
            member
            for member in self.members.values()
            if member.host.state is HostState.LEAVING
            and member.runs
            and member.born
            and member.silent_since is None
        ]

    def suspend(self, workers: Iterable[str]) -> dict[str, int]:
        """Start nothing on workers until a renewal is confirmed that was sent after an answer.

        Return the boots of those that were confirmed.
        """
        members = [self.members[name] for name in workers]
        confirmed = {member.name: member.born for member in members if member.confirmed}
        for member in members:
            member.confirmed = False
        return confirmed

    def raise_tokens(self, version: int) -> None:
        """Raise the tokens of workers that may have restarted to the version of a renewal.

        It is above all tokens in use, and a successor's epoch is above it.
        """
        self._newest_token = version
        for member in self.members.values():
            if member.needs_token:
                member.token = version

    def confirm_roster(self, boot_ids: dict[str, int]) -> None:
        """Record that a renewal sent when `boot_ids` was taken was confirmed.

        Workers that have restarted since then wait for the next renewal.
        """
        for name, born in boot_ids.items():
            member = self.members.get(name)
            if member is not None and member.born == born:
                member.confirmed = True

    # Jobs

    def adopt(self, job: Job, progress: Progress, version: int, now: float) -> None:
        """Start tracking a job."""
        if job.id in self.tracked:
            return
        due = now - (self._wall_ms() - job.accepted_ms) / 1000
        queue = Queue(job.queue, job.service)
        tracked = TrackedJob(job, progress, version, queue, due)
        tracked.given_version = progress.given_version or version
        tracked.prior = progress.claims.get(self.cell, 0) != self.epoch
        self.tracked[job.id] = tracked
        self.open_starts.adopt(tracked)
        self._update_queue(tracked)
        self._poison.note_row(tracked)
        self._classify(tracked, self.order.note_job(tracked), now)
        tracked.exceeds_rate = self.quota.exceeds_rate(job)
        if any(not (step.lasting or step.filling) for step in job.steps):
            self._short_seen_at = now
        self.unknown_jobs.discard(job.id)
        if progress.phase.is_final:
            tracked.final_at = now
        else:
            tracked.has_started = progress.phase is Phase.RUNNING
            self._claim_if_safe(tracked)
            self._open_steps(tracked, now)
            for batch in tracked.batches.values():
                batch.prior = tracked.prior
        for host, ending in self._orphaned_ends.pop(job.id, ()):
            # The end's number is of a boot that nothing can be acknowledged to any more.
            self._on_end(Member(host), ending, now)
        for member in self.members.values():
            for ending in member.deferred_ends.pop(job.id, ()):
                self._on_end(member, ending, now)
            # Runs that a worker listed before the job was known here.
            for entry in member.unknown_runs.pop(job.id, ()):
                self._on_listed(member, entry, member.asked_at, now)

    def _classify(self, tracked: TrackedJob, usual_work: float, now: float) -> None:
        """Set a job's size class; count the job if this cell is the first to accept it."""
        tracked.size_class = classify(tracked.work, usual_work)
        progress = tracked.progress
        if tracked.prior:
            tracked.expired = now > tracked.expires_at()
        elif progress.cell == self.cell and not progress.moves:
            self._count(tracked, "accepted")

    def _count(self, tracked: TrackedJob, outcome: str) -> None:
        queue = tracked.queue.name
        jobs_by_size.count(queue=queue, size=tracked.size_class, outcome=outcome)

    def _count_expired(self, now: float) -> None:
        """Count the jobs whose value has expired, each once."""
        for tracked in self.tracked.values():
            if tracked.expired or tracked.final_at is not None:
                continue
            if tracked.job.is_timed or tracked.job.lasting or tracked.progress.cell != self.cell:
                continue
            if now > tracked.expires_at():
                tracked.expired = True
                self._count(tracked, "expired")

    def refresh(self, job_id: str, progress: Progress, version: int, now: float) -> None:
        """Merge a newer row of a tracked job."""
        tracked = self.tracked[job_id]
        if version <= tracked.version:
            return
        was_final = tracked.progress.phase.is_final
        has_unrecorded = tracked.recorded < tracked.change
        was_counted = tracked.progress.counts_in(self.cell)
        tracked.progress.merge(progress, self.cell, self.epoch)
        tracked.version, tracked.given_version = version, progress.given_version or version
        self._note_reassigned(tracked, was_counted, "row")
        self._poison.note_row(tracked)
        if has_unrecorded:
            self.dirty[job_id] = tracked
        self._update_queue(tracked)
        if tracked.progress.phase.is_final and not was_final:
            self._close_job(tracked, now)
            log(Event.JOB_CLOSED, job=job_id, phase=tracked.progress.phase.name.lower())
        elif not tracked.progress.phase.is_final:
            self._claim_if_safe(tracked)
            self._open_steps(tracked, now)
            if tracked.progress.is_all_done(tracked.job):
                tracked.progress.phase = Phase.COMPLETED
                self._mark_dirty(tracked, urgent=True)
                self._close_job(tracked, now)

    def confirm(self, tracked: TrackedJob, committed: Progress, change: int, version: int) -> None:
        """Process the row of a job that this holder has stored with all changes up to `change`."""
        was_counted = tracked.progress.counts_in(self.cell)
        tracked.progress.confirm(committed)
        tracked.given_version = committed.given_version or version
        self.note_recorded(tracked, change, version)
        self._note_reassigned(tracked, was_counted, "commit")

    def _note_reassigned(self, tracked: TrackedJob, was_counted: bool, by: str) -> None:
        """Note whether a stored row moved a tracked job from this cell to another, or back."""
        counts, to = tracked.progress.counts_in(self.cell), tracked.progress.cell
        if counts == was_counted:
            return
        if was_counted and tracked.is_waiting:
            self.job_moves[JobMove(to, tracked.given_version, tracked.job.queue)] += 1
        log(
            Event.JOB_REASSIGNED,
            job=tracked.job.id,
            cell=self.cell,
            epoch=self.epoch,
            to=to,
            version=tracked.version,
            by=by,
        )

    def reconfigure(self) -> None:
        """Apply a new configuration of the queues and customers."""
        self.quota.reconfigure()
        for tracked in self.tracked.values():
            self._update_queue(tracked)

    def _update_queue(self, tracked: TrackedJob) -> None:
        """Use the newer of a job's configured and recorded queue, and record a change of it.

        A successor may have started after the queue was removed from the configuration.
        """
        progress = tracked.progress
        queue = newest_queue(self._queue_of(tracked.job), progress.queue)
        if queue is None:
            return
        tracked.queue, recorded = queue, progress.queue
        if recorded is not None and queue.has_settings_of(recorded):
            return
        progress.queue = queue
        is_claimed = progress.claims.get(self.cell, 0) == self.epoch
        if recorded is not None and is_claimed and not progress.phase.is_final:
            self._mark_dirty(tracked)

    def stranded(self, after_s: float, now: float) -> list[Batch]:
        """Return the batches that found no worker here for `after_s`, in scheduling order.

        If the cell is closed, return all waiting batches that are not held.
        """
        found = [
            batch
            for batch in self._ready.values()
            if batch.waiting
            and not self._is_held(batch, now)
            and (
                self.closed
                or (batch.unplaced_since is not None and now - batch.unplaced_since >= after_s)
            )
            and self.open_starts.list_movable(batch, now)
        ]
        return sorted(found, key=lambda batch: self.order.key(batch, now))

    def list_crowded(self, refused: Iterable[Batch], now: float) -> list[Batch]:
        """Return those of the lasting batches without room in any cell that may wait elsewhere.

        Gangs are left out, as all members need room in one cell.
        """
        return [
            batch
            for batch in refused
            if not batch.step.gang
            and self.quota.allows(batch)
            and self._has_found_no_room(batch, now)
        ]

    def _has_found_no_room(self, batch: Batch, now: float) -> bool:
        """Return whether a batch waited for LASTING_WAIT_S in this cell, or can't start here."""
        if self.closed:
            return not self.releasing
        return batch.unplaced_since is not None and now - batch.unplaced_since >= LASTING_WAIT_S

    def list_strays(self, now: float) -> list[tuple[Batch, list[int]]]:
        """Return split gangs and their members here that another cell may start now.

        The rows of earlier releases may assign the members of one gang to several cells.
        """
        return [
            (batch, indexes)
            for batch, indexes in self._idle_gangs.list_strays()
            if not self._is_held(batch, now)
            and not any(self._may_still_run(batch, batch.key(index)) for index in indexes)
            and not any(self.open_starts.find(batch, index, now) for index in indexes)
        ]

    def may_have_started(self, tracked: TrackedJob, now: float) -> bool:
        """Return whether any task of a job may have been started, here or elsewhere."""
        progress = tracked.progress
        if tracked.active() or tracked.has_started or progress.moved_to or progress.places:
            return True
        if self.open_starts.has_any(tracked, now):
            return True
        return tracked.prior and (not self._is_proven(tracked) or self._has_unheard_workers())

    def move(
        self,
        tracked: TrackedJob,
        batch: Batch,
        numbers: list[int] | None,
        cell: str,
        now: float,
        epoch: int = 0,
    ) -> None:
        """Assign tasks of a batch to another cell and epoch; the whole job if `numbers` is None.

        Only tasks that this cell owns move; with one member of a gang, so do all others here.
        """
        progress, own = tracked.progress, None
        if numbers is None:
            progress.move_job(cell, epoch)
        else:
            keys = [batch.key(index) for index in batch.together_with(numbers)]
            own = [key for key in keys if progress.owner(key) == self.cell]
            progress.move_tasks(own, cell, epoch)
        for key in list(tracked.ran_until) if own is None else own:
            # They may run elsewhere before they come back.
            tracked.ran_until.pop(key, None)
        self._boot_log.log_moved(tracked.job.id, own, cell, now)
        progress.highest_run = max(progress.highest_run, self._last_run)
        self._mark_dirty(tracked, urgent=True)
        for each in tracked.batches.values():
            self._update_waiting(each, now)

    def list_unknown_jobs(self) -> list[str]:
        """Return the jobs to look up, those with runs first: a cancelled one has to be stopped."""
        running = {job for member in self.members.values() for job in member.unknown_runs}
        return sorted(self.unknown_jobs, key=lambda job: job not in running)

    def stop_unknown_runs(self, job_id: str) -> None:
        """Stop the listed runs of a job that has no stored row."""
        self.unknown_jobs.discard(job_id)
        for member in self.members.values():
            # They stay listed, and the worker unusable, until an answer without them.
            for entry in member.unknown_runs.get(job_id, ()):
                log(Event.RUN_UNKNOWN, task=entry.task, run=entry.run, worker=member.name)
                self.orders.append(StopTask(member.name, entry.task, entry.run))
            member.deferred_ends.pop(job_id, None)
        self._orphaned_ends.pop(job_id, None)

    def _keep_deferred_ends(self, member: Member) -> None:
        """Keep the listed ends of a boot that is over until their jobs are known."""
        for job_id, ends in member.deferred_ends.items():
            kept = self._orphaned_ends.setdefault(job_id, [])
            kept.extend((member.host, ending) for ending in ends)
        member.deferred_ends.clear()

    def _open_steps(self, tracked: TrackedJob, now: float) -> None:
        """Open the steps of all due occurrences whose dependencies are done."""
        tracked.drop_finished()
        occurrences = tracked.open_occurrences(self.cell)
        for batch in tracked.batches.values():
            if batch.occurrence not in occurrences:
                # Its tasks may be done, or another cell's by now.
                self._update_waiting(batch, now)
        for occurrence in sorted(occurrences):
            self._open_occurrence(tracked, occurrence, now)
        self._open_due(tracked, now)

    def _open_due(self, tracked: TrackedJob, now: float) -> None:
        """Open further occurrences that are due, unless many steps wait already."""
        job = tracked.job
        tracked.next_occurrence = max(tracked.next_occurrence, tracked.progress.finished)
        self._due_at.pop(job.id, None)
        if tracked.progress.cell != self.cell or tracked.next_occurrence == job.occurrences:
            return
        room = MAX_WAITING_STEPS - tracked.count_waiting_steps()
        while tracked.next_occurrence < job.occurrences:
            wait_s = (job.due_ms(tracked.next_occurrence) - self._wall_ms()) / 1000
            if job.is_timed and wait_s > 0:
                self._due_at[job.id] = now + wait_s
                return
            if room <= 0:
                # Steps that wait now may have started by the next tick.
                self._due_at[job.id] = now
                return
            self._open_occurrence(tracked, tracked.next_occurrence, now)
            tracked.next_occurrence += 1
            room -= 1

    def _open_occurrence(self, tracked: TrackedJob, occurrence: int, now: float) -> None:
        job, progress = tracked.job, tracked.progress
        for number, step in enumerate(job.steps):
            if (occurrence, number) in tracked.batches:
                self._update_waiting(tracked.batches[occurrence, number], now)
            elif all(progress.is_step_done(job, occurrence, i) for i in step.after):
                self._open_batch(tracked, occurrence, number, now)

    def _open_batch(self, tracked: TrackedJob, occurrence: int, number: int, now: float) -> None:
        batch = Batch(tracked, occurrence, number, tracked.job.steps[number])
        tracked.batches[occurrence, number] = batch
        self._update_waiting(batch, now)

    def _update_waiting(
        self, batch: Batch, now: float, indexes: Iterable[int] | None = None
    ) -> None:
        """Update a batch's waiting tasks: owned by this cell, not done and without a run.

        Runs of tasks that are done are stopped. `indexes` are the tasks that may have changed, by
        default all.
        """
        progress = batch.tracked.progress
        for index in batch.together_with(indexes):
            key = batch.occurrence, batch.number, index
            is_own = progress.owner(key) == self.cell
            if not is_own:
                # Should it come back, it has waited elsewhere since its last run here.
                batch.tracked.former.pop(key, None)
            done = progress.is_done(*key) and not batch.step.lasting
            has_waited = index in batch.waiting or index in batch.held
            batch.waiting.discard(index)
            batch.held.discard(index)
            if is_own and not done and index not in batch.active:
                held = self._may_still_run(batch, key)
                (batch.held if held else batch.waiting).add(index)
                if not has_waited and key not in batch.tracked.former:
                    batch.moved_in_at = now
            if done:
                for run in list(batch.active.get(index, ())):
                    self._stop(run, now)
        batch.keep_gang_whole()
        if not batch.waiting:
            batch.note_placed()
        if batch.count_waiting():
            batch.waiting_since = now if batch.waiting_since is None else batch.waiting_since
            self._ready[batch.tracked.job.id, batch.occurrence, batch.number] = batch
        else:
            batch.waiting_since = None
        if batch.step.gang:
            self._idle_gangs.update(batch, now)

    def _close_job(self, tracked: TrackedJob, now: float) -> None:
        """Stop all runs of a job in a final phase and drop its waiting tasks."""
        tracked.final_at = now
        for batch in tracked.batches.values():
            batch.waiting.clear()
            batch.held.clear()
            self._ready.pop((tracked.job.id, batch.occurrence, batch.number), None)
            for runs in list(batch.active.values()):
                for run in list(runs):
                    self._stop(run, now)
        self._due_at.pop(tracked.job.id, None)

    # Recording

    def _mark_dirty(self, tracked: TrackedJob, urgent: bool = False) -> None:
        tracked.change += 1
        self.dirty[tracked.job.id] = tracked
        self.urgent = self.urgent or urgent

    def note_recorded(self, tracked: TrackedJob, change: int, version: int) -> None:
        """Record that the row holds all changes up to `change`."""
        if tracked.progress.phase.is_final and tracked.recorded < tracked.change <= change:
            phase = tracked.progress.phase.name.lower()
            took_s = (tracked.final_at or tracked.due) - tracked.due
            completion_seconds.observe(took_s, queue=tracked.queue.name, phase=phase)
            outcome = tracked.outcome()
            if not tracked.expired:
                self._count(tracked, outcome)
            log(
                Event.JOB_ENDED,
                job=tracked.job.id,
                phase=phase,
                took_ms=int(took_s * 1000),
                queue=tracked.queue.name,
                work=round(tracked.work, 1),
                size=tracked.size_class,
                outcome=outcome,
                waited_ms=int(tracked.waited_s * 1000),
                failed_runs=sum(map(len, tracked.progress.failures.values())),
            )
        tracked.recorded = max(tracked.recorded, change)
        tracked.version = max(tracked.version, version)

    def is_outdated(self, worker: str, token: int) -> bool:
        """Return whether a call is refused because this holder has raised the worker's token."""
        member = self.members.get(worker)
        return member is None or token < member.token

    def cursor(self, member: Member) -> int:
        """Return the number up to which a worker's ends may be acknowledged."""
        recorded: list[tuple[int, str, int]] = []
        number = self._advance_cursor(member, recorded)
        if number > member.acked_end:
            log(
                Event.ENDS_ACKED,
                worker=member.name,
                born=member.born,
                after=member.acked_end,
                upto=number,
                cell=self.cell,
                epoch=self.epoch,
                recorded=[list(row) for row in recorded],
            )
            member.acked_end = number
        return number

    def _advance_cursor(self, member: Member, recorded: list[tuple[int, str, int]]) -> int:
        """Return a worker's cursor; add the number, job and row version of each recorded end."""
        # Ends are listed in ascending order, so a job's first one is its lowest.
        deferred = [ends[0].number - 1 for ends in member.deferred_ends.values()]
        last = min(deferred, default=member.last_end)
        for number in sorted(each for each in member.pending_acks if each <= last):
            job, change = member.pending_acks[number]
            tracked = self.tracked.get(job)
            if tracked is not None and tracked.recorded < change:
                return number - 1
            del member.pending_acks[number]
            recorded.append((number, job, tracked.version if tracked is not None else 0))
        return last

    # Snapshots

    def on_snapshot(
        self,
        member: Member,
        snapshot: Snapshot,
        asked_at: float,
        now: float,
        token: int,
    ) -> None:
        """Process the runs and ends that a worker lists, asked for under a token."""
        if member.born not in (0, snapshot.born):
            self._doubt(member, member.runs.values(), now)
        reborn = member.note_answer(snapshot, token, now, self.bounds.lease_s)
        if reborn:
            self._keep_deferred_ends(member)
            member.confirmed = False
            self.copies.speeds.forget(member.name)
            self._expect_late_starts(member)
            self._boot_log.note_restart(member, now)
        # While the list of ends is incomplete, an unlisted run may have ended as done.
        member.all_ends_listed = snapshot.complete
        for ending in snapshot.ended:
            if ending.number > member.last_end:
                self._boot_log.check_end(member, ending)
                self._on_end(member, ending, now)
                member.last_end = ending.number
        member.unknown_runs.clear()
        member.asked_at = asked_at
        listed = set()
        for entry in snapshot.running:
            listed.add((entry.task, entry.run))
            self._on_listed(member, entry, asked_at, now)
        for run in list(member.runs.values()) if snapshot.complete else ():
            if (run.task, run.number) in listed or not run.is_over(asked_at, token):
                continue
            if member.is_fenced or not run.may_restart(now):
                self._note_open_start(run, member, now)
                self._remove_run(run, now, EndReason.REBORN if reborn else EndReason.VANISHED)
        if snapshot.complete:
            # Only now: an answer whose processing failed above proves nothing.
            self._note_fenced(member.name)
        self._settle_crashes(member, snapshot.born, now)
        self._end_probations(member, listed, now)
        self._stop_stalled(member, now)
        learn_interference(self.interference, member)
        level = member.pace
        self.orders.extend(adjust_pace(member, self.interference, now))
        if member.pace != level:
            log(
                Event.WORKER_PACED,
                worker=member.name,
                percent=member.pace,
                tail_over_target=round(worst_tail_ratio(member), 2),
            )

    def _note_open_start(self, run: Run, member: Member, now: float) -> None:
        """Record that a later boot may execute a start that the present one can't any more."""
        tracked = self.tracked.get(run.task.job)
        if run.may_begin and tracked is not None:
            self.open_starts.note(run, member, tracked, now)

    def _note_fenced(self, worker: str) -> None:
        """Record that a worker listed all its runs and ends, or is gone."""
        self._recheck_held |= worker in self._fencing.unproven
        self._fencing.remove(worker)

    def _end_probations(self, member: Member, listed: set[tuple[TaskId, int]], now: float) -> None:
        """Record which listed runs have outlasted their start."""
        for key, run in member.runs.items():
            if key in listed and 0 < run.probation_until <= now:
                run.probation_until = 0.0
                if member.isolated is run:
                    member.isolated = None
                if run.crashes:
                    self._clear_crashes(run)

    def _clear_crashes(self, run: Run) -> None:
        """Forget a task's crashes once a run, for a gang all its runs, outlasted the start."""
        tracked = self.tracked.get(run.task.job)
        if tracked is None:
            return
        active = tracked.batches[run.task.occurrence, run.task.step].active
        gang = [each for runs in active.values() for each in runs if each.number == run.number]
        if run.step.gang and (
            len(gang) < run.step.width or any(each.probation_until for each in gang)
        ):
            return
        tracked.progress.add_outlasted(crash_key(run.step, run.task), run.number)
        self._mark_dirty(tracked)

    def _doubt(self, member: Member, runs: Iterable[Run], now: float) -> None:
        """Record in the rows which runs may be the cause if a silent worker has crashed."""
        for tracked in self._poison.doubt(member, runs, now):
            self._mark_dirty(tracked, urgent=True)

    def doubt_new_runs(self, now: float) -> None:
        """Record all runs on probation in the rows: a successor can't know when they started."""
        for member in self.members.values():
            self._doubt(member, member.runs.values(), now)

    def _settle_crashes(self, member: Member, born: int, now: float) -> None:
        """Count the crashes that an answer of a worker's boot shows."""
        self._count_crashes(self._poison.settle(member, born, len(self.members), now), now)
        self._record_cleared()

    def _record_cleared(self) -> None:
        """Record the jobs of which a run is in doubt no longer."""
        for tracked in self._poison.take_cleared():
            self._mark_dirty(tracked)

    def _count_crashes(self, found: list[Crash], now: float) -> None:
        """Count the crashes against the tasks in doubt; give up poison tasks."""
        for crash in found:
            for tracked, key, doubt, _, is_excused in crash.suspects:
                crashes = tracked.progress.add_crash(key, doubt.run, is_excused)
                all_crashes = tracked.progress.count_all_crashes(key)
                failed = is_given_up(crashes, all_crashes, crash.is_certain)
                if failed:
                    tracked.progress.phase = Phase.FAILED
                self._mark_dirty(tracked, urgent=True)
                log(
                    Event.TASK_GIVEN_UP if failed else Event.TASK_SUSPECTED,
                    task=TaskId(tracked.job.id, *key),
                    run=doubt.run,
                    worker=doubt.worker,
                    crashes=crashes,
                    all_crashes=all_crashes,
                    suspects=len(crash.suspects),
                    excused=is_excused,
                    certain=crash.is_certain,
                    outage=crash.in_outage,
                    after_ms=doubt.after_ms,
                    cell=self.cell,
                    epoch=self.epoch,
                )
                if failed and tracked.final_at is None:
                    self._close_job(tracked, now)

    def _expect_late_starts(self, member: Member) -> None:
        """Wait until a restarted worker refuses the starts that its former boot did not answer.

        Their deadline refers to the clock before the restart and may be far ahead on the new one.
        """
        for run in member.runs.values():
            if run.may_begin:
                run.absence_valid_after = float("inf")

    def _stop_stalled(self, member: Member, now: float) -> None:
        """Stop runs that make no progress and quarantine their worker."""
        if not member.is_fenced:
            # Runs of a former boot are kept until a late start of their tasks can't have effect.
            return
        stalled = find_stalled(member, now)
        if not stalled:
            return
        log(Event.WORKER_QUARANTINED, worker=member.name, why="runs stand still", runs=len(stalled))
        member.quarantine(now)
        for run in stalled:
            tracked = self.tracked.get(run.task.job)
            if tracked is not None:
                tracked.failed_on.setdefault(run.task[1:], set()).add(member.name)
            self._stop(run, now)

    def _on_listed(self, member: Member, entry: ListedRun, asked_at: float, now: float) -> None:
        run = member.runs.get((entry.task, entry.run))
        if run is None:
            run = self._find_listed(member, entry, now)
            if run is None:
                return
        run.has_begun = True
        if run.state is RunState.STARTING:
            self._confirm_run(run, asked_at)
        run.note_checkpoint(entry.checkpoint, now)
        if entry.percent != run.percent:
            run.percent = entry.percent
            run.note_progress(now)
        run.gauge = entry.gauge if run.step.target_ms else entry.gauge / 1000

    def _find_listed(self, member: Member, entry: ListedRun, now: float) -> Run | None:
        """Track a listed run that this holder did not start, or stop it."""
        task = entry.task
        self._boot_log.check_listed(member, task, entry.run, "running", now)
        tracked = self.tracked.get(task.job)
        if tracked is None:
            self.unknown_jobs.add(task.job)
            member.unknown_runs.setdefault(task.job, []).append(entry)
            return None
        if not tracked.job.has_task(task):
            self.orders.append(StopTask(member.name, task, entry.run))
            return None
        if self._infer_done(tracked, task, now) and not tracked.progress.phase.is_final:
            # The tasks of these steps that have no listed run start here.
            self._open_steps(tracked, now)
        batch = self._get_batch(tracked, task)
        for other in list(batch.active.get(task.number, ())):
            if other.state is RunState.RECORDING:
                self._stop(other, now)
        run = Run(task, entry.run, member.name, batch.step, RunState.RUNNING, now)
        self._boot_log.check_owner(run, tracked.progress.owner(task[1:]), member)
        if run.step.filling:
            # A former holder may have slowed or paused it.
            run.pace = UNKNOWN_PACE
        run.note_progress(now)
        self._confirm_run(run, now)
        others = batch.active.get(task.number, [])
        self._add_run(batch, run, member)
        is_over = tracked.progress.phase.is_final or (
            tracked.progress.is_done(*task[1:]) and not batch.step.lasting
        )
        if is_over or (others and not batch.step.copies):
            if not (tracked.progress.phase.is_final or run.step.copies):
                self._boot_log.log_duplicate(run, tracked.progress.is_done(*task[1:]), others)
            self._stop(run, now)
        else:
            self._place_listed(batch, run)
        return run

    def _infer_done(self, tracked: TrackedJob, task: TaskId, now: float) -> bool:
        """Mark a running step's dependencies as done: it was started only after they ended.

        Return whether any was not; further steps may start then.
        """
        has_changed = False
        for dependency in tracked.job.steps[task.step].after:
            if tracked.progress.add_step_done(tracked.job, task.occurrence, dependency):
                has_changed = True
                self._mark_dirty(tracked)
                first_task = TaskId(task.job, task.occurrence, dependency, 0)
                self._infer_done(tracked, first_task, now)
                batch = tracked.batches.get((task.occurrence, dependency))
                if batch is not None:
                    self._update_waiting(batch, now)
        return has_changed

    def _get_batch(self, tracked: TrackedJob, task: TaskId) -> Batch:
        key = task.occurrence, task.step
        if key not in tracked.batches:
            tracked.batches[key] = Batch(tracked, *key, tracked.job.steps[task.step])
        return tracked.batches[key]

    def _add_run(self, batch: Batch, run: Run, member: Member) -> None:
        run.sent_to = member.born
        batch.active.setdefault(run.task.number, []).append(run)
        batch.waiting.discard(run.task.number)
        batch.held.discard(run.task.number)
        batch.keep_gang_whole()
        if not batch.count_waiting():
            batch.waiting_since = None
        member.add(run)
        self.quota.add(run, batch.tracked.job.customer, member.host.service)

    def _confirm_run(self, run: Run, known_at: float) -> None:
        """Record that a worker has the run."""
        if run.state is not RunState.STOPPING:
            run.state = RunState.RUNNING
        run.absence_valid_after, run.has_begun = known_at, True
        tracked = self.tracked[run.task.job]
        self.open_starts.note_begun(tracked, run.task, run.number, known_at)
        if not tracked.has_started:
            tracked.has_started = True
            log(
                Event.JOB_BEGUN,
                job=tracked.job.id,
                cell=self.cell,
                epoch=self.epoch,
                task=run.task,
                run=run.number,
                worker=run.worker,
            )
            if tracked.progress.phase is Phase.QUEUED:
                tracked.progress.phase = Phase.RUNNING

    def _on_end(self, member: Member, ending: Ending, now: float) -> None:
        task = ending.task
        tracked = self.tracked.get(task.job)
        if tracked is None:
            if ending.kind in (EndKind.DONE, EndKind.FAILED):
                self.unknown_jobs.add(task.job)
                member.deferred_ends.setdefault(task.job, []).append(ending)
            else:
                self._log_end(member, ending)
            return
        run = member.runs.get((task, ending.run))
        if run is None:
            self._boot_log.check_listed(member, task, ending.run, ending.kind.value, now)
            self.open_starts.note_begun(tracked, task, ending.run, now)
        if tracked.progress.phase.is_final or not tracked.job.has_task(task):
            # The end needs no record of its own once the row holds the final phase.
            member.pending_acks[ending.number] = PendingAck(task.job, tracked.change)
            if run is not None:
                self._remove_run(run, now, EndReason.ENDED, ending.kind.value)
            return
        if ending.checkpoint:
            tracked.checkpoints[task[1:]] = ending.checkpoint
        step = tracked.job.steps[task.step]
        if member.note_end(ending.kind, now):
            log(Event.WORKER_QUARANTINED, worker=member.name, why="its runs fail")
        self._log_end(member, ending, step.lasting)
        if run is not None:
            run.checkpoint = ending.checkpoint or run.checkpoint
            if run.is_suspect and ending.kind in (EndKind.DONE, EndKind.FAILED):
                run.probation_until = 0.0
                self._clear_crashes(run)
        was_done = tracked.progress.is_done(*task[1:])
        if run is not None:
            self.copies.note_end(self._get_batch(tracked, task), run, ending.kind, was_done, now)
        match ending.kind:
            case EndKind.DONE | EndKind.FAILED if was_done and step.copies and self.options.copies:
                # Another run of the task was done first: this end changes nothing.
                pass
            case EndKind.DONE if not step.lasting:
                self._on_done(tracked, task, now)
            case EndKind.FAILED if not step.lasting:
                self._on_failed(tracked, task, ending, member)
            case EndKind.FAILED if member.is_quarantined(now):
                tracked.failed_on.setdefault(task[1:], set()).add(member.name)
        if not step.lasting and ending.kind in (EndKind.DONE, EndKind.FAILED):
            member.pending_acks[ending.number] = PendingAck(task.job, tracked.change)
        if run is not None:
            self._remove_run(run, now, EndReason.ENDED, ending.kind.value)
        if tracked.progress.is_step_done(tracked.job, task.occurrence, task.step):
            tracked.drop_finished()
        if tracked.progress.phase.is_final and tracked.final_at is None:
            self._close_job(tracked, now)

    def _log_end(self, member: Member, ending: Ending, lasting: bool = False) -> None:
        log(
            Event.RUN_ENDED,
            task=ending.task,
            run=ending.run,
            worker=member.name,
            how=ending.kind.value,
            number=ending.number,
            born=member.born,
            cell=self.cell,
            epoch=self.epoch,
            **({"lasting": True} if lasting else {}),
        )

    def _on_done(self, tracked: TrackedJob, task: TaskId, now: float) -> None:
        step, progress = tracked.job.steps[task.step], tracked.progress
        tracked.checkpoints.pop(task[1:], None)
        if step.gang:
            progress.add_step_done(tracked.job, task.occurrence, task.step)
        else:
            progress.add_done(*task[1:])
        complete = progress.is_all_done(tracked.job)
        if complete:
            progress.phase = Phase.COMPLETED
        is_remote = progress.cell != self.cell
        step_complete = progress.is_step_done(tracked.job, task.occurrence, task.step)
        self._mark_dirty(tracked, urgent=complete or (is_remote and step_complete))
        if step_complete and not complete:
            self._open_occurrence(tracked, task.occurrence, now)
            self._open_due(tracked, now)
        batch = tracked.batches.get((task.occurrence, task.step))
        if batch is not None:
            self._update_waiting(batch, now, (task.number,))

    def _on_failed(self, tracked: TrackedJob, task: TaskId, ending: Ending, member: Member) -> None:
        key = task[1:]
        tracked.failed_on.setdefault(key, set()).add(member.name)
        tracked.checkpoints.pop(key, None)
        count = tracked.progress.add_failure(key, ending.run)
        if tracked.job.steps[task.step].gang:
            runs = [r for k, s in tracked.progress.failures.items() if k[:2] == key[:2] for r in s]
            count = len(set(runs))
        # A copy may fail after another one was done.
        is_done = tracked.progress.is_done(*key)
        failed = count >= tracked.queue.max_attempts and not is_done
        if failed:
            tracked.progress.phase = Phase.FAILED
        self._mark_dirty(tracked, urgent=failed)

    def _remove_run(self, run: Run, now: float, why: EndReason, how: str = "") -> None:
        """Remove a run that is over; its task waits again unless it is done."""
        self._boot_log.note_removed(run, why, now)
        self.copies.note_removed(run, now)
        batch = self._detach_run(run, why, how)
        if batch is None:
            return
        self._end_place(batch, run, why, now)
        if run.step.lasting and (run.has_begun or why is EndReason.ENDED):
            batch.tracked.ran_until[run.task[1:]] = now
        if run.step.gang:
            self._stop_gang(batch, now)
        self._update_waiting(batch, now, (run.task.number,))
        if why in NO_EFFECT and run.task.number in batch.waiting:
            batch.resume(run.wait)

    def _end_place(self, batch: Batch, run: Run, why: EndReason, now: float) -> None:
        """Record that a lasting task's last start is over, so that no successor waits for it.

        Not while a boot may still execute that start or the one before.
        """
        others = batch.active.get(run.task.number)
        if others:
            self._place_listed(batch, others[-1])
            return
        is_spent = run.has_begun or why in NO_EFFECT
        if not batch.step.records_starts or not is_spent or run.may_restart(now):
            return
        tracked = batch.tracked
        if self.open_starts.may_begin(batch, run.task.number, now):
            return
        if tracked.progress.end_place(run.task[1:], run.number):
            self._mark_dirty(tracked)

    def _end_places_of_open_starts(self, confirmed_at: float) -> None:
        """Record which last starts without an answer are over, as `_end_place` does for runs.

        A successor may extend the lease of what a start began if it is not over by `confirmed_at`.
        """
        for tracked in self.tracked.values():
            if tracked.progress.phase.is_final:
                continue
            for key, worker, run in self.open_starts.list_over(tracked, confirmed_at):
                if not self._fencing.knows_runs(worker):
                    continue
                batch = tracked.batches.get(key[:2])
                is_active = batch is not None and key[2] in batch.active
                if not is_active and tracked.progress.end_place(key, run):
                    self._mark_dirty(tracked)
                    self._recheck_held = True

    def _place_listed(self, batch: Batch, run: Run) -> None:
        """Record where a lasting task runs that this holder has found there."""
        tracked = batch.tracked
        if batch.step.records_starts and tracked.progress.move_place(run.task[1:], run.worker):
            self._mark_dirty(tracked, urgent=True)

    def _detach_run(self, run: Run, why: EndReason, how: str = "") -> Batch | None:
        """Remove a run that is over; return its batch if its job is tracked and not final."""
        if why in NO_END_LISTED:
            self._boot_log.log_unlisted(run, why, self.members.get(run.worker))
        member = self.members.get(run.worker)
        if member is not None:
            member.remove(run)
        self.quota.remove(run)
        if run.moving_to in self.members:
            self.members[run.moving_to].release(run)
        tracked = self.tracked.get(run.task.job)
        if tracked is None:
            return None
        batch = tracked.batches[run.task.occurrence, run.task.step]
        runs = batch.active.get(run.task.number, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            batch.active.pop(run.task.number, None)
        if run.checkpoint and run.step.checkpointing:
            tracked.checkpoints[run.task[1:]] = run.checkpoint
        if tracked.progress.phase.is_final:
            return None
        if run.step.lasting or not tracked.progress.is_done(*run.task[1:]):
            text = f"{why.value} {how}".rstrip()
            tracked.former[run.task[1:]] = FormerRun(text, run.number, run.worker)
        return batch

    def _stop_gang(self, batch: Batch, now: float) -> None:
        """Stop the remaining runs of a gang; it starts again once all of them are over."""
        for runs in list(batch.active.values()):
            for run in list(runs):
                if run.state is RunState.RECORDING:
                    self._detach_run(run, EndReason.UNSENT)
                else:
                    self._stop(run, now)

    # Orders and their answers

    def _stop(self, run: Run, now: float) -> None:
        if run.state is RunState.STOPPING:
            return
        if run.state is RunState.RECORDING:
            self._remove_run(run, now, EndReason.UNSENT)
            return
        run.state, run.stop_sent_at = RunState.STOPPING, now
        self.orders.append(StopTask(run.worker, run.task, run.number))

    def find(self, order: WorkerOrder) -> Run | None:
        """Return the run that an order refers to, or None."""
        member = self.members.get(order.worker)
        return member.runs.get((order.task, order.run)) if member else None

    def note_clock(self, worker: str, clock_ms: int | None, asked_at: float, now: float) -> bool:
        """Process the clock in an answer that names no boot; return whether it is a later boot's.

        Then the worker needs another fencing token.
        """
        member = self.members.get(worker)
        if member is None or clock_ms is None or not member.is_behind(clock_ms, asked_at):
            return False
        log(Event.WORKER_CLOCK_BEHIND, worker=worker, clock_ms=clock_ms, born=member.born)
        member.note_later_boot(clock_ms, now, self.bounds.lease_s)
        return True

    def on_start_result(self, order: StartTask, result: StartResult, now: float) -> None:
        """Process a worker's answer to a start."""
        run, member = self.find(order), self.members.get(order.worker)
        if run is None or member is None:
            return
        if result is StartResult.STARTED:
            run.note_progress(now)
            self._confirm_run(run, now)
            return
        log(
            Event.RUN_REFUSED,
            task=run.task,
            run=run.number,
            worker=member.name,
            why=result.value,
        )
        match result:
            case StartResult.NO_ROOM | StartResult.UNHEALTHY:
                member.pause(now + NO_ROOM_PAUSE_S)
                # The task goes elsewhere first, or the worker would be chosen after each pause.
                tracked = self.tracked[run.task.job]
                tracked.refused_on.setdefault(run.task[1:], set()).add(run.worker)
            case StartResult.TOO_LATE:
                member.pause(now + NO_ROOM_PAUSE_S)
            case StartResult.NO_TICKET:
                self._get_batch(self.tracked[run.task.job], run.task).tickets.drop(member.name, now)
            case StartResult.MALFORMED:
                self.tracked[run.task.job].pause_until = now + MALFORMED_PAUSE_S
        self._remove_run(run, now, EndReason.REFUSED, result.value)

    def on_advice(
        self, order: AskAdvice, advice: Advice | None, asked_at: float, now: float
    ) -> None:
        """Process the advisor's answer for a step; `advice` is None if there was none."""
        tracked = self.tracked.get(order.job)
        batch = tracked.batches.get((order.occurrence, order.step)) if tracked else None
        if batch is not None:
            batch.tickets.apply_answer(advice, asked_at, now)
        log(
            Event.ADVICE_TAKEN,
            job=order.job,
            step=order.step,
            asked=len(order.workers),
            approved=len(advice.tickets) if advice is not None else None,
        )

    def on_start_unsent(self, order: StartTask, now: float) -> None:
        """Remove the run of a start that was never sent."""
        run, member = self.find(order), self.members.get(order.worker)
        if run is None or member is None:
            return
        # Not a silence of the worker: the call may have waited for a connection of this process.
        member.pause(now + NO_ROOM_PAUSE_S)
        self._remove_run(run, now, EndReason.UNSENT)

    def on_start_unanswered(self, order: StartTask, now: float) -> None:
        """Stop a run whose start was not answered: the worker may have started it or not."""
        run, member = self.find(order), self.members.get(order.worker)
        if run is None or member is None:
            return
        # The call left before now, perhaps well after it was planned.
        run.sent_at, member.used_at = now, max(member.used_at, now)
        if run.state is not RunState.STARTING:
            return
        self._boot_log.note_unsure(run, member)
        if member.is_fenced:
            run.absence_valid_after = member.clock_reached_by(order.deadline_ms)
        self._stop(run, now)

    def on_stop_answered(self, order: StopTask, now: float) -> None:
        """Record that a stop was answered: a later snapshot without the run proves it over."""
        run, member = self.find(order), self.members.get(order.worker)
        # A former boot may have answered.
        if run is not None and member is not None and (run.has_begun or member.is_fenced):
            run.absence_valid_after = min(run.absence_valid_after, now)

    def on_pace_failed(self, order: PaceTask) -> None:
        """Mark a run's pace as unknown, so that the next snapshot orders it again."""
        run, member = self.find(order), self.members.get(order.worker)
        if run is not None and member is not None:
            member.set_pace(run, UNKNOWN_PACE)

    def on_silence(self, worker: str, now: float, error: object = "") -> None:
        """Record that a worker did not answer; `error` is the failure of the call, for the log."""
        member = self.members.get(worker)
        if member is not None and member.silent_since is None:
            member.silent_since = now
            self._poison.note_silence(member, now)
            self._doubt(member, member.runs.values(), now)
            log(
                Event.WORKER_SILENT,
                worker=worker,
                running=len(member.runs),
                state=member.listed_state,
                error=error,
            )

    def on_gone(self, worker: str, now: float, rejected: StartTask | None = None) -> None:
        """Remove a worker whose boot has ended; all its runs are lost.

        `rejected` is the start, if any, that another boot answered.
        """
        member = self.members.get(worker)
        if member is None:
            return
        self._drop_member(member, now)
        log(Event.WORKER_GONE, worker=worker, running=len(member.runs))
        self._note_fenced(worker)
        self.interference.forget_worker(worker)
        self._keep_deferred_ends(member)
        # The boot that has ended never received a rejected start.
        never_started = rejected and (rejected.task, rejected.run)
        started = [run for key, run in member.runs.items() if key != never_started]
        self._doubt(member, started, now)
        for run in list(member.runs.values()):
            self._remove_run(run, now, EndReason.GONE)
        self._settle_crashes(member, 0, now)
        self._poison.note_gone(member, now)

    # Timers

    def tick(self, now: float, confirmed_at: float) -> None:
        """Run all timers; `confirmed_at` is when a renewal last confirmed that the cell is held."""
        for job_id, at in list(self._due_at.items()):
            if now >= at:
                del self._due_at[job_id]
                tracked = self.tracked.get(job_id)
                if tracked is not None and not tracked.progress.phase.is_final:
                    self._open_due(tracked, now)
        lapsed = self._fencing.lapse(now)
        self._recheck_held |= self._fencing.lapse_runs(confirmed_at)
        self._end_places_of_open_starts(confirmed_at)
        if lapsed:
            log(
                Event.CELL_PROVEN,
                cell=self.cell,
                by="lapse",
                workers=len(lapsed),
                names=sorted(lapsed),
                left=self.count_unproven(),
            )
            self._recheck_held = True
        for member in list(self.members.values()):
            self._tick_member(member, now, confirmed_at)
            if member.born and member.silent_since is None:
                # Rows that were read since its last answer may have runs in doubt.
                self._settle_crashes(member, member.born, now)
        self._count_crashes(self._poison.settle_gone(len(self.members), now), now)
        self._remove_old_jobs(now)
        self._count_overdue(now)
        if now - self._summary_at >= SUMMARY_INTERVAL_S:
            self._summary_at = now
            self._poison.expire(now)
            self._record_cleared()
            self._count_expired(now)
            self._log_summary(now)
            self._log_idle_gangs(now)

    def _log_idle_gangs(self, now: float) -> None:
        """Log why the gangs that have been idle longest do not run."""
        for gang in self._idle_gangs.report(now, self.closed, self._is_held):
            log(Event.GANG_IDLE, cell=self.cell, epoch=self.epoch, **gang._asdict())

    def _log_summary(self, now: float) -> None:
        """Log a summary of the cell."""
        loads, members = self.load(now), self.members.values()
        usable = [(member, member.room) for member in members if member.is_usable(now)]
        headroom = self._measure_headroom(now)
        ctx = WaitContext(
            usable, self.interference, now, headroom, self.closed, self._is_held, self.quota.allows
        )
        view = CellView(
            self.cell,
            self.epoch,
            self.members,
            [batch for batch in self._ready.values() if batch.count_waiting()],
            loads,
            ctx,
            self._fencing.unproven,
            self.proven,
            lambda batch: self._kept_room_access(batch, now).value,
            {name: round(self._spare_room.least(name, now), 1) for name in loads},
            self.interference,
            self.quota.states(),
        )
        self.waits, self.lasting_waits = log_summary(view)

    def _tick_member(self, member: Member, now: float, confirmed_at: float) -> None:
        for run in list(member.runs.values()):
            if run.state is RunState.STOPPING and now - run.stop_sent_at > STOP_RETRY_S:
                run.stop_sent_at = now
                self.orders.append(StopTask(run.worker, run.task, run.number))
        # A successor may have extended the leases after this holder was last confirmed.
        lapsed = member.silent_since is not None and confirmed_at > member.lapses_at()
        if lapsed and member.runs:
            may_list_ends = member.may_list_ends(now)
            over = [
                run
                for run in member.runs.values()
                if (run.step.lasting or not may_list_ends) and not self._may_run_late(run, now)
            ]
            if over:
                log(Event.WORKER_LAPSED, worker=member.name, runs=len(over))
            for run in over:
                self._remove_run(run, now, EndReason.LAPSED)
                self._note_lapsed(run, member)
        unproven = member.name in self._fencing.unproven
        if member.missing_since is not None and lapsed and not (unproven or member.runs):
            self.interference.forget_worker(member.name)
            self._keep_deferred_ends(member)
            self._drop_member(member, now)

    def _may_run_late(self, run: Run, now: float) -> bool:
        """Return whether a silent worker may run a start that it did not answer.

        It may have restarted: the deadline and the lease then count on the new boot's clock. A boot
        that is not fenced may also extend the lease of any run by a call to a former one.
        """
        member = self.members[run.worker]
        if member.is_fenced and not (run.may_begin or run.unanswered_at):
            return False
        if run.step.lasting and member.missing_since is not None:
            # The platform expects a lasting task to run again sooner than that.
            return False
        return now < late_lease_end(member.used_at, self.bounds.lease_s)

    def _note_lapsed(self, run: Run, member: Member) -> None:
        """Record when the platform began to expect a new run of a task.

        The worker may have been lost, with its runs, as soon as it fell silent.
        """
        tracked = self.tracked.get(run.task.job)
        if tracked is None or member.silent_since is None:
            return
        batch, expected_at = self._get_batch(tracked, run.task), member.silent_since + RERUN_S
        batch.expected_since = min(batch.expected_since or expected_at, expected_at)

    def _remove_old_jobs(self, now: float) -> None:
        keep_s = self.bounds.status_s
        old = [
            tracked
            for tracked in self.tracked.values()
            if tracked.final_at is not None and now - tracked.final_at > keep_s
        ]
        for tracked in old:
            if tracked.recorded >= tracked.change:
                del self.tracked[tracked.job.id]

    # Placement

    def must_start(self, batch: Batch, now: float) -> bool:
        """Return whether a lasting task waited too long although the cells have room for two."""
        if not batch.step.lasting or not self._has_waited_long(batch, now):
            return False
        service, size = batch.tracked.queue.service, batch.step.size
        own = self._rooms_by_service(now).get(service, ())
        slots = count_slots(batch.step, [room.cores for room in own if size.fits(room)])
        for load in self.other_cell_loads.get(service, ()):
            slots += load.slots(batch.step) + load.slots_of_last_resort(batch.step)
        return slots >= 2

    def _rooms_by_service(self, now: float) -> dict[str, list[Size]]:
        """Return the rooms in which lasting tasks may start, quarantined workers included."""
        if self._rooms_as_of != (now, self._last_run, self.closed):
            self._rooms, self._rooms_as_of = {}, (now, self._last_run, self.closed)
            for member in () if self.closed else self.members.values():
                if member.is_ready and (member.is_available(now) or member.is_last_resort(now)):
                    self._rooms.setdefault(member.host.service, []).append(member.room)
        return self._rooms

    def stands_still(self, batch: Batch, now: float) -> bool:
        """Return whether a finite job needs the last room for one of its tasks in another cell."""
        service = batch.tracked.queue.service
        if batch.step.filling and measure_cores(self._available_members(now), service).cores:
            # One of its tasks was started here, if there is any worker for it.
            return False
        return self._had_no_run(batch, LAST_ROOM_S, now)

    def _had_no_run(self, batch: Batch, for_s: float, now: float) -> bool:
        """Return whether a finite job had no run for a time although its service is not busy."""
        since = batch.waiting_since if self.closed else batch.unplaced_since
        if batch.step.lasting or since is None or now - since < for_s or batch.tracked.active():
            return False
        return not self._is_busy(batch.tracked.queue.service, now)

    def _has_waited_long(self, batch: Batch, now: float) -> bool:
        """Return whether a task waited for LASTING_WAIT_S, also in another cell or before."""
        # A closed cell places nothing, so its tasks wait from the start.
        since = batch.waiting_since if self.closed else batch.unplaced_since
        if since is None:
            return False
        if now - min(since, batch.expected_since or since) >= LASTING_WAIT_S:
            return True
        if now - batch.tracked.due < LASTING_WAIT_S:
            return False
        # How long it waited elsewhere is not known: for all the job's time at most.
        return batch.has_moved_in(self.cell) or batch.has_waited_before(now - LASTING_WAIT_S)

    def _place_at_last_resort(self, batch: Batch, reserved: dict[str, Size], now: float) -> None:
        """Start lasting tasks that found no other worker for long on quarantined workers.

        Workers on which such a task failed are left out, so that it does not restart in a loop.
        """
        # A task that just began to wait may use the room kept for short tasks in the next pass.
        if not batch.step.lasting or batch.unplaced_since == now:
            return
        if not self._has_waited_long(batch, now):
            return
        keys = [batch.key(index) for index in batch.waiting]
        failed_on = set().union(*(batch.tracked.failed_on.get(key, ()) for key in keys))
        members = [
            member
            for member in self.members.values()
            if member.is_ready and member.is_last_resort(now) and member.name not in failed_on
        ]
        if members:
            self._place(batch, without_reserved(batch.step, members, reserved), [], now)

    def _takes_headroom(self, batch: Batch, now: float) -> bool:
        """Return whether a batch may take room kept free for short tasks that they don't use."""
        if not batch.step.lasting:
            return False
        return self._kept_room_access(batch, now) is KeptRoomAccess.GRANTED

    def _kept_room_access(self, batch: Batch, now: float) -> KeptRoomAccess:
        """Return whether a lasting batch may take room kept free for short tasks, or why not."""
        if not self._has_waited_long(batch, now):
            return KeptRoomAccess.RECENT
        if not self.must_start(batch, now):
            return KeptRoomAccess.FEW_ROOMS
        # A moved task takes the room that it was moved for, unless it has found none by now.
        is_granted = (
            (batch.has_moved_in(self.cell) and now - batch.moved_in_at < MOVED_S)
            or batch.overdue_s >= MAX_OVERDUE_S
            or self._spare_room.fits(batch.step, batch.tracked.queue.service, now)
        )
        return KeptRoomAccess.GRANTED if is_granted else KeptRoomAccess.IN_USE

    def _count_overdue(self, now: float) -> None:
        """Count since the last tick for the waiting tasks that must start."""
        elapsed_s = min(now - self._ticked_at, MAX_TICK_S)
        self._ticked_at = now
        for batch in self._ready.values():
            if batch.waiting and self.must_start(batch, now):
                batch.overdue_s += elapsed_s
            else:
                batch.overdue_s = max(0.0, batch.overdue_s - OVERDUE_DECAY * elapsed_s)

    def _measure_headroom(self, now: float) -> Headroom:
        """Return the room kept free for short tasks."""
        return keep_headroom(self._available_members(now)) if self._keeps_room(now) else NO_HEADROOM

    def _headroom_for(self, step: Step, now: float) -> Headroom:
        """Return what tasks of a step leave free for short ones, as of its first use in a pass."""
        if not step.lasting:
            return FILLING_HEADROOM if self._keeps_room(now) else NO_HEADROOM
        if self._headroom is None:
            self._headroom = self._measure_headroom(now)
        return self._headroom

    def _keeps_room(self, now: float) -> bool:
        """Return whether room is kept free for short tasks."""
        if self._short_seen_at is None:
            # No short task was seen yet: keep room free for one window from now.
            self._short_seen_at = now
        return now - self._short_seen_at < SHORT_TASK_WINDOW_S

    def plan(self, now: float) -> None:
        """Start all waiting tasks that can be placed."""
        self.send_recorded(now)
        if self._recheck_held:
            self._free_held(now)
        self._busy_by_service.clear()
        self.quota.begin_pass(self.members, self._fencing.unproven, self._ready.values(), now)
        if self.closed:
            if not self.releasing:
                self._move_departing([], {}, now)
            return
        usable = [member for member in self.members.values() if member.is_usable(now)]
        self._headroom = None
        self._relieve_slowed(usable, now)
        refused: list[Refusal] = []
        reserved: dict[str, Size] = {}
        self.order.update(self.tracked.values(), usable, now)
        ready = sorted(self._ready.values(), key=lambda batch: self.order.key(batch, now))
        lasting = [batch for batch in ready if batch.step.lasting]
        self._place_all(lasting, usable, refused, reserved, now)
        self._move_departing(usable, reserved, now)
        finite = [batch for batch in ready if not batch.step.lasting]
        for batch, member, *_ in self._preemption.take_ready(self.members, now):
            if member in usable and not self._is_held(batch, now):
                self._place(batch, [member], [], now)
        self._place_all(finite, usable, refused, reserved, now)
        if self.options.preemption:
            self._preempt(finite, usable, now)
        if any(batch.waiting for batch in lasting):
            self._spare_room.note(self._available_members(now), now)
        if self.options.copies and self.copies.is_due(now):
            self._copy_slow_runs(usable, now)

    def _copy_slow_runs(self, usable: list[Member], now: float) -> None:
        """Stop the copies that do not help, and start copies of slow runs."""
        ctx = CopyContext(
            self.tracked,
            self.members,
            usable,
            list(self._ready.values()),
            lambda run: self._get_restartable_batch(run, now),
            self.interference,
            now,
        )
        for run in self.copies.find_hopeless(ctx):
            self._stop(run, now)
        for batch, run, member in self.copies.choose(ctx):
            if not self.quota.allows(batch):
                continue
            if run.checkpoint and run.step.checkpointing:
                batch.tracked.checkpoints[run.task[1:]] = run.checkpoint
            number = self._next_run(batch.tracked)
            self.copies.note_start(batch, run, number, member.name, now)
            self._start(batch, run.task.number, member, number, now)

    def _place_all(
        self,
        batches: list[Batch],
        usable: list[Member],
        refused: list[Refusal],
        reserved: dict[str, Size],
        now: float,
    ) -> None:
        for batch in batches:
            if not batch.count_waiting():
                del self._ready[batch.tracked.job.id, batch.occurrence, batch.number]
            elif batch.waiting and not self._is_held(batch, now) and self.quota.admits(batch):
                if reserved and self._may_use_reserved(batch, now):
                    # Room in which the tasks that it is reserved for do not fit yet is free for it.
                    self._place(batch, usable, [], now)
                else:
                    members = without_reserved(batch.step, usable, reserved)
                    self._place(batch, members, refused, now)
                self._place_at_last_resort(batch, reserved, now)
                may_move = batch.step.lasting and self.open_starts.list_movable(batch, now)
                if may_move and self.quota.allows(batch):
                    self._reserve_worker(batch, usable, reserved, now)

    def _may_use_reserved(self, batch: Batch, now: float) -> bool:
        """Return whether the platform expects tasks to start, whatever lasting ones wait for."""
        if batch.step.lasting:
            return self.must_start(batch, now)
        return not batch.step.filling and self._had_no_run(batch, STANDSTILL_S, now)

    def _move_departing(self, usable: list[Member], reserved: dict[str, Size], now: float) -> None:
        """Stop lasting runs on departing workers if their tasks can start elsewhere.

        A worker is reserved for each step that finds no room.
        """
        unplaced: set[Batch] = set()
        for run in self._departures.find_due(self.members.values(), now):
            batch = self._get_restartable_batch(run, now)
            if batch is None or batch in unplaced or not self._departures.may_stop(run, batch, now):
                continue
            if self.open_starts.find(batch, run.task.number, now) is not None:
                # It could not start elsewhere yet.
                continue
            members = without_reserved(batch.step, usable, reserved)
            if batch.tracked.queue.advised:
                members = self._approved_workers(batch, members, now)
            takes_headroom = self._takes_headroom(batch, now)
            headroom = self._headroom_for(batch.step, now)
            target = self._choose_worker(batch, members, now, headroom, takes_headroom)
            if target is None and not self._has_room_elsewhere(batch):
                unplaced.add(batch)
                self._reserve_worker(batch, usable, reserved, now)
                continue
            if target is not None:
                target.expect(run)
            log(
                Event.RUN_RELIEVED,
                task=run.task,
                worker=run.worker,
                why="departing",
                to=run.moving_to or None,
            )
            self._stop(run, now)

    def _get_restartable_batch(self, run: Run, now: float) -> Batch | None:
        """Return the batch of a run whose task this holder may start again, else None."""
        tracked = self.tracked.get(run.task.job)
        if tracked is None or tracked.progress.phase.is_final:
            return None
        batch = self._get_batch(tracked, run.task)
        is_own = tracked.progress.owner(run.task[1:]) == self.cell
        return batch if is_own and not self._is_held(batch, now) else None

    def _has_room_elsewhere(self, batch: Batch) -> bool:
        """Return whether another cell surely has room for one more task of a batch."""
        queue, step = batch.tracked.queue, batch.step
        # Published loads tell neither labels nor the advisor's choice.
        if queue.advised or step.requires:
            return False
        waiting = [
            other
            for other in self._ready.values()
            if other.step.lasting and other.tracked.queue.service == queue.service
        ]
        loads = self.other_cell_rooms.get(queue.service, ())
        return has_room_elsewhere(step, loads, self.members.values(), waiting)

    def _relieve_slowed(self, usable: list[Member], now: float) -> None:
        """Stop a slowed run that can resume from its checkpoint at full pace elsewhere."""
        free = [member for member in usable if member.pace == FULL_PACE]
        for run in list_slowed(usable, now):
            if self._can_run_elsewhere(run, free, now):
                log(
                    Event.RUN_RELIEVED,
                    task=run.task,
                    worker=run.worker,
                    why="slowed",
                    pace=run.pace,
                )
                self._stop(run, now)
                return

    def _can_run_elsewhere(self, run: Run, free: list[Member], now: float) -> bool:
        tracked = self.tracked.get(run.task.job)
        if tracked is None:
            return False
        batch = self._get_batch(tracked, run.task)
        if self.open_starts.find(batch, run.task.number, now) is not None:
            return False
        if tracked.queue.advised:
            free = batch.tickets.approved(free, now)
        return self._choose_worker(batch, free, now) is not None

    def _choose_worker(
        self,
        batch: Batch,
        members: list[Member],
        now: float,
        headroom: Headroom = NO_HEADROOM,
        takes_headroom: bool = False,
    ) -> Member | None:
        """Return the best worker for one more run of a batch, or None."""
        req = PlacementRequest(
            batch.tracked.queue.service,
            batch.step,
            batch.siblings(),
            interference=self.interference,
            now=now,
            headroom=headroom,
            takes_headroom=takes_headroom,
        )
        return choose_worker(req, members)

    def _preempt(self, ready: list[Batch], usable: list[Member], now: float) -> None:
        """Stop runs of lower priority for the first urgent task that gains by it."""
        for urgent in self._preemption.find_urgent(ready, now):
            batch, tracked = urgent.batch, urgent.batch.tracked
            indexes = [
                index
                for index in startable(batch)
                if not count_for_placement(batch, index)
                and self.open_starts.find(batch, index, now) is None
            ]
            if not indexes or self._is_held(batch, now) or not self.quota.allows(batch):
                continue
            avoid = tracked.avoided_workers(batch.key(indexes[0]))
            members = [member for member in usable if member.name not in avoid]
            if tracked.queue.advised:
                members = batch.tickets.approved(members, now)
            req = PlacementRequest(tracked.queue.service, batch.step, batch.siblings())
            may_stop = partial(self._may_preempt, tracked.queue.priority, now)
            runs = self._preemption.choose(urgent, req, members, may_stop, now)
            for run in runs:
                log_preempted(run, batch, self.cell, self.epoch, now)
                self._stop(run, now)
            if runs:
                return

    def _may_preempt(self, priority: int, now: float, run: Run, chosen: Sequence[Run]) -> bool:
        """Return whether a run may be stopped for a task of a priority, beside the chosen ones."""
        batch, limit = self._get_restartable_batch(run, now), run.step.max_unavailable
        if batch is None or batch.tracked.queue.priority <= priority:
            return False
        siblings = sum(other.task[:3] == run.task[:3] for other in chosen)
        return not limit or batch.count_interrupted() + siblings < limit

    def _reserve_worker(
        self, batch: Batch, usable: list[Member], reserved: dict[str, Size], now: float
    ) -> None:
        """Reserve the worker with the most room for a lasting task that could not be placed.

        Otherwise smaller tasks would take each core as it becomes free. Only workers on which the
        task would leave the share kept free for short tasks are considered.
        """
        step, siblings = batch.step, batch.siblings()
        headroom = self._headroom_for(step, now)
        fitting = [
            member
            for member in usable
            if member.name not in reserved
            and member.host.service == batch.tracked.queue.service
            and (not step.requires or step.requires in member.host.labels)
            and (not step.max_per_worker or siblings.get(member.name, 0) < step.max_per_worker)
            and step.size.fits(member.host.size.minus(member.lasting))
            and headroom.allows(step, member)
        ]
        if fitting:
            reserved[max(fitting, key=lambda member: member.room.cores).name] = step.size

    def _is_held(self, batch: Batch, now: float) -> bool:
        tracked = batch.tracked
        if now < tracked.pause_until or not self._can_start(tracked):
            return True
        if not tracked.prior or batch.step.records_starts:
            return False
        if not self._is_proven(tracked) or tracked.recorded < tracked.proof_change:
            return True
        return not batch.step.lasting and self._has_unheard_workers()

    def _has_unheard_workers(self) -> bool:
        """Return whether workers that are listed as up may list ends of a former holder's runs."""
        names = self._fencing.awaited_for_ends()
        unheard = [self.members[name] for name in names if name in self.members]
        return any(member.missing_since is None for member in unheard)

    def _can_start(self, tracked: TrackedJob) -> bool:
        """Return whether the stored row names this epoch, so that no other holder starts its tasks.

        A row with an earlier epoch is claimed first; a later epoch means that another holder has
        taken the cell over.
        """
        row_epoch = tracked.progress.claims.get(self.cell, 0)
        return row_epoch == self.epoch and tracked.recorded >= tracked.claim_change

    def _approved_workers(self, batch: Batch, usable: list[Member], now: float) -> list[Member]:
        """Return the workers that the advisor approved, and ask about the unknown ones."""
        step = batch.step
        eligible = [
            member
            for member in usable
            if member.host.service == batch.tracked.queue.service
            and (not step.requires or step.requires in member.host.labels)
        ]
        unknown = batch.tickets.start_request(eligible, now)
        if unknown:
            job = batch.tracked.job.id
            self.orders.append(AskAdvice(job, batch.occurrence, batch.number, unknown))
        return batch.tickets.approved(eligible, now)

    def _place(
        self,
        batch: Batch,
        usable: list[Member],
        refused: list[Refusal],
        now: float,
    ) -> None:
        if batch.tracked.queue.advised:
            refused, usable = [], self._approved_workers(batch, usable, now)
            if not usable and batch.tickets.is_pending(now):
                return
        if batch.step.gang:
            self._place_gang(batch, usable, now)
            return
        tracked, step = batch.tracked, batch.step
        service = tracked.queue.service
        siblings, takes_headroom = batch.siblings(), self._takes_headroom(batch, now)
        base = PlacementRequest(
            service,
            step,
            siblings,
            interference=self.interference,
            now=now,
            headroom=self._headroom_for(step, now),
            takes_headroom=takes_headroom,
        )
        indexes = startable(batch)
        bound = self.open_starts.list_bound(batch, now)
        free = [index for index in indexes if index not in bound]
        if free and any(refusal.covers(base) for refusal in refused):
            self._handle_unplaced(batch, free[0], base, usable, now)
            return
        racks = self._racks(siblings) if step.same_rack else frozenset()
        held_back: tuple[int, PlacementRequest] | None = None
        waits_for_worker = False
        # Those bound to a worker go first: no other one will do for them.
        for index in sorted(indexes, key=lambda each: each not in bound):
            if not self.quota.admits(batch):
                return
            crashes = count_for_placement(batch, index)
            avoid = tracked.avoided_workers(batch.key(index))
            candidates = usable
            if index in bound:
                avoid = frozenset(tracked.failed_on.get(batch.key(index), ()))
                candidates = self.open_starts.choose_from(batch, index, usable, now)
            quiet = needs_quiet(batch, crashes, now)
            req = base._replace(avoid=avoid, racks=racks, crashes=crashes, needs_quiet=quiet)
            member = choose_worker(req, candidates)
            if member is None and index in bound:
                # It can't start elsewhere, so the wait is only noted.
                batch.unplaced_since, waits_for_worker = batch.unplaced_since or now, True
                continue
            if member is None and crashes:
                held_back = index, req
                continue
            if member is None:
                plain = not (step.requires or step.max_per_worker)
                if plain:
                    refused.append(Refusal(service, step, takes_headroom))
                self._handle_unplaced(batch, index, req, usable, now)
                return
            self._start(batch, index, member, self._next_run(tracked), now)
            siblings[member.name] = siblings.get(member.name, 0) + 1
            if step.same_rack:
                racks = self._racks(siblings)
        if held_back is not None:
            self._handle_unplaced(batch, *held_back, usable, now)
        elif not waits_for_worker:
            batch.note_placed()

    def _handle_unplaced(
        self, batch: Batch, index: int, req: PlacementRequest, usable: list[Member], now: float
    ) -> None:
        """Record that no worker was found; start one task of a filling job that has no run."""
        batch.unplaced_since = batch.unplaced_since or now
        waited_s = now - batch.unplaced_since
        if not batch.step.filling or waited_s < STANDSTILL_S or batch.tracked.active():
            return
        if self._is_busy(batch.tracked.queue.service, now) or not self.quota.admits(batch):
            return
        forced = req._replace(
            interference=self.interference,
            max_load_share=float("inf"),
            ignore_idle_cores=waited_s >= FORCE_START_S,
            now=now,
            headroom=NO_HEADROOM,
        )
        member = choose_worker(forced, usable)
        if member is not None:
            self._start(batch, index, member, self._next_run(batch.tracked), now)

    def _is_busy(self, service: str, now: float) -> bool:
        """Return whether a service is so busy, here and in all cells, that jobs may wait."""
        if service not in self._busy_by_service:
            own = measure_cores(self._available_members(now), service)
            loads = [own, *self.other_cell_loads.get(service, ())]
            cores, unused = sum(load.cores for load in loads), max(
                sum(load.free for load in loads), sum(load.idle for load in loads)
            )
            max_unused = 1 - BUSY_SHARE
            self._busy_by_service[service] = (
                max(own.free, own.idle) <= max_unused * own.cores and unused <= max_unused * cores
            )
        return self._busy_by_service[service]

    def _place_gang(self, batch: Batch, usable: list[Member], now: float) -> None:
        """Start all members of a gang at once, or none."""
        tracked, step = batch.tracked, batch.step
        if not batch.waiting or needs_answer(batch, 0):
            return
        chosen: dict[int, Member] = {}
        tentative: list[tuple[Member, Run]] = []
        siblings: dict[str, int] = {}
        crashes = count_for_placement(batch, 0)
        # Those bound to a worker go first: no other one will do for them.
        bound = self.open_starts.list_bound(batch, now)
        for index in sorted(range(step.width), key=lambda each: each not in bound):
            racks = self._racks(siblings) if step.same_rack else frozenset()
            member = choose_worker(
                PlacementRequest(
                    tracked.queue.service,
                    step,
                    siblings,
                    frozenset(),
                    racks,
                    self.interference,
                    crashes=crashes,
                    needs_quiet=needs_quiet(batch, crashes, now),
                ),
                self.open_starts.choose_from(batch, index, usable, now),
            )
            if member is None:
                break
            chosen[index] = member
            placeholder = Run(batch.task(index), 0, member.name, step, RunState.STARTING, now)
            member.add(placeholder)
            tentative.append((member, placeholder))
            siblings[member.name] = siblings.get(member.name, 0) + 1
        for member, placeholder in tentative:
            member.remove(placeholder)
        batch.fitting = len(chosen)
        if len(chosen) < step.width:
            batch.unplaced_since = batch.unplaced_since or now
            return
        number = self._next_run(tracked)
        keys = [batch.key(index) for index in range(step.width)]
        checkpoint = next(
            (tracked.checkpoints[key] for key in keys if key in tracked.checkpoints), ""
        )
        for key in keys:
            tracked.checkpoints[key] = checkpoint
        for index, member in sorted(chosen.items()):
            self._start(batch, index, member, number, now)
        batch.note_placed()
        self._idle_gangs.drop(batch)

    def _racks(self, siblings: dict[str, int]) -> frozenset[str]:
        names = [name for name in siblings if name in self.members]
        return frozenset(self.members[name].host.rack for name in names)

    def _next_run(self, tracked: TrackedJob) -> int:
        self._last_run = max(self._last_run, tracked.progress.highest_run) + 1
        return self._last_run

    def _start(self, batch: Batch, index: int, member: Member, number: int, now: float) -> None:
        """Start a task; a task of a lasting step once the row names its run and worker."""
        tracked, task = batch.tracked, batch.task(index)
        if batch.unplaced_since is not None:
            tracked.waited_s = max(tracked.waited_s, now - batch.unplaced_since)
        checkpoint = tracked.checkpoints.get(task[1:], "") if batch.step.checkpointing else ""
        run = Run(task, number, member.name, batch.step, RunState.STARTING, now, checkpoint)
        run.probation_until, run.crashes = now + PROBATION_S, count_suspicions(batch, index)
        run.is_atypical = bool(checkpoint)
        run.unanswered_at = self.open_starts.sent_at(batch, index, member.name, now)
        run.wait = batch.wait()
        run.note_progress(now)
        self._add_run(batch, run, member)
        if run.crashes >= ISOLATION_CRASHES:
            member.isolated = run
        if not batch.step.records_starts:
            self._send_start(batch, run, member, now)
            return
        run.state = RunState.RECORDING
        tracked.progress.set_place(task[1:], number, member.name)
        self._mark_dirty(tracked, urgent=True)
        self._unsent.append(_Unsent(run, tracked, tracked.change))

    def send_recorded(self, now: float) -> None:
        """Send the starts that are recorded by now; drop those that must not be sent any more."""
        for run, tracked, _ in self._unsent:
            member = self._find_member(run)
            if member is not None and (
                self.closed or not self._can_start(tracked) or not member.may_send(run, now)
            ):
                self._remove_run(run, now, EndReason.UNSENT)
        unsent, self._unsent = self._unsent, []
        for each in unsent:
            run, tracked, change = each
            member = self._find_member(run)
            if member is None:
                continue
            if tracked.recorded < change:
                self._unsent.append(each)
                continue
            run.state, run.sent_at = RunState.STARTING, now
            run.probation_until = now + PROBATION_S
            run.note_progress(now)
            self._send_start(self._get_batch(tracked, run.task), run, member, now)

    def _find_member(self, run: Run) -> Member | None:
        """Return the worker of a run, or None once the run was removed."""
        member = self.members.get(run.worker)
        is_present = member is not None and member.runs.get((run.task, run.number)) is run
        return member if is_present else None

    def _send_start(self, batch: Batch, run: Run, member: Member, now: float) -> None:
        tracked, task = batch.tracked, run.task
        if run.crashes >= ISOLATION_CRASHES:
            # Now, as this holder may be lost before it notices that the worker is silent.
            self._doubt(member, [run], now)
        is_copy = (task, run.number) in self.copies.open
        window_s = COPY_START_WINDOW_S if is_copy else START_WINDOW_S
        deadline_ms = member.clock_now(now) + int(window_s * 1000)
        member.granted_ms = max(member.granted_ms, deadline_ms)
        member.note_used(now)
        run.sent_to, run.token = member.born, member.token
        self.orders.append(
            StartTask(
                member.name,
                task,
                run.number,
                tracked.job.spec,
                run.checkpoint,
                deadline_ms,
                batch.tickets.get_ticket(member.name),
            )
        )
        log(
            Event.RUN_PLACED,
            task=task,
            run=run.number,
            worker=member.name,
            queue=tracked.queue.name,
            image=batch.step.image,
            waited_ms=int((now - tracked.due) * 1000),
            idle_cores=round(member.idle_cores, 1),
            cell=self.cell,
            epoch=self.epoch,
            version=tracked.version,
            prior=tracked.prior,
            fenced=self.is_fully_fenced,
            after=list(tracked.former.pop(task[1:], ())) or None,
            open=self._boot_log.open_starts(run, self.members, now),
            born=member.born,
            token=self.token(member.name),
            **(
                {"lasting": True, "gap_ms": self._gap_ms(tracked, run, now)}
                if run.step.lasting
                else {}
            ),
        )

    @staticmethod
    def _gap_ms(tracked: TrackedJob, run: Run, now: float) -> int | None:
        """Return the time since the end of the task's last run, or None if none ended here."""
        ended_at = tracked.ran_until.get(run.task[1:])
        return None if ended_at is None else round((now - ended_at) * 1000)

    # Metrics

    def waiting_jobs(self, counted_to: int = MAX_WHOLE) -> dict[str, int]:
        """Count the jobs that have not begun, by queue, as of a version of the progress rows."""
        counts: dict[str, int] = {}
        for tracked in self.tracked.values():
            if tracked.is_waiting and tracked.given_version <= counted_to:
                if tracked.progress.counts_in(self.cell):
                    counts[tracked.job.queue] = counts.get(tracked.job.queue, 0) + 1
        return counts

    def load(self, now: float) -> dict[str, Load]:
        """Return the cell's load by service, once the renewal that publishes it is confirmed."""
        waiting = sum_waiting(filter(self.quota.allows, self._ready.values()), self.members)
        open_members = [] if self.closed else list(self.members.values())
        usable = self._available_members(now)
        quarantined = [member for member in open_members if member.is_last_resort(now)]
        headroom = self._measure_headroom(now)
        loads = measure(usable, waiting, self.interference, headroom, quarantined)
        if not self.options.needs_backlog:
            return loads
        jobs, allows = self.tracked.values(), self.quota.allows
        return with_backlogs(loads, self.cell, jobs, usable, self.estimates, now, allows)

    def _available_members(self, now: float) -> list[Member]:
        """Return the workers that count in the published load; none if the cell is closed."""
        members = [] if self.closed else self.members.values()
        return [member for member in members if member.is_available(now)]
