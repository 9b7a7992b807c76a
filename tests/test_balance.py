"""Moves of waiting tasks to other cells, and the room that earlier moves leave there."""

import unittest
from typing import Any

from cbor2 import dumps, loads

from curranthall.cells.balance import Balancer, CellLoads, group_kinds
from curranthall.cells.load import Load, decode_loads, encode_loads
from curranthall.dag import Step
from curranthall.model import Host, HostState, Size
from tests.cell_fixtures import CELL, SERVICE, Cell, host, job, step

LASTING = "0" * 16
# The platform's bound on the wait of a lasting task that has room.
LASTING_LIMIT_S = 3.0
TICK_S = 0.1
WAITED_S = 1.6


def rooms(*largest: float, **fields: object) -> Load:
    """Build a load with no room for lasting tasks but that kept for short ones."""
    load = Load(cores=64, free=sum(largest), idle=64, largest=largest)
    return load._replace(**fields)  # type: ignore[arg-type]


class MovesTestCase(unittest.TestCase):
    """A cell with one small worker, whose jobs find no room there."""

    def setUp(self) -> None:
        self.cell, self.balancer = Cell(host("w1", cores=1)), Balancer()
        self.added = 0

    def add(self, *steps: Step) -> str:
        """Add a job that finds no room here; return its id."""
        job_id = f"{self.added:016x}"
        self.added += 1
        self.cell.add(job(job_id, *steps))
        self.cell.plan()
        return job_id


class Needs(MovesTestCase):
    """Cells tell their free cores only; which workers they have is known from the list."""

    def move(self, new_step: Step, *cells: CellLoads) -> str:
        """Let a job wait and be moved; return the cell of its first task."""
        job_id = self.add(new_step)
        self.cell.now += 0.5
        self.cell.plan()
        self.balancer.move_stranded(self.cell.dispatcher, list(cells), self.cell.now)
        return self.cell.dispatcher.tracked[job_id].progress.owner((0, 0, 0))

    def make_cell(self, name: str, free: float, **fields: Any) -> CellLoads:
        """Build a cell with one kind of workers."""
        kinds = group_kinds([host(f"{name}-w1", cores=16, domain=name, **fields)])
        load = rooms(free, free, lasting=2 * free, largest_lasting=free)
        return CellLoads(name, {SERVICE: load}, 0, kinds[name])

    def test_tasks_are_moved_only_where_a_worker_can_run_them(self) -> None:
        """A task used to go to and fro between the cells with the most free cores."""
        large = Size(16, 100_000, 2)
        needs: dict[str, tuple[Step, dict[str, Any]]] = {
            "label": (step(1, cores=2, requires="special"), {"labels": ("special", "r9")}),
            "accelerator": (Step(1, Size(2, 1_000, 1), 1_000), {"size": large}),
            "memory": (Step(1, Size(2, 90_000), 1_000), {"size": large}),
        }
        for name, (new_step, fields) in needs.items():
            for is_lasting in (False, True):
                with self.subTest(name, is_lasting=is_lasting):
                    wanted = new_step._replace(lasting=is_lasting)
                    cells = [self.make_cell("south", 14), self.make_cell("west", 6, **fields)]
                    self.assertEqual(self.move(wanted, *cells), "west")
                    self.assertEqual(self.move(wanted, *cells[:1]), CELL)

    def test_leaving_workers_do_not_count(self) -> None:
        leaving = host("w5", domain="south", labels=("special",), state=HostState.LEAVING)
        kinds = group_kinds([leaving, host("w6", domain="south")])
        south = CellLoads("south", {SERVICE: rooms(14, 14)}, 0, kinds["south"])
        self.assertEqual(self.move(step(1, cores=2, requires="special"), south), CELL)

    def test_a_cell_with_unknown_workers_gets_any_task(self) -> None:
        south = CellLoads("south", {SERVICE: rooms(14, 14)})
        self.assertEqual(self.move(step(1, cores=2, requires="special"), south), "south")


