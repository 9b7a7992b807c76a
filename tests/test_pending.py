"""The count of waiting jobs at each entry, in virtual time."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

from curranthall.cells.records import PROGRESS_TABLE, part_of
from curranthall.dag import Job, Step
from curranthall.errors import PlatformDown
from curranthall.intake import Verdict
from curranthall.model import Size
from curranthall.store import Listing
from tests.cluster import Cluster, Entry, now
from tests.test_cells import make_job
from tests.virtual import run

Shown = TypeVar("Shown")

COUNT = 6
# The platform counts a job that waits from this long after it was accepted.
PENDING_S = 5.0
# An entry is in touch from this long after its start.
TOUCH_S = 4.0
SAMPLE_S = 0.05


def too_large() -> Step:
    """Build a step whose task fits no worker."""
    return Step(1, Size(100, 1_000), 1_000)


async def count(entry: Entry) -> int:
    """Return the count of waiting jobs that an entry shows."""
    return await entry.intake.count_pending("q")


def idle_entry(cluster: Cluster) -> str:
    """Return the last entry that holds no cell."""
    alive = [entry for entry in cluster.entries.values() if not entry.dead]
    return [entry.name for entry in alive if not entry.succession.held][-1]


async def shown_for(seconds: float, entries: Iterable[Entry]) -> set[int]:
    """Return the counts that live entries show over some time."""
    until, watched, shown = now() + seconds, list(entries), set[int]()
    while now() < until:
        await asyncio.sleep(SAMPLE_S)
        shown |= {await count(entry) for entry in watched if not entry.dead}
    return shown


def play(scene: Callable[[Cluster], Coroutine[Any, Any, Shown]]) -> Shown:
    """Run a scene in a new cluster and return its result."""

    async def main() -> Shown:
        cluster = Cluster()
        cluster.start()
        shown = await scene(cluster)
        cluster.close()
        return shown

    return run(main())


class Pending(unittest.TestCase):
    async def submit(self, cluster: Cluster, entry: str, step: Step) -> list[Job]:
        """Submit the jobs at an entry; expect that they are accepted."""
        jobs = [make_job(number, step) for number in range(1, COUNT + 1)]
        for job in jobs:
            self.assertIs(await cluster.submit(entry, job), Verdict.ACCEPTED)
        return jobs


class OwnerRowsAway(Pending):
    """An entry reaches the store except for the part with the owner rows."""

    def test_jobs_stored_since_the_last_read_are_counted(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            await asyncio.sleep(3)
            name = idle_entry(cluster)
            cluster.cell_rows_down = {name}
            await self.submit(cluster, "a-e0", too_large())
            await asyncio.sleep(PENDING_S)
            self.assertEqual(await count(cluster.entries["a-e0"]), COUNT)
            return await shown_for(3.0, [cluster.entries[name]])

        self.assertEqual(play(scene), {COUNT})

    def test_an_entry_that_never_read_them_counts_jobs(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            await asyncio.sleep(3)
            await self.submit(cluster, "a-e0", too_large())
            name = idle_entry(cluster)
            cluster.kill(name)
            cluster.cell_rows_down = {name}
            cluster.restart(name)
            await asyncio.sleep(max(PENDING_S, TOUCH_S))
            self.assertEqual(await count(cluster.entries["a-e0"]), COUNT)
            return await shown_for(3.0, [cluster.entries[name]])

        self.assertEqual(play(scene), {COUNT})


class Moves(Pending):
    """Waiting jobs move to a cell whose holder counts them, but has not renewed its row yet."""

    async def move(self, cluster: Cluster) -> None:
        """Let jobs that have waited for long move from cell a to cell b, where none starts.

        The feed is late from then on, so that cell b's count follows later than its holder.
        """
        await asyncio.sleep(3)
        cluster.evacuated = frozenset("abc")
        await asyncio.sleep(1)
        jobs = await self.submit(cluster, "a-e0", Step(1, Size(1, 1_000), 1_000))
        await asyncio.sleep(PENDING_S)
        self.assertEqual(self.cells(cluster, jobs), {"a"})
        for name in cluster.runners:
            cluster.withhold("start", name)
        feed = cluster.store.feed

        async def late(table: str, after: int, wait_ms: int) -> Listing:
            page = await feed(table, after, wait_ms)
            await asyncio.sleep(1.0)
            return page

        cluster.store.feed = late  # type: ignore[method-assign]
        cluster.evacuated = frozenset("ac")
        while self.cells(cluster, jobs) != {"b"}:
            await asyncio.sleep(0.01)

    def cells(self, cluster: Cluster, jobs: list[Job]) -> set[str]:
        """Return the cells to which the jobs' rows belong."""
        rows = [cluster.find_progress(job.id) for job in jobs]
        return {row.cell for row in rows if row is not None}

    def test_they_are_counted_by_every_entry_at_any_time(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            await self.move(cluster)
            shown = await shown_for(4.0, cluster.entries.values())
            self.assertEqual(cluster.judge.starts, 0)
            return shown

        self.assertEqual(play(scene), {COUNT})

    def test_they_are_counted_after_a_release_before_the_other_cell_counts_them(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            await self.move(cluster)
            former, other = cluster.holder("a"), cluster.holder("b")
            assert former is not None and other is not None
            cluster.kill(other)
            await asyncio.sleep(0.15)
            await cluster.entries[former].succession.held["a"].release()
            return await shown_for(6.0, cluster.entries.values())

        self.assertEqual(play(scene), {COUNT})


class NewHolder(Pending):
    """A cell's new holder wrote its first row, but has not read the cell's jobs yet."""

    async def take_vacant(self, cluster: Cluster) -> str:
        """Let the jobs be stored for a vacant cell; return its new holder once it took the cell."""
        await asyncio.sleep(3)
        former = cluster.holder("a")
        assert former is not None
        workers = [name for name in cluster.runners if name[0] == "a"]
        cluster.cuts = {frozenset((e, w)) for e in cluster.entries for w in workers}
        cluster.kill(former)
        cluster.evacuated = frozenset("bc")
        await self.submit(cluster, idle_entry(cluster), too_large())
        await asyncio.sleep(PENDING_S)
        cluster.cuts, until = set(), now() + 10
        while (holder := cluster.holder("a")) is None and now() < until:
            await asyncio.sleep(0.001)
        assert holder is not None
        self.assertFalse(cluster.entries[holder].succession.held["a"].loaded)
        return holder

    def test_it_counts_jobs_stored_while_the_cell_was_vacant(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            holder = await self.take_vacant(cluster)
            shown = {await count(cluster.entries[holder])}
            return shown

        self.assertEqual(play(scene), {COUNT})

    def test_other_entries_count_them_if_it_is_lost_then(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            cluster.kill(await self.take_vacant(cluster))
            return await shown_for(2.0, cluster.entries.values())

        self.assertEqual(play(scene), {COUNT})

    def test_they_are_counted_once_until_its_own_count_shows(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            holder = await self.take_vacant(cluster)
            shown = await shown_for(5.0, cluster.entries.values())
            self.assertTrue(cluster.entries[holder].succession.held["a"].loaded)
            return shown

        self.assertEqual(play(scene), {COUNT})


class PartAway(Pending):
    """A holder renews and follows the feed while it can't read one part of the rows."""

    def test_jobs_of_a_part_that_is_being_read_are_not_taken_for_counted(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            await asyncio.sleep(4)
            holder = cluster.holder("a")
            assert holder is not None
            cluster.evacuated = frozenset("bc")
            await asyncio.sleep(1)
            # The holder knows the jobs only from the feed, and their rows can't be read.
            cluster.cuts = {frozenset(("b-e0", holder))}
            cluster.parts_away = {(holder, part_of(make_job(1, too_large()).id))}
            for number in range(1, 8 * COUNT, 8):
                verdict = await cluster.submit("b-e0", make_job(number, too_large()))
                self.assertIs(verdict, Verdict.ACCEPTED)
            await asyncio.sleep(PENDING_S)
            return await shown_for(6.0, cluster.entries.values())

        self.assertEqual(play(scene), {COUNT})


class Reads(Pending):
    """What a count reads from the store."""

    def note_reads(self, cluster: Cluster) -> list[int]:
        """Return a list to which the version of each read of the feed without waiting is added."""
        feed, versions = cluster.store.feed, list[int]()

        async def noted(table: str, after: int, wait_ms: int) -> Listing:
            if not wait_ms:
                versions.append(after)
            return await feed(table, after, wait_ms)

        cluster.store.feed = noted  # type: ignore[method-assign]
        return versions

    async def lose_holder(self, cluster: Cluster) -> None:
        """Let the jobs be stored for a cell that is vacant for good."""
        await asyncio.sleep(3)
        former = cluster.holder("a")
        assert former is not None
        cluster.cuts = {frozenset((e, w)) for e in cluster.entries for w in cluster.runners}
        cluster.evacuated = frozenset("bc")
        cluster.kill(former)
        await self.submit(cluster, idle_entry(cluster), too_large())

    def test_a_count_reads_nothing_while_all_cells_are_held(self) -> None:
        async def scene(cluster: Cluster) -> list[int]:
            await asyncio.sleep(5)
            versions = self.note_reads(cluster)
            await self.submit(cluster, "a-e0", too_large())
            await shown_for(20.0, cluster.entries.values())
            return versions

        self.assertEqual(play(scene), [])

    def test_a_count_beside_a_vacant_cell_reads_only_new_changes(self) -> None:
        async def scene(cluster: Cluster) -> list[int]:
            await self.lose_holder(cluster)
            await asyncio.sleep(PENDING_S)
            versions = self.note_reads(cluster)
            entry = cluster.entries[idle_entry(cluster)]
            for _ in range(20):
                self.assertEqual(await count(entry), COUNT)
                await asyncio.sleep(0.1)
            return versions

        versions = play(scene)
        self.assertIn(len(versions), range(1, 6))
        self.assertEqual(versions, sorted(versions))

    def test_jobs_are_counted_though_the_store_has_dropped_their_changes(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            await self.lose_holder(cluster)
            await asyncio.sleep(PENDING_S)
            cluster.store.drop_history()
            return await shown_for(3.0, cluster.entries.values())

        self.assertEqual(play(scene), {COUNT})

    def test_jobs_that_holders_know_are_counted_while_the_feed_fails(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            await asyncio.sleep(3)

            async def fail(table: str, after: int, wait_ms: int) -> Listing:
                raise PlatformDown(why="no feed")

            cluster.store.feed = fail  # type: ignore[method-assign]
            await self.submit(cluster, "a-e0", too_large())
            await asyncio.sleep(PENDING_S)
            return await shown_for(5.0, cluster.entries.values())

        self.assertEqual(play(scene), {COUNT})

    def test_a_slow_read_of_all_rows_is_finished(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            await self.lose_holder(cluster)
            cluster.store.drop_history()
            scan = cluster.store.scan

            async def slow(table: str, part: str, start: str = "", end: str = "") -> Listing:
                await asyncio.sleep(0.1 if table == PROGRESS_TABLE else 0.0)
                return await scan(table, part, start, end)

            cluster.store.scan = slow  # type: ignore[method-assign]
            await asyncio.sleep(PENDING_S)
            await shown_for(1.0, cluster.entries.values())
            return await shown_for(3.0, cluster.entries.values())

        self.assertEqual(play(scene), {COUNT})

    def test_counts_share_a_slow_read(self) -> None:
        async def scene(cluster: Cluster) -> list[float]:
            await self.lose_holder(cluster)
            await asyncio.sleep(PENDING_S)
            feed, entry = cluster.store.feed, cluster.entries[idle_entry(cluster)]

            async def slow(table: str, after: int, wait_ms: int) -> Listing:
                await asyncio.sleep(0.8)
                return await feed(table, after, wait_ms)

            cluster.store.feed = slow  # type: ignore[method-assign]

            async def ask(at_s: float) -> float:
                await asyncio.sleep(at_s)
                asked_at = now()
                await count(entry)
                return now() - asked_at

            waits = await asyncio.gather(*(ask(number / 10) for number in range(20)))
            shown = await count(entry)
            self.assertEqual(shown, COUNT)
            return waits

        self.assertLess(max(play(scene)), 0.7)

    def test_jobs_with_due_times_are_not_added(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            await self.lose_holder(cluster)
            timed = make_job(100, too_large())._replace(first_due_ms=int(now() + 60) * 1000)
            self.assertIs(await cluster.submit("b-e0", timed), Verdict.ACCEPTED)
            await asyncio.sleep(PENDING_S)
            return await shown_for(2.0, cluster.entries.values())

        self.assertEqual(play(scene), {COUNT})

    def test_the_last_count_is_shown_while_the_store_is_down(self) -> None:
        async def scene(cluster: Cluster) -> set[int]:
            await self.lose_holder(cluster)
            await asyncio.sleep(PENDING_S)
            await shown_for(1.0, cluster.entries.values())
            cluster.store_down = True
            return await shown_for(5.0, cluster.entries.values())

        self.assertEqual(play(scene), {COUNT})


if __name__ == "__main__":
    unittest.main()
