"""The product's own job operations on the table."""

import itertools
import unittest
from time import monotonic
from typing import Any
from unittest.mock import Mock

from result import Result

from curranthall.block import BLOCK_PREFIX, BLOCK_TASKS, as_block, queue_key
from curranthall.errors import AnswerLost, Conflict, PlatformDown, UnknownName
from curranthall.jobs import Jobs, JobSpec
from curranthall.model import Commit, Row, Scan
from curranthall.standin.table import TableCore

SPEC = JobSpec("acme", "order", "engraving", BLOCK_TASKS + 1, 600.0)
JOB = "acme.order"
BLOCK = queue_key(JOB, BLOCK_TASKS)


class Table:
    """A platform whose commits can be kept back, to take effect later without an answer."""

    def __init__(self) -> None:
        self.core = TableCore(monotonic)
        self.kept: list[Commit] | None = None

    async def commit(self, commit: Commit) -> Result[int, Conflict]:
        """Apply a transaction, or keep it back."""
        if self.kept is None:
            return self.core.commit(commit)
        self.kept.append(commit)
        raise AnswerLost() if len(self.kept) == 1 else PlatformDown()

    async def scan(self, since: int, prefixes: list[str]) -> Scan:
        """List rows."""
        return self.core.scan(since, prefixes)


class Cancelling(unittest.IsolatedAsyncioTestCase):
    """A cancel is confirmed only if no task can start any more."""

    def setUp(self) -> None:
        self.table = Table()
        self.domains: dict[str, Row] = {"a": {}}
        numbers = itertools.count()
        config = Mock(rows=lambda kind: self.domains)
        platform: Any = self.table
        self.jobs = Jobs(platform, config, lambda: 1_000.0, lambda: f"t{next(numbers)}")

    def claim(self, domain: str) -> str:
        """Move the second block to a domain, as an entry that claims it does; return its key."""
        block = as_block(self.table.core.rows[BLOCK].value or {})
        key = f"{BLOCK_PREFIX}{domain}/{JOB}/{BLOCK_TASKS}"
        self.table.core.commit(Commit("claim", {}, {BLOCK: None, key: {**block}}))
        return key

    async def test_a_block_in_a_domain_that_is_not_known_yet_is_not_left_out(self) -> None:
        """A job was confirmed as cancelled while its block in a domain just added ran on."""
        await self.jobs.submit(SPEC)
        key = self.claim("new")
        with self.assertRaises(Conflict):
            await self.jobs.cancel(JOB)
        self.domains["new"] = {}
        await self.jobs.cancel(JOB)
        self.assertEqual((self.table.core.rows[key].value or {})["cancel"], [[0, 50_000]])

    async def test_a_job_that_may_still_be_stored_is_not_confirmed_as_cancelled(self) -> None:
        """The caller is told that there is no such job, as a submission may take effect late."""
        self.table.kept = []
        with self.assertRaises(PlatformDown):
            await self.jobs.submit(SPEC)
        late, self.table.kept = self.table.kept[0], None
        with self.assertRaises(UnknownName):
            await self.jobs.cancel(JOB)
        self.table.core.commit(late)
        await self.jobs.cancel(JOB)
        status = await self.jobs.status(JOB)
        self.assertEqual((status["finished"], status["counts"]["open"]), (True, 0))


if __name__ == "__main__":
    unittest.main()
