"""Tests of the share of jobs of each size that is served."""

import unittest

from tests.load import (
    BATCHES,
    LARGE_PROOFS,
    MANY_WATCHES,
    SIZES,
    WATCHES,
    Plan,
    Simulation,
    Tally,
)

# Least share of a size's jobs that is served, relative to the share of the whole queue.
LEAST_PART = 0.5
SEEDS = (1, 2)
OVERLOAD = Plan(seconds=30, bursts=(("batches", 2.0, 5, 30),), workers=4)
LIGHT_LOAD = Plan(seconds=5)
LARGE_CELLS = Plan(seconds=12, drain_s=8, workers=54)


def served(plan: Plan) -> dict[str, Tally]:
    """Sum the batch jobs of all seeds by size; the whole queue has an empty name."""
    plays = [Simulation(seed, plan, (BATCHES, WATCHES)).run() for seed in SEEDS]
    found = {}
    for size in ("", *SIZES):
        tallies = [play.tally("batches", size) for play in plays]
        found[size] = Tally(
            sum(each.jobs for each in tallies),
            sum(each.served for each in tallies),
            sum(each.in_time for each in tallies),
        )
    return found


class Sizes(unittest.TestCase):
    """Sizes of jobs under light load and under overload."""

    def test_all_jobs_are_served_in_time_under_light_load(self) -> None:
        for size, tally in served(LIGHT_LOAD).items():
            self.assertGreater(tally.jobs, 0, size)
            self.assertEqual(tally.in_time, tally.jobs, size)

    def test_large_jobs_do_not_starve_under_overload(self) -> None:
        found = served(OVERLOAD)
        whole = found.pop("")
        self.assertGreater(whole.share, 0)
        self.assertLess(whole.share, 1, "the load does not exceed the capacity")
        for size, tally in found.items():
            self.assertGreaterEqual(tally.share, LEAST_PART * whole.share, (size, found, whole))

    def test_large_urgent_jobs_do_not_starve_beside_lasting_ones(self) -> None:
        for seed in (1, 2, 3, 4):
            play = Simulation(seed, LARGE_CELLS, (LARGE_PROOFS, MANY_WATCHES)).run()
            whole = play.tally("proofs")
            for size in SIZES:
                tally = play.tally("proofs", size)
                with self.subTest(seed=seed, size=size):
                    self.assertGreaterEqual(tally.share, LEAST_PART * whole.share, (tally, whole))


if __name__ == "__main__":
    unittest.main()
