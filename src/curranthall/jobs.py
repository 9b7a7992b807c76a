"""Job operations: submit once per key, status, cancel by ranges, close, resume held tasks."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

from curranthall.block import (
    BLOCK_PREFIX,
    BLOCK_TASKS,
    DONE_PREFIX,
    HELD,
    QUEUE_PREFIX,
    as_block,
    attempt_of,
    copy_of,
    count_by_state,
    done_key,
    end_waiting_tasks,
    is_finished,
    job_id,
    job_key,
    new_block,
    queue_key,
)
from curranthall.config import Config
from curranthall.errors import BadDeadline, BadInput, Conflict, UnknownName
from curranthall.events import Event, log
from curranthall.model import BlockRow, Change, Commit, Row
from curranthall.table import Platform, commit_and_resolve

MAX_TASKS = 50_000
MAX_DEADLINE_S = 400 * 86_400
CHANGE_TRIES = 8
NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")

BlockChange = Callable[[BlockRow], BlockRow]


class JobSpec(NamedTuple):
    """A job as submitted; `deadline_s` counts from the submission."""

    customer: str
    key: str
    cls: str
    tasks: int
    deadline_s: float
    seconds: float | None = None


def parse_job_spec(customer: str, value: dict[str, Any]) -> JobSpec:
    """Parse a submission; raise BadInput or BadDeadline."""
    key, tasks = value.get("key"), value.get("tasks")
    if not isinstance(key, str) or not NAME.fullmatch(key):
        raise BadInput(field="key", found=key, allowed=NAME.pattern)
    if not isinstance(tasks, int) or isinstance(tasks, bool) or not 1 <= tasks <= MAX_TASKS:
        raise BadInput(field="tasks", found=tasks, allowed=f"1 to {MAX_TASKS}")
    deadline = value.get("deadline_s")
    if not isinstance(deadline, int | float) or not 0 < deadline <= MAX_DEADLINE_S:
        raise BadDeadline(found=deadline, allowed=f"0 to {MAX_DEADLINE_S} s")
    seconds = value.get("seconds")
    if seconds is not None and (not isinstance(seconds, int | float) or not 0 < seconds < 1e7):
        raise BadInput(field="seconds", found=seconds, allowed="0 to 1e7")
    unknown = sorted(set(value) - {"key", "class", "tasks", "deadline_s", "seconds"})
    if unknown:
        raise BadInput(field=unknown[0], found="unknown field")
    return JobSpec(customer, key, str(value.get("class")), tasks, float(deadline), seconds)


class Jobs:
    """Submit and control jobs; each call returns after its commit."""

    def __init__(
        self,
        platform: Platform,
        config: Config,
        wall_clock: Callable[[], float],
        new_txn: Callable[[], str],
    ) -> None:
        self._platform = platform
        self._config = config
        self._wall_clock = wall_clock
        self._new_txn = new_txn

    async def submit(self, spec: JobSpec) -> dict[str, Any]:
        """Accept a job; submitting the same key again returns the same job."""
        self._config.row("customer", spec.customer)
        self._config.row("class", spec.cls)
        job = job_id(spec.customer, spec.key)
        deadline = self._wall_clock() + spec.deadline_s
        writes: dict[str, Row | None] = {
            job_key(job): {**spec._asdict(), "deadline": deadline, "job": job}
        }
        for first in range(0, spec.tasks, BLOCK_TASKS):
            count = min(BLOCK_TASKS, spec.tasks - first)
            row = new_block(job, spec.customer, spec.cls, first, count, deadline)
            if spec.seconds is not None:
                row["seconds"] = spec.seconds
            writes[queue_key(job, first)] = row
        commit = Commit(self._new_txn(), {job_key(job): 0}, writes)
        result = await commit_and_resolve(self._platform, commit)
        if result.is_err():
            return await self._find_existing(job, spec)
        log(Event.JOB_ACCEPTED, job=job, tasks=spec.tasks)
        return {"job": job, "tasks": spec.tasks, "repeated": False}

    async def _find_existing(self, job: str, spec: JobSpec) -> dict[str, Any]:
        scan = await self._platform.scan(0, [job_key(job)])
        rows = [change.value for change in scan.changes if change.key == job_key(job)]
        if not rows or rows[0] is None:
            raise Conflict(job=job)
        same = all(rows[0][field] == value for field, value in spec._asdict().items())
        if not same:
            raise Conflict(job=job, why="the key names another job")
        return {"job": job, "tasks": rows[0]["tasks"], "repeated": True}

    async def status(self, job: str) -> dict[str, Any]:
        """Return the status of a job, with its tasks counted by state."""
        row, blocks = await self._read(job)
        counts = count_by_state(as_block(change.value) for change in blocks if change.value)
        held = [
            index
            for change in blocks
            if change.value
            for index, end in change.value["ended"].items()
            if end.startswith(HELD)
        ]
        finished = not counts["open"] and not counts["held"]
        domains = sorted({change.key.split("/")[1] for change in blocks if _is_claimed(change)})
        return {
            "job": job,
            "class": row["cls"],
            "tasks": row["tasks"],
            "deadline": row["deadline"],
            "finished": finished,
            "counts": counts,
            "held": held,
            "domains": domains,
            "blocks_waiting": sum(change.key.startswith(QUEUE_PREFIX) for change in blocks),
        }

    async def cancel(self, job: str, low: int = 0, high: int | None = None) -> dict[str, Any]:
        """Cancel a job, or its tasks from `low` up to, not including, `high`."""
        limit = MAX_TASKS if high is None else high

        def change(row: BlockRow) -> BlockRow:
            new = copy_of(row)
            new["cancel"] = [*row["cancel"], [low, limit]]
            for index, end in row["ended"].items():
                if end.startswith(HELD) and low <= int(index) < limit:
                    new["ended"][index] = "cancelled"
            return new

        await self._change_blocks(job, change)
        log(Event.JOB_CANCELLED, job=job, low=low, high=limit)
        return {"job": job, "cancelled": [low, limit]}

    async def close(self, job: str) -> dict[str, Any]:
        """Close a watcher job; its tasks end as done."""

        def change(row: BlockRow) -> BlockRow:
            new = copy_of(row)
            new["closed"] = True
            return new

        await self._change_blocks(job, change)
        return {"job": job, "closed": True}

    async def resume(self, job: str) -> dict[str, Any]:
        """Let held tasks run again, as an operator decided."""

        def change(row: BlockRow) -> BlockRow:
            new = copy_of(row)
            for index, end in row["ended"].items():
                if end.startswith(HELD):
                    del new["ended"][index]
                    new["attempts"][index] = attempt_of(row, int(index)) + 1
            return new

        await self._change_blocks(job, change)
        return {"job": job, "resumed": True}

    async def _read(self, job: str) -> tuple[Row, list[Change]]:
        domains = [f"{BLOCK_PREFIX}{name}/{job}/" for name in self._config.rows("domain")]
        prefixes = [job_key(job), f"{QUEUE_PREFIX}{job}/", f"{DONE_PREFIX}{job}/", *domains]
        scan = await self._platform.scan(0, prefixes)
        live = [change for change in scan.changes if change.value is not None]
        rows = [change.value for change in live if change.key == job_key(job)]
        if not rows or rows[0] is None:
            raise UnknownName(kind="job", name=job)
        return rows[0], [change for change in live if not change.key.startswith("job/")]

    async def _change_blocks(self, job: str, change: BlockChange) -> None:
        for _ in range(CHANGE_TRIES):
            row, blocks = await self._read(job)
            if sum(block.value["count"] for block in blocks if block.value) < row["tasks"]:
                why = "a block is in a domain that this entry doesn't know yet; try again"
                raise Conflict(job=job, why=why)
            writes: dict[str, Row | None] = {}
            checks = {}
            for block in blocks:
                if block.value is not None and not block.key.startswith(DONE_PREFIX):
                    checks[block.key] = block.version
                    writes |= _block_writes(block.key, change(as_block(block.value)))
            if not writes:
                return
            commit = Commit(self._new_txn(), checks, writes)
            if (await commit_and_resolve(self._platform, commit)).is_ok():
                return
        raise Conflict(job=job, why="its blocks keep changing; try again")


def _is_claimed(change: Change) -> bool:
    return change.key.startswith(BLOCK_PREFIX)


def _block_writes(key: str, row: BlockRow) -> dict[str, Row | None]:
    if not key.startswith(QUEUE_PREFIX):
        return {key: row}
    # No entry holds a queued block, so its waiting tasks can end here.
    ended = end_waiting_tasks(row, set())
    if is_finished(ended):
        return {key: None, done_key(row["job"], row["first"]): ended}
    return {key: ended}
