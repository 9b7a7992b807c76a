"""Two cells that give tasks of one job away at the same time: each task has one owner."""

import unittest

from curranthall.dag.progress import Progress, decode_progress

X, Y, Z = (0, 0, 0), (0, 0, 1), (0, 0, 2)


def stored(progress: Progress) -> Progress:
    """Give what a reader of the row sees."""
    return decode_progress(progress.encode())


class GivingAway(unittest.TestCase):
    def setUp(self) -> None:
        """North has given X to south, and that is committed."""
        self.north = Progress("north")
        self.north.move_tasks([X], "south")
        self.row = stored(self.north)
        self.north.confirm(self.row)
        self.south = stored(self.north)

    def test_what_the_new_owner_gave_on_stands_whatever_the_former_one_moves(self) -> None:
        """As in a hunted day: two moves of one cell outweighed one of another."""
        self.south.move_tasks([X], "west")
        row = stored(self.south)
        self.north.move_tasks([Y], "south")
        self.north.move_tasks([Z], "west")
        self.north.merge(row, "north", 7)
        self.assertEqual([self.north.owner(key) for key in (X, Y, Z)], ["west", "south", "west"])

    def test_a_task_that_another_cell_has_by_now_is_not_given_away(self) -> None:
        self.north.move_tasks([Y], "south")
        row = stored(self.north)
        # The answer was lost; the row was written, and south gave Y on.
        later = stored(row)
        later.move_tasks([Y], "west")
        self.north.merge(stored(later), "north", 7)
        self.assertEqual(self.north.owner(Y), "west")
        self.assertEqual(self.north.uncommitted_moves, {})

    def test_a_whole_job_is_given_away_only_if_it_is_still_here(self) -> None:
        fresh = Progress("north")
        fresh.move_job("south")
        fresh.merge(Progress("north"), "north", 7)
        self.assertEqual(fresh.cell, "south")
        fresh.merge(Progress("west", moves=1), "north", 7)
        self.assertEqual(fresh.cell, "west")

    def test_confirmed_moves_are_not_made_again(self) -> None:
        back = stored(self.south)
        back.move_tasks([X], "north")
        self.north.merge(stored(back), "north", 7)
        self.assertEqual(self.north.owner(X), "north")

    def test_a_former_holder_gives_nothing_away_once_its_successor_took_the_job_over(self) -> None:
        """Else the successor runs the task without a word in the row, and another cell, too."""
        successor = stored(self.north)
        successor.claims["north"] = 8
        self.north.move_tasks([Y], "south")
        self.north.merge(stored(successor), "north", 7)
        self.assertEqual(self.north.owner(Y), "north")
        whole = Progress("north")
        whole.move_job("south")
        whole.merge(Progress("north", claims={"north": 8}), "north", 7)
        self.assertEqual(whole.cell, "north")

    def test_a_cell_with_tasks_from_before_a_takeover_is_not_granted_anew(self) -> None:
        """A start of the former holder is in no row, so the successor has to wait with them."""
        row = Progress("north", claims={"north": 7})
        row.move_tasks([X], "south", 8)
        row.move_tasks([Y], "south", 9)
        row.move_tasks([Z], "north", 10)
        self.assertEqual(row.claims, {"north": 7, "south": 8})
        given = Progress("north", claims={"north": 7})
        given.move_job("south", 9)
        given.merge(stored(row), "north", 7)
        self.assertEqual(given.claims, {"north": 7, "south": 8})
        given.move_job("south", 9)
        self.assertEqual(given.claims, {"north": 7, "south": 8})


if __name__ == "__main__":
    unittest.main()
