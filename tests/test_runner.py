"""Tests that the worker stand-in reports an end as acknowledged only while its lease is valid."""

import unittest

from curranthall.cells.ports import StartResult, StartTask
from curranthall.dag import TaskId
from curranthall.standin.runner import Runner, Work
from tests.cell_fixtures import host, step
from tests.virtual import run

TASK = TaskId("0" * 16, 0, 0, 0)


class Acknowledgement(unittest.TestCase):
    def events_after(self, silence_s: float) -> list[str]:
        """Acknowledge an end after the holder was silent for a while; return the events."""
        events: list[str] = []

        async def main() -> None:
            now = [0.0]
            work = Work(step(), 1.0)
            runner = Runner(
                host("w1"),
                lambda: now[0],
                lambda task: work,
                lambda what, *rest: events.append(what),
            )
            runner.start(7, StartTask("w1", TASK, 1, "", "", 1_500))
            await runner.hold(7, 0, 6_000, 0)
            now[0] += 1.0
            runner.step()
            now[0] += silence_s
            await runner.hold(7, 1, int(now[0] * 1000) + 6_000, 0)

        run(main())
        return events

    def test_an_end_is_acknowledged_while_the_lease_is_valid(self) -> None:
        self.assertEqual(self.events_after(1.0), ["start", "done", "acked done"])

    def test_an_end_from_before_a_lapse_is_not_acknowledged(self) -> None:
        """The task may run again, so its end must not count (soak seed 46)."""
        self.assertNotIn("acked done", self.events_after(7.0))


class RefusedStarts(unittest.TestCase):
    def lease_after(self, run_number: int, cores: float) -> float:
        """Return the lease left after a start beside a run whose lease ends in 1 s."""
        runner = Runner(
            host("w1", cores=1),
            lambda: 0.0,
            lambda task: Work(step(cores=cores), 1.0),
            lambda *_: None,
        )
        other = TaskId("0" * 16, 0, 0, 1)
        runner.start(7, StartTask("w1", other, 2, "", "", 1_000))
        task = other if run_number == 1 else TASK
        result = runner.start(7, StartTask("w1", task, run_number, "", "", 5_000))
        self.assertIsNot(result, StartResult.STARTED)
        return runner.lease_left_s()

    def test_a_start_of_an_old_run_extends_the_lease(self) -> None:
        self.assertEqual(self.lease_after(1, 0.5), 5.0)

    def test_a_start_without_room_extends_the_lease(self) -> None:
        self.assertEqual(self.lease_after(3, 1.0), 5.0)


if __name__ == "__main__":
    unittest.main()
