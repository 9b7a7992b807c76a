"""Tasks that wait although other workers or cells have room for two like them."""

import unittest

from curranthall.cells.balance import CellLoads
from curranthall.cells.load import Load, Waiting
from curranthall.cells.ports import ListedRun, StartResult, StartTask
from curranthall.dag import Progress, Step, TaskId
from curranthall.model import Size
from tests import test_headroom
from tests.cell_fixtures import CELL, SERVICE, Cell, host, job, step
from tests.load import WATCHES, Plan, SimJob, Simulation
from tests.test_balance import MovesTestCase, rooms

# The platform's bound on the wait of a task that has room.
LIMIT_S = 3.0
# It holds for a lasting task from this long after its last run.
RESTART_S = 6.0
TICK_S = 0.1
CORES = 64


def waits(cell: Cell, job_id: str, seconds: float) -> float | None:
    """Return how long no task of a job starts while all runs go on; None if none starts."""
    began = cell.now
    while cell.now - began < seconds:
        cell.now += TICK_S
        for name, member in cell.dispatcher.members.items():
            percent = cell.now - began
            runs = [ListedRun(run.task, run.number, "", percent, 0) for run in member.runs.values()]
            cell.answer(name, runs)
        cell.dispatcher.tick(cell.now, cell.now)
        started = cell.plan()
        cell.started(*started)
        if any(order.task.job == job_id for order in started):
            return cell.now - began
    return None


class Reservations(unittest.TestCase):
    """Workers that are reserved for lasting tasks which don't fit as long as others run there."""

    def setUp(self) -> None:
        self.cell = Cell(host("w1", cores=CORES), host("w2", cores=CORES))

    def add(self, number: int, new_step: Step) -> list[StartTask]:
        """Add a job and plan; return the starts."""
        self.cell.add(job(f"{number:016x}", new_step))
        started = self.cell.plan()
        self.cell.started(*started)
        return started

    def test_lasting_tasks_start_on_workers_reserved_for_larger_ones(self) -> None:
        self.assertEqual(len(self.add(1, step(2, cores=40))), 2)
        self.assertEqual(self.add(2, step(2, cores=30, lasting=True)), [])
        self.add(3, step(2, cores=30, lasting=True))
        self.add(4, step(1, cores=8, lasting=True))
        self.assertIsNotNone(waits(self.cell, f"{4:016x}", RESTART_S + LIMIT_S))

    def test_short_tasks_start_on_workers_reserved_for_lasting_ones(self) -> None:
        self.assertEqual(len(self.add(1, step(2, cores=24, max_per_worker=1))), 2)
        self.add(2, step(1, cores=50, lasting=True))
        self.add(3, step(1, cores=50, lasting=True))
        self.add(4, step(1, cores=8))
        self.assertIsNotNone(waits(self.cell, f"{4:016x}", LIMIT_S))


class Moments(unittest.TestCase):
    def test_room_left_for_moments_goes_to_short_tasks_however_long_lasting_ones_wait(self) -> None:
        churn = test_headroom.Churn()
        churn.setUp()
        started: list[StartTask] = []
        for number in range(1, 300):
            # Free for 0.1 s of each second: the platform expects a start after 3 s on end.
            if number % 10:
                churn.cell.add(job(f"{number:016x}", step(churn.WIDTH, cores=2)))
            started += churn.tick()
        self.assertEqual(started, [])


class Refusals(unittest.TestCase):
    def test_a_lasting_task_that_a_worker_refuses_starts_on_another_in_time(self) -> None:
        cell = Cell(host("w1", cores=CORES), host("w2", cores=CORES))
        cell.add(job("1" * 16, step(14, cores=8, lasting=True)))
        cell.started(*cell.plan())
        cell.add(job("2" * 16, step(1, cores=8, lasting=True)))
        chosen: list[str] = []
        for _ in range(round((RESTART_S + LIMIT_S) / TICK_S)):
            cell.now += TICK_S
            for name, member in cell.dispatcher.members.items():
                runs = [ListedRun(run.task, run.number, "", 0, 0) for run in member.runs.values()]
                cell.answer(name, runs)
            cell.dispatcher.tick(cell.now, cell.now)
            for order in cell.plan():
                chosen.append(order.worker)
                cell.dispatcher.on_start_result(order, StartResult.NO_ROOM, cell.now)
        self.assertEqual(set(chosen), {"w1", "w2"})


class Rounding(unittest.TestCase):
    def test_a_lasting_task_takes_kept_room_that_it_fits_exactly(self) -> None:
        cell = Cell(host("w1", cores=CORES), host("w2", cores=CORES))
        cell.add(job("1" * 16, step(8, cores=12.8, lasting=True)))
        cell.started(*cell.plan())
        cell.add(job("2" * 16, step(1, cores=12.8, lasting=True)))
        free = [member.room.cores for member in cell.dispatcher.members.values()]
        self.assertEqual([round(each, 6) for each in free], [12.8, 12.8])
        self.assertIsNotNone(waits(cell, "2" * 16, RESTART_S + LIMIT_S))


