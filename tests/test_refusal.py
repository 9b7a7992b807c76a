"""Refusals of jobs that would be too late: a refused job is stored by no earlier attempt."""

import asyncio
import itertools
import unittest
from collections.abc import Callable, Coroutine
from typing import Any
from unittest.mock import AsyncMock, Mock, patch

from curranthall.cells.options import Options
from curranthall.cells.owner import VACANT_S
from curranthall.cells.records import REFUSAL_TABLE, part_of
from curranthall.dag import Job, Phase, Step
from curranthall.errors import AnswerLost
from curranthall.http import Request
from curranthall.intake import Intake, Verdict
from curranthall.intake.intake import Answer
from curranthall.model import Size
from curranthall.platform.front import Frontend
from curranthall.store import Put
from tests import store_orders
from tests.cluster import SERVICE, Cluster, now
from tests.store_orders import JOB, WAIT_S, Choose, Op
from tests.virtual import run


class Play(store_orders.Play):
    """Attempts to submit a job, each at an entry that has read the rows just now, or never.

    The caller gives up an attempt before it begins the next one.
    """

    def __init__(self, is_late: tuple[bool, ...], is_fresh: bool, choose: Choose) -> None:
        super().__init__(len(is_late), choose)
        self.is_late, self.is_fresh = is_late, is_fresh
        self.refused_up_to = -1
        self.seen_answers: set[int] = set()
        self.verdicts: list[Verdict] = []

    def seen_version(self) -> int:
        """Return the newest version that the next entry has read."""
        return self.store.version if self.is_fresh else 0

    def call(self, intake: Intake, number: int) -> Coroutine[Any, Any, Verdict]:
        """Submit the job, at an entry that refuses it if it would be late."""
        delay_s = 5.0 if self.is_late[number] else None
        intake._refusal_delay_s = lambda job: delay_s  # type: ignore[method-assign]
        return intake.submit(JOB, WAIT_S)

    def on_applied(self, op: Op, was_stored: bool) -> None:
        """Fail if a transaction stored a job that it must not store."""
        if self.is_stored() and not was_stored:
            assert op.call > self.refused_up_to, "a refused job was stored"

    def on_answers(self) -> None:
        """Check the answer that the caller sees."""
        last = len(self.calls) - 1
        if last in self.seen_answers or not self.calls[last].done():
            return
        self.seen_answers.add(last)
        verdict = self.calls[last].result()
        self.verdicts.append(verdict)
        match verdict:
            case Verdict.TOO_LATE | Verdict.REFUSED:
                assert not self.is_stored(), "a refused job is stored"
                self.refused_up_to = last
            case Verdict.ACCEPTED:
                assert self.is_stored(), "an accepted job is not stored"


def explore(is_late: tuple[bool, ...], is_fresh: bool) -> list[list[Verdict]]:
    """Play all orders of events; return the answers that the caller saw in each."""

    async def main(choose: Choose) -> list[Verdict]:
        play = Play(is_late, is_fresh, choose)
        await play.run()
        return play.verdicts

    return store_orders.explore(main)


class Orders(unittest.TestCase):
    """A refusal, lost answers, late writes and retries with the same id, in every order."""

    def test_a_refused_job_is_stored_by_no_attempt_before_the_refusal(self) -> None:
        """An earlier creation without an answer could take effect after the caller got 429."""
        orders, seen = 0, set[Verdict]()
        for is_late in itertools.product((False, True), repeat=2):
            for is_fresh in (False, True):
                found = explore(is_late, is_fresh)
                orders += len(found)
                seen.update(itertools.chain(*found))
        self.assertGreater(orders, 100)
        self.assertEqual(seen, {Verdict.ACCEPTED, Verdict.TOO_LATE})

    def test_three_attempts(self) -> None:
        """A creation must not survive a refusal, a removal of its row and another refusal."""
        for is_late in ((False, True, False), (True, False, True)):
            with self.subTest(is_late):
                self.assertGreater(len(explore(is_late, is_fresh=True)), 100)


def make_job(number: int, width: int = 8, estimate_ms: int = 1_000) -> Job:
    """Build a job of tasks of two cores."""
    step = Step(width, Size(2, 1_000), estimate_ms)
    return Job(f"{number:016x}", "q", SERVICE, "spec", (step,), int(now() * 1000))


class Callers(unittest.IsolatedAsyncioTestCase):
    async def test_a_refused_caller_gets_429_and_the_delay(self) -> None:
        """A 503 would be retried at once, at another entry."""
        daemon = Mock()
        daemon.intake.accept = AsyncMock(return_value=Answer(Verdict.TOO_LATE, 7))
        with patch("curranthall.platform.front.decode_job", return_value=JOB):
            daemon.operations.catalogue.find.return_value.prefix = "/q/"
            req = Request("POST", "/q/" + JOB.id, "", {"host": "h"}, b"")
            response = await Frontend(daemon).handle(req)
        self.assertEqual(response.status, 429)
        self.assertEqual(dict(response.headers)["Retry-After"], "7")


