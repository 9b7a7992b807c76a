"""Random plays: lasting tasks that lost their workers, beside short and filling ones."""

import unittest

from tests.room_plays import Mix, draw_full_mix, play

# Two losses within a second: tasks have run in two cells, then wait in both in turn.
LOST_TWICE = Mix(
    cells=3,
    workers=8,
    lasting=0.7540481551342273,
    short_rate=3.4312043157564016,
    filling_rate=5.3816989265497455,
    losses=(3.188689261901008, 3.9953975349553006),
    share=0.10258027753616161,
)
SEEDS = (300, 301, 302, 303)
FULL_SEEDS = (13, 14, 21, 28)


class RoomPlays(unittest.TestCase):
    def test_tasks_that_ran_in_two_cells_are_not_sent_to_and_fro_beside_room(self) -> None:
        self.assertEqual(play(139, LOST_TWICE).lost, {})

    def test_lasting_tasks_start_in_time_beside_room_for_two(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(play(seed).lost, {})

    def test_lasting_tasks_of_a_cell_that_lost_workers_start_beside_room_in_full_cells(
        self,
    ) -> None:
        for seed in FULL_SEEDS:
            with self.subTest(seed=seed):
                found = play(seed, draw_full_mix(seed))
                self.assertEqual((found.lost, found.lost_by_looks), ({}, {}))


if __name__ == "__main__":
    unittest.main()
