"""Disable one guard per test; the invariant that it protects must then be violated."""

import unittest
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from curranthall.config import Config
from curranthall.lease import LeaseKeeper
from curranthall.model import Task
from curranthall.release import BlockReleaser
from curranthall.request import Endpoints
from curranthall.standin.engine import WorkerEngine
from curranthall.takeover import Takeover
from tests.matrix import Case, Fault, play
from tests.scenario import Player, Script, Step
from tests.virtual import run

SEED = 1


def make_script(*steps: Step, workers: int = 2) -> Script:
    return Script(2, 2, workers, list(steps))


def play_script(steps: Script, seed: int = SEED) -> list[str]:
    async def main() -> list[str]:
        return await Player(steps, seed).play()

    problems: list[str] = run(main())
    return problems


CUT_OUT = make_script(
    Step(3, "submit", ("j1", "engrave", "80")),
    Step(5, "cut", ("d1", "d2")),
    Step(5, "cut", ("d1", "platform")),
    Step(5.5, "take_out", ("d1",)),
    Step(30, "no_starts", ("d1", "8.5")),
)
PEERS_CUT = make_script(
    *[Step(0, "submit", (f"w{n}", "monogram", "5")) for n in range(6)],
    Step(5, "cut", ("d1e1", "d1e2")),
    Step(20, "heal", ()),
    Step(40, "heal", ()),
    workers=3,
)
SLOW = make_script(
    Step(0, "slow", ("0.9", "60")),
    *[Step(1 + 0.7 * n, "submit", (f"j{n}", "engrave", "30")) for n in range(6)],
    Step(100, "heal", ()),
)
WORKER_CUT = make_script(
    Step(0, "submit", ("w1", "monogram", "8")),
    Step(5, "cut", ("d1w1", "d1e1")),
    Step(5, "cut", ("d1w1", "d1e2")),
    Step(30, "heal", ()),
    Step(40, "heal", ()),
)


class Guards(unittest.TestCase):
    def assert_guards(
        self,
        target: Any,
        name: str,
        disabled: Callable[..., Any],
        steps: Script,
        expected: str,
        seed: int = SEED,
    ) -> None:
        self.assertEqual(play_script(steps, seed), [])
        with patch.object(target, name, disabled):
            problems = play_script(steps, seed)
        self.assertTrue(any(expected in text for text in problems), problems)

    def test_no_starts_after_the_permit_expires(self) -> None:
        self.assertEqual(play_script(CUT_OUT), [])
        unlimited = property(lambda self: self._clock() + 1e9)
        with patch.object(Config, "permit_until", unlimited):
            problems = play_script(CUT_OUT)
        self.assertTrue(any("after it was out" in text for text in problems), problems)

    def test_restart_waits_for_the_lapse(self) -> None:
        def expire_early(self: Any, held: Any, wanted: bool) -> Any:
            # Expires the lease too early, as if a failed renewal proved that its tasks had ended.
            lease = held.lease
            if lease is not None and self._clock() > lease.lapsed_at - 7.0:
                lease.lapsed_at = self._clock()
            return original(self, held, wanted)

        original = LeaseKeeper._advance
        self.assert_guards(LeaseKeeper, "_advance", expire_early, WORKER_CUT, "runs on")

    def test_worker_stops_tasks_of_a_lapsed_lease(self) -> None:
        def keep_running(self: WorkerEngine) -> None:
            if self._lease_end and self._clock() >= self._lease_end:
                self._lease_end, self._released = 0.0, True

        self.assert_guards(WorkerEngine, "expire_lease", keep_running, WORKER_CUT, "runs on")

    def test_released_tasks_do_not_start(self) -> None:
        def always_false(self: BlockReleaser, key: str, task: Task) -> bool:
            return False

        self.assert_guards(
            BlockReleaser, "is_being_released", always_false, SLOW, "started twice", seed=2
        )

    def test_copy_of_a_request_is_refused(self) -> None:
        case = Case((Fault("mesh.forward", "message-twice", "-"),), 2)
        with patch.object(Endpoints, "_check_duplicate", lambda self, req: None):
            problems = run(play(case))[0]
        self.assertTrue(any("ran 2 times" in text for text in problems), problems)

    def test_late_start_is_refused(self) -> None:
        late = Case((Fault("task.start", "message-late", "-"),), 1)
        self.assertEqual(run(play(late))[0], [])

    def test_takeover_waits_for_the_survey(self) -> None:
        def skip_survey(self: Takeover, key: str, found: Any, missing: Any) -> None:
            self._adopting.pop(key)
            self._ledger.trusted.add(key)

        self.assert_guards(Takeover, "_finish_recovery", skip_survey, PEERS_CUT, "started twice")
