"""Poison tasks: which of a worker's runs its crash is attributed to.

A worker has crashed if another boot answers in its place and it was not leaving. Suspected are the
runs that had just started there; runs that had outlasted their start are bystanders.
"""

from collections.abc import Iterable
from typing import NamedTuple

from curranthall.cells.fleet import Member, Run, RunState
from curranthall.cells.tracking import Batch, TrackedJob
from curranthall.dag import Progress, Step, TaskId
from curranthall.dag.progress import Doubt, TaskKey
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
# crash may be lost with a killed holder.
MAX_CRASHES = 3
MAX_AMBIGUOUS_CRASHES = 4
# More than half of a cell's workers, and at least so many, falling silent within this time of each
# other are an outage.
OUTAGE_S = 2.5
MIN_OUTAGE_WORKERS = 3
# How long the silences of workers are kept.
KEPT_S = 60.0


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


def count_for_placement(batch: Batch, index: int) -> int:
    """Return a task's crashes in a row, or 0 for a single excused one: it may start anywhere."""
    crashes = count_crashes(batch, index)
    key = crash_key(batch.step, batch.task(index))
    return crashes if crashes > 1 or batch.tracked.progress.count_crashes(key) else 0


def startable(batch: Batch) -> list[int]:
    """Return the waiting tasks that may start now, in order.

    While one of them is isolated or about to be, the others wait: they may be poison as well, and
    their work is lost if the job is given up.
    """
    if batch.tracked.progress.crashes or batch.tracked.progress.outages:
        on_probation = {
            index
            for index, runs in batch.active.items()
            if any(run.probation_until for run in runs)
        }
        isolated = [
            index
            for index in sorted(batch.waiting | on_probation)
            if count_crashes(batch, index) >= ISOLATION_CRASHES
        ]
        if isolated:
            return isolated[:1] if isolated[0] in batch.waiting else []
    return sorted(batch.waiting)


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
    until the worker or another boot at its address answers: a successor continues from there.
    """

    def __init__(self, tracked: dict[str, TrackedJob]) -> None:
        self._tracked = tracked
        # When each worker fell silent last, and whether a suspect had just started there.
        self._silences: dict[str, tuple[float, bool]] = {}
        # Jobs whose rows may have runs in doubt.
        self._doubted: set[str] = set()
        # Names and addresses of the workers with runs in doubt; None if rows changed since.
        self._places: set[str] | None = None
        # Jobs and runs that this holder, not a former one, found in doubt.
        self._witnessed: set[tuple[str, int]] = set()

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
            key, progress = crash_key(run.step, run.task), tracked.progress
            known = progress.doubts.get(key)
            if progress.has_crashed(key, run.number) or (known and known.run >= run.number):
                continue
            after_ms = int(((member.silent_since or now) - run.sent_at) * 1000)
            progress.doubts[key] = Doubt(
                run.number, member.name, member.host.address, member.born, after_ms
            )
            self._doubted.add(tracked.job.id)
            self._places = None
            self._witnessed.add((tracked.job.id, run.number))
            changed.append(tracked)
        return changed

    def settle_lost(self, batch: Batch) -> list[Crash]:
        """Return the crashes of the runs in doubt of tasks that are about to start again.

        These runs are over, and neither their worker nor another boot at its address has answered:
        it may have crashed, and nothing else may ever show it.
        """
        tracked, progress = batch.tracked, batch.tracked.progress
        if not progress.doubts:
            return []
        found = []
        active = {run.number for runs in batch.active.values() for run in runs}
        for index in sorted(batch.waiting):
            key = crash_key(batch.step, batch.task(index))
            doubt = progress.doubts.get(key)
            if doubt is None or doubt.run in active:
                continue
            self._drop(tracked, key, doubt)
            if _is_open(progress, key, doubt):
                suspect = Suspect(tracked, key, doubt, is_witnessed=False, is_excused=True)
                found.append(Crash([suspect], in_outage=False, is_certain=False))
        return found

    def settle(self, member: Member, born: int, workers: int, now: float) -> list[Crash]:
        """Return the crashes of former boots that an answer of a worker's boot shows.

        `workers` is the number of the cell's workers. Runs of the boot that answers are in doubt
        no longer.
        """
        if not self._doubted:
            return []
        if self._places is None:
            self._places = self._find_places()
        if self._places.isdisjoint((member.name, member.host.address)):
            return []
        self._places = None
        boots: dict[tuple[str, int], list[Suspect]] = {}
        for tracked, key, doubt in self._list_open():
            if member.name != doubt.worker and member.host.address != doubt.address:
                continue
            is_witnessed = (tracked.job.id, doubt.run) in self._witnessed
            if doubt.born != born:
                suspect = Suspect(tracked, key, doubt, is_witnessed)
                boots.setdefault((doubt.worker, doubt.born), []).append(suspect)
            self._drop(tracked, key, doubt)
        return [
            self._attribute(worker, found, workers, now) for (worker, _), found in boots.items()
        ]

    def _find_places(self) -> set[str]:
        doubts = [doubt for _, _, doubt in self._list_open()]
        return {place for doubt in doubts for place in (doubt.worker, doubt.address)}

    def _list_open(self) -> list[tuple[TrackedJob, TaskKey, Doubt]]:
        """Return the runs in doubt; drop those that were settled since, and ended jobs."""
        found = []
        for job_id in list(self._doubted):
            tracked = self._tracked.get(job_id)
            if tracked is None or tracked.progress.phase.is_final or not tracked.progress.doubts:
                self._doubted.discard(job_id)
                continue
            for key, doubt in list(tracked.progress.doubts.items()):
                if _is_open(tracked.progress, key, doubt):
                    found.append((tracked, key, doubt))
                else:
                    self._drop(tracked, key, doubt)
        return found

    def _drop(self, tracked: TrackedJob, key: TaskKey, doubt: Doubt) -> None:
        self._witnessed.discard((tracked.job.id, doubt.run))
        del tracked.progress.doubts[key]

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


def _is_open(progress: Progress, key: TaskKey, doubt: Doubt) -> bool:
    """Return whether a row's doubt was not settled since, by this holder or another one."""
    is_over = progress.has_crashed(key, doubt.run) or doubt.run in progress.failures.get(key, ())
    return not is_over and doubt.run > progress.outlasted.get(key, 0)
