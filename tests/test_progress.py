"""Two cells that move tasks of one job at the same time: each task keeps a single owner."""

import unittest

from curranthall.dag.progress import Progress, decode_progress

X, Y, Z = (0, 0, 0), (0, 0, 1), (0, 0, 2)


def stored(progress: Progress) -> Progress:
    """Return the progress as a reader of the row decodes it."""
    return decode_progress(progress.encode())


class MovedTasks(unittest.TestCase):
    def setUp(self) -> None:
        """Move X from north to south and commit the move."""
        self.north = Progress("north")
        self.north.move_tasks([X], "south")
        self.row = stored(self.north)
        self.north.confirm(self.row)
        self.south = stored(self.north)

    def test_a_move_by_the_new_owner_survives_moves_by_the_former_owner(self) -> None:
        """Found by random testing: two moves by one cell overrode one by another."""
        self.south.move_tasks([X], "west")
        row = stored(self.south)
        self.north.move_tasks([Y], "south")
        self.north.move_tasks([Z], "west")
        self.north.merge(row, "north", 7)
        self.assertEqual([self.north.owner(key) for key in (X, Y, Z)], ["west", "south", "west"])

    def test_a_task_that_another_cell_owns_by_now_is_not_moved(self) -> None:
        self.north.move_tasks([Y], "south")
        row = stored(self.north)
        # The answer is lost, but the row is written and south moves Y on.
        later = stored(row)
        later.move_tasks([Y], "west")
        self.north.merge(stored(later), "north", 7)
        self.assertEqual(self.north.owner(Y), "west")
        self.assertEqual(self.north.uncommitted_moves, {})

    def test_a_whole_job_is_moved_only_if_this_cell_still_owns_it(self) -> None:
        fresh = Progress("north")
        fresh.move_job("south")
        fresh.merge(Progress("north"), "north", 7)
        self.assertEqual(fresh.cell, "south")
        fresh.merge(Progress("west", moves=1), "north", 7)
        self.assertEqual(fresh.cell, "west")

    def test_confirmed_moves_are_not_repeated(self) -> None:
        back = stored(self.south)
        back.move_tasks([X], "north")
        self.north.merge(stored(back), "north", 7)
        self.assertEqual(self.north.owner(X), "north")

    def test_a_former_holder_moves_nothing_once_its_successor_has_claimed_the_job(self) -> None:
        """Otherwise both the successor and another cell run the task, and no row shows it."""
        successor = stored(self.north)
        successor.claims["north"] = 8
        self.north.move_tasks([Y], "south")
        self.north.merge(stored(successor), "north", 7)
        self.assertEqual(self.north.owner(Y), "north")
        whole = Progress("north")
        whole.move_job("south")
        whole.merge(Progress("north", claims={"north": 8}), "north", 7)
        self.assertEqual(whole.cell, "north")

    def test_a_cell_with_tasks_from_before_a_takeover_keeps_its_claimed_epoch(self) -> None:
        """No row shows the former holder's starts, so its successor must claim the tasks first."""
        row = Progress("north", claims={"north": 7})
        row.move_tasks([X], "south", 8)
        row.move_tasks([Y], "south", 9)
        row.move_tasks([Z], "north", 10)
        self.assertEqual(row.claims, {"north": 7, "south": 8})
        moved = Progress("north", claims={"north": 7})
        moved.move_job("south", 9)
        moved.merge(stored(row), "north", 7)
        self.assertEqual(moved.claims, {"north": 7, "south": 8})
        moved.move_job("south", 9)
        self.assertEqual(moved.claims, {"north": 7, "south": 8})


if __name__ == "__main__":
    unittest.main()
