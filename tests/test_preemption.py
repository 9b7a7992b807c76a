"""Tests of which runs are stopped for an urgent task, and of the room held for it."""

import unittest

from curranthall.cells.options import Options
from curranthall.cells.order import Order
from curranthall.cells.ports import EndKind, StartTask
from curranthall.cells.preemption import HOLD_S, MAX_STOPPED_SHARE, WINDOW_S, is_urgent
from curranthall.cells.tracking import Batch, OpenStart, TrackedJob
from curranthall.customers import Customer, Customers
from curranthall.dag import Job, Phase, Queue, Step
from curranthall.model import Size
from tests.cell_fixtures import (
    BORN,
    SERVICE,
    Cell,
    claimed_progress,
    ended,
    host,
    job,
    listed,
    step,
)

# Objectives are 1 s and twice the chain of 1 s.
URGENT, BULK = Queue("q", SERVICE, 0, 2, 2.0, 1_000), Queue("bulk", SERVICE, 2, 2, 2.0, 60_000)
# Workers without urgent work, so that a stop of 8 cores is within the budget.
OTHERS = [host(f"w{number}", 40, service="other") for number in range(2, 6)]


def bulk(job_id: str, cores: float = 4, **fields: object) -> Job:
    """Build a job of low priority whose tasks of 60 s save checkpoints."""
    low = step(1, cores, estimate_ms=60_000, checkpointing=True)._replace(**fields)  # type: ignore[arg-type]
    return job(job_id, low, queue="bulk")


