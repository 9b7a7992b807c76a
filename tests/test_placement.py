"""Parts of placement: learned sizes, interference, failure attribution and the ladder."""

import unittest

from curranthall.blame import BACKOFF_S, QUARANTINE_S, Blame
from curranthall.ladder import ACTION_GAP_S, Evict, Ladder, Throttle, Unthrottle
from curranthall.learning import Interference, Usage
from curranthall.model import ZERO_SIZE, OutcomeKind, Report, Running, Size, Task
from curranthall.placement import Candidate, Placer, WaitingTask

BIG, SMALL = Size(8, 8, 0), Size(1, 1, 0)
T0, T1 = Task("j", 0, 0), Task("j", 1, 0)


def report(slowdown: float) -> Report:
    return Report(0.0, [("s", 1.0), ("loud", 1.0)], [("s", slowdown)])


class PlacementParts(unittest.TestCase):
    def test_sizes_grow_at_once_and_shrink_with_evidence(self) -> None:
        usage = Usage()
        self.assertEqual(usage.factor(), 1.0)
        usage.add(2.95)
        self.assertGreaterEqual(usage.factor(), 2.95)
        shrinking = Usage()
        shrinking.add(0.3)
        self.assertGreater(shrinking.factor(), 0.9)
        for _ in range(100):
            shrinking.add(0.3)
        self.assertLess(shrinking.factor(), 0.5)

    def test_interference_finds_the_class_that_slows_a_service(self) -> None:
        learned = Interference()
        for _ in range(60):
            learned.observe("s", ["loud", "calm"], 1.4)
            learned.observe("s", ["calm", "calm"], 1.0)
        self.assertGreater(learned.class_effect("s", "loud"), 0.3)
        self.assertLess(learned.class_effect("s", "calm"), 0.1)

    def test_blame_distinguishes_workers_from_classes(self) -> None:
        blame = Blame()
        for cls in ("a", "b"):
            blame.record_outcome("bad", cls, OutcomeKind.FAILED, 1.0)
        self.assertTrue(blame.is_quarantined("bad", 2.0))
        self.assertFalse(blame.is_quarantined("bad", 1.0 + QUARANTINE_S))
        for worker in ("w1", "w2", "w3"):
            blame.record_outcome(worker, "doomed", OutcomeKind.FAILED, 1.0)
        self.assertTrue(blame.is_backed_off("doomed", 1.0 + BACKOFF_S / 2))
        self.assertFalse(blame.is_quarantined("w1", 2.0))

    def test_ladder_throttles_then_evicts_or_unthrottles(self) -> None:
        learned = Interference()
        for _ in range(30):
            learned.observe("s", ["loud"], 1.6)
        ladder = Ladder(learned)
        running = {T0: Running("loud", SMALL), T1: Running("s", SMALL, "s")}
        self.assertEqual(ladder.decide("w", report(1.6), running, 0.0), Throttle(T0))
        self.assertIsNone(ladder.decide("w", report(1.6), running, 1.0))
        later = ACTION_GAP_S + 1
        self.assertEqual(ladder.decide("w", report(1.6), running, later), Evict(T0))
        ladder = Ladder(learned)
        ladder.decide("w", report(1.6), running, 0.0)
        ladder.decide("w", report(1.0), running, 5.0)
        self.assertEqual(ladder.decide("w", report(1.0), running, later), Unthrottle(T0))

    def test_reservations_fit_the_room(self) -> None:
        placer = Placer()
        waiting = WaitingTask(T0, "c", "", BIG, False, 0)
        full = Candidate("w", BIG, SMALL, (), set())
        self.assertIsNone(placer.choose_worker(waiting, BIG, [full], 0.0))
        self.assertIn("waiting", placer.wait_reason(BIG, [BIG]))
        self.assertIn("fits no worker", placer.wait_reason(BIG, [SMALL]))
        chosen = placer.choose_victims(BIG, [full], {"w": {T0: Size(4, 4, 0), T1: Size(3, 3, 0)}})
        self.assertEqual(chosen, ("w", [T0, T1]))
        self.assertIsNone(placer.choose_victims(BIG, [full], {"w": {T0: ZERO_SIZE}}))