class GangNeeds(MovesTestCase):
    """A gang needs workers for all of its members at once."""

    def publish(self, name: str, *hosts: Host) -> CellLoads:
        """Build a cell of empty workers."""
        cell = Cell(*(each._replace(domain=name) for each in hosts))
        kinds = group_kinds(member.host for member in cell.dispatcher.members.values())
        return CellLoads(name, cell.dispatcher.load(cell.now), 0, kinds[name])

    def move(self, gang: Step, *cells: CellLoads) -> str:
        """Let a gang wait and be moved; return the cell of its first member."""
        job_id = self.add(gang)
        self.cell.now += 0.5
        self.cell.plan()
        self.balancer.move_stranded(self.cell.dispatcher, list(cells), self.cell.now)
        return self.cell.dispatcher.tracked[job_id].progress.owner((0, 0, 0))

    def test_a_gang_is_moved_only_where_all_members_can_start(self) -> None:
        """A gang used to go to and fro between cells with many cores and too few workers."""
        gang = step(4, cores=2, gang=True)
        small = [host(f"s{number}", cores=4) for number in range(4)]
        large = [host(f"l{number}", cores=64) for number in range(4)]
        memory = Size(2, 20_000)
        needs: dict[str, tuple[Step, list[Host], list[Host]]] = {
            "workers": (gang._replace(max_per_worker=1), large[:3], small),
            "two a worker": (gang._replace(max_per_worker=2), large[:1], small),
            "labels": (
                gang._replace(requires="special", max_per_worker=1),
                [*large[:3], large[3]._replace(labels=("special",))],
                [each._replace(labels=("special",)) for each in small],
            ),
            "memory": (
                gang._replace(size=memory),
                [each._replace(size=Size(64, 30_000)) for each in large[:3]],
                [each._replace(size=Size(4, 30_000)) for each in small],
            ),
        }
        for name, (wanted, south_hosts, west_hosts) in needs.items():
            for is_lasting in (False, True):
                with self.subTest(name, is_lasting=is_lasting):
                    self.setUp()
                    moved = wanted._replace(lasting=is_lasting)
                    south = self.publish("south", *south_hosts)
                    west = self.publish("west", *west_hosts)
                    self.assertEqual(self.move(moved, south, west), "west")
                    self.assertEqual(self.move(moved, south), CELL)

    def test_a_gang_is_not_moved_where_other_tasks_leave_too_few_workers(self) -> None:
        west = [host(f"s{number}", cores=4) for number in range(4)]
        south = Cell(*(host(f"l{number}", cores=64, domain="south") for number in range(4)))
        south.add(job("e" * 16, step(2, cores=63, max_per_worker=1)))
        south.started(*south.plan())
        kinds = group_kinds(member.host for member in south.dispatcher.members.values())
        cells = [
            CellLoads("south", south.dispatcher.load(south.now), 0, kinds["south"]),
            self.publish("west", *west),
        ]
        gang = step(4, cores=2, gang=True, max_per_worker=1)
        self.assertEqual(self.move(gang, *cells), "west")

    def test_gangs_that_use_a_part_of_each_worker_are_moved_together(self) -> None:
        gang = step(4, cores=1, gang=True, max_per_worker=1)
        south = self.publish("south", *(host(f"l{number}", cores=4) for number in range(4)))
        self.assertEqual([self.move(gang, south) for _ in range(2)], ["south", "south"])

    def test_a_lasting_gang_is_moved_to_quarantined_workers_only_if_it_fits(self) -> None:
        gang = step(3, cores=4, gang=True, lasting=True, max_per_worker=1)
        for quarantined, wanted in (((16.0,) * 2, CELL), ((4.0,) * 3, "south")):
            with self.subTest(quarantined):
                self.setUp()
                south = CellLoads("south", {SERVICE: Load(quarantined=quarantined)})
                self.add(gang)
                for _ in range(2):
                    self.cell.now += WAITED_S
                    self.cell.plan()
                    self.balancer.move_stranded(self.cell.dispatcher, [south], self.cell.now)
                (tracked,) = self.cell.dispatcher.tracked.values()
                self.assertEqual(tracked.progress.owner((0, 0, 0)), wanted)


