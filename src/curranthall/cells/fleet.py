"""A cell's workers: runs, free capacity, clock and lease expiry of each."""

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from curranthall.cells.ports import Ending, EndKind, ListedRun, Snapshot
from curranthall.dag import Step, TaskId
from curranthall.model import ZERO_SIZE, Host, HostState, Size

# A worker's clock may run up to 2 % slow (the platform's bound); the slack covers answer delay.
CLOCK_DRIFT = 0.02
LAPSE_SLACK_S = 0.2
# Rounding of the clock in a worker's answers.
CLOCK_SLACK_MS = 20
# The longest after it was sent that a worker, or its next boot, executes an unanswered call.
LATE_CALL_S = 12.0
# A lapse shows that a worker's runs are over, but not how they ended. As long as the worker is
# listed as up, its finite tasks start again only if it does not answer for this long after.
END_WAIT_S = 6.0
# A worker whose last answer is older than this gets no new task.
STALE_ANSWER_S = 2.5
# A worker that is silent for longer counts as lost: its lease end is stored for a successor, and
# its leases end then if the store is away when it answers again.
LOST_AFTER_S = 1.0
# Pause after a worker refuses a start as unhealthy; currently unused.
UNHEALTHY_S = 2.0
# A worker with FAILURES_TO_QUARANTINE failures among its last RECENT_ENDS ends is quarantined for
# QUARANTINE_S: it gets only lasting tasks that found no other room for long.
RECENT_ENDS = 6
FAILURES_TO_QUARANTINE = 3
QUARANTINE_S = 5.0
# Serving tasks reserve cores for their peaks; reports showed 0.42 of them in use, varying by half.
SERVING_USE = 0.4
# A worker with fewer cores counts as this many where a share of them is needed: capacities may
# shrink to nothing while tasks run.
MIN_WORKER_CORES = 0.1
# A run without progress after this much time at full speed is stalled.
STALL_S = 2.0


def late_lease_end(sent_at: float, max_hold_s: float) -> float:
    """Return when a lease is certainly over that a late call may give to a later boot."""
    return sent_at + LATE_CALL_S + max_hold_s / (1 - CLOCK_DRIFT) + LAPSE_SLACK_S


class RunState(Enum):
    """State of a run as known to the cell's holder."""

    # Its start is being recorded and has not been sent.
    RECORDING = "recording"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class EndReason(Enum):
    """Why a run is considered over."""

    ENDED = "ended"
    REFUSED = "refused"
    UNSENT = "unsent"
    LAPSED = "lapsed"
    VANISHED = "vanished"
    REBORN = "reborn"
    GONE = "gone"


# Reasons that no other log line reports for a single run.
NO_END_LISTED = frozenset(
    {EndReason.UNSENT, EndReason.LAPSED, EndReason.VANISHED, EndReason.REBORN, EndReason.GONE}
)

# Reasons that tell that the run never started.
NO_EFFECT = frozenset({EndReason.REFUSED, EndReason.UNSENT})


class FormerRun(NamedTuple):
    """The last run of a task that has to start again, and why it is over."""

    why: str
    run: int
    worker: str