class Preemption(unittest.TestCase):
    """Stops in a cell with one worker of 8 cores for the jobs' service."""

    def setUp(self) -> None:
        self.cell = Cell(
            host("w1", 8),
            *OTHERS,
            queue_of=lambda each: {"q": URGENT, "bulk": BULK}[each.queue],
            options=Options(preemption=True),
        )

    def start(self, *jobs: Job, saved: str = "") -> list[StartTask]:
        """Start jobs and let them run for 2 s; `saved` is the checkpoint listed at the end."""
        for each in jobs:
            self.cell.add(each)
        orders = self.cell.plan()
        self.cell.started(*orders)
        self.tick(2.0)
        self.cell.answer("w1", [listed(order, 5, saved=saved) for order in orders])
        return orders

    def tick(self, seconds: float) -> None:
        self.cell.now += seconds
        for name, member in self.cell.dispatcher.members.items():
            if name != "w1":
                self.cell.answer(name)
            member.answered_at = self.cell.now

    def wait(self, urgent: Job, seconds: float = 0.6) -> list[str]:
        """Add an urgent job and plan; return the jobs of which runs are stopped after a time."""
        self.cell.add(urgent._replace(accepted_ms=0))
        self.cell.plan()
        self.tick(seconds)
        self.cell.plan()
        return [order.task.job for order in self.cell.stops()]

    def fill(self, *names: str, cores: float = 4) -> dict[str, StartTask]:
        """Run a task on each of some workers of 4 cores for 2 s; return the starts by worker."""
        self.cell = Cell(
            *(host(name, 4) for name in names),
            *OTHERS,
            queue_of=lambda each: {"q": URGENT, "bulk": BULK}[each.queue],
            options=Options(preemption=True),
        )
        for number in range(len(names)):
            self.cell.add(bulk(f"{number:016x}", cores))
        orders = self.cell.plan()
        self.cell.started(*orders)
        self.go_on(2.0)
        return {order.worker: order for order in orders}

    def go_on(self, seconds: float) -> list[StartTask]:
        """Plan after a time in which all workers answer and all runs go on."""
        self.cell.now += seconds
        for member in self.cell.dispatcher.members.values():
            member.answered_at = self.cell.now
            for run in member.runs.values():
                run.percent += 1
        return self.cell.plan()

    def test_stops_a_run_of_lower_priority_for_an_urgent_task(self) -> None:
        self.start(bulk("b" * 16, 8))
        self.assertEqual(self.wait(job("a" * 16, step(1, 4))), ["b" * 16])

    def test_waits_before_anything_is_stopped(self) -> None:
        self.start(bulk("b" * 16, 8))
        self.assertEqual(self.wait(job("a" * 16, step(1, 4)), 0.2), [])

    def test_stops_only_checkpointing_finite_runs_of_lower_priority_without_gang(self) -> None:
        cases: dict[str, Job] = {
            "no checkpoints": bulk("b" * 16, 8, checkpointing=False),
            "gang": bulk("b" * 16, 8, gang=True),
            "lasting": bulk("b" * 16, 7, lasting=True),
            "same priority": bulk("b" * 16, 8)._replace(queue="q"),
        }
        for name, each in cases.items():
            with self.subTest(name):
                self.setUp()
                self.start(each)
                self.assertEqual(self.wait(job("a" * 16, step(1, 4))), [])

    def test_stops_the_run_that_loses_least(self) -> None:
        first, second = self.start(bulk("b" * 16), bulk("c" * 16))
        self.cell.answer("w1", [listed(first, 5), listed(second, 5, saved="1")])
        self.assertEqual(self.wait(job("a" * 16, step(1, 4))), [second.task.job])

    def test_stops_no_more_runs_than_the_task_needs(self) -> None:
        # The small run loses less, but its room does not suffice and that of the large one does.
        self.start(bulk("b" * 16, 1), bulk("c" * 16, 6))
        self.assertEqual(self.wait(job("a" * 16, step(1, 6))), ["c" * 16])

    def test_stops_nothing_if_room_becomes_free_sooner(self) -> None:
        (order,) = self.start(bulk("b" * 16, 8, estimate_ms=2_400))
        self.cell.answer("w1", [listed(order, 80)])
        self.assertEqual(self.wait(job("a" * 16, step(1, 4))), [])

    def test_stops_nothing_for_a_job_that_gains_nothing(self) -> None:
        self.start(bulk("b" * 16, 8))
        late = job("a" * 16, step(1, 4), accepted_ms=-20_000)
        self.cell.add(late)
        self.cell.plan()
        self.tick(0.6)
        self.cell.plan()
        self.assertEqual(self.cell.stops(), [])

    def test_stops_at_most_a_share_of_the_cores_in_a_window(self) -> None:
        for name in ("w3", "w4"):
            self.cell.dispatcher.on_gone(name, self.cell.now)
        cores = sum(member.host.size.cores for member in self.cell.dispatcher.members.values())
        self.assertTrue(4 <= MAX_STOPPED_SHARE * cores < 8, "one run of 4 cores may be stopped")
        orders = self.start(bulk("b" * 16), bulk("c" * 16))
        stopped = self.wait(job("a" * 16, step(2, 4, estimate_ms=6_000)), 1.5)
        self.assertEqual(len(stopped), 1)
        (order,) = (each for each in orders if each.task.job == stopped[0])
        (other,) = (each for each in orders if each is not order)
        self.tick(0.1)
        ends = [ended(1, order, EndKind.STOPPED)]
        self.cell.answer("w1", [listed(other)], ends)
        (first,) = self.cell.plan()
        self.cell.started(first)
        for seconds, expected in ((1.0, []), (WINDOW_S - 1.0, [other.task.job])):
            self.tick(seconds)
            percent = 10 + seconds
            self.cell.answer("w1", [listed(other, percent), listed(first, percent)])
            self.cell.plan()
            self.assertEqual([each.task.job for each in self.cell.stops()], expected)

    def test_stops_no_run_of_a_step_beyond_its_limit(self) -> None:
        # One of two tasks may be interrupted at a time, and one is.
        self.start(bulk("b" * 16, 8, width=2, max_unavailable=1))
        self.assertEqual(self.wait(job("a" * 16, step(1, 4))), [])

    def test_stops_nothing_while_a_start_of_the_task_may_be_under_way(self) -> None:
        # A later boot of the worker may still execute the task's unanswered start.
        (order,) = self.start(bulk("b" * 16, 8))
        urgent = job("a" * 16, step(1, 4))
        self.cell.add(urgent)
        start = OpenStart("w1", 1, self.cell.now, self.cell.now, 1)
        self.cell.dispatcher.tracked[urgent.id].open_starts[0, 0, 0] = start
        self.assertEqual(self.wait(urgent), [])
        del self.cell.dispatcher.tracked[urgent.id].open_starts[0, 0, 0]
        self.tick(0.2)
        self.cell.answer("w1", [listed(order, 6)])
        self.cell.plan()
        self.assertEqual([each.task.job for each in self.cell.stops()], ["b" * 16])

    def test_room_is_held_until_the_late_end_is_listed_and_then_used(self) -> None:
        (order,) = self.start(bulk("b" * 16, 8))
        self.assertEqual(self.wait(job("a" * 16, step(1, 6))), ["b" * 16])
        self.cell.add(job("d" * 16, step(1, 4)))
        for _ in range(4):
            self.tick(0.5)
            self.assertEqual(self.cell.plan(), [])
        self.cell.answer("w1", ended=[ended(1, order, EndKind.STOPPED, "9")])
        (start,) = self.cell.plan()
        self.assertEqual(start.task.job, "a" * 16)
        # The stopped task waits and goes on from its checkpoint.
        self.cell.started(start)
        self.tick(1.0)
        self.cell.answer("w1", ended=[ended(2, start, EndKind.DONE)])
        starts = {each.task.job: each for each in self.cell.plan()}
        self.assertEqual(sorted(starts), ["d" * 16])
        self.tick(1.0)
        self.cell.answer("w1", ended=[ended(3, starts["d" * 16], EndKind.DONE)])
        (again,) = self.cell.plan()
        self.assertEqual((again.task, again.checkpoint), (order.task, "9"))

    def test_free_room_is_held_besides_that_of_the_stopped_run(self) -> None:
        self.start(bulk("b" * 16, 6))
        self.assertEqual(self.wait(job("a" * 16, step(1, 8))), ["b" * 16])
        self.assertEqual(self.cell.member("w1").room.cores, 0)
        # It would fit beside the run that is being stopped.
        self.cell.add(job("d" * 16, step(1, 2)))
        self.assertEqual(self.cell.plan(), [])

    def test_room_is_released_if_the_end_never_comes(self) -> None:
        self.start(bulk("b" * 16, 6))
        self.wait(job("a" * 16, step(1, 8)))
        self.tick(HOLD_S)
        self.cell.plan()
        self.assertEqual(self.cell.member("w1").used, step(1, 6).size)

    def test_a_worker_that_is_gone_holds_no_room_for_a_task(self) -> None:
        """Its task would count as provided for, and cause no other stop, for HOLD_S."""
        self.fill("w1", "w6")
        self.cell.add(job("a" * 16, step(1, 4, estimate_ms=3_000)))
        self.cell.plan()
        self.go_on(0.7)
        (first,) = self.cell.stops()
        self.cell.dispatcher.on_gone(first.worker, self.cell.now)
        self.go_on(0.3)
        (second,) = self.cell.stops()
        self.assertNotEqual(second.worker, first.worker)

    def test_no_room_is_held_for_more_tasks_than_wait(self) -> None:
        """A task that started elsewhere would leave room idle for HOLD_S."""
        orders = self.fill("w1", "w6", "w7", cores=3)
        self.cell.add(job("a" * 16, step(2, 4, estimate_ms=3_000)))
        self.cell.plan()
        for seconds in (0.7, 0.3):
            self.go_on(seconds)
        stopped = {order.worker for order in self.cell.stops()}
        self.assertEqual(len(stopped), 2)
        (free,) = set(orders) - stopped
        self.cell.answer(free, [], [ended(1, orders[free], EndKind.DONE)])
        (start,) = self.go_on(0.1)
        self.assertEqual((start.task.job, start.worker), ("a" * 16, free))
        self.go_on(0.1)
        room = sum(self.cell.member(name).room.cores for name in stopped)
        self.assertEqual(room, 1, "that of one worker is held, that of the other is free")

    def test_stops_nothing_for_a_customer_at_its_limit(self) -> None:
        """The stop would be for nothing, as the task can't start in the room that it leaves."""
        limited = Customer("acme", 4.0, Size(4, 100_000))
        self.cell = Cell(
            host("w1", 8),
            *OTHERS,
            queue_of=lambda each: {"q": URGENT, "bulk": BULK}[each.queue],
            options=Options(preemption=True),
            customers=Customers([(limited, ())]),
        )
        self.start(bulk("b" * 16, 7))
        self.cell.add(job("a" * 16, step(1, 4))._replace(customer="acme"))
        self.cell.plan()
        self.tick(0.6)
        # It starts in the same pass and leaves 3 cores of the limit.
        self.cell.add(job("c" * 16, step(1, 1, estimate_ms=20_000))._replace(customer="acme"))
        (start,) = self.cell.plan()
        self.assertEqual(start.task.job, "c" * 16)
        self.assertEqual(self.cell.stops(), [])

    def test_used_cores_are_right_after_a_worker_is_replaced_under_its_name(self) -> None:
        """Room held on the former record must not be released on the new one."""
        self.start(bulk("b" * 16, 6))
        self.assertEqual(self.wait(job("a" * 16, step(1, 8))), ["b" * 16])
        self.cell.dispatcher.on_gone("w1", self.cell.now)
        self.cell.dispatcher.update_host(host("w1", 8))
        self.cell.answer("w1", born=BORN + 1)
        for _ in range(5):
            self.go_on(1.0)
            member = self.cell.member("w1")
            self.assertEqual(
                member.used.cores, sum(run.step.size.cores for run in member.runs.values())
            )

    def test_used_cores_are_right_after_the_cell_was_closed(self) -> None:
        """No planning pass releases room while a cell is closed."""
        self.start(bulk("b" * 16, 6))
        self.assertEqual(self.wait(job("a" * 16, step(1, 8))), ["b" * 16])
        self.cell.dispatcher.closed = True
        self.go_on(HOLD_S)
        self.cell.dispatcher.closed = False
        self.go_on(0.1)
        self.assertEqual(self.cell.member("w1").used, step(1, 6).size)

    def test_used_cores_are_right_after_the_waiting_job_was_cancelled(self) -> None:
        """Room would be held for a job that starts nothing any more."""
        self.start(bulk("b" * 16, 6))
        urgent = job("a" * 16, step(1, 8))
        self.assertEqual(self.wait(urgent), ["b" * 16])
        cancelled = claimed_progress(phase=Phase.CANCELLED)
        self.cell.dispatcher.refresh(urgent.id, cancelled, 9, self.cell.now)
        self.go_on(0.1)
        self.assertEqual(self.cell.member("w1").used, step(1, 6).size)

    def test_tasks_that_no_stop_helps_do_not_use_up_the_search(self) -> None:
        """By deadline, jobs come first that are in time only without the time of a stop."""
        self.cell.dispatcher.order = Order(by_deadline=True)
        self.start(bulk("b" * 16, 8))
        for number in range(2):
            self.cell.add(job(f"{number:016x}", step(1, 1), accepted_ms=-1_100))
        self.cell.plan()
        other = job("a" * 16, step(1, 4, estimate_ms=3_000))
        self.assertEqual(self.wait(other, 0.75), ["b" * 16])

    def test_a_successor_starts_the_stopped_task_once_its_end_is_listed(self) -> None:
        # The holder is lost after the stop; the next one finds the run or its end listed.
        (order,) = self.start(bulk("b" * 16, 8))
        self.assertEqual(self.wait(job("a" * 16, step(1, 6))), ["b" * 16])
        for entries, ends in (
            ([listed(order, 9, saved="9")], []),
            ([], [ended(1, order, EndKind.STOPPED, "9")]),
        ):
            with self.subTest(ends=ends):
                successor = Cell(
                    host("w1", 8),
                    queue_of=lambda each: {"q": URGENT, "bulk": BULK}[each.queue],
                    settled=False,
                )
                successor.add(bulk("b" * 16, 8))
                successor.answer("w1", entries, ends)
                starts = [each.task for each in successor.plan()]
                self.assertEqual(starts, [] if entries else [order.task])


class Steps(unittest.TestCase):
    """What a step allows."""

    def test_a_filling_task_is_never_urgent(self) -> None:
        for fields, urgent in (({}, True), ({"filling": True}, False), ({"gang": True}, False)):
            each: Step = step(1, 1, **fields)
            tracked = TrackedJob(job("a" * 16, each), claimed_progress(), 1, URGENT, 0.0)
            batch = Batch(tracked, 0, 0, each, waiting={0}, unplaced_since=0.0)
            self.assertEqual(is_urgent(batch, 1.0), urgent, fields)


if __name__ == "__main__":
    unittest.main()
