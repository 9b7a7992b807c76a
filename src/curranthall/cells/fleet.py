"""A cell's workers: what runs on each, its room, its clock, and when its lease is surely over."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from curranthall.cells.ports import Ending, EndKind, ListedRun, Snapshot
from curranthall.dag import Step, TaskId
from curranthall.model import NOTHING, Host, HostState, Size

# The worker's clock may be 2 % slow (the platform's bound), and answers take a while.
CLOCK_DRIFT = 0.02
LAPSE_SLACK_S = 0.2
# A worker that has not answered for this long gets no new task.
STALE_ANSWER_S = 2.5
# A health judgement from a worker's own refusal lasts this long.
SICK_S = 2.0
# Ends remembered to judge a worker by, and the failures among them that put it aside.
RECENT_ENDS = 6
FAILURES_TO_QUARANTINE = 3
QUARANTINE_S = 5.0
# Serving tasks reserve for their peaks; reports showed them at 0.42 of it, with a swing of half.
SERVING_USE = 0.4
# A run whose progress stands still this long is stalled.
STALL_S = 2.0


class RunState(Enum):
    """What is known of a run."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Over(Enum):
    """Why a run is taken for over."""

    ENDED = "ended"
    REFUSED = "refused"
    UNSENT = "unsent"
    LAPSED = "lapsed"
    VANISHED = "vanished"
    REBORN = "reborn"
    GONE = "gone"


# What no other line tells of a single run.
UNLISTED = frozenset({Over.UNSENT, Over.LAPSED, Over.VANISHED, Over.REBORN, Over.GONE})


class FormerRun(NamedTuple):
    """The last run of a task that has to start again, and why it is taken for over."""

    why: str
    run: int
    worker: str


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
    # A snapshot that was asked for after this time and doesn't list the run proves it over.
    sure_from: float = float("inf")
    stop_sent_at: float = 0.0
    percent: float = 0.0
    moved_at: float = 0.0
    gauge: float = 0.0
    pace: int = 100

    @property
    def slowed_cores(self) -> float:
        """Give the cores that a slowed run leaves; a pace that is not known counts as full."""
        return self.step.size.cores * (1 - self.pace / 100) if self.pace >= 0 else 0.0

    def stalled(self, now: float) -> bool:
        """Tell whether the run should progress and has not for a while."""
        ends = not self.step.lasting and not self.step.gang
        at_work = self.state is RunState.RUNNING and self.pace > 0
        return ends and at_work and now - self.moved_at > STALL_S


class Unrecorded(NamedTuple):
    """An end that may be acknowledged once the job's row holds the change."""

    job: str
    change: int


