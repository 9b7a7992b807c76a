"""Predicted finishes, early moves and the published backlog of cells."""

import unittest
from math import inf

from cbor2 import dumps, loads

from curranthall.cells.balance import Balancer, CellLoads, group_kinds
from curranthall.cells.early_moves import MOVES_PER_PASS, PASS_INTERVAL_S, STAY_S
from curranthall.cells.forecast import (
    Place,
    Prediction,
    Remaining,
    Sent,
    finish_s,
    latest_equal_s,
    measure_job,
    predict,
    predict_waiting,
    refusal_delay_s,
    retry_after_s,
)
from curranthall.cells.load import (
    LEAST_PRIORITY,
    RANK_BOUNDS,
    RUNNING,
    Backlog,
    Load,
    Work,
    decode_loads,
    encode_loads,
)
from curranthall.cells.options import Options
from curranthall.customers import Customer, Customers
from curranthall.dag import Job, Step
from curranthall.model import Size
from tests.cell_fixtures import CELL, SERVICE, Cell, host, job, step

PLACE = Place(0, 1)


def busy(ahead: float, cores: float = 8.0, free: float = 0.0) -> Load:
    """Build a cell's load with core-seconds of running work."""
    work = (Work(RUNNING, 0, ahead),)
    rooms = (free,) if free else ()
    return Load(cores, free, cores, largest=rooms, backlog=Backlog(cores, cores, work, work))


class Forecasts(unittest.TestCase):
    def test_a_job_with_room_takes_its_longest_chain(self) -> None:
        chain = job("1" * 16, step(2), step(1, after=(0,)), step(1))
        self.assertEqual(finish_s(busy(40, free=8), chain, PLACE), 2.0)

    def test_a_job_without_room_waits_for_the_work_ahead(self) -> None:
        self.assertEqual(finish_s(busy(40), job(), PLACE), 6.0)
        # Half of its tasks start at once.
        self.assertEqual(finish_s(busy(40, free=1), job(), PLACE), 3.5)

    def test_the_members_of_a_gang_wait_together(self) -> None:
        self.assertEqual(finish_s(busy(40, free=1), job("1" * 16, step(2, gang=True)), PLACE), 6.0)

    def test_a_job_larger_than_its_cell_takes_its_work(self) -> None:
        self.assertEqual(finish_s(busy(0, free=8), job("1" * 16, step(80)), PLACE), 10.0)

    def test_what_was_sent_lately_counts(self) -> None:
        sent = Sent(8, 16)
        self.assertEqual(finish_s(busy(0, free=8), job(), PLACE, sent=sent), 3.0)

    def test_only_work_that_goes_first_counts(self) -> None:
        """Small jobs start before large ones; a large backlog of these made all look late."""
        work = (Work(0, 0, 8), Work(0, 1, 16), Work(0, 2, 80), Work(1, 0, 80))
        load = busy(0)._replace(backlog=Backlog(8, 8, work))
        self.assertEqual(finish_s(load, job(), PLACE), 3.0)
        # It would be late, and then goes after those in time.
        late = PLACE._replace(late_rank=5, late_after_s=2.0)
        self.assertEqual(finish_s(load, job(), late), 14.0)

    def test_a_job_that_fits_nowhere_never_ends(self) -> None:
        self.assertEqual(finish_s(busy(0, free=8), job(), PLACE, can_run=False), inf)
        self.assertEqual(finish_s(busy(0, free=8), job("1" * 16, step(cores=9)), PLACE), inf)
        no_room = Load(8, backlog=Backlog(0.0, 8.0))
        self.assertEqual(finish_s(no_room, job(), PLACE), inf)

    def test_nothing_is_predicted_without_sizes_or_load(self) -> None:
        unknown: tuple[tuple[Load | None, Job], ...] = (
            (None, job()),
            (Load(8, 8, 8), job()),
            (busy(0), job("1" * 16, step(estimate_ms=0))),
            (busy(0), job("1" * 16, step(lasting=True))),
            (busy(0), job("1" * 16, step(filling=True))),
            (busy(0), job("1" * 16, step(), step(filling=True, after=(0,)))),
            (busy(0), job(first_due_ms=1)),
        )
        for load, each in unknown:
            with self.subTest(load=load, job=each):
                self.assertIsNone(finish_s(load, each, PLACE))

    def test_filling_jobs_wait_for_filling_work_only(self) -> None:
        filling = (Work(RUNNING, 0, 8),)
        load = Load(8, 0, 0, backlog=Backlog(8, 4, (Work(RUNNING, 0, 80),), filling))
        # Jobs with filling steps are not predicted as a whole, but the sums keep the kinds apart.
        needed = measure_job(job("1" * 16, step(2, filling=True)))
        self.assertEqual(predict(load, needed, PLACE), Prediction(2.0, 1.0))

    def test_a_waiting_job_is_predicted_by_the_work_ahead_of_it(self) -> None:
        needed = Remaining(step(2), 16.0, 1.0)
        self.assertEqual(predict_waiting(busy(40), needed, 24.0), Prediction(3.0, 2.0))
        self.assertIsNone(predict_waiting(Load(8), needed, 24.0))

    def test_run_times_can_be_learned(self) -> None:
        class Learned:
            def expected_s(self, queue: str, step: Step) -> float:
                return 3.0

        self.assertEqual(measure_job(job(), Learned()), Remaining(step(2), 6.0, 3.0))

    def test_predictions_within_a_tenth_are_equal(self) -> None:
        self.assertAlmostEqual(latest_equal_s([4.0, 5.0]), 4.4)
        self.assertAlmostEqual(latest_equal_s([0.5, inf]), 0.6)
        self.assertEqual(latest_equal_s([inf]), -inf)


