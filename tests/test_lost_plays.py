"""Random plays: run ends of lost workers, handed over while holders are lost in series."""

import unittest

from tests.lost_plays import play

# Seeds in which run ends free tasks that a successor holds back.
SEEDS = (2, 6, 10, 13, 14, 19)


class LostPlays(unittest.TestCase):
    def test_no_task_runs_twice_when_run_ends_free_it(self) -> None:
        takes = freed = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                found = play(seed)
                takes, freed = takes + found.takes, freed + found.freed
                self.assertEqual(found.broken, [])
        # Else the plays show nothing of run ends.
        self.assertGreater(takes, 0)
        self.assertGreater(freed, 0)

    # Fails: listed in KNOWN-RED.txt.
    def test_no_task_runs_twice_when_starts_are_executed_as_late_as_any(self) -> None:
        self.assertEqual(play(14, probes=1001).broken, [])


if __name__ == "__main__":
    unittest.main()
