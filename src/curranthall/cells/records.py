"""Job rows in the store: the immutable job and its progress, kept in the same part."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from curranthall.cells.owner import CELL_PART, DETAIL_TABLE, Details, decode_details_row
from curranthall.dag import Job, Progress
from curranthall.dag.model import decode_job
from curranthall.dag.progress import decode_progress
from curranthall.events import Event, log
from curranthall.store import ABSENT, Check, Committed, Drop, Put, Row, Stale, Store
from curranthall.values import DECODE_ERRORS, items, reason, whole

JOB_TABLE = "jobs"
PROGRESS_TABLE = "progress"
REFUSAL_TABLE = "refusals"
CANCELLATION_TABLE = "cancellations"
# The value of a row in the two tables above, of which only the version counts.
MARK = b"\x01"
# The store runs the transactions of a part one after another. With eight parts, a store that takes
# 0.3 s per transaction (60 times the usual latency, the example in its documentation) still does
# 26 per second.
PARTS = tuple("01234567")


class StoredJob(NamedTuple):
    """A job and its progress at a store version."""

    job: Job
    progress: Progress
    version: int

    def encode(self) -> list[Any]:
        """Encode for a message to a peer."""
        return [self.job.encode(), self.progress.encode(), self.version]


class Refused(NamedTuple):
    """A job that isn't stored was refused; the version is ABSENT if its refusal is gone."""

    version: int


class Cancelled(NamedTuple):
    """A job was cancelled before it was stored, and never will be."""

    version: int


def decode_stored_job(value: object) -> StoredJob:
    """Decode a message from a peer; raise one of DECODE_ERRORS when it is invalid."""
    job, progress, version = items(value)
    return StoredJob(decode_job(job), decode_progress(progress), whole(version))


def part_of(job_id: str) -> str:
    """Return the part that holds a job's rows.

    It depends on the job id alone, so one id cannot be stored in two parts.
    """
    return PARTS[int(job_id[-1], 16) % len(PARTS)]


async def create_job(
    store: Store, job: Job, progress: Progress, refusal_version: int = ABSENT
) -> Committed | Stale:
    """Insert both rows of a job; return Stale when the job exists, was cancelled or refused anew.

    The row of an earlier refusal, of the given version, is removed.
    """
    return await store.commit(
        part_of(job.id),
        [
            Check(PROGRESS_TABLE, job.id, ABSENT),
            # A creation that was sent before one of these was recorded must never take effect.
            Check(CANCELLATION_TABLE, job.id, ABSENT),
            Check(REFUSAL_TABLE, job.id, refusal_version),
        ],
        [
            Put(JOB_TABLE, job.id, job.encode()),
            Put(PROGRESS_TABLE, job.id, progress.encode()),
        ],
        [] if refusal_version == ABSENT else [Drop(REFUSAL_TABLE, job.id)],
    )


async def refuse_job(store: Store, job_id: str) -> Committed | Stale:
    """Record that a job is refused, so that no creation sent before can take effect.

    Return Stale when the job exists.
    """
    return await _mark_unstored(store, REFUSAL_TABLE, job_id)


async def cancel_unstored(store: Store, job_id: str) -> Committed | Stale:
    """Record that a job is cancelled, so that no creation, sent before or later, can take effect.

    Return Stale when the job exists.
    """
    return await _mark_unstored(store, CANCELLATION_TABLE, job_id)


async def _mark_unstored(store: Store, table: str, job_id: str) -> Committed | Stale:
    """Write a job's row in a table unless the job is stored."""
    checks = [Check(PROGRESS_TABLE, job_id, ABSENT)]
    return await store.commit(part_of(job_id), checks, [Put(table, job_id, MARK)], [])


async def find_conflict(store: Store, job_id: str, answer: Stale) -> Refused | Cancelled | None:
    """Return why a creation was stale, None if the job exists.

    The store is read unless the answer tells.
    """
    for row in answer.rows:
        if row.value is not None and row.table == PROGRESS_TABLE:
            return None
        if row.value is not None and row.table == CANCELLATION_TABLE:
            return Cancelled(row.version)
    # Read in this order: if the refusal goes in between, it does so as the job is created.
    refused = await _find_version(store, REFUSAL_TABLE, job_id)
    cancelled = await _find_version(store, CANCELLATION_TABLE, job_id)
    if await _find_version(store, PROGRESS_TABLE, job_id) != ABSENT:
        return None
    return Refused(refused) if cancelled == ABSENT else Cancelled(cancelled)


