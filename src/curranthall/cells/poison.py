"""Poison tasks: which of a worker's runs its crash is attributed to.

A worker has crashed if another boot answers in its place and it was not leaving. Suspected are the
runs that had just started there; runs that had outlasted their start are bystanders. A worker that
only falls silent may have been cut off: its runs are in doubt until a boot answers.
"""

from collections.abc import Iterable
from typing import NamedTuple

from curranthall.cells.fleet import Member, Run, RunState
from curranthall.cells.tracking import Batch, TrackedJob
from curranthall.dag import Progress, Step, TaskId
from curranthall.dag.progress import Doubt, RunKey, TaskKey
from curranthall.events import Event, log
from curranthall.model import HostState

# A run is on probation for this long, then until its worker's next answer.
PROBATION_S = 0.5
# A task with this many crashes in a row is isolated: it starts where no other run is on probation,
# nothing else starts there meanwhile, and the other waiting tasks of its step wait.
ISOLATION_CRASHES = 2
# If no worker is quiet for this long, an isolated task may start beside runs on probation.
QUIET_WAIT_S = 1.5
# A task is given up after so many crashes in a row, if it alone was on probation at the last one,
# or if not, after more of them, excused ones included: the platform allows five starts, and one
# crash may be lost with a killed holder. While runs in doubt could make up the latter number, the
# task waits for an answer.
MAX_CRASHES = 3
MAX_AMBIGUOUS_CRASHES = 4
# More than half of a cell's workers, and at least so many, falling silent within this time of each
# other are an outage.
OUTAGE_S = 2.5
MIN_OUTAGE_WORKERS = 3
# How long the silences of workers are kept.
KEPT_S = 60.0
# After this long without an answer a run is in doubt no longer: its worker may be gone for good.
MAX_DOUBT_S = 60.0


class Suspect(NamedTuple):
    """A task whose run may have crashed its worker."""

    tracked: TrackedJob
    key: TaskKey
    doubt: Doubt
    # Found in doubt by this holder, not by a former one.
    is_witnessed: bool
    # The crash has a likelier cause.
    is_excused: bool = False

    @property
    def crashes(self) -> int:
        """Return the task's earlier crashes in a row, excused ones included."""
        return self.tracked.progress.count_all_crashes(self.key)


class Crash(NamedTuple):
    """The end of a worker's boot and the runs that were in doubt there."""

    suspects: list[Suspect]
    in_outage: bool
    # No other run can have caused it.
    is_certain: bool


def crash_key(step: Step, task: TaskId) -> TaskKey:
    """Return the key that crashes of a task count under; the members of a gang share one."""
    return (task.occurrence, task.step, 0 if step.gang else task.number)


def count_crashes(batch: Batch, index: int) -> int:
    """Return with how many runs in a row of a task its worker crashed, excused ones included."""
    progress = batch.tracked.progress
    return progress.count_all_crashes(crash_key(batch.step, batch.task(index)))


def count_suspicions(batch: Batch, index: int) -> int:
    """Return how many runs in a row of a task crashed their worker, or may have."""
    key = crash_key(batch.step, batch.task(index))
    return count_crashes(batch, index) + batch.tracked.progress.count_doubts(key)


def count_for_placement(batch: Batch, index: int) -> int:
    """Return a task's suspicions, or 0 for a single one but a counted crash: it starts anywhere."""
    found = count_suspicions(batch, index)
    key = crash_key(batch.step, batch.task(index))
    return found if found > 1 or batch.tracked.progress.count_crashes(key) else 0


def startable(batch: Batch) -> list[int]:
    """Return the waiting tasks that may start now, in order.

    While one of them is isolated or about to be, the others wait: they may be poison as well, and
    their work is lost if the job is given up. Nor may a task start that would be given up if all
    its runs in doubt were crashes.
    """
    progress = batch.tracked.progress
    waiting = batch.waiting
    if progress.doubts:
        in_doubt = {run_key[:3] for run_key in progress.doubts}
        waiting = {
            index
            for index in waiting
            if crash_key(batch.step, batch.task(index)) not in in_doubt
            or not needs_answer(batch, index)
        }
    if progress.crashes or progress.outages:
        on_probation = {
            index
            for index, runs in batch.active.items()
            if any(run.probation_until for run in runs)
        }
        isolated = [
            index
            for index in sorted(waiting | on_probation)
            if count_crashes(batch, index) >= ISOLATION_CRASHES
        ]
        if isolated:
            return isolated[:1] if isolated[0] in waiting else []
    return sorted(waiting)


def needs_answer(batch: Batch, index: int) -> bool:
    """Return whether a task waits until a worker shows whether it crashed with it."""
    key = crash_key(batch.step, batch.task(index))
    if not batch.tracked.progress.count_doubts(key):
        return False
    return count_suspicions(batch, index) >= MAX_AMBIGUOUS_CRASHES


