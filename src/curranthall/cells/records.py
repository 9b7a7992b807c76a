"""Rows of jobs: the immutable job, its progress, and the part both share."""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from curranthall.cells.owner import CELL_PART, DETAIL_TABLE, Details, decode_details
from curranthall.dag import Job, Progress
from curranthall.dag.model import decode_job
from curranthall.dag.progress import decode_progress
from curranthall.events import Event, log
from curranthall.store import ABSENT, Check, Committed, Put, Row, Stale, Store

JOB_TABLE = "jobs"
PROGRESS_TABLE = "progress"
# A part does its transactions one after another: a store that takes 0.3 s for each (60 times the
# usual, from its pages' example) does 26 a second in eight parts.
PARTS = tuple("01234567")


class StoredJob(NamedTuple):
    """A job and its progress as read."""

    job: Job
    progress: Progress
    version: int

    def encode(self) -> list[Any]:
        """Write for a peer."""
        return [self.job.encode(), self.progress.encode(), self.version]


def decode_stored_job(value: list[Any]) -> StoredJob:
    """Read what a peer sent; raise ValueError."""
    job, progress, version = value
    return StoredJob(decode_job(job), decode_progress(progress), int(version))


def part_of(job_id: str) -> str:
    """Name the part of a job's rows: a caller's id alone decides, so no id is stored twice."""
    return PARTS[int(job_id[-1], 16) % len(PARTS)]


async def create_job(store: Store, job: Job, progress: Progress) -> Committed | Stale:
    """Write both rows of a job that is not there yet."""
    return await store.commit(
        part_of(job.id),
        [Check(PROGRESS_TABLE, job.id, ABSENT)],
        [
            Put(JOB_TABLE, job.id, job.encode()),
            Put(PROGRESS_TABLE, job.id, progress.encode()),
        ],
        [],
    )


async def read_progress(store: Store, job_id: str) -> tuple[Progress, int] | None:
    """Read a job's progress and its version; None when there is no such job."""
    listing = await store.scan(PROGRESS_TABLE, part_of(job_id), job_id, job_id + "\0")
    for row in listing.rows:
        progress = progress_of(row)
        if progress is not None:
            return progress, row.version
    return None


async def read_job(store: Store, job_id: str) -> StoredJob | None:
    """Read a job whole; None when there is no such job."""
    found = await read_progress(store, job_id)
    if found is None:
        return None
    listing = await store.scan(JOB_TABLE, part_of(job_id), job_id, job_id + "\0")
    for row in listing.rows:
        job = job_of(row)
        if job is not None:
            return StoredJob(job, *found)
    return None


async def read_all(
    store: Store, cell: str, known: frozenset[str]
) -> tuple[list[StoredJob], dict[str, int]]:
    """Read a cell's unfinished jobs and the known ones, and the version read of each part."""
    found: list[StoredJob] = []
    versions: dict[str, int] = {}
    for part in PARTS:
        listing = await store.scan(PROGRESS_TABLE, part)
        versions[part] = listing.version
        rows = {row.key: (progress_of(row), row.version) for row in listing.rows}
        wanted = {
            key: (progress, version)
            for key, (progress, version) in rows.items()
            if progress is not None
            and (key in known or (has_tasks_in(progress, cell) and not progress.phase.final))
        }
        if wanted:
            jobs = await store.scan(JOB_TABLE, part, min(wanted), max(wanted) + "\0")
            for job in _jobs(jobs.rows):
                if job.id in wanted:
                    found.append(StoredJob(job, *wanted[job.id]))
    return found, versions


async def read_details(store: Store, cell: str) -> Details:
    """Read what a cell's holders left for the next one; nothing when none has written yet."""
    listing = await store.scan(DETAIL_TABLE, CELL_PART, cell, cell + "\0")
    for row in listing.rows:
        if row.value is not None:
            return decode_details(row.value)
    return Details([])


def has_tasks_in(progress: Progress, cell: str) -> bool:
    """Tell whether a cell runs tasks of a job."""
    return progress.cell == cell or cell in progress.elsewhere.values()


def other_cells(progress: Progress, cell: str) -> set[str]:
    """Name the other cells with tasks of a job."""
    return {progress.cell, *progress.elsewhere.values()} - {cell}


def progress_of(row: Row) -> Progress | None:
    """Decode a progress row; skip one that can't be read."""
    try:
        return None if row.value is None else decode_progress(row.value)
    except (ValueError, KeyError, TypeError, EOFError) as exc:
        log(Event.ROW_SKIPPED, table=row.table, key=row.key, why=repr(exc))
        return None


def job_of(row: Row) -> Job | None:
    """Decode a job's row; skip one that can't be read."""
    try:
        return None if row.value is None else decode_job(row.value)
    except (ValueError, KeyError, TypeError, EOFError) as exc:
        log(Event.ROW_SKIPPED, table=row.table, key=row.key, why=repr(exc))
        return None


def _jobs(rows: Iterable[Row]) -> Iterator[Job]:
    for row in rows:
        job = job_of(row)
        if job is not None:
            yield job