class Wait(NamedTuple):
    """How long tasks of a batch had found no worker when one of them was placed."""

    unplaced_since: float | None = None
    expected_since: float | None = None
    overdue_s: float = 0.0


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one worker."""

    task: TaskId
    number: int
    worker: str
    step: Step
    state: RunState
    sent_at: float
    checkpoint: str = ""
    # When an answer first listed the checkpoint; 0 if the run was started with it.
    checkpointed_at: float = 0.0
    # Fencing token of its start; 0 until that is sent.
    token: int = 0
    # The worker has answered its start or listed the run: no boot executes that start any more.
    has_begun: bool = False
    # When the task's start before this one was sent, if this worker never answered that; else 0.
    unanswered_at: float = 0.0
    # A snapshot requested after this time that does not list the run proves that it is over.
    absence_valid_after: float = float("inf")
    stop_sent_at: float = 0.0
    percent: float = 0.0
    # Seconds at full speed since the last progress, as of a time.
    idle_s: float = 0.0
    idle_as_of: float = 0.0
    # Last report: the tail in ms of a serving run, else the cores in use.
    gauge: float = 0.0
    pace: int = 100
    # The worker with room reserved for the task's next run, while this one is being stopped.
    moving_to: str = ""
    # What the task waited for this start.
    wait: Wait = Wait()
    # How often in a row a worker crashed with the task, as of this start.
    crashes: int = 0
    # Until an answer from after this time lists the run, a crash may be its doing; 0 once it can't.
    probation_until: float = 0.0
    # The worker's boot when the start was sent, or that first listed the run.
    sent_to: int = 0
    # Whether the start got no answer.
    is_unsure: bool = False
    # It was resumed or slowed, so its run time tells nothing of other runs.
    is_atypical: bool = False
    # How many copies were started of it.
    copies: int = 0

    def is_over(self, asked_at: float, token: int) -> bool:
        """Return whether an answer without the run, asked for under a token, proves it over.

        A worker that has answered under a token refuses all calls with a lower one.
        """
        return asked_at > self.absence_valid_after or 0 < self.token < token

    @property
    def may_begin(self) -> bool:
        """Return whether its start was sent and may still be executed."""
        return self.state in (RunState.STARTING, RunState.STOPPING) and not self.has_begun

    def may_restart(self, now: float) -> bool:
        """Return whether a later boot may execute the task's start before this one."""
        return self.unanswered_at > 0 and now < self.unanswered_at + LATE_CALL_S

    @property
    def is_suspect(self) -> bool:
        """Return whether the task's last worker crashed and this one may, too."""
        return self.crashes > 0 and self.probation_until > 0

    @property
    def slowed_cores(self) -> float:
        """Return the cores left unused by a slowed run; an unknown pace counts as full."""
        return self.step.size.cores * (1 - self.pace / 100) if self.pace >= 0 else 0.0

    @property
    def is_at_work(self) -> bool:
        """Return whether the worker listed the run as fully started."""
        return self.state is RunState.RUNNING and self.percent >= 100

    @property
    def is_stalled(self) -> bool:
        """Return whether a run that should progress has not done so for STALL_S of full speed."""
        is_finite = not self.step.lasting and not self.step.gang
        return is_finite and self.state is RunState.RUNNING and self.idle_s > STALL_S

    def note_checkpoint(self, checkpoint: str, now: float) -> None:
        """Record the checkpoint that a worker lists, if any."""
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint, self.checkpointed_at = checkpoint, now

    def note_progress(self, now: float) -> None:
        """Record that a run has started or progressed."""
        self.idle_s, self.idle_as_of = 0.0, now

    def note_idle(self, speed: float, now: float) -> None:
        """Record the share of full speed that a run could work at since the last call."""
        self.idle_s += speed * (now - self.idle_as_of)
        self.idle_as_of = now


class PendingAck(NamedTuple):
    """An end that may be acknowledged once the job's row contains the change."""

    job: str
    change: int


