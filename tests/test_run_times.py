"""Learned run times: what they are derived from, and what bounds them."""

import random
import unittest

from curranthall.cells import run_times
from curranthall.cells.run_times import RunTimes, WorkerSpeeds
from tests.cell_fixtures import step

STEP = step(1, estimate_ms=2_000)


class Learned(unittest.TestCase):
    def setUp(self) -> None:
        self.times = RunTimes()

    def test_the_estimate_counts_until_there_are_enough_samples(self) -> None:
        for _ in range(run_times.MIN_SAMPLES - 1):
            self.times.observe("q", 0, STEP, 8.0)
        self.assertEqual(self.times.expected_s("q", 0, STEP), 2.0)
        self.assertAlmostEqual(self.times.quantile_s("q", 0, STEP, 0.5), 2.0)
        self.times.observe("q", 0, STEP, 8.0)
        self.assertEqual(self.times.expected_s("q", 0, STEP), 8.0)
        self.assertEqual(self.times.expected_s("q", 1, STEP), 2.0)
        self.assertEqual(self.times.expected_s("other", 0, STEP), 2.0)

    def test_an_estimate_alone_allows_for_its_largest_error(self) -> None:
        self.assertAlmostEqual(self.times.quantile_s("q", 0, STEP, 1.0), 20.0)

    def test_steps_with_an_image_share_ratios_over_queues_and_estimates(self) -> None:
        for _ in range(run_times.MIN_SAMPLES):
            self.times.observe("q", 0, STEP._replace(image="i"), 3.0)
        other = STEP._replace(image="i", estimate_ms=500)
        self.assertAlmostEqual(self.times.expected_s("another", 3, other), 0.75)

    def test_a_few_long_runs_move_neither_median_nor_high_quantile(self) -> None:
        """A mean would be off by a fifth where 3 % of the runs take 7 times as long."""
        rng = random.Random(1)
        for number in range(400):
            self.times.observe("q", 0, STEP, rng.uniform(0.9, 1.1) * (7 if number % 33 == 0 else 1))
        self.assertAlmostEqual(self.times.expected_s("q", 0, STEP), 1.0, delta=0.1)
        self.assertLess(self.times.quantile_s("q", 0, STEP, 0.9), 1.2)

    def test_samples_age_out(self) -> None:
        for seconds in (1.0, 5.0):
            for _ in range(run_times.MAX_SAMPLES):
                self.times.observe("q", 0, STEP, seconds)
        self.assertEqual(self.times.quantile_s("q", 0, STEP, 0.0), 5.0)

    def test_memory_is_bounded_and_the_kind_unused_for_longest_goes_first(self) -> None:
        for number in range(run_times.MAX_KINDS + 20):
            for _ in range(run_times.MIN_SAMPLES):
                self.times.observe("q", number, STEP, 4.0)
        self.assertEqual(len(self.times), run_times.MAX_KINDS)
        self.assertEqual(self.times.expected_s("q", 0, STEP), 2.0)
        self.assertEqual(self.times.expected_s("q", run_times.MAX_KINDS, STEP), 4.0)

    def test_steps_without_an_estimate_are_learned_apart(self) -> None:
        unknown = STEP._replace(estimate_ms=0)
        for _ in range(run_times.MIN_SAMPLES):
            self.times.observe("q", 0, unknown, 3.0)
        self.assertEqual(self.times.expected_s("q", 0, unknown), 3.0)
        self.assertEqual(self.times.expected_s("q", 0, STEP), 2.0)


class Workers(unittest.TestCase):
    def test_a_worker_is_slow_once_half_of_its_last_runs_were(self) -> None:
        speeds = WorkerSpeeds()
        for ratio in (7.0, 1.0, 1.0, 1.0):
            speeds.observe("w1", ratio)
        self.assertFalse(speeds.is_slow("w1"))
        for _ in range(4):
            speeds.observe("w1", 2.0)
        self.assertTrue(speeds.is_slow("w1"))
        for _ in range(5):
            speeds.observe("w1", 1.0)
        self.assertFalse(speeds.is_slow("w1"))

    def test_a_few_runs_or_a_new_boot_say_nothing(self) -> None:
        speeds = WorkerSpeeds()
        for _ in range(2):
            speeds.observe("w1", 9.0)
        self.assertFalse(speeds.is_slow("w1"))
        speeds.observe("w1", 9.0)
        self.assertTrue(speeds.is_slow("w1"))
        speeds.forget("w1")
        self.assertFalse(speeds.is_slow("w1"))