async def _find_version(store: Store, table: str, job_id: str) -> int:
    """Return the version of a job's row in a table, ABSENT if there is none."""
    listing = await store.scan(table, part_of(job_id), job_id, job_id + "\0")
    return max((row.version for row in listing.rows if row.value is not None), default=ABSENT)


async def read_progress(store: Store, job_id: str) -> tuple[Progress, int] | None:
    """Return a job's progress and its version, or None when the job does not exist."""
    listing = await store.scan(PROGRESS_TABLE, part_of(job_id), job_id, job_id + "\0")
    for row in listing.rows:
        progress = decode_progress_row(row)
        if progress is not None:
            return progress, row.version
    return None


async def read_job(store: Store, job_id: str) -> StoredJob | None:
    """Return a job with its progress, or None when the job does not exist."""
    found = await read_progress(store, job_id)
    if found is None:
        return None
    listing = await store.scan(JOB_TABLE, part_of(job_id), job_id, job_id + "\0")
    for row in listing.rows:
        job = decode_job_row(row)
        if job is not None:
            return StoredJob(job, *found)
    return None


async def read_part(
    store: Store, cell: str, part: str, is_known: Callable[[str], bool]
) -> tuple[list[StoredJob], int]:
    """Return the cell's unfinished jobs of a part and the known ones, and the version read."""
    listing = await store.scan(PROGRESS_TABLE, part)
    rows = {row.key: (decode_progress_row(row), row.version) for row in listing.rows}
    wanted = {
        key: (progress, version)
        for key, (progress, version) in rows.items()
        if progress is not None
        and (is_known(key) or (has_tasks_in(progress, cell) and not progress.phase.is_final))
    }
    if not wanted:
        return [], listing.version
    jobs = await store.scan(JOB_TABLE, part, min(wanted), max(wanted) + "\0")
    found = [StoredJob(job, *wanted[job.id]) for job in _decode_jobs(jobs.rows) if job.id in wanted]
    return found, listing.version


async def read_details(store: Store, cell: str) -> Details:
    """Return the details stored by a cell's earlier holders, empty when there are none."""
    listing = await store.scan(DETAIL_TABLE, CELL_PART, cell, cell + "\0")
    for row in listing.rows:
        if row.value is not None:
            return decode_details_row(row)._replace(version=row.version)
    return Details([])


def has_tasks_in(progress: Progress, cell: str) -> bool:
    """Return whether a cell owns tasks of a job, or had a run of it that is still in doubt."""
    return progress.cell == cell or cell in _other_places(progress)


def other_cells(progress: Progress, cell: str) -> set[str]:
    """Return the other cells that have tasks of a job, see `has_tasks_in`."""
    return {progress.cell, *_other_places(progress)} - {cell, ""}


def _other_places(progress: Progress) -> set[str]:
    in_doubt = (doubt.cell for doubt in progress.doubts.values())
    return {*progress.moved_to.values(), *in_doubt}


def decode_progress_row(row: Row) -> Progress | None:
    """Decode a progress row; log and return None when it is invalid."""
    try:
        return None if row.value is None else decode_progress(row.value)
    except DECODE_ERRORS as exc:
        log(Event.ROW_SKIPPED, table=row.table, key=row.key, why=reason(exc))
        return None


def decode_job_row(row: Row) -> Job | None:
    """Decode a job row; log and return None when it is invalid."""
    try:
        job = None if row.value is None else decode_job(row.value)
        if job is not None and job.id != row.key:
            raise ValueError("another job's row")
        return job
    except DECODE_ERRORS as exc:
        log(Event.ROW_SKIPPED, table=row.table, key=row.key, why=reason(exc))
        return None


def _decode_jobs(rows: Iterable[Row]) -> Iterator[Job]:
    for row in rows:
        job = decode_job_row(row)
        if job is not None:
            yield job