def needs_quiet(batch: Batch, crashes: int, now: float) -> bool:
    """Return whether a task may start only where no other run is on probation."""
    since = batch.unplaced_since
    return crashes >= ISOLATION_CRASHES and (since is None or now - since < QUIET_WAIT_S)


def is_given_up(crashes: int, all_crashes: int, is_certain: bool) -> bool:
    """Return whether a task is given up after so many crashes in a row."""
    return all_crashes >= MAX_AMBIGUOUS_CRASHES or (is_certain and crashes >= MAX_CRASHES)


class PoisonDetector:
    """Attributes the crashes of a cell's workers to runs.

    A run that had just started when its worker fell silent is in doubt, which its job's row shows,
    until the worker or another boot at its address answers: a successor continues from there. Its
    task may start again meanwhile and have several runs in doubt.
    """

    def __init__(self, tracked: dict[str, TrackedJob], cell: str) -> None:
        self._tracked = tracked
        self._cell = cell
        # When each worker fell silent last, and whether a suspect had just started there.
        self._silences: dict[str, tuple[float, bool]] = {}
        # Jobs whose rows may have runs in doubt.
        self._doubted: set[str] = set()
        # Names and addresses of the workers with runs in doubt; None if rows changed since.
        self._places: set[str] | None = None
        # Jobs and runs that this holder, not a former one, found in doubt.
        self._witnessed: set[tuple[str, RunKey]] = set()
        # When this holder first saw each run in doubt.
        self._seen_at: dict[tuple[str, RunKey], float] = {}
        # When each worker was found gone, another boot answering at its address.
        self._gone_at: dict[str, float] = {}
        # Jobs of which a run is in doubt no longer and that may have to be recorded.
        self._cleared: dict[str, TrackedJob] = {}

    def note_silence(self, member: Member, now: float) -> None:
        """Record that a worker does not answer."""
        recent = {name: each for name, each in self._silences.items() if now - each[0] < KEPT_S}
        self._silences = {**recent, member.name: (now, member.has_suspect())}

    def note_row(self, tracked: TrackedJob) -> None:
        """Take up the runs in doubt of a job's row."""
        if tracked.progress.doubts:
            self._doubted.add(tracked.job.id)
            self._places = None

    def doubt(self, member: Member, runs: Iterable[Run], now: float) -> list[TrackedJob]:
        """Record the runs that had just started at a silent worker; return the changed jobs."""
        changed = []
        for run in runs if member.host.state is not HostState.LEAVING else ():
            tracked = self._tracked.get(run.task.job)
            if not run.probation_until or run.state is RunState.RECORDING:
                continue
            if tracked is None or tracked.progress.phase.is_final:
                continue
            key, address = crash_key(run.step, run.task), member.host.address
            after_ms = int(((member.silent_since or now) - run.sent_at) * 1000)
            doubt = Doubt(run.number, member.name, address, member.born, after_ms, self._cell)
            if not tracked.progress.add_doubt(key, doubt):
                continue
            self._doubted.add(tracked.job.id)
            self._places = None
            self._witnessed.add((tracked.job.id, (*key, run.number, member.name)))
            changed.append(tracked)
        return changed

    def settle(self, member: Member, born: int, workers: int, now: float) -> list[Crash]:
        """Return the crashes of former boots that an answer of a worker's boot shows.

        `workers` is the number of the cell's workers. Runs of the boot that answers are in doubt
        no longer, unless they have not outlasted their start yet.
        """
        if born:
            self._gone_at.pop(member.name, None)
        if not self._doubted:
            return []
        if self._places is None:
            self._places = self._find_places()
        if self._places.isdisjoint((member.name, member.host.address)):
            return []
        self._places = None
        here = member.name, member.host.address
        runs = {
            (run.task.job, *crash_key(run.step, run.task), run.number): run
            for run in member.runs.values()
        }
        ended = []
        for tracked, run_key, doubt in self._list_open():
            if doubt.worker != here[0] and doubt.address != here[1]:
                continue
            run = runs.get((tracked.job.id, *run_key[:4])) if born else None
            # A run that is still known here may have been started by the boot that answers.
            if doubt.born != born and (run is None or run.worker != doubt.worker):
                ended.append((tracked, run_key, doubt))
            elif run is None or not run.probation_until:
                self._clear(tracked, run_key, "answered")
        return self._find_crashes(ended, workers, now)

    def _find_crashes(
        self, ended: list[tuple[TrackedJob, RunKey, Doubt]], workers: int, now: float
    ) -> list[Crash]:
        """Settle the runs in doubt of boots that have ended; return the crashes."""
        boots: dict[tuple[str, int], list[Suspect]] = {}
        for tracked, run_key, doubt in ended:
            is_witnessed = (tracked.job.id, run_key) in self._witnessed
            suspect = Suspect(tracked, run_key[:3], doubt, is_witnessed)
            boots.setdefault((doubt.worker, doubt.born), []).append(suspect)
            self._drop(tracked, run_key)
        return [
            self._attribute(worker, found, workers, now) for (worker, _), found in boots.items()
        ]

    def note_gone(self, member: Member, now: float) -> None:
        """Record that another boot answers in place of a worker, maybe before rows name it."""
        if member.host.state is not HostState.LEAVING:
            self._gone_at[member.name] = now

    def settle_gone(self, workers: int, now: float) -> list[Crash]:
        """Return the crashes of workers that were found gone before their runs were in doubt."""
        if not self._doubted or not self._gone_at:
            return []
        if self._places is None:
            self._places = self._find_places()
        if self._places.isdisjoint(self._gone_at):
            return []
        self._places = None
        ended = [each for each in self._list_open() if each[2].worker in self._gone_at]
        return self._find_crashes(ended, workers, now)

    def _find_places(self) -> set[str]:
        doubts = [doubt for _, _, doubt in self._list_open()]
        return {place for doubt in doubts for place in (doubt.worker, doubt.address)}

    def note_leaving(self, worker: str) -> None:
        """Clear the runs in doubt of a worker that is leaving: its end is no crash."""
        for tracked, run_key, doubt in self._list_open() if self._doubted else ():
            if doubt.worker == worker:
                self._clear(tracked, run_key, "leaving")

    def expire(self, now: float) -> None:
        """Clear the runs in doubt of this cell's workers that nobody has settled for long."""
        self._gone_at = {name: at for name, at in self._gone_at.items() if now - at < KEPT_S}
        jobs = [self._tracked[job_id] for job_id in self._doubted if job_id in self._tracked]
        self._seen_at = {
            each: self._seen_at.get(each, now)
            for each in ((job.job.id, run_key) for job in jobs for run_key in job.progress.doubts)
        }
        self._witnessed &= self._seen_at.keys()
        for (job_id, run_key), seen_at in self._seen_at.items():
            tracked = self._tracked[job_id]
            if now - seen_at > MAX_DOUBT_S and _is_open(tracked.progress, run_key):
                if tracked.progress.doubts[run_key].cell in (self._cell, ""):
                    self._clear(tracked, run_key, "expired")

    def take_cleared(self) -> list[TrackedJob]:
        """Return the jobs of which a run is in doubt no longer since the last call."""
        found, self._cleared = list(self._cleared.values()), {}
        return found

    def _list_open(self) -> list[tuple[TrackedJob, RunKey, Doubt]]:
        """Return the runs in doubt; drop those that were settled since, and ended jobs."""
        found = []
        for job_id in list(self._doubted):
            tracked = self._tracked.get(job_id)
            if tracked is None or tracked.progress.phase.is_final or not tracked.progress.doubts:
                self._doubted.discard(job_id)
                continue
            for run_key, doubt in list(tracked.progress.doubts.items()):
                if _is_open(tracked.progress, run_key):
                    found.append((tracked, run_key, doubt))
                else:
                    self._drop(tracked, run_key)
        return found

    def _clear(self, tracked: TrackedJob, run_key: RunKey, why: str) -> None:
        """Remove a run whose worker has not crashed, as far as is known."""
        doubt = tracked.progress.doubts[run_key]
        self._drop(tracked, run_key)
        self._cleared[tracked.job.id] = tracked
        log(
            Event.RUN_CLEARED,
            task=TaskId(tracked.job.id, *run_key[:3]),
            run=doubt.run,
            worker=doubt.worker,
            cell=self._cell,
            why=why,
        )

    def _drop(self, tracked: TrackedJob, run_key: RunKey) -> None:
        self._witnessed.discard((tracked.job.id, run_key))
        tracked.progress.settle_doubt(run_key)

    def _attribute(self, worker: str, found: list[Suspect], workers: int, now: float) -> Crash:
        """Return which of the runs in doubt are excused from a worker's crash.

        All are in an outage, else those with fewer crashes before than another one: a task that
        was never suspected is no likelier to be the cause than any other. This is recorded, too: a
        poison task may start beside a likelier one again and again.
        """
        # A successor does not know how many workers went down before.
        is_witnessed = all(suspect.is_witnessed for suspect in found)
        in_outage = not is_witnessed or self._is_outage(worker, workers, now)
        most = max(suspect.crashes for suspect in found)
        suspects = [
            suspect._replace(is_excused=in_outage or suspect.crashes < most) for suspect in found
        ]
        return Crash(suspects, in_outage, len(found) == 1 and not in_outage)

    def _is_outage(self, worker: str, workers: int, now: float) -> bool:
        """Return whether a worker went down with most of a cell's workers.

        Those with a suspect do not count: many poison tasks would look like an outage.
        """
        at, _ = self._silences.get(worker, (now, False))
        down = sum(
            not suspected and abs(other - at) <= OUTAGE_S
            for other, suspected in self._silences.values()
        )
        return down >= MIN_OUTAGE_WORKERS and 2 * down > workers


def _is_open(progress: Progress, run_key: RunKey) -> bool:
    """Return whether a row's doubt was not settled since, by this holder or another one."""
    return not progress.is_settled(run_key)