class Entries(unittest.TestCase):
    """Entries of a cluster with work for a minute."""

    def play(self, scene: Callable[[Cluster], Any], options: Options, jobs: int = 60) -> None:
        """Run a scene in a cluster that has got jobs."""

        async def main() -> None:
            cluster = Cluster(1, options=options)
            cluster.start()
            await asyncio.sleep(4)
            self.stored: list[int] = []
            for number in range(1, jobs + 1):
                job = make_job(number, estimate_ms=4_000)
                cluster.work[job.id] = 4.0
                if await cluster.submit("a-e0", job) is Verdict.ACCEPTED:
                    self.stored.append(number)
            await asyncio.sleep(2)
            await scene(cluster)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])

        run(main())

    def test_a_job_without_prospects_is_refused_and_told_when_to_come_back(self) -> None:
        async def scene(cluster: Cluster) -> None:
            job = make_job(1_000, width=40)
            cluster.judge.jobs[job.id] = job
            answer = await cluster.entries["b-e0"].intake.accept(job, 2.0)
            self.assertIs(answer.verdict, Verdict.TOO_LATE)
            self.assertGreater(answer.retry_after_s, 1)
            self.assertIsNone(cluster.find_progress(job.id))
            self.assertIsNotNone(cluster.store.find(REFUSAL_TABLE, part_of(job.id), job.id))
            # Once the work is done, a retry is stored, and the refusal's row is gone.
            for _ in range(300):
                await asyncio.sleep(1)
                if all(
                    (row := cluster.find_progress(f"{n:016x}")) and row.phase is Phase.COMPLETED
                    for n in self.stored
                ):
                    break
            await asyncio.sleep(2)
            self.assertIs(await cluster.submit("c-e0", job), Verdict.ACCEPTED)
            self.assertIsNone(cluster.store.find(REFUSAL_TABLE, part_of(job.id), job.id))
            await asyncio.sleep(10)
            self.assertIs(await cluster.phase("a-e0", job.id), Phase.COMPLETED)

        self.play(scene, Options(early_refusal=True))

    def test_nothing_is_refused_with_the_option_off(self) -> None:
        async def scene(cluster: Cluster) -> None:
            job = make_job(1_000, width=40)
            self.assertIs(await cluster.submit("b-e0", job), Verdict.ACCEPTED)

        self.play(scene, Options(projected_load=True))

    def test_a_stored_job_is_accepted_again(self) -> None:
        async def scene(cluster: Cluster) -> None:
            for number in (self.stored[0], self.stored[-1]):
                again = make_job(number, width=40)
                verdict = await cluster.entries["b-e0"].intake.submit(again, 2.0)
                self.assertIs(verdict, Verdict.ACCEPTED)

        self.play(scene, Options(early_refusal=True))

    def test_nothing_is_refused_while_a_cell_is_not_known(self) -> None:
        """A cell whose holder is lost may have room for all."""

        async def scene(cluster: Cluster) -> None:
            holder = cluster.holder("a")
            assert holder is not None
            workers = [name for name in cluster.runners if name[0] == "a"]
            cluster.cuts = {frozenset((each, w)) for each in cluster.entries for w in workers}
            cluster.kill(holder)
            await asyncio.sleep(VACANT_S + 1)
            entry = next(name for name, each in cluster.entries.items() if not each.dead)
            self.assertIs(await cluster.submit(entry, make_job(1_000, 40)), Verdict.ACCEPTED)

        self.play(scene, Options(early_refusal=True))

    def test_a_refusal_that_is_not_confirmed_is_none(self) -> None:
        """The store is away: the job is submitted as usual, and answered as without the option."""

        async def scene(cluster: Cluster) -> None:
            cluster.store_down = True
            verdict = await cluster.submit("b-e0", make_job(1_000, 40))
            self.assertIn(verdict, (Verdict.REFUSED, Verdict.UNKNOWN))
            cluster.store_down = False
            cluster.lose_answers = 1.0
            verdict = await cluster.submit("b-e1", make_job(1_001, 40))
            self.assertIn(verdict, (Verdict.ACCEPTED, Verdict.UNKNOWN))

        self.play(scene, Options(early_refusal=True))

    def test_a_job_refused_through_a_peer_is_not_shown_as_queued(self) -> None:
        """The entry that relayed the submission must not show a job that nobody has."""

        async def scene(cluster: Cluster) -> None:
            intake, job = cluster.entries["b-e0"].intake, make_job(1_000)
            too_late = AsyncMock(return_value=Verdict.TOO_LATE.value)
            with (
                patch.object(intake, "_store", Mock(failing=True)),
                patch.object(intake, "_peers", Mock(call=too_late)),
            ):
                self.assertIs(await intake.submit(job, 2.5), Verdict.TOO_LATE)
            self.assertIsNone((await intake.phase(job.id)).phase)

        self.play(scene, Options(), jobs=0)

    def test_a_job_that_a_peer_may_have_stored_is_not_shown_as_queued(self) -> None:
        """An entry showed a job of which the peer's answer was not known, also after its cancel."""

        async def scene(cluster: Cluster) -> None:
            intake, job = cluster.entries["b-e0"].intake, make_job(1_000)
            for answer in (AsyncMock(return_value="unknown"), AsyncMock(side_effect=AnswerLost())):
                with (
                    patch.object(intake, "_store", Mock(failing=True)),
                    patch.object(intake, "_peers", Mock(call=answer)),
                ):
                    self.assertIs(await intake.submit(job, 2.5), Verdict.UNKNOWN)
                self.assertIsNone((await intake.phase(job.id)).phase)

        self.play(scene, Options(), jobs=0)

    def test_rows_that_cannot_be_told_apart_are_read(self) -> None:
        """An answer of the store that names no tables is no proof that the job exists."""

        async def scene(cluster: Cluster) -> None:
            job = make_job(1_000)
            puts = [Put(REFUSAL_TABLE, job.id, b"x")]
            cluster.store.apply(part_of(job.id), [], puts, [])
            await asyncio.sleep(2)
            self.assertIs(await cluster.submit("b-e0", job), Verdict.ACCEPTED)
            self.assertIsNotNone(cluster.find_progress(job.id))

        self.play(scene, Options(), jobs=0)


if __name__ == "__main__":
    unittest.main()
