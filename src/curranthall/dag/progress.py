"""Progress of a job: a grow-only record, so that the rows of two writers merge without loss."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, NamedTuple

from cbor2 import dumps, loads

from curranthall.dag.model import Job, Queue
from curranthall.values import checked, fields, integer, items, text, whole

TaskKey = tuple[int, int, int]
# A task's key, the number of one of its runs and the worker: a gang's members share one number.
RunKey = tuple[int, int, int, int, str]


class Phase(IntEnum):
    """Phase of a job as shown to callers; the higher one wins in a merge."""

    QUEUED = 0
    RUNNING = 1
    FAILED = 2
    COMPLETED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Return whether the phase can no longer change."""
        return self >= Phase.FAILED


class Doubt(NamedTuple):
    """A run that had just started when its worker, a boot at an address, fell silent."""

    run: int
    worker: str
    address: str
    born: int
    after_ms: int
    # The worker's cell, whose holder settles it; empty in rows of earlier releases.
    cell: str = ""


class Place(NamedTuple):
    """The last start of a lasting task: its run and worker, empty once the run is over for good."""

    run: int
    worker: str


def drop_keys_below(table: dict[Any, Any], occurrence: int) -> None:
    """Remove the entries of a table whose keys begin with an earlier occurrence."""
    for key in [key for key in table if key[0] < occurrence]:
        del table[key]


def newest_queue(*known: Queue | None) -> Queue | None:
    """Return the queue that was read in the newest configuration, the first of equals."""
    found = [queue for queue in known if queue is not None]
    return max(found, key=lambda queue: queue.version, default=None)


