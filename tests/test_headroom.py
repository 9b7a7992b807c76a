"""Room for short tasks beside lasting ones, which never end."""

import unittest
from collections import Counter

from curranthall.cells.balance import Balancer, CellLoads
from curranthall.cells.dispatcher import RERUN_S
from curranthall.cells.fleet import Run
from curranthall.cells.load import Load, rate_cell
from curranthall.cells.owner import RENEW_S
from curranthall.cells.ports import EndKind, ListedRun, StartTask
from curranthall.dag import Step
from curranthall.model import Host, HostState, Size
from tests.cell_fixtures import CELL, SERVICE, Cell, ended, host, job, listed, step

WORKERS = 16
CORES = 16
LASTING = "0" * 16
SHORT = "1" * 16


def full_cell(*hosts: Host, lasting: Step | None = None) -> Cell:
    """Build a cell with more lasting tasks than fit."""
    cell = Cell(*(hosts or [host(f"w{number:02}", cores=CORES) for number in range(WORKERS)]))
    cell.add(job(LASTING, lasting or step(200, cores=3, lasting=True)))
    cell.started(*cell.plan())
    return cell


class ShortTasks(unittest.TestCase):
    def place(self, cell: Cell, short: Step) -> list[StartTask]:
        """Add a job of one step; return the starts."""
        cell.add(job(SHORT, short))
        return [order for order in cell.plan() if order.task.job == SHORT]

    def test_a_short_task_as_large_as_a_worker_finds_room_beside_lasting_ones(self) -> None:
        self.assertEqual(len(self.place(full_cell(), step(2, cores=CORES))), 2)

    def test_lasting_tasks_leave_memory_for_large_short_tasks(self) -> None:
        heavy = Step(200, Size(0.5, 12_000), lasting=True)
        large = Step(2, Size(1, CORES * 4_000), 1_000)
        self.assertEqual(len(self.place(full_cell(lasting=heavy), large)), 2)

    def test_lasting_tasks_use_all_but_an_eighth_of_the_cores(self) -> None:
        cell = full_cell(lasting=step(200, cores=4, lasting=True))
        held = sum(member.lasting.cores for member in cell.dispatcher.members.values())
        self.assertEqual(held, WORKERS * CORES * 7 / 8)

    def test_small_cells_keep_an_eighth_of_each_worker(self) -> None:
        for workers in (1, 4, 8, WORKERS - 1):
            cell = full_cell(*(host(f"w{number}", cores=CORES) for number in range(workers)))
            rooms = [member.room.cores for member in cell.dispatcher.members.values()]
            with self.subTest(workers=workers):
                self.assertGreaterEqual(min(rooms), CORES / 8)

    def test_services_keep_room_on_their_own_workers(self) -> None:
        others = [host(f"x{at}", cores=64, service="other") for at in range(9)]
        cell = full_cell(*(host(f"w{at}", cores=CORES) for at in range(WORKERS)), *others)
        self.assertEqual(len(self.place(cell, step(2, cores=CORES))), 2)