@dataclass(slots=True, eq=False)
class Member:
    """A worker of the cell, with its runs and reservations."""

    host: Host
    prior: bool = False
    runs: dict[tuple[TaskId, int], Run] = field(default_factory=dict)
    used: Size = ZERO_SIZE
    filling_cores: float = 0.0
    # The part of `filling_cores` that slowed runs leave unused.
    slowed_cores: float = 0.0
    serving: int = 0
    serving_cores: float = 0.0
    # Reserved by tasks that run until they are cancelled.
    lasting: Size = ZERO_SIZE
    # Runs being stopped elsewhere whose tasks are to start here; part of `used` and `lasting`.
    expected: set[Run] = field(default_factory=set)
    born: int = 0
    # Fencing token of calls to this worker.
    token: int = 0
    # Token and time of the last call that a later boot must not execute: a start, a lease or an
    # acknowledgement. Such calls refer to the clock and the ends of the boot they were sent to.
    used_token: int = 0
    used_at: float = 0.0
    # The highest token used for calls to former boots. Once the present boot has answered under a
    # higher one, it is fenced: it refuses those calls.
    former_token: int = 0
    is_fenced: bool = False
    # When leases are over that late calls to former boots may have extended.
    late_leases_over_at: float = 0.0
    # Until then a later boot may execute an unanswered start whose run was removed.
    late_start_until: float = 0.0
    clock_ms: int = 0
    clock_at: float = 0.0
    # The latest lease end or start deadline that the worker may have, on its clock.
    granted_ms: int = 0
    all_ends_listed: bool = False
    # A renewal sent after the first answer of the worker's present boot was confirmed: a successor
    # would wait for its leases. A restarted worker knows no epoch and accepts a deposed holder too.
    confirmed: bool = False
    answered_at: float = 0.0
    silent_since: float | None = None
    missing_since: float | None = None
    # Whether this holder saw the worker restart, so that all ends of the boot are listed to it.
    saw_restart: bool = False
    last_end: int = 0
    # The highest number of an end that a hold has acknowledged, with an answer or without.
    acked_end: int = 0
    answered_ack: int = 0
    pending_acks: dict[int, PendingAck] = field(default_factory=dict)
    # By job, ends of runs of jobs that this holder does not know yet.
    deferred_ends: dict[str, list[Ending]] = field(default_factory=dict)
    # By job, listed runs of jobs that this holder does not know yet.
    unknown_runs: dict[str, list[ListedRun]] = field(default_factory=dict)
    asked_at: float = 0.0
    # No start until then after one was refused or not sent.
    paused_until: float = 0.0
    # Quarantined until then because its runs failed or made no progress.
    quarantined_until: float = 0.0
    # Share of full speed allowed to interfering filling runs, in percent.
    pace: int = 100
    # Whether the pace applies to all filling runs, not only to interfering ones.
    pace_all: bool = False
    # Factor on the predicted pace; below 1 after a tail was over its target.
    pace_factor: float = 1.0
    over_target_since: float | None = None
    # Tail latencies of the serving tasks in the last report.
    tails: tuple[float, ...] = ()
    pace_changed_at: float = 0.0
    # Load and limit by serving image; cached by `placement` for one planning pass.
    serving_loads: dict[str, tuple[float, float]] = field(default_factory=dict)
    serving_loads_as_of: tuple[float, int] = (-1.0, 0)
    # A run that nothing else is started beside until its probation is over.
    isolated: Run | None = None
    recent_failures: deque[bool] = field(default_factory=lambda: deque(maxlen=RECENT_ENDS))

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.host.name

    @property
    def is_listed_live(self) -> bool:
        """Return whether the platform lists the worker as up and not as leaving."""
        return self.missing_since is None and self.host.state is HostState.LIVE

    @property
    def listed_state(self) -> str:
        """Return the worker's state in the platform's list, or `missing`."""
        return "missing" if self.missing_since is not None else self.host.state.value

    @property
    def room(self) -> Size:
        """Return the size that is not reserved."""
        return self.host.size.minus(self.used)

    @property
    def idle_cores(self) -> float:
        """Estimate the cores available to filling tasks."""
        unused = self.serving_cores * (1 - SERVING_USE)
        filling = self.filling_cores - self.slowed_cores
        return self.host.size.cores - self.used.cores + unused - filling

    def speed(self, run: Run) -> float:
        """Estimate the share of full speed at which a run can work: its pace and cores left."""
        pace = max(run.pace, 0) / 100
        wanted = self.filling_cores - self.slowed_cores
        if not run.step.filling or wanted <= 0:
            return pace
        return pace * min(1.0, max(0.0, self.idle_cores + wanted) / wanted)

    @property
    def is_ready(self) -> bool:
        """Return whether the roster is confirmed and the worker refuses calls to former boots."""
        return self.confirmed and self.is_fenced

    @property
    def needs_token(self) -> bool:
        """Return whether another boot than the one that calls were sent to answers, or may."""
        may_differ = self.silent_since is not None or not self.is_fenced
        return may_differ and self.token <= self.used_token

    def is_usable(self, now: float) -> bool:
        """Return whether a task may be started on this worker."""
        return self.is_ready and self.is_available(now)

    def is_available(self, now: float) -> bool:
        """Return whether a task may be started on this worker once a renewal confirms it."""
        return self._accepts_starts(now) and not self.is_quarantined(now)

    def is_quarantined(self, now: float) -> bool:
        """Return whether the worker is suspected of not running its tasks properly."""
        return now < self.quarantined_until

    def is_last_resort(self, now: float) -> bool:
        """Return whether only its quarantine, and perhaps a renewal, keep starts from a worker."""
        return self._accepts_starts(now) and self.is_quarantined(now)

    def pause(self, until: float) -> None:
        """Avoid starts on this worker for a while."""
        self.paused_until = max(self.paused_until, until)

    def quarantine(self, now: float) -> None:
        """Avoid this worker for QUARANTINE_S unless nothing else has room."""
        self.quarantined_until = max(self.quarantined_until, now + QUARANTINE_S)

    def may_send(self, run: Run, now: float) -> bool:
        """Return whether a run that was placed here may still be sent."""
        return self.is_ready and self._accepts_starts(now, run)

    def _accepts_starts(self, now: float, run: Run | None = None) -> bool:
        return (
            self.all_ends_listed
            and self.is_listed_live
            and self.silent_since is None
            and now - self.answered_at < STALE_ANSWER_S
            and now >= self.paused_until
            and (self.isolated is None or self.isolated is run)
            and not self.unknown_runs
        )

    def add(self, run: Run) -> None:
        """Add a run and its reservation."""
        self.runs[run.task, run.number] = run
        self._reserve(run)
        if run.step.filling:
            self.filling_cores += run.step.size.cores
            self.slowed_cores += run.slowed_cores
        if run.step.target_ms:
            self.serving += 1
            self.serving_cores += run.step.size.cores

    def remove(self, run: Run) -> bool:
        """Remove a run and its reservation; return whether it was present."""
        if self.runs.pop((run.task, run.number), None) is None:
            return False
        if self.isolated is run:
            self.isolated = None
        self._unreserve(run)
        if run.step.filling:
            self.filling_cores -= run.step.size.cores
            self.slowed_cores -= run.slowed_cores
        if run.step.target_ms:
            self.serving -= 1
            self.serving_cores -= run.step.size.cores
        return True

    def expect(self, run: Run) -> None:
        """Reserve room for the next run of a task that is being stopped elsewhere."""
        run.moving_to = self.name
        self.expected.add(run)
        self._reserve(run)

    def release(self, run: Run) -> None:
        """Release the room reserved for a run's successor."""
        if run in self.expected:
            self.expected.remove(run)
            self._unreserve(run)

    def _reserve(self, run: Run) -> None:
        self.used = self.used.plus(run.step.reserved)
        if run.step.lasting:
            self.lasting = self.lasting.plus(run.step.reserved)

    def _unreserve(self, run: Run) -> None:
        self.used = self.used.minus(run.step.reserved)
        if run.step.lasting:
            self.lasting = self.lasting.minus(run.step.reserved)

    def set_pace(self, run: Run, percent: int) -> None:
        """Record the pace ordered for a filling run."""
        self.slowed_cores -= run.slowed_cores
        run.pace = percent
        self.slowed_cores += run.slowed_cores

    def share(self, cores: float) -> float:
        """Return cores as a share of the worker's present capacity."""
        return cores / max(self.host.size.cores, MIN_WORKER_CORES)

    def has_suspect(self) -> bool:
        """Return whether a run here may crash the worker as it crashed another one."""
        return any(run.is_suspect for run in self.runs.values())

    def is_quiet(self) -> bool:
        """Return whether all runs here have outlasted their start."""
        return not any(run.probation_until for run in self.runs.values())

    def filling_shares(self) -> dict[str, float]:
        """Return the share of the worker's cores that filling tasks request, by image."""
        shares: dict[str, float] = {}
        for run in self.runs.values():
            if run.step.filling:
                share = self.share(run.step.size.cores)
                shares[run.step.image] = shares.get(run.step.image, 0.0) + share
        return shares

    def used_shares(self) -> dict[str, float]:
        """Return the share of the cores reported in use by filling tasks, by image."""
        shares: dict[str, float] = {}
        for run in self.runs.values():
            if run.step.filling and run.state is RunState.RUNNING:
                share = self.share(run.gauge)
                shares[run.step.image] = shares.get(run.step.image, 0.0) + share
        return shares

    def clock_now(self, now: float) -> int:
        """Estimate the worker's clock in milliseconds; it may run slower than this, not faster."""
        return self.clock_ms + int((now - self.clock_at) * 1000)

    def is_behind(self, clock_ms: int, asked_at: float) -> bool:
        """Return whether a clock is lower than that of the boot that answered last."""
        passed_s = asked_at - self.clock_at
        if passed_s > 0:
            passed_s *= 1 - CLOCK_DRIFT
        return clock_ms < self.clock_ms + int(passed_s * 1000) - CLOCK_SLACK_MS

    def note_later_boot(self, clock_ms: int, now: float, max_hold_s: float) -> None:
        """Record that a later boot than the known one answers, by its clock; it has a lease now."""
        self._note_restart(max_hold_s)
        self.clock_ms, self.clock_at = clock_ms, now
        self.granted_ms = clock_ms + int(max_hold_s * 1000)

    def _note_restart(self, max_hold_s: float) -> None:
        self.is_fenced, self.former_token = False, self.used_token
        self.late_leases_over_at = late_lease_end(self.used_at, max_hold_s)

    def clock_reached_by(self, clock_ms: int) -> float:
        """Return the local time by which the worker's clock has certainly passed a value."""
        left_s = (clock_ms + 1 - self.clock_ms) / 1000
        return self.clock_at + max(left_s, 0.0) / (1 - CLOCK_DRIFT)

    def lapses_at(self) -> float:
        """Return the local time by which every lease ever sent has certainly lapsed."""
        lapses_at = self.clock_reached_by(self.granted_ms) + LAPSE_SLACK_S
        if self.is_fenced or self.missing_since is not None:
            return lapses_at
        return max(lapses_at, self.late_leases_over_at)

    def is_lost(self, now: float) -> bool:
        """Return whether the worker is silent for long, or silent and not listed as up."""
        if self.silent_since is None:
            return False
        return not self.is_listed_live or now - self.silent_since > LOST_AFTER_S

    def has_open_start(self, now: float) -> bool:
        """Return whether any boot may still execute an unanswered start."""
        return now < self.late_start_until or any(run.may_begin for run in self.runs.values())

    def needs_probes(self, now: float) -> bool:
        """Return whether the next boot has to be fenced at once, as it may execute a late start."""
        if self.silent_since is None or now >= self.used_at + LATE_CALL_S:
            return False
        return self.has_open_start(now)

    def count_unanswered(self) -> int:
        """Count the runs that are not over and whose starts have not been answered."""
        return sum(run.is_unsure or run.state is RunState.STARTING for run in self.runs.values())

    @property
    def lists_all_ends_here(self) -> bool:
        """Return whether nobody but this holder can have acknowledged ends listed from now on."""
        return self.last_end > 0 or self.saw_restart

    def may_list_ends(self, now: float) -> bool:
        """Return whether a worker whose leases have lapsed may still answer and list ends."""
        return self.missing_since is None and now < self.lapses_at() + END_WAIT_S

    def grant(self, now: float, hold_s: float, limit: float = math.inf) -> int | None:
        """Return the lease end to send, on the worker's clock; None before its first answer.

        The lease has certainly lapsed by the local time `limit`.
        """
        if not self.born:
            return None
        lease_ms = self.clock_now(now) + int(hold_s * 1000)
        if limit < math.inf:
            left_s = max(0.0, limit - LAPSE_SLACK_S - self.clock_at) * (1 - CLOCK_DRIFT)
            lease_ms = min(lease_ms, self.clock_ms + int(left_s * 1000) - 1)
        self.granted_ms = max(self.granted_ms, lease_ms)
        self.note_used(now)
        return lease_ms

    def expect_late_calls(self, former: "Member") -> None:
        """Wait until the worker refuses the calls to it as a member that was dropped."""
        self.used_token = self.former_token = former.used_token
        self.used_at, self.late_start_until = former.used_at, former.late_start_until

    def note_used(self, now: float) -> None:
        """Record that a call is sent that a later boot must not execute."""
        self.used_token, self.used_at = self.token, now

    def next_cursor(self, cursor: int, now: float) -> int:
        """Return the cursor to send: 0 once answered, as a later boot would forget its own ends."""
        if cursor <= self.answered_ack:
            return 0
        self.note_used(now)
        return cursor

    def note_answer(self, snapshot: Snapshot, token: int, now: float, max_hold_s: float) -> bool:
        """Update the clock from an answer to a call; return whether the worker has restarted."""
        has_restarted = self.born not in (0, snapshot.born)
        if has_restarted:
            self._note_restart(max_hold_s)
        is_newly_fenced = not self.is_fenced and token > self.former_token
        self.is_fenced |= is_newly_fenced
        if snapshot.born != self.born or is_newly_fenced:
            # Another holder, or a late call, may have extended a lease up to now.
            extended_ms = snapshot.clock_ms + int(max_hold_s * 1000)
            self.granted_ms = max(extended_ms, 0 if has_restarted else self.granted_ms)
        if has_restarted:
            self.saw_restart = True
            self.last_end = self.acked_end = self.answered_ack = 0
            self.pending_acks.clear()
            self.unknown_runs.clear()
            self._forget_performance()
        self.born = snapshot.born
        self.clock_ms, self.clock_at = snapshot.clock_ms, now
        self.answered_at, self.silent_since, self.all_ends_listed = now, None, True
        return has_restarted

    def _forget_performance(self) -> None:
        """Forget what was learned of a former boot: the present one may be of another kind."""
        self.recent_failures.clear()
        self.quarantined_until = 0.0
        self.pace, self.pace_all, self.pace_factor = 100, False, 1.0
        self.over_target_since, self.tails = None, ()

    def note_end(self, kind: EndKind, now: float) -> bool:
        """Count an end; return whether the worker is quarantined for it."""
        if kind in (EndKind.DONE, EndKind.FAILED):
            self.recent_failures.append(kind is EndKind.FAILED)
        if sum(self.recent_failures) < FAILURES_TO_QUARANTINE:
            return False
        self.recent_failures.clear()
        self.quarantine(now)
        return True