@dataclass(slots=True)
class Progress:
    """A job's mutable row; task keys are (occurrence, step, index)."""

    cell: str
    phase: Phase = Phase.QUEUED
    # By occurrence and step, a mask of the tasks that are done; see also `finished`.
    done: dict[tuple[int, int], int] = field(default_factory=dict)
    failures: dict[TaskKey, set[int]] = field(default_factory=dict)
    moved_to: dict[TaskKey, str] = field(default_factory=dict)
    highest_run: int = 0
    moves: int = 0
    writer: str = ""
    # By cell, the epoch whose holder may start the tasks there: the epoch of the holder that
    # received the first tasks, until a later holder takes the job over.
    claims: dict[str, int] = field(default_factory=dict)
    # By task, the runs with which a worker crashed, those whose crash is excused (it has a likelier
    # cause), the highest run that outlasted its start, and the runs for which this is open.
    crashes: dict[TaskKey, set[int]] = field(default_factory=dict)
    outages: dict[TaskKey, set[int]] = field(default_factory=dict)
    outlasted: dict[TaskKey, int] = field(default_factory=dict)
    doubts: dict[RunKey, Doubt] = field(default_factory=dict)
    # By lasting task that was ever started, its last start; None if starts were not recorded.
    places: dict[TaskKey, Place] | None = field(default_factory=dict)
    # The job's queue as last configured; None if no row has had it yet.
    queue: Queue | None = None
    # All occurrences below this number are done; nothing else is kept of them.
    finished: int = 0
    # The version of the row that gave the job to its cell; 0 if it is this row.
    given_version: int = 0
    # The job runs at due times.
    timed: bool = False
    # Local moves to other cells that no committed row contains yet; not stored.
    uncommitted_moves: dict[TaskKey, str] = field(default_factory=dict)
    uncommitted_job_move: str = ""
    # Runs that are in doubt no longer, though committed rows may still say so; not stored.
    settled: set[RunKey] = field(default_factory=set)

    def is_done(self, occurrence: int, step: int, index: int) -> bool:
        """Return whether a task is done."""
        return occurrence < self.finished or bool(self.done.get((occurrence, step), 0) >> index & 1)

    def add_done(self, occurrence: int, step: int, index: int) -> bool:
        """Record a task as done; return whether it was not done before."""
        if occurrence < self.finished:
            return False
        mask = self.done.get((occurrence, step), 0)
        self.done[occurrence, step] = mask | 1 << index
        return not mask >> index & 1

    def add_step_done(self, job: Job, occurrence: int, step: int) -> bool:
        """Record all tasks of a step as done; return whether one was not done before."""
        if self.is_step_done(job, occurrence, step):
            return False
        self.done[occurrence, step] = job.steps[step].full_mask
        return True

    def count_done(self, job: Job) -> int:
        """Return the number of tasks that are done."""
        in_finished = self.finished * sum(step.width for step in job.steps)
        return in_finished + sum(mask.bit_count() for mask in self.done.values())

    def drop_finished(self, job: Job) -> None:
        """Count the first occurrences that are done in `finished`, and drop what is kept of them.

        The row of a job with many occurrences thus holds only what is not done yet.
        """
        if job.occurrences == 1:
            return
        before, steps = self.finished, range(len(job.steps))
        while self.finished < job.occurrences and all(
            self.is_step_done(job, self.finished, step) for step in steps
        ):
            for step in steps:
                del self.done[self.finished, step]
            self.finished += 1
        if self.finished > before:
            self._forget_finished()

    def _forget_finished(self) -> None:
        """Drop what is recorded of the tasks of finished occurrences."""
        tables: list[dict[Any, Any]] = [self.done, self.failures, self.moved_to]
        tables += [self.uncommitted_moves, self.crashes, self.outages, self.outlasted, self.doubts]
        for table in tables:
            drop_keys_below(table, self.finished)

    def add_failure(self, key: TaskKey, run: int) -> int:
        """Record a failed run; return the number of the task's failed runs."""
        runs = self.failures.setdefault(key, set())
        runs.add(run)
        self._drop_doubts(key, run)
        return len(runs)

    def add_crash(self, key: TaskKey, run: int, is_excused: bool = False) -> int:
        """Record a run with which its worker crashed; return the task's crashes in a row."""
        (self.outages if is_excused else self.crashes).setdefault(key, set()).add(run)
        self._drop_doubts(key, run)
        return self.count_crashes(key)

    def has_crashed(self, key: TaskKey, run: int) -> bool:
        """Return whether a run is recorded as one with which its worker crashed."""
        return run in self.crashes.get(key, ()) or run in self.outages.get(key, ())

    def add_outlasted(self, key: TaskKey, run: int) -> None:
        """Record a run that outlasted its start: earlier crashes no longer count."""
        self.outlasted[key] = max(run, self.outlasted.get(key, 0))
        for former in {run_key[3] for run_key in self.doubts if run_key[3] <= run}:
            self._drop_doubts(key, former)

    def count_crashes(self, key: TaskKey) -> int:
        """Return the task's crashes in a row; the first excused one does not count."""
        last = self.outlasted.get(key, 0)
        outages = sum(run > last for run in self.outages.get(key, ()))
        return sum(run > last for run in self.crashes.get(key, ())) + max(outages - 1, 0)

    def count_all_crashes(self, key: TaskKey) -> int:
        """Return the task's crashes in a row, all excused ones included."""
        runs = self.crashes.get(key, set()) | self.outages.get(key, set())
        last = self.outlasted.get(key, 0)
        return sum(run > last for run in runs)

    def count_doubts(self, key: TaskKey) -> int:
        """Return how many runs of a task may have crashed their worker or not."""
        return len({run_key[3] for run_key in self.doubts if run_key[:3] == key})

    def add_doubt(self, key: TaskKey, doubt: Doubt) -> bool:
        """Record a run of a task as in doubt; return whether it was neither that nor settled."""
        run_key = (*key, doubt.run, doubt.worker)
        if run_key in self.doubts or self.is_settled(run_key):
            return False
        self.doubts[run_key] = doubt
        self.settled.discard(run_key)
        return True

    def _drop_doubts(self, key: TaskKey, run: int) -> None:
        for run_key in [each for each in self.doubts if each[:4] == (*key, run)]:
            del self.doubts[run_key]

    def settle_doubt(self, run_key: RunKey) -> None:
        """Remove a run that is in doubt no longer."""
        del self.doubts[run_key]
        self.settled.add(run_key)

    def is_settled(self, run_key: RunKey) -> bool:
        """Return whether a doubt of a row is over, by this holder or another one."""
        key, run = run_key[:3], run_key[3]
        is_known = self.has_crashed(key, run) or run in self.failures.get(key, ())
        return is_known or run <= self.outlasted.get(key, 0)

    def _merge_doubts(self, other: dict[RunKey, Doubt], cell: str) -> None:
        """Keep the doubts that this cell found, and take the others as committed."""
        own = {run_key: doubt for run_key, doubt in self.doubts.items() if doubt.cell == cell}
        found = {run_key: each for run_key, each in other.items() if run_key not in self.settled}
        self.doubts = {
            run_key: doubt
            for run_key, doubt in (found | own).items()
            if not self.is_settled(run_key)
        }

    def set_place(self, key: TaskKey, run: int, worker: str) -> None:
        """Record the start of a lasting task before it is sent."""
        if self.places is not None:
            self.places[key] = Place(run, worker)

    def move_place(self, key: TaskKey, worker: str) -> bool:
        """Record that a task runs on another worker than its last start was sent to.

        Return whether that is new.
        """
        place = self.places.get(key) if self.places else None
        if self.places is None or place is None or place.worker == worker:
            return False
        self.places[key] = Place(place.run, worker)
        return True

    def end_place(self, key: TaskKey, run: int) -> bool:
        """Record that a run is over and its start has no effect any more, if it is the last one.

        Return whether that is new.
        """
        place = self.places.get(key) if self.places else None
        if self.places is None or place is None or place.run != run or not place.worker:
            return False
        self.places[key] = Place(run, "")
        return True

    def _merge_places(self, other: dict[TaskKey, Place] | None) -> None:
        """Keep each task's last start; a later holder's run has a greater number."""
        if self.places is None or other is None:
            self.places = None
            return
        for key, place in other.items():
            known = self.places.get(key)
            is_over = known is not None and place == (known.run, "")
            if known is None or place.run > known.run or is_over:
                self.places[key] = place

    def is_step_done(self, job: Job, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        if occurrence < self.finished:
            return True
        return self.done.get((occurrence, step), 0) == job.steps[step].full_mask

    def is_all_done(self, job: Job) -> bool:
        """Return whether every task of every occurrence is done; never true for a lasting job."""
        if job.lasting:
            return False
        return all(
            self.is_step_done(job, occurrence, step)
            for occurrence in range(self.finished, job.occurrences)
            for step in range(len(job.steps))
        )

    def owner(self, key: TaskKey) -> str:
        """Return the cell that runs a task."""
        return self.moved_to.get(key, self.cell)

    def move_tasks(self, keys: list[TaskKey], cell: str, epoch: int = 0) -> None:
        """Move tasks to another cell; `epoch` is its holder's epoch, or 0 if unknown."""
        self.moves += 1
        self.claims.setdefault(cell, epoch)
        for key in keys:
            self.moved_to[key] = self.uncommitted_moves[key] = cell

    def move_job(self, cell: str, epoch: int = 0) -> None:
        """Move a job without any started task to another cell."""
        self.moves += 1
        self.claims.setdefault(cell, epoch)
        self.cell = self.uncommitted_job_move = cell
        self.moved_to.clear()
        self.uncommitted_moves.clear()

    def counts_in(self, cell: str) -> bool:
        """Return whether a cell's holder counts the job: until a stored row names another cell."""
        return self.cell == cell or bool(self.uncommitted_job_move)

    def confirm(self, committed: "Progress") -> None:
        """Forget the local moves that this holder's committed row contains."""
        self.uncommitted_moves = {
            key: cell
            for key, cell in self.uncommitted_moves.items()
            if committed.owner(key) != cell
        }
        self.settled &= committed.doubts.keys()
        if committed.cell == self.uncommitted_job_move:
            self.uncommitted_job_move = ""

    def merge(self, other: "Progress", cell: str, epoch: int) -> None:
        """Merge the committed row into the state of a cell's holder.

        Only the owner of a task may move it. A local move is kept only if the committed row still
        assigns the task to this cell (otherwise another cell may have started it) and no later
        holder of the cell has taken the job over.
        """
        if other.claims.get(cell, 0) > epoch:
            self.uncommitted_moves.clear()
            self.uncommitted_job_move = ""
        # The committed epochs win, except for a higher one that this holder has not committed yet.
        own = self.claims.get(cell, 0)
        self.claims.update(other.claims)
        if own > self.claims.get(cell, 0):
            self.claims[cell] = own
        # A committed final phase wins over any phase that this holder has not committed yet.
        self.phase = other.phase if other.phase.is_final else max(self.phase, other.phase)
        for step, mask in other.done.items():
            self.done[step] = self.done.get(step, 0) | mask
        for key, runs in other.failures.items():
            self.failures.setdefault(key, set()).update(runs)
        for key, runs in other.crashes.items():
            self.crashes.setdefault(key, set()).update(runs)
        for key, runs in other.outages.items():
            self.outages.setdefault(key, set()).update(runs)
        for key, run in other.outlasted.items():
            self.add_outlasted(key, run)
        self._merge_doubts(other.doubts, cell)
        self._merge_places(other.places)
        self.queue = newest_queue(self.queue, other.queue)
        self.highest_run = max(self.highest_run, other.highest_run)
        self.moves = max(self.moves, other.moves)
        self.cell, self.moved_to = other.cell, dict(other.moved_to)
        is_started = bool(other.moved_to or other.places)
        if self.uncommitted_job_move and other.cell == cell and not is_started:
            self.cell = self.uncommitted_job_move
        else:
            self.uncommitted_job_move = ""
        self.uncommitted_moves = {
            key: to for key, to in self.uncommitted_moves.items() if self.owner(key) == cell
        }
        self.moved_to.update(self.uncommitted_moves)
        self.finished = max(self.finished, other.finished)
        if self.finished:
            self._forget_finished()

    def encode(self) -> bytes:
        """Encode the row's value without its empty parts."""
        value: dict[str, Any] = {"c": self.cell, "p": int(self.phase), "w": self.writer}
        if self.done:
            value["d"] = [[*key, mask] for key, mask in self.done.items()]
        if self.failures:
            value["f"] = [[*key, sorted(runs)] for key, runs in self.failures.items()]
        if self.crashes:
            value["x"] = [[*key, sorted(runs)] for key, runs in self.crashes.items()]
        if self.outages:
            value["u"] = [[*key, sorted(runs)] for key, runs in self.outages.items()]
        if self.outlasted:
            value["o"] = [[*key, run] for key, run in self.outlasted.items()]
        if self.doubts:
            value["q"] = [[*run_key[:3], *doubt] for run_key, doubt in self.doubts.items()]
        if self.places is not None and not self.phase.is_final:
            by_worker: dict[str, list[list[int]]] = {}
            for key, place in self.places.items():
                by_worker.setdefault(place.worker, []).append([*key, place.run])
            value["l"] = [[worker, starts] for worker, starts in by_worker.items()]
        if self.finished:
            value["n"] = self.finished
        if self.given_version and not self.phase.is_final:
            value["g"] = self.given_version
        if self.timed and not self.phase.is_final:
            value["t"] = True
        if self.queue is not None and not self.phase.is_final:
            value["s"] = list(self.queue)
        if self.moved_to:
            value["e"] = [[*key, cell] for key, cell in self.moved_to.items()]
        if self.claims:
            value["k"] = [[cell, epoch] for cell, epoch in self.claims.items()]
        if self.moves:
            value["m"], value["r"] = self.moves, self.highest_run
        return dumps(value)


def decode_progress(data: bytes) -> Progress:
    """Decode a row's value; raise one of DECODE_ERRORS if it is malformed."""
    value = fields(loads(data))
    return Progress(
        text(value["c"]),
        Phase(whole(value["p"])),
        {(whole(k), whole(step)): _mask(mask) for k, step, mask in value.get("d", ())},
        _runs(value.get("f", ())),
        {_task_key(*key): text(cell) for *key, cell in value.get("e", ())},
        whole(value.get("r", 0)),
        whole(value.get("m", 0)),
        text(value.get("w", "")),
        {text(cell): whole(epoch) for cell, epoch in value.get("k", ())},
        _runs(value.get("x", ())),
        _runs(value.get("u", ())),
        {_task_key(*key): whole(run) for *key, run in value.get("o", ())},
        _doubts(value.get("q", ())),
        _places(value["l"]) if "l" in value else None,
        _queue(value["s"]) if "s" in value else None,
        whole(value.get("n", 0)),
        whole(value.get("g", 0)),
        value.get("t") is True,
    )


def _task_key(occurrence: object, step: object, index: object) -> TaskKey:
    return whole(occurrence), whole(step), whole(index)


def _places(rows: Iterable[Any]) -> dict[TaskKey, Place]:
    return {
        _task_key(*key): Place(whole(run), text(worker))
        for worker, starts in rows
        for *key, run in items(starts)
    }


def _doubts(rows: Iterable[Any]) -> dict[RunKey, Doubt]:
    found = {}
    for occurrence, step, index, *fields_ in rows:
        doubt = checked(Doubt(*fields_[: len(Doubt._fields)]))
        found[*_task_key(occurrence, step, index), whole(doubt.run), doubt.worker] = doubt
    return found


def _queue(row: object) -> Queue:
    return checked(Queue(*items(row)[: len(Queue._fields)]))


def _runs(rows: Iterable[Any]) -> dict[TaskKey, set[int]]:
    return {_task_key(*key): set(map(whole, items(runs))) for *key, runs in rows}


def _mask(value: object) -> int:
    mask = integer(value)
    if mask < 0:
        raise ValueError("a mask below 0")
    return mask