class LargeGangs(MovesTestCase):
    """Gangs with more members than a load lists rooms."""

    def publish(self, workers: int, cores: float, used: int = 0) -> CellLoads:
        """Build a cell of equal workers; `used` of them have half of their cores in use."""
        south = Cell(*(host(f"s{number}", cores=cores) for number in range(workers)))
        if used:
            south.add(job("e" * 16, step(used, cores=cores / 2, max_per_worker=1)))
            south.started(*south.plan())
        load = decode_loads(loads(dumps(encode_loads(south.dispatcher.load(south.now)))))
        return CellLoads("south", load)

    def wait(self, *cells: CellLoads) -> float:
        """Return how long it takes until all waiting jobs are moved, at most the limit."""
        began = self.cell.now
        tracked = self.cell.dispatcher.tracked.values()
        while self.cell.now - began < LASTING_LIMIT_S:
            if all(each.progress.owner((0, 0, 0)) != CELL for each in tracked):
                break
            self.cell.now += TICK_S
            self.cell.answer("w1")
            self.cell.plan()
            self.balancer.move_stranded(self.cell.dispatcher, list(cells), self.cell.now)
        return self.cell.now - began

    def test_a_gang_of_more_members_than_listed_rooms_is_moved_where_it_fits(self) -> None:
        """Cells publish their largest rooms only, so no cell seemed to hold such a gang."""
        self.add(step(20, cores=20, gang=True))
        self.assertLess(self.wait(self.publish(24, 32)), LASTING_LIMIT_S)

    def test_a_gang_is_not_moved_where_it_does_not_fit(self) -> None:
        for south in (self.publish(19, 32), self.publish(24, 32, used=5), self.publish(40, 16)):
            with self.subTest(south.loads[SERVICE].others):
                self.setUp()
                self.add(step(20, cores=20, gang=True))
                self.assertGreaterEqual(self.wait(south), LASTING_LIMIT_S)

    def test_two_gangs_are_not_moved_into_the_room_of_one(self) -> None:
        for _ in range(2):
            self.add(step(20, cores=20, gang=True))
        south = self.publish(30, 32)
        for _ in range(12):
            self.cell.now += TICK_S
            self.cell.answer("w1")
            self.cell.plan()
            self.balancer.move_stranded(self.cell.dispatcher, [south], self.cell.now)
        self.assertEqual(self.balancer_moves(), 1)

    def balancer_moves(self) -> int:
        """Return how many jobs were moved."""
        tracked = self.cell.dispatcher.tracked.values()
        return sum(each.progress.owner((0, 0, 0)) != CELL for each in tracked)

    def test_single_tasks_see_the_listed_rooms_only(self) -> None:
        load = self.publish(24, 32).loads[SERVICE]
        self.assertEqual((load.slots(step(1, cores=20)), load.others), (16, ((32.0, 8),)))


class Moves(MovesTestCase):
    def move(self, *others: CellLoads) -> None:
        """Run one round of moves."""
        self.balancer.move_stranded(self.cell.dispatcher, list(others), self.cell.now)

    def owner(self, job_id: str, number: int = 0) -> str:
        """Return the cell of a job's task."""
        return self.cell.dispatcher.tracked[job_id].progress.owner((0, 0, number))

    def test_filling_tasks_that_are_moved_all_the_time_hide_no_room_from_lasting_ones(self) -> None:
        lasting, south = self.add(step(1, cores=5, lasting=True)), rooms(6.0, 6.0)
        waited_s = 0.0
        while self.owner(lasting) == CELL and waited_s < 2 * LASTING_LIMIT_S:
            self.add(step(1, cores=2, filling=True, image="fill"))
            self.move(CellLoads("south", {SERVICE: south}))
            self.cell.now += TICK_S
            waited_s += TICK_S
        self.assertLess(waited_s, LASTING_LIMIT_S)

    def test_short_tasks_that_are_moved_all_the_time_hide_no_room_from_lasting_ones(self) -> None:
        lasting, south = self.add(step(1, cores=5, lasting=True)), rooms(6.0, 6.0)
        waited_s = 0.0
        while self.owner(lasting) == CELL and waited_s < 2 * LASTING_LIMIT_S:
            self.add(step(1, cores=2))
            self.move(CellLoads("south", {SERVICE: south}))
            self.cell.now += TICK_S
            waited_s += TICK_S
        self.assertLess(waited_s, LASTING_LIMIT_S)

    def test_two_lasting_tasks_are_not_sent_to_one_room(self) -> None:
        jobs = [self.add(step(1, cores=6, lasting=True)) for _ in range(3)]
        self.cell.now += WAITED_S
        for _ in range(3):
            self.move(CellLoads("south", {SERVICE: rooms(11.0, 6.0)}))
            self.cell.now += TICK_S
        self.assertEqual([self.owner(each) for each in jobs], ["south", "south", CELL])

    def test_a_short_task_is_not_sent_to_the_room_of_a_lasting_one(self) -> None:
        self.add(step(1, cores=8, lasting=True))
        short = self.add(step(1, cores=8))
        self.cell.now += WAITED_S
        south, west = rooms(10.0, 7.0, 7.0, 7.0), rooms(8.0)
        self.move(CellLoads("south", {SERVICE: south}), CellLoads("west", {SERVICE: west}))
        self.assertEqual([self.owner(LASTING), self.owner(short)], ["south", CELL])

    def test_moves_to_the_workers_of_one_service_leave_the_room_of_others(self) -> None:
        other = self.add(step(1, cores=9))
        self.cell.now += WAITED_S
        self.cell.dispatcher.tracked[other].queue = self.cell.queue._replace(service="other")
        loads = {SERVICE: rooms(20.0), "other": rooms(20.0)}
        self.move(CellLoads("south", loads))
        self.assertEqual(self.owner(other), "south")
        mine = self.add(step(1, cores=9))
        self.cell.now += 0.5
        self.move(CellLoads("south", loads))
        self.assertEqual(self.owner(mine), "south")

    def test_lasting_tasks_that_must_start_are_moved_before_those_of_older_jobs(self) -> None:
        older = job("f" * 16, step(3, cores=4, lasting=True), accepted_ms=-60_000)
        late = self.add(step(1, cores=6, lasting=True))
        self.cell.now += WAITED_S - 0.5
        self.cell.add(older)
        self.cell.plan()
        self.cell.now += 0.5
        south = rooms(6.0, 6.0, lasting=12.0, largest_lasting=6.0)
        self.move(CellLoads("south", {SERVICE: south}))
        self.assertEqual(self.owner(late), "south")