class Refusals(unittest.TestCase):
    def test_a_job_is_refused_only_if_it_is_worthless_in_every_cell(self) -> None:
        late, later = Prediction(6.5, 1.0), Prediction(9.0, 1.0)
        self.assertEqual(refusal_delay_s([late, later], 2.0), 5.5)
        for others in ([Prediction(5.0, 1.0)], [None], [Prediction(0.0, 1.0), None]):
            self.assertIsNone(refusal_delay_s([late, *others], 2.0))

    def test_a_job_that_no_worker_fits_is_not_refused(self) -> None:
        """Nobody can tell when such a worker comes."""
        never = Prediction(inf, 0.0)
        self.assertIsNone(refusal_delay_s([never, never], 2.0))
        self.assertIsNone(refusal_delay_s([], 2.0))
        self.assertEqual(refusal_delay_s([never, Prediction(6.5, 1.0)], 2.0), 5.5)

    def test_the_delay_is_whole_spread_and_never_too_short(self) -> None:
        draws = [number / 100 for number in range(100)]
        delays = [retry_after_s(5.2, draw) for draw in draws]
        self.assertEqual((min(delays), max(delays)), (6, 8))
        self.assertTrue(all(5.2 <= each <= 5.2 * 1.5 + 1 for each in delays))
        self.assertEqual(retry_after_s(0.0, 0.9), 1)


