"""Cancels of jobs whose creation may still be under way: what was acknowledged holds."""

import unittest
from collections.abc import Coroutine
from time import monotonic
from typing import Any
from unittest.mock import AsyncMock, Mock, patch

from curranthall.cells.records import PROGRESS_TABLE, part_of
from curranthall.errors import Unknown
from curranthall.http import Request
from curranthall.intake import Intake, Verdict
from curranthall.intake.intake import Answer
from curranthall.platform.front import Frontend
from curranthall.standin.store import MemoryStore
from curranthall.store import Put
from tests import cancel_plays, store_orders
from tests.store_orders import JOB, WAIT_S, Choose, Op

# Calls of a consumer: a submission, one that is refused if it can be, and a cancel.
SUBMIT, SUBMIT_LATE, CANCEL = "submit", "submit late", "cancel"


class Play(store_orders.Play):
    """Submissions and cancels of one job that overlap in any way."""

    def __init__(self, kinds: tuple[str, ...], choose: Choose) -> None:
        super().__init__(len(kinds), choose)
        self.kinds = kinds
        self.answers: dict[int, object] = {}
        self.is_cancelled = False

    def call(self, intake: Intake, number: int) -> Coroutine[Any, Any, object]:
        """Send a call of the kind that is next."""
        if self.kinds[number] == CANCEL:
            return intake.cancel(JOB.id, WAIT_S)
        delay_s = 5.0 if self.kinds[number] == SUBMIT_LATE else None
        intake._refusal_delay_s = lambda job: delay_s  # type: ignore[method-assign]
        return intake.submit(JOB, WAIT_S)

    def on_applied(self, op: Op, was_stored: bool) -> None:
        """Fail if a cancelled job is stored as one to be run."""
        progress = self.progress()
        if self.is_cancelled:
            assert progress is None or progress.phase.is_final, "a cancelled job was stored"

    def on_answers(self) -> None:
        """Check the answers that consumers see."""
        for number, call in enumerate(self.calls):
            if call.done() and number not in self.answers:
                self.answers[number] = call.result()
                self._check(self.kinds[number], call.result())

    def _check(self, kind: str, answer: object) -> None:
        if kind == CANCEL:
            self.is_cancelled = True
            assert answer is self.is_stored(), "the cancel was answered as something else"
        elif answer is Verdict.ACCEPTED:
            assert self.is_stored(), "an accepted job is not stored"
        else:
            assert not self.is_stored(), "a refused job is stored"


def explore(kinds: tuple[str, ...]) -> list[set[object]]:
    """Play all orders of events; return the answers of each."""

    async def main(choose: Choose) -> set[object]:
        play = Play(kinds, choose)
        await play.run()
        assert len(play.answers) == len(kinds), "a call was not answered"
        return set(play.answers.values())

    return store_orders.explore(main)


class Orders(unittest.TestCase):
    """A creation, its late write and a cancel at other entries, in every order."""

    def check(self, *calls: str) -> set[object]:
        """Play all orders of some calls; return the answers that were seen."""
        found = explore(calls)
        self.assertGreater(len(found), 40)
        return set().union(*found)

    def test_a_creation_that_takes_effect_late_does_not_revive_a_cancelled_job(self) -> None:
        """A cancel that found no row was answered 410, and the job was stored afterwards."""
        self.assertGreater(self.check(SUBMIT, CANCEL), {True, False, Verdict.ACCEPTED})

    def test_a_submission_after_the_cancel_does_not_revive_the_job(self) -> None:
        """An entry that got the submission again stored the job that was cancelled meanwhile."""
        self.assertGreater(self.check(CANCEL, SUBMIT), {True, False, Verdict.ACCEPTED})
        self.check(SUBMIT, CANCEL, SUBMIT)

    def test_cancels_that_are_sent_again(self) -> None:
        """The write of a cancel may take effect late itself, and twice."""
        self.check(SUBMIT, CANCEL, CANCEL)
        self.check(CANCEL, CANCEL, SUBMIT)

    def test_a_refusal_does_not_replace_a_cancel(self) -> None:
        """A refusal may be followed by a submission that is stored, a cancel may not."""
        self.check(SUBMIT_LATE, CANCEL)
        self.check(CANCEL, SUBMIT_LATE, SUBMIT)


class Answers(unittest.IsolatedAsyncioTestCase):
    """What callers are told."""

    async def test_a_submission_of_a_cancelled_job_gets_429_without_a_delay(self) -> None:
        """A 503 or a delay would invite the caller to come back, which is of no use."""
        daemon = Mock()
        daemon.intake.accept = AsyncMock(return_value=Answer(Verdict.CANCELLED))
        with patch("curranthall.platform.front.decode_job", return_value=JOB):
            daemon.operations.catalogue.find.return_value.prefix = "/q/"
            req = Request("POST", "/q/" + JOB.id, "", {"host": "h"}, b"")
            response = await Frontend(daemon).handle(req)
        self.assertEqual(response.status, 429)
        self.assertNotIn("Retry-After", dict(response.headers))

    async def test_a_row_that_cannot_be_read_is_no_missing_job(self) -> None:
        """The cancel of a job whose row another release wrote was answered 410."""
        store = MemoryStore(lambda: 0.0)
        store.apply(part_of(JOB.id), [], [Put(PROGRESS_TABLE, JOB.id, b"\xff")], [])
        intake = Intake(Mock(), store, Mock(), monotonic, frozenset, lambda job: None)
        with self.assertRaises(Unknown):
            await intake.cancel(JOB.id, WAIT_S)


class Plays(unittest.TestCase):
    """Random orders of submissions, cancels and faults on a cluster in virtual time."""

    def test_seeds_that_broke(self) -> None:
        """Tasks started, or the job was shown as waiting, after a cancel was answered 410."""
        for seed in cancel_plays.BROKEN_SEEDS:
            with self.subTest(seed):
                self.assertEqual(cancel_plays.play(seed).broken, [])

    def test_cancels_are_acknowledged(self) -> None:
        """Without faults all cancels are acknowledged at once."""
        result = cancel_plays.play(1, has_faults=False)
        self.assertEqual(result.broken, [])
        self.assertEqual(result.unacknowledged, 0)
        self.assertGreater(result.cancelled, 0)


if __name__ == "__main__":
    unittest.main()