class LastRooms(unittest.TestCase):
    """A finite job with no run, and one room for it in each of two other cells."""

    def wait(self, cell: Cell, *steps: Step, idle: float = 64) -> float:
        """Return how long all tasks of the first step stay here."""
        others = [CellLoads(name, {SERVICE: rooms(8.0, idle=idle)}) for name in ("south", "west")]
        for number, each in enumerate(steps):
            cell.add(job(f"{number:016x}", each))
        balancer, waited_s = Balancer(), 0.0
        progress = cell.dispatcher.tracked[f"{0:016x}"].progress
        keys = [(0, 0, index) for index in range(steps[0].width)]
        while {progress.owner(key) for key in keys} == {CELL} and waited_s < 2 * LASTING_LIMIT_S:
            cell.plan()
            balancer.move_stranded(cell.dispatcher, others, cell.now)
            cell.now += TICK_S
            waited_s += TICK_S
        return waited_s

    def test_a_finite_task_with_room_only_elsewhere_does_not_wait_for_good(self) -> None:
        cases = {
            "plain": step(1, cores=6),
            "filling": step(1, cores=50, filling=True, image="fill"),
            "gang": step(2, cores=3, gang=True),
        }
        for name, each in cases.items():
            with self.subTest(name):
                self.assertLess(self.wait(Cell(), each), LASTING_LIMIT_S)

    def test_no_finite_job_takes_the_last_room_while_the_service_is_busy(self) -> None:
        cell = Cell(host("w1", cores=1))
        cell.add(job("f" * 16, step(1, cores=1)))
        cell.plan()
        self.assertGreater(self.wait(cell, step(1, cores=6), idle=8.0), LASTING_LIMIT_S)

    def test_no_finite_job_takes_the_last_room_beside_a_lasting_task_that_needs_it(self) -> None:
        lasting = step(1, cores=9, lasting=True)
        self.assertGreater(self.wait(Cell(), step(1, cores=6), lasting), LASTING_LIMIT_S)

    def test_no_job_with_a_run_takes_the_last_room(self) -> None:
        cell = Cell(host("w1", cores=6))
        self.assertGreater(self.wait(cell, step(2, cores=6)), LASTING_LIMIT_S)


class LeftRoom(unittest.TestCase):
    LOAD = Load(
        cores=64,
        free=21,
        idle=30,
        filling={"fill": 12.0},
        lasting=14,
        largest_lasting=9,
        largest=(9.0, 7.0, 5.0),
        quarantined=(20.0,),
    )

    def test_a_task_takes_the_smallest_room_that_fits_it(self) -> None:
        left = self.LOAD.less(step(1, cores=6, lasting=True), 1)
        self.assertEqual((left.largest, left.free, left.lasting), ((9.0, 5.0, 1.0), 15, 8))
        self.assertEqual((left.idle, left.filling), (24, {"fill": 6.0}))

    def test_filling_tasks_take_only_idle_cores(self) -> None:
        left = self.LOAD.less(step(1, cores=6, filling=True, image="fill"), 2)
        self.assertEqual((left.idle, left.filling), (18, {"fill": 0.0}))
        self.assertEqual(left._replace(idle=30, filling={"fill": 12.0}), self.LOAD)

    def test_lasting_tasks_without_other_room_take_that_of_quarantined_workers(self) -> None:
        left = self.LOAD.less(step(1, cores=12, lasting=True), 1)
        self.assertEqual(left, self.LOAD._replace(quarantined=(8.0,)))

    def test_a_room_is_used_up_by_as_many_tasks_as_fit(self) -> None:
        room = Load(cores=64, free=33.9, largest=(33.9,))
        task = step(1, cores=16.95, lasting=True)
        self.assertEqual([room.less(task, count).slots(task) for count in range(3)], [2, 1, 0])


if __name__ == "__main__":
    unittest.main()