class LastingTasks(unittest.TestCase):
    """Lasting tasks that waited long although two like them would fit."""

    def runs(self, cell: Cell) -> list[Run]:
        """Return all runs of a cell."""
        return [run for each in cell.dispatcher.members.values() for run in each.runs.values()]

    def waited_cell(self, *more: Step, lasting: Step | None = None) -> Cell:
        """Build a full cell whose waiting lasting tasks, of more jobs too, may take kept room."""
        cell = full_cell(lasting=lasting)
        for number, each in enumerate(more, 2):
            cell.add(job(f"{number:016x}", each))
        cell.plan()
        cell.now += 1.6
        for name, member in cell.dispatcher.members.items():
            runs = [ListedRun(run.task, run.number, "", 100, 0) for run in member.runs.values()]
            cell.answer(name, runs)
        return cell

    def test_they_take_the_room_kept_for_short_tasks(self) -> None:
        self.assertEqual(len(self.waited_cell().plan()), 2 * CORES // 3)

    def test_they_take_the_smallest_piece_first(self) -> None:
        unreserved = (WORKERS - 2) * (CORES // 3)
        serving = step(unreserved + 1, cores=3, lasting=True, image="a", target_ms=20)
        cell = self.waited_cell(serving._replace(width=2, image="b"), lasting=serving)
        self.assertEqual(len({order.worker for order in cell.plan()}), 1)

    def test_a_new_task_that_was_moved_here_leaves_the_room_kept_for_short_tasks(self) -> None:
        cell = full_cell(lasting=step((WORKERS - 2) * (CORES // 3), cores=3, lasting=True))
        cell.add(job(SHORT, step(2, cores=3, lasting=True)))
        progress = cell.dispatcher.tracked[SHORT].progress
        progress.moved_to[0, 0, 0] = progress.moved_to[0, 0, 1] = CELL
        cell.plan()
        self.assertEqual(cell.plan(), [])

    def test_one_that_leaves_a_departing_worker_starts_where_room_is_reserved_for_it(self) -> None:
        lasting = step((WORKERS - 3) * (CORES // 3), cores=3, lasting=True)
        cell = full_cell(lasting=lasting)
        (name,) = {run.worker for run in self.runs(cell)[:1]}
        leaving = cell.member(name).host._replace(state=HostState.LEAVING, remaining_ms=1_000)
        cell.dispatcher.update_host(leaving)
        cell.plan()
        stops = cell.stops()
        self.assertEqual(len(stops), CORES // 3)
        orders = [StartTask(name, stop.task, stop.run, "", "", 0) for stop in stops]
        ends = [ended(at, order, EndKind.STOPPED) for at, order in enumerate(orders, 1)]
        cell.answer(name, [], ends)
        self.assertEqual(len(cell.plan()), CORES // 3)

    def test_room_that_they_may_not_take_is_published_as_none(self) -> None:
        cell = full_cell()
        load = cell.dispatcher.load(cell.now)[SERVICE]
        self.assertEqual(load.room(step(1, cores=3, lasting=True)), 0)
        self.assertEqual(load.slots(step(1, cores=CORES)), 2)


class SpareRoom(unittest.TestCase):
    """Lasting tasks that wait while short ones use all room that is kept for them."""

    def setUp(self) -> None:
        self.cell = Cell(host("w1", cores=CORES))
        self.cell.add(job(LASTING, step(20, cores=1, lasting=True)))
        self.cell.started(*self.cell.plan())
        self.cell.dispatcher.other_cell_loads = {SERVICE: [Load(largest=(2.0,))]}
        self.cell.add(job(SHORT, step(9, cores=2)))
        self.running = self.cell.plan()
        self.cell.started(*self.running)
        self.ends = 0

    def end_short_task(self, after_s: float) -> list[str]:
        """End a short task after a while; return the jobs of the tasks that are started then."""
        self.cell.now += after_s
        self.ends += 1
        over = self.running.pop(0)
        runs = self.cell.member("w1").runs.values()
        left = [ListedRun(run.task, run.number, "", 50, 0) for run in runs if run.task != over.task]
        self.cell.answer("w1", left, [ended(self.ends, over, EndKind.DONE)])
        started = self.cell.plan()
        self.cell.started(*started)
        self.running += [order for order in started if order.task.job == SHORT]
        return [order.task.job for order in started]

    def test_room_freed_by_a_short_task_goes_to_the_short_task_that_waits_for_it(self) -> None:
        self.assertEqual(len(self.running), 1)
        started = [self.end_short_task(after_s=0.3) for _ in range(8)]
        self.assertEqual(started, [[SHORT]] * 8)

    def test_room_that_no_short_task_takes_goes_to_a_lasting_task_that_waited(self) -> None:
        for _ in range(9):
            started = self.end_short_task(after_s=0.3)
        self.assertEqual(started, [])
        self.cell.now += 0.4
        self.assertEqual(self.cell.plan(), [])
        self.cell.now += 0.2
        self.assertEqual([order.task.job for order in self.cell.plan()], [LASTING] * 2)

    def test_a_task_that_was_moved_here_takes_room_that_was_just_freed(self) -> None:
        progress = self.cell.dispatcher.tracked[LASTING].progress
        progress.moved_to.update({(0, 0, index): CELL for index in range(20)})
        self.cell.now += 1.6
        self.assertEqual(self.end_short_task(after_s=0.0), [LASTING] * 2)


class Churn(unittest.TestCase):
    """Lasting tasks beside room that short ones take again and again for a moment."""

    # The platform's bound on the wait of a lasting task that has room.
    LIMIT_S = 3.0
    TICK_S = 0.1
    WIDTH = 2

    def setUp(self) -> None:
        self.cell = Cell(host("w1", cores=CORES), host("w2", cores=CORES))
        self.cell.add(job(LASTING, step(20, cores=2, lasting=True)))
        self.cell.started(*self.cell.plan())
        self.short: list[StartTask] = []
        self.ends: Counter[str] = Counter()

    def tick(self) -> list[StartTask]:
        """End the short tasks and advance the time; return the starts of lasting tasks."""
        cell, over = self.cell, self.short
        cell.now += self.TICK_S
        for name, member in cell.dispatcher.members.items():
            if member.silent_since is not None:
                continue
            ends = []
            for order in (each for each in over if each.worker == name):
                self.ends[name] += 1
                ends.append(ended(self.ends[name], order, EndKind.DONE))
            gone = {ending.task for ending in ends}
            runs = [run for run in member.runs.values() if run.task not in gone]
            cell.answer(name, [ListedRun(run.task, run.number, "", 50, 0) for run in runs], ends)
        cell.record()
        started = cell.plan()
        cell.started(*started)
        cell.dispatcher.tick(cell.now, cell.now - cell.now % RENEW_S)
        self.short = [order for order in started if order.task.job != LASTING]
        return [order for order in started if order.task.job == LASTING]

    def wait(self, short_every: int, seconds: float) -> float | None:
        """Return how long a lasting task waits if short ones come in every so many ticks."""
        for number in range(1, round(seconds / self.TICK_S) + 1):
            if number % short_every == 0:
                self.cell.add(job(f"{number:016x}", step(self.WIDTH, cores=2)))
            if self.tick():
                return number * self.TICK_S
        return None

    def test_lasting_tasks_start_in_time_though_short_ones_use_the_room_now_and_then(self) -> None:
        waited_s = self.wait(short_every=4, seconds=9)
        self.assertIsNotNone(waited_s)
        self.assertLess(waited_s or 0.0, self.LIMIT_S)

    def test_tasks_of_a_lost_worker_start_in_time_though_short_ones_use_the_room(self) -> None:
        cell = self.cell
        cell.dispatcher.update_host(host("w3", cores=CORES))
        cell.answer("w3")
        cell.started(*cell.plan())
        cell.member("w3").grant(cell.now, RERUN_S)
        cell.dispatcher.on_silence("w3", cell.now)
        waited_s = self.wait(short_every=4, seconds=RERUN_S + 2 * self.LIMIT_S)
        self.assertGreater(waited_s or 0.0, RERUN_S)
        self.assertLess(waited_s or 0.0, RERUN_S + self.LIMIT_S)

    def test_lasting_tasks_wait_for_room_that_short_ones_leave_only_for_moments(self) -> None:
        self.assertIsNone(self.wait(short_every=1, seconds=9))


class MustStart(unittest.TestCase):
    def test_a_lasting_task_is_moved_to_the_cell_with_whole_rooms_for_it(self) -> None:
        fragments = Load(cores=640, free=300, largest=(10.0, *(8.0,) * 15))
        rooms = Load(cores=640, free=40, largest=(20.0, 20.0))
        cell, balancer = Cell(host("w1", cores=4)), Balancer()
        cell.add(job(LASTING, step(2, cores=10, lasting=True)))
        others = [CellLoads("east", {SERVICE: fragments}), CellLoads("west", {SERVICE: rooms})]
        cell.plan()
        cell.now += 1.6
        balancer.move_stranded(cell.dispatcher, others, cell.now)
        balancer.move_stranded(cell.dispatcher, others, cell.now)
        progress = cell.dispatcher.tracked[LASTING].progress
        self.assertEqual({progress.owner((0, 0, index)) for index in range(2)}, {"west"})

    def test_rooms_reserved_for_larger_lasting_tasks_keep_no_smaller_one_waiting(self) -> None:
        cell = Cell(host("w1", cores=CORES), host("w2", cores=CORES))
        cell.add(job(SHORT, step(2, cores=9)))
        running = cell.plan()
        cell.started(*running)
        for job_id in ("2" * 16, "3" * 16):
            cell.add(job(job_id, step(1, cores=12, lasting=True)))
        cell.plan()
        cell.add(job(LASTING, step(1, cores=4, lasting=True)))
        waited_s, started = 0.0, cell.plan()
        while not started and waited_s < 2 * Churn.LIMIT_S:
            cell.now += Churn.TICK_S
            waited_s += Churn.TICK_S
            for order in running:
                cell.answer(order.worker, [listed(order, 10 * waited_s)])
            cell.dispatcher.tick(cell.now, cell.now)
            started = cell.plan()
        self.assertLess(waited_s, Churn.LIMIT_S)
        self.assertEqual([order.task.job for order in started], [LASTING])


class PublishedRoom(unittest.TestCase):
    def test_rounding_errors_of_sums_hide_no_room_that_fits_exactly(self) -> None:
        cell = Cell(host("w1", cores=8))
        sizes = (0.5, 2.7, 1.6, 1.2)
        cell.add(job(SHORT, *(step(1, cores=cores) for cores in sizes)))
        cell.plan()
        load = cell.dispatcher.load(cell.now)[SERVICE]
        self.assertLess(load.largest[0], 2.0)
        exact = step(1, cores=2.0, lasting=True)
        self.assertEqual((load.slots(exact), load.less(exact, 1).slots(exact)), (1, 0))

    def load(self, *cores: float) -> Load:
        """Measure idle workers of the given sizes."""
        cell = Cell(*(host(f"w{at:02}", cores=each) for at, each in enumerate(cores)))
        return cell.dispatcher.load(cell.now)[SERVICE]

    def test_fragments_beside_one_large_room_do_not_count_as_room_for_large_tasks(self) -> None:
        load = self.load(20, *(6,) * 20)
        self.assertEqual(load.room(step(9, cores=8)), 16)

    def test_all_free_cores_are_room_for_small_tasks(self) -> None:
        load = self.load(20, *(6,) * 20)
        self.assertEqual(load.room(step(99, cores=1)), 140)

    def test_a_cell_with_whole_rooms_is_rated_above_one_with_more_cores_in_fragments(self) -> None:
        fragments, rooms, wide = self.load(16, *(6,) * 20), self.load(16, 16, 16), step(4, cores=8)
        cells = ("north", "south")
        self.assertGreater(
            rate_cell(rooms, wide, "south", cells, 0), rate_cell(fragments, wide, "north", cells, 0)
        )


if __name__ == "__main__":
    unittest.main()
