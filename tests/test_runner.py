"""The worker stand-in's word on ends: taken note of, unless its lease lapsed before."""

import unittest

from curranthall.cells.ports import StartTask
from curranthall.dag import TaskId
from curranthall.standin.runner import Runner, Work
from tests.cell_fixtures import host, step
from tests.virtual import run

TASK = TaskId("0" * 16, 0, 0, 0)


class Acknowledging(unittest.TestCase):
    def notes_after(self, silence_s: float) -> list[str]:
        """Let a run end, the holder be silent for a while, then acknowledge the end."""
        notes: list[str] = []

        async def main() -> None:
            now = [0.0]
            work = Work(step(), 1.0)
            runner = Runner(
                host("w1"),
                lambda: now[0],
                lambda task: work,
                lambda what, *rest: notes.append(what),
            )
            runner.start(7, StartTask("w1", TASK, 1, "", "", 1_500))
            await runner.hold(7, 0, 6_000, 0)
            now[0] += 1.0
            runner.step()
            now[0] += silence_s
            await runner.hold(7, 1, int(now[0] * 1000) + 6_000, 0)

        run(main())
        return notes

    def test_an_end_is_acknowledged_while_the_lease_is_valid(self) -> None:
        self.assertEqual(self.notes_after(1.0), ["start", "done", "acked done"])

    def test_an_end_from_before_a_lapse_is_not_acknowledged(self) -> None:
        """As in soak seed 46: the task may run again, and did."""
        self.assertNotIn("acked done", self.notes_after(7.0))


if __name__ == "__main__":
    unittest.main()