class Moves(MovesTestCase):
    def wait(self, job_id: str, south: Load, short: Step | None, seconds: float) -> float:
        """Return how long a job stays while short ones are moved; `seconds` if it isn't moved."""
        waited_s = 0.0
        progress = self.cell.dispatcher.tracked[job_id].progress
        while progress.owner((0, 0, 0)) == CELL and waited_s < seconds:
            if short is not None:
                self.add(short)
            loads = CellLoads("south", {SERVICE: south})
            self.balancer.move_stranded(self.cell.dispatcher, [loads], self.cell.now)
            self.cell.now += TICK_S
            waited_s += TICK_S
        return waited_s

    def test_short_tasks_that_are_moved_all_the_time_hide_no_room_from_lasting_ones(self) -> None:
        lasting = self.add(step(1, cores=7, lasting=True))
        waited_s = self.wait(lasting, rooms(8.0, 8.0), step(1, cores=1), 10.0)
        self.assertLess(waited_s, LIMIT_S)

    def test_short_tasks_that_wait_for_accelerators_hide_no_room_from_others(self) -> None:
        south = Cell(*(host(f"s{at}", cores=CORES) for at in range(4)))
        south.add(job("e" * 16, Step(8, Size(32, 1_000, 1), 1_000)))
        south.plan()
        load = south.dispatcher.load(south.now)[SERVICE]
        self.assertEqual((load.free, load.waiting), (4 * CORES, Waiting(plain=8 * 32)))
        self.assertLess(self.wait(self.add(step(1, cores=4)), load, None, 10.0), LIMIT_S)

    def test_a_task_that_was_moved_away_and_back_has_waited(self) -> None:
        cell = Cell(host("w1", cores=CORES))
        cell.add(job("1" * 16, step(1, cores=4, lasting=True)))
        (order,) = cell.plan()
        cell.started(order)
        cell.dispatcher.on_gone("w1", cell.now)
        cell.record()
        cell.now += RESTART_S
        tracked = cell.dispatcher.tracked["1" * 16]
        (batch,) = tracked.batches.values()
        south = CellLoads("south", {SERVICE: rooms(8.0, 8.0)})
        cell.plan()
        cell.now += RESTART_S
        self.balancer.move_stranded(cell.dispatcher, [south], cell.now)
        self.assertEqual(tracked.progress.owner((0, 0, 0)), "south")
        cell.record()
        tracked.progress.confirm(tracked.progress)
        back = Progress(CELL, claims=dict(tracked.progress.claims))
        back.moves, back.highest_run = tracked.progress.moves + 1, tracked.progress.highest_run
        back.moved_to = {(0, 0, 0): CELL}
        cell.now += 0.6
        cell.dispatcher.refresh("1" * 16, back, tracked.version + 1, cell.now)
        self.assertEqual(batch.waiting, {0})
        cell.plan()
        cell.now += TICK_S
        self.assertTrue(cell.dispatcher.must_start(batch, cell.now))


class UnpublishedNeeds(unittest.TestCase):
    """A lasting task with a need that published rooms don't tell, and room for it in one cell."""

    def play(self, needs: Step, size: Size, labels: tuple[str, ...] = ()) -> None:
        """Free room in cell `a` once its task may wait elsewhere; check that it starts in time."""
        play = Simulation(1, Plan(workers=2), (WATCHES._replace(rate=0.0),))
        for worker in play.workers.values():
            if worker.cell == "a":
                worker.host = worker.host._replace(size=size, labels=labels)
                play.cells["a"].update_host(worker.host)
            play._send_snapshot(worker)
        for dispatcher in play.cells.values():
            dispatcher.confirm_roster(dispatcher.boot_ids())
        play._exchange_loads()
        first = self.submit(play, step(2, cores=8, lasting=True, max_per_worker=1))
        full = self.submit(play, step(2, cores=48, lasting=True, max_per_worker=1))
        play.step()
        task = TaskId(self.submit(play, needs).job.id, 0, 0, 0)
        for _ in range(30):
            play.step()
        self.assertEqual(len(play.workers["a-0"].runs), 2)
        full.cancel_at = play.now
        for _ in range(round((RESTART_S + LIMIT_S + 1) / TICK_S)):
            play.step()
        self.assertLess(play.now, first.cancel_at)
        self.assertIn(task, {each for worker in play.workers.values() for each in worker.runs})

    def submit(self, play: Simulation, new_step: Step) -> SimJob:
        """Give a lasting job to cell `a`."""
        number = len(play.jobs)
        new = job(f"{number:016x}", new_step, queue=WATCHES.queue.name)
        times = [[1.0] * new_step.width]
        sim_job = play.jobs[new.id] = SimJob(new, WATCHES, play.now, times, 1.0)
        progress = Progress("a", claims={"a": play.cells["a"].epoch})
        play.rows[new.id] = progress.encode(), 1
        play.cells["a"].adopt(new, progress, 1, play.now)
        return sim_job

    def test_a_task_with_a_label_starts_where_workers_have_it(self) -> None:
        needs = step(1, cores=10, lasting=True, requires="special")
        self.play(needs, Size(CORES, CORES * 4_000), ("special",))

    def test_a_task_with_an_accelerator_starts_where_workers_have_some(self) -> None:
        needs = Step(1, Size(10, 1_000, 1), 1_000, lasting=True)
        self.play(needs, Size(CORES, CORES * 4_000, 4))

    def test_a_task_with_much_memory_starts_where_workers_have_it(self) -> None:
        needs = Step(1, Size(10, CORES * 6_000), 1_000, lasting=True)
        self.play(needs, Size(CORES, CORES * 8_000))


if __name__ == "__main__":
    unittest.main()
