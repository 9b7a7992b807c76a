"""What callers get with and without copies where runs, workers or tasks are slow."""

import unittest

from tests.straggler_plays import Play, play

SEEDS = (1, 2, 3)


def share_in_time(plays: list[Play]) -> float:
    """Return the share of all jobs that met their objective."""
    return sum(each.tally.in_time for each in plays) / sum(each.tally.jobs for each in plays)


class Stragglers(unittest.TestCase):
    def play_both(self, cause: str, seconds: float = 40.0) -> tuple[list[Play], list[Play]]:
        """Play all seeds without and with copies."""
        without = [play(seed, cause, False, seconds) for seed in SEEDS]
        return without, [play(seed, cause, True, seconds) for seed in SEEDS]

    def test_copies_help_where_single_runs_and_workers_are_slow(self) -> None:
        """Without copies a job waits for its slowest run, however idle other workers are."""
        without, with_copies = self.play_both("both")
        self.assertGreater(share_in_time(with_copies), share_in_time(without) + 0.03)
        cost = sum(each.core_s for each in with_copies) / sum(each.core_s for each in without)
        self.assertLess(cost, 1.05)

    def test_copies_become_few_where_the_tasks_themselves_are_slow(self) -> None:
        """Copies that end no earlier only cost work."""
        without, with_copies = self.play_both("task", 90.0)
        self.assertGreater(share_in_time(with_copies), share_in_time(without) - 0.01)
        copied_at = [at for each in with_copies for at in each.copied_at]
        early, late = (sum(low <= at < low + 30 for at in copied_at) for low in (0, 60))
        self.assertLess(late, 0.5 * early)
        cost = sum(each.core_s for each in with_copies) / sum(each.core_s for each in without)
        self.assertLess(cost, 1.05)