class Published(unittest.TestCase):
    def make(self, options: Options) -> Cell:
        """Build a cell with one worker, two running tasks and six waiting ones."""
        cell = Cell(host("w1", cores=2))
        cell.dispatcher.options = options
        cell.add(job("1" * 16, step(2)))
        cell.started(*cell.plan())
        cell.add(job("2" * 16, step(4), step(2, after=(0,))))
        cell.now += 0.5
        return cell

    def test_the_backlog_has_running_and_waiting_work(self) -> None:
        cell = self.make(Options(projected_load=True))
        backlog = cell.dispatcher.load(cell.now)[SERVICE].backlog
        assert backlog is not None
        self.assertEqual((backlog.cores, backlog.filling), (2.0, ()))
        running, waiting = backlog.plain
        self.assertEqual(running, Work(RUNNING, 0, 1.0))
        self.assertEqual((waiting.priority, waiting.core_seconds), (0, 6.0))

    def test_work_that_a_limit_keeps_waiting_is_ahead_of_no_other(self) -> None:
        """A burst beyond one customer's limit must not get other customers' jobs refused."""
        customers = Customers([(Customer("acme", 1.0, Size(1, 0, 0)), ())])
        options = Options(early_refusal=True)
        cell = Cell(host("w1", cores=2), customers=customers, options=options)
        cell.dispatcher.reconfigure()
        cell.add(job("1" * 16, step(1), customer="acme"))
        cell.started(*cell.plan())
        cell.add(job("2" * 16, step(500), customer="acme"))
        cell.add(job("3" * 16, step(4)))
        cell.plan()
        backlog = cell.dispatcher.load(cell.now)[SERVICE].backlog
        assert backlog is not None
        waiting = [each.core_seconds for each in backlog.plain if each.priority != RUNNING]
        self.assertEqual(sum(waiting), 3.0)

    def test_nothing_is_published_unless_it_is_needed(self) -> None:
        cell = self.make(Options())
        self.assertIsNone(cell.dispatcher.load(cell.now)[SERVICE].backlog)

    def test_rows_with_and_without_the_field_are_read(self) -> None:
        cell = self.make(Options(early_refusal=True))
        loads_now = cell.dispatcher.load(cell.now)
        rows = loads(dumps(encode_loads(loads_now)))
        self.assertEqual(decode_loads(rows), loads_now)
        (values,) = rows.values()
        at = Load._fields.index("backlog")
        (load,) = decode_loads({SERVICE: values[:at]}).values()
        self.assertIsNone(load.backlog)
        for wrong in ([1], [1, 2, 3, 4], [1, 2, [[0, 0]], []], [1, 2, [[0, -1, 5]], []], "no"):
            with self.subTest(wrong), self.assertRaises((ValueError, TypeError)):
                decode_loads({SERVICE: [*values[:at], wrong, *values[at + 1 :]]})

    def test_the_field_is_small(self) -> None:
        """Every entry reads the row every 0.8 s."""
        ranks = [Work(p, r, 1234.5) for p in range(2) for r in range(len(RANK_BOUNDS) // 2)]
        backlog = Backlog(4_000.5, 2_000.5, (Work(RUNNING, 0, 1.5), *ranks), tuple(ranks))
        self.assertLessEqual(len(dumps(backlog)), 260)


class EarlyMoves(unittest.TestCase):
    def setUp(self) -> None:
        self.cell, self.balancer = Cell(host("w1", cores=1)), Balancer()
        self.cell.dispatcher.options = Options(projected_load=True)
        self.added = 0

    def add(self, *steps: Step, **fields: object) -> str:
        """Add a job that finds no room here; return its id."""
        self.added += 1
        job_id = f"{self.added:016x}"
        self.cell.add(job(job_id, *(steps or (step(1, cores=1),)), **fields))
        return job_id

    def fill(self) -> None:
        """Let a task of 4 s run here."""
        self.add(step(1, estimate_ms=4_000))
        self.cell.started(*self.cell.plan())

    def move(self, *loads: Load) -> list[str]:
        """Let the balancer run once; return the jobs that have left."""
        self.cell.plan()
        cells = [CellLoads(f"south{n}", {SERVICE: load}) for n, load in enumerate(loads)]
        self.balancer.move_stranded(self.cell.dispatcher, cells, self.cell.now)
        tracked = self.cell.dispatcher.tracked.items()
        return [job_id for job_id, each in tracked if each.progress.cell != CELL]

    def test_a_job_is_moved_before_it_is_stranded(self) -> None:
        self.fill()
        waiting = self.add()
        self.assertEqual(self.move(busy(40), busy(8)), [waiting])
        progress = self.cell.dispatcher.tracked[waiting].progress
        self.assertEqual((progress.cell, progress.moves), ("south1", 1))

    def test_a_small_gain_is_not_worth_a_move(self) -> None:
        self.fill()
        self.add()
        self.assertEqual(self.move(busy(30)), [])

    def test_work_of_the_least_priorities_is_not_ahead_of_more_urgent_jobs(self) -> None:
        """Published work counts them as one; jobs that start next were moved away."""
        self.fill()
        for priority, estimate_ms in ((LEAST_PRIORITY + 1, 1_000), (LEAST_PRIORITY + 2, 40_000)):
            tracked = self.cell.dispatcher.tracked[self.add(step(estimate_ms=estimate_ms))]
            tracked.queue = tracked.queue._replace(priority=priority)
        self.assertEqual(self.move(busy(30)), [])

    def test_nothing_is_moved_with_the_option_off(self) -> None:
        self.cell.dispatcher.options = Options()
        self.fill()
        self.add()
        self.assertEqual(self.move(busy(0)), [])

    def test_nothing_is_moved_where_nothing_is_known(self) -> None:
        self.fill()
        self.add()
        self.assertEqual(self.move(Load(8)), [])

    def test_moves_are_limited_by_rate(self) -> None:
        """A cell that looks idle for 0.8 s used to get all jobs of its neighbours."""
        self.fill()
        for _ in range(9):
            self.add()
        for count in (1, 1, 2):
            self.assertEqual(len(self.move(busy(0))), count * MOVES_PER_PASS)
            self.cell.now += PASS_INTERVAL_S * 0.6

    def test_moved_work_counts_in_the_load_of_its_cell(self) -> None:
        self.fill()
        for _ in range(4):
            self.add(step(1, cores=1, estimate_ms=2_000))
        for _ in range(8):
            moved = self.move(busy(0, cores=1.0))
            self.cell.now += PASS_INTERVAL_S
        self.assertLess(len(moved), 4)

    def test_a_job_that_was_moved_here_stays_for_a_while(self) -> None:
        self.fill()
        came = self.add()
        self.cell.dispatcher.tracked[came].progress.moves = 1
        self.assertEqual(self.move(busy(0)), [])
        self.cell.now += STAY_S - 0.1
        self.assertEqual(self.move(busy(0)), [])

    def test_filling_jobs_are_not_moved_early(self) -> None:
        """A move restarts the wait after which a filling job may start beside serving tasks."""
        self.add(step(1, filling=True, estimate_ms=4_000))
        self.cell.started(*self.cell.plan())
        self.add(step(1, cores=1, filling=True))
        self.assertEqual(self.move(busy(0)), [])

    def test_gangs_lasting_and_timed_jobs_stay(self) -> None:
        self.fill()
        self.add(step(2, gang=True))
        self.add(step(1, lasting=True))
        self.add(step(1), step(1, lasting=True, after=(0,)))
        self.add(first_due_ms=1)
        self.add(step(1, estimate_ms=0))
        self.assertEqual(self.move(busy(0)), [])

    def test_a_job_that_may_have_started_stays(self) -> None:
        self.add(step(2, estimate_ms=4_000))
        self.assertEqual(len(self.cell.plan()), 1)
        # The answer to its start is not known yet.
        self.assertEqual(self.move(busy(0)), [])
        (tracked,) = self.cell.dispatcher.tracked.values()
        self.assertEqual(tracked.progress.moves, 0)

    def test_a_job_of_a_former_holder_stays_until_it_is_proven(self) -> None:
        self.fill()
        self.added += 1
        self.cell.add(job(f"{self.added:016x}", step(1)), prior=True)
        self.cell.dispatcher.proven = False
        self.assertEqual(self.move(busy(0)), [])

    def test_a_job_is_moved_only_where_all_its_steps_can_run(self) -> None:
        self.fill()
        self.add(step(1), step(1, after=(0,), requires="special"))
        kinds = group_kinds([host("s1", cores=8, domain="south")])["south"]
        self.cell.plan()
        south = CellLoads("south", {SERVICE: busy(0)}, 0, kinds)
        self.balancer.move_stranded(self.cell.dispatcher, [south], self.cell.now)
        owners = {each.progress.cell for each in self.cell.dispatcher.tracked.values()}
        self.assertEqual(owners, {CELL})


if __name__ == "__main__":
    unittest.main()
