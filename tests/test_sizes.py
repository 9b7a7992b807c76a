"""What each size of job is served when there is more work than room."""

import unittest

from tests.load import BATCHES, SIZES, WATCHES, Plan, Play, Tally

# Of a size of job at least this part of what its whole queue gets is served.
LEAST_PART = 0.5
SEEDS = (1, 2)
OVERLOAD = Plan(seconds=30, bursts=(("batches", 2.0, 5, 30),), workers=4)


def served(plan: Plan) -> dict[str, Tally]:
    """Sum up the batches of some plays by size; the whole queue stands under an empty name."""
    plays = [Play(seed, plan, (BATCHES, WATCHES)).run() for seed in SEEDS]
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
    """Sizes of jobs under overload."""

    def test_large_jobs_do_not_starve_under_overload(self) -> None:
        found = served(OVERLOAD)
        whole = found.pop("")
        self.assertGreater(whole.share, 0)
        self.assertLess(whole.share, 1, "the load is no overload")
        for size, tally in found.items():
            self.assertGreaterEqual(tally.share, LEAST_PART * whole.share, (size, found, whole))


if __name__ == "__main__":
    unittest.main()
