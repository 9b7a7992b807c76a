"""The cell that entries choose by predicted finish, and what callers get while demand swings."""

import unittest
from unittest.mock import patch

from curranthall.cells.load import RUNNING, Backlog, Load, Work
from curranthall.cells.options import Options
from curranthall.cells.owner import Owner, OwnerWatch
from curranthall.dag import Job
from curranthall.intake.intake import Choice
from tests import swing
from tests.cluster import SERVICE, Cluster
from tests.test_choice import make_job
from tests.virtual import run

ON = Options(projected_load=True)
SEEDS = range(2)
USE = 1.1


def load(free: float, ahead: float | None) -> Load:
    """Build a load of 24 cores, with core-seconds of running work if they are known."""
    backlog = None if ahead is None else Backlog(24, 24, (Work(RUNNING, 0, ahead),))
    return Load(24, free, free, largest=(free / 3,) * 3, backlog=backlog)


class Choices(unittest.TestCase):
    # Whether the job to submit has filling tasks.
    filling = False

    def choose(self, options: Options, **loads: Load | None) -> Choice:
        """Return the choice of an entry of domain c; a cell without a load has an old row."""

        async def main() -> Choice:
            cluster = Cluster(1, options=options)
            entry = cluster.entries["c-e0"]
            owners = {
                cell: None if each is None else Owner("x", "x", 1, 1, {SERVICE: each}, {})
                for cell, each in loads.items()
            }
            succession = entry.succession
            with (
                patch.object(OwnerWatch, "live_holder", lambda watch, cell, now: owners[cell]),
                patch.object(succession, "may_be_gone", return_value=False),
            ):
                choice = entry.intake.rank_cells(self.make_job())
            cluster.close()
            return choice

        found: Choice = run(main())
        return found

    def make_job(self) -> Job:
        """Build the job to submit."""
        made = make_job(1, width=8)
        steps = tuple(step._replace(filling=self.filling, image="x") for step in made.steps)
        return made._replace(steps=steps) if self.filling else made

    def test_equal_cells_are_ranked_as_without_predictions(self) -> None:
        """The home cell is preferred, then the one with the most room."""
        rooms = [(24.0, 24.0, 24.0), (24.0, 12.0, 12.0), (10.0, 12.0, 20.0)]
        for a, b, c in rooms:
            loads = {"a": load(a, 0), "b": load(b, 0), "c": load(c, 0)}
            with self.subTest(loads):
                cells = {self.choose(options, **loads).cell for options in (Options(), ON)}
                self.assertEqual(len(cells), 1)

    def test_a_cell_with_a_queue_is_avoided(self) -> None:
        """Free cores alone don't tell a short queue from a long one."""
        loads = {"a": load(0, 10), "b": load(0, 400), "c": load(0, 400)}
        self.assertEqual(self.choose(ON, **loads).cell, "a")
        self.assertEqual(self.choose(Options(), **loads).cell, "c")

    def test_an_unknown_or_old_cell_is_not_preferred(self) -> None:
        for unknown in (load(24, None), None):
            loads = {"a": load(0, 40), "b": unknown, "c": unknown}
            with self.subTest(unknown):
                self.assertEqual(self.choose(ON, **loads).cell, "a")

    def test_a_cell_without_room_for_a_filling_image_is_avoided(self) -> None:
        """Serving tasks leave no room for the image there, which no sum of waiting work tells."""
        excluded = load(24, 0)._replace(filling={"x": 0.0})
        running = Backlog(24, 24, (), (Work(RUNNING, 0, 40),))
        roomy = load(24, 0)._replace(filling={"x": 6.0}, backlog=running)
        loads = {"a": excluded, "b": roomy, "c": excluded}
        self.filling = True
        for options in (Options(), ON):
            with self.subTest(options):
                self.assertEqual(self.choose(options, **loads).cell, "b")

    def test_without_predictions_the_cell_is_chosen_as_before(self) -> None:
        loads = {"a": load(6, None), "b": load(24, None), "c": load(12, None)}
        self.assertEqual(self.choose(ON, **loads).cell, "b")
        self.assertEqual(self.choose(Options(), **loads).cell, "b")


class Swings(unittest.TestCase):
    def test_callers_get_no_less_while_demand_swings(self) -> None:
        """Each domain's demand varies by 0.55 within 13 s; here it exceeds the cores by a tenth."""
        off = [swing.play(seed, use=USE) for seed in SEEDS]
        on = [swing.play(seed, ON, USE) for seed in SEEDS]
        self.assertGreaterEqual(sum(each.value for each in on), sum(each.value for each in off))


if __name__ == "__main__":
    unittest.main()
