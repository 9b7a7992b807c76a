"""Tests of the order of waiting tasks, with and without deadlines."""

import unittest
from collections.abc import Iterator

from curranthall.cells.fleet import Member
from curranthall.cells.order import REORDER_S, URGENT_S, Order
from curranthall.cells.tracking import Batch, TrackedJob
from curranthall.dag import Queue, Step
from tests.cell_fixtures import SERVICE, claimed_progress, host, job, step

# Objectives are the given time and twice the chain.
QUEUE = Queue("q", SERVICE, 0, 2, 2.0, 1_000)


def batch(name: str, *steps: Step, queue: Queue = QUEUE) -> Batch:
    """Build the waiting batch of a job that arrived at 0; its id is the letter repeated."""
    each = job(name * 16, *steps, queue=queue.name)
    tracked = TrackedJob(each, claimed_progress(), 1, queue, 0.0)
    found = Batch(tracked, 0, 0, each.steps[0], waiting={0})
    tracked.batches[0, 0] = found
    return found


class Deadlines(unittest.TestCase):
    """The order by deadline, and the one without."""

    def sort(self, now: float, *batches: Batch, by_deadline: bool = True, cores: float = 64) -> str:
        """Return the first letters of the jobs in order, on one idle worker."""
        order = Order(by_deadline)
        for each in batches:
            order.note_job(each.tracked)
        order.update([each.tracked for each in batches], [Member(host("w1", cores))], now)
        found = sorted(batches, key=lambda each: order.key(each, now))
        return "".join(each.tracked.job.id[0] for each in found)

    def test_a_job_that_must_start_now_goes_before_a_small_one_with_slack(self) -> None:
        patient = QUEUE._replace(objective_ms=60_000)
        small, large = batch("a", step(1, 1), queue=patient), batch("b", step(4, 4))
        for now, expected in ((0.5, "ab"), (2.0 - URGENT_S / 2, "ba"), (2.1, "ab")):
            self.assertEqual(self.sort(now, small, large), expected, now)
        self.assertEqual(self.sort(2.0 - URGENT_S / 2, small, large, by_deadline=False), "ab")

    def test_the_job_that_costs_least_for_its_work_is_late_if_not_all_can_be_in_time(self) -> None:
        # 16, 2 and 1 core-seconds are due in a little over 1 s; the worker has 8 cores.
        large, small, tiny = batch("a", step(4, 4)), batch("b", step(1, 2)), batch("c", step(1, 1))
        now = 2.0 - URGENT_S / 2
        self.assertEqual(self.sort(now, large, small, tiny, cores=8), "bca")

    def test_lasting_tasks_priority_and_expiry_come_first(self) -> None:
        now = 2.0 - URGENT_S / 2
        lasting, urgent = batch("l", step(1, 1, lasting=True)), batch("u", step(4, 4))
        low = batch("w", step(1, 1), queue=QUEUE._replace(priority=1))
        expired = batch("x", step(1, 1), queue=QUEUE._replace(objective_ms=0, stretch=0.1))
        self.assertEqual(self.sort(now, expired, low, urgent, lasting), "luwx")

    def test_filling_tasks_keep_their_order(self) -> None:
        patient = QUEUE._replace(objective_ms=60_000)
        small = batch("a", step(1, 1, filling=True), queue=patient)
        large = batch("b", step(4, 4, filling=True))
        self.assertEqual(self.sort(2.0 - URGENT_S / 2, small, large), "ab")

    def test_a_customers_rank_comes_between_priority_and_value(self) -> None:
        small, large = batch("a", step(1, 1)), batch("b", step(4, 4))
        low = batch("c", step(1, 1), queue=QUEUE._replace(priority=1))
        order = Order(fair_rank=lambda tracked: float(tracked is small.tracked))
        keys = [order.key(each, 0.0) for each in (large, small, low)]
        self.assertEqual(keys, sorted(keys))

    def test_late_jobs_are_chosen_again_at_a_bounded_rate(self) -> None:
        order, times = Order(True), list[float]()

        def read_jobs(now: float) -> Iterator[TrackedJob]:
            times.append(now)
            yield from ()

        for tenth in range(11):
            order.update(read_jobs(tenth / 10), [], tenth / 10)
        self.assertLessEqual(len(times), 1 + 1 / REORDER_S)


if __name__ == "__main__":
    unittest.main()