@dataclass(slots=True, eq=False)
class Member:
    """A worker of the cell."""

    host: Host
    prior: bool = False
    runs: dict[tuple[TaskId, int], Run] = field(default_factory=dict)
    used: Size = NOTHING
    filling_cores: float = 0.0
    # The part of them that slowed runs do not use.
    slowed_cores: float = 0.0
    serving: int = 0
    serving_cores: float = 0.0
    # Reserved by tasks that do not end by themselves.
    lasting: Size = NOTHING
    born: int = 0
    clock_ms: int = 0
    clock_at: float = 0.0
    granted_ms: int = 0
    settled: bool = False
    in_roster: bool = False
    answered_at: float = 0.0
    silent_since: float | None = None
    missing_since: float | None = None
    seen: int = 0
    unrecorded: dict[int, Unrecorded] = field(default_factory=dict)
    parked: list[Ending] = field(default_factory=list)
    # Runs of jobs that this holder doesn't know yet, as last listed.
    strays: dict[str, list[ListedRun]] = field(default_factory=dict)
    asked_at: float = 0.0
    avoid_until: float = 0.0
    # The share that filling tasks may work at here, in percent.
    pace: int = 100
    pace_all: bool = False
    caution: float = 1.0
    over_since: float | None = None
    # The serving tasks' tails as last reported.
    tails: tuple[float, ...] = ()
    pace_changed_at: float = 0.0
    # By serving image, load and limit as one planning sees them; kept by `placement`.
    strain: dict[str, tuple[float, float]] = field(default_factory=dict)
    strain_as_of: tuple[float, int] = (-1.0, 0)
    recent: deque[bool] = field(default_factory=lambda: deque(maxlen=RECENT_ENDS))

    @property
    def name(self) -> str:
        """Name the worker."""
        return self.host.name

    @property
    def room(self) -> Size:
        """Give the size that is not reserved."""
        return self.host.size.minus(self.used)

    @property
    def idle_cores(self) -> float:
        """Estimate the cores that are left for filling tasks."""
        unused = self.serving_cores * (1 - SERVING_USE)
        filling = self.filling_cores - self.slowed_cores
        return self.host.size.cores - self.used.cores + unused - filling

    def usable(self, now: float) -> bool:
        """Tell whether a task may be started here."""
        return (
            self.settled
            and self.in_roster
            and self.missing_since is None
            and self.host.state is HostState.LIVE
            and self.silent_since is None
            and now - self.answered_at < STALE_ANSWER_S
            and now >= self.avoid_until
            and not self.strays
        )

    def add(self, run: Run) -> None:
        """Count a run's size."""
        self.runs[run.task, run.number] = run
        self.used = self.used.plus(run.step.reserved)
        if run.step.lasting:
            self.lasting = self.lasting.plus(run.step.reserved)
        if run.step.filling:
            self.filling_cores += run.step.size.cores
            self.slowed_cores += run.slowed_cores
        if run.step.target_ms:
            self.serving += 1
            self.serving_cores += run.step.size.cores

    def remove(self, run: Run) -> bool:
        """Take a run's size away; tell whether it was counted."""
        if self.runs.pop((run.task, run.number), None) is None:
            return False
        self.used = self.used.minus(run.step.reserved)
        if run.step.lasting:
            self.lasting = self.lasting.minus(run.step.reserved)
        if run.step.filling:
            self.filling_cores -= run.step.size.cores
            self.slowed_cores -= run.slowed_cores
        if run.step.target_ms:
            self.serving -= 1
            self.serving_cores -= run.step.size.cores
        return True

    def set_pace(self, run: Run, percent: int) -> None:
        """Note the share that a filling run is told to work at."""
        self.slowed_cores -= run.slowed_cores
        run.pace = percent
        self.slowed_cores += run.slowed_cores

    def filling_shares(self) -> dict[str, float]:
        """Give by image the share of the cores that filling tasks ask for."""
        shares: dict[str, float] = {}
        for run in self.runs.values():
            if run.step.filling:
                share = run.step.size.cores / self.host.size.cores
                shares[run.step.image] = shares.get(run.step.image, 0.0) + share
        return shares

    def used_shares(self) -> dict[str, float]:
        """Give by image the share of the cores that filling tasks were reported to use."""
        shares: dict[str, float] = {}
        for run in self.runs.values():
            if run.step.filling and run.state is RunState.RUNNING:
                share = run.gauge / self.host.size.cores
                shares[run.step.image] = shares.get(run.step.image, 0.0) + share
        return shares

    def clock_now(self, now: float) -> int:
        """Estimate the worker's clock; it may run slower than this, not faster."""
        return self.clock_ms + int((now - self.clock_at) * 1000)

    def passed_at(self, clock_ms: int) -> float:
        """Give the local time at which the worker's clock has surely passed a value."""
        left_s = (clock_ms + 1 - self.clock_ms) / 1000
        return self.clock_at + max(left_s, 0.0) / (1 - CLOCK_DRIFT)

    def lapses_at(self) -> float:
        """Give the local time at which every lease that was ever sent is surely over."""
        return self.passed_at(self.granted_ms) + LAPSE_SLACK_S

    def grant(self, now: float, hold_s: float) -> int | None:
        """Give the lease end to send, on the worker's clock."""
        if not self.born:
            return None
        lease_ms = self.clock_now(now) + int(hold_s * 1000)
        self.granted_ms = max(self.granted_ms, lease_ms)
        return lease_ms

    def note_answer(self, snapshot: Snapshot, now: float, max_hold_s: float) -> bool:
        """Take in an answer's clock; tell whether it comes from another boot than before."""
        reborn = self.born not in (0, snapshot.born)
        if snapshot.born != self.born:
            # Another holder may have extended a lease until now.
            self.granted_ms = snapshot.clock_ms + int(max_hold_s * 1000)
        if reborn:
            self.seen = 0
            self.unrecorded.clear()
            self.parked.clear()
            self.strays.clear()
        self.born = snapshot.born
        self.clock_ms, self.clock_at = snapshot.clock_ms, now
        self.answered_at, self.silent_since, self.settled = now, None, True
        return reborn

    def note_end(self, kind: EndKind, now: float) -> bool:
        """Judge the worker by an end; tell whether it is put aside now."""
        if kind in (EndKind.DONE, EndKind.FAILED):
            self.recent.append(kind is EndKind.FAILED)
        if sum(self.recent) < FAILURES_TO_QUARANTINE:
            return False
        self.recent.clear()
        self.avoid_until = max(self.avoid_until, now + QUARANTINE_S)
        return True
