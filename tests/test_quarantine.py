"""Quarantined workers: what may still start on them, and which runs lead to a quarantine."""

import unittest

from curranthall.cells.balance import Balancer, CellLoads
from curranthall.cells.dispatcher import LASTING_WAIT_S, NO_ROOM_PAUSE_S
from curranthall.cells.fleet import QUARANTINE_S, STALL_S, Run
from curranthall.cells.load import Load, decode_loads, encode_loads
from curranthall.cells.ports import EndKind, ListedRun, StartResult, StartTask
from curranthall.dag import Step
from curranthall.model import Host, HostState
from tests.cell_fixtures import CELL, SERVICE, Cell, ended, host, job, listed, step, task

LASTING = step(1, cores=2, lasting=True)


def quarantined_cell(*hosts: Host) -> Cell:
    """Build a cell in which three runs failed on `w1`, its first worker."""
    cell = Cell(host("w1"), max_attempts=9)
    cell.add(job("f" * 16, step(3)))
    orders = cell.plan()
    cell.started(*orders)
    cell.answer("w1", [], [ended(at, each, EndKind.FAILED) for at, each in enumerate(orders, 1)])
    cell.record()
    cell.dispatcher.tracked["f" * 16].pause_until = float("inf")
    for each in hosts:
        cell.dispatcher.update_host(each)
        cell.answer(each.name)
    return cell


def wait(cell: Cell, seconds: float = LASTING_WAIT_S + 0.1) -> list[StartTask]:
    """Plan, let time pass in which all workers answer, and return the starts ordered then."""
    assert cell.plan() == []
    cell.now += seconds
    for name in cell.dispatcher.members:
        cell.answer(name)
    return cell.plan()


class LastResort(unittest.TestCase):
    def test_a_lasting_task_that_found_no_other_room_for_long_starts_on_a_quarantined_worker(
        self,
    ) -> None:
        cell = quarantined_cell()
        cell.add(job("0" * 16, LASTING))
        self.assertEqual([order.worker for order in wait(cell)], ["w1"])

    def test_a_lasting_task_waits_for_another_worker_first(self) -> None:
        cell = quarantined_cell()
        cell.add(job("0" * 16, LASTING))
        self.assertEqual(wait(cell, LASTING_WAIT_S / 2), [])

    def test_a_sound_worker_with_room_comes_first(self) -> None:
        cell = quarantined_cell(host("w2", cores=1))
        cell.add(job("0" * 16, LASTING))
        self.assertEqual(cell.plan(), [])
        cell.dispatcher.update_host(host("w3"))
        cell.now += LASTING_WAIT_S + 0.1
        for name in ("w1", "w2", "w3"):
            cell.answer(name)
        self.assertEqual([order.worker for order in cell.plan()], ["w3"])

    def test_room_kept_on_a_sound_worker_comes_before_a_quarantined_one(self) -> None:
        cell = quarantined_cell(host("w2", cores=2))
        cell.add(job("0" * 16, LASTING))
        self.assertEqual([order.worker for order in wait(cell)], ["w2"])

    def test_a_task_that_was_moved_here_does_not_wait_again(self) -> None:
        cell = quarantined_cell()
        accepted_ms = -int(LASTING_WAIT_S * 1000)
        cell.add(job("0" * 16, LASTING, accepted_ms=accepted_ms))
        progress = cell.dispatcher.tracked["0" * 16].progress
        progress.moved_to[0, 0, 0] = CELL
        self.assertEqual([order.worker for order in wait(cell, 0.1)], ["w1"])

    def test_no_other_task_starts_on_a_quarantined_worker(self) -> None:
        cell = quarantined_cell()
        cell.add(job("0" * 16, step(1)))
        cell.add(job("1" * 16, step(1, filling=True)))
        self.assertEqual(wait(cell, QUARANTINE_S - 0.1), [])

    def test_a_worker_that_just_refused_for_want_of_room_gets_no_task(self) -> None:
        cell = quarantined_cell()
        cell.add(job("0" * 16, LASTING))
        (order,) = wait(cell)
        cell.dispatcher.on_start_result(order, StartResult.NO_ROOM, cell.now)
        cell.dispatcher.members["w1"].quarantine(cell.now)
        self.assertEqual(wait(cell, NO_ROOM_PAUSE_S - 0.1), [])
        self.assertEqual(len(wait(cell)), 1)

    def test_a_silent_missing_leaving_or_unconfirmed_worker_gets_no_task(self) -> None:
        def restart(cell: Cell) -> None:
            cell.answer("w1", born=2_000, confirm=False)

        def leave(cell: Cell) -> None:
            cell.dispatcher.update_host(host("w1", state=HostState.LEAVING))

        for disturb in (
            restart,
            leave,
            lambda cell: cell.dispatcher.on_silence("w1", cell.now),
            lambda cell: cell.dispatcher.mark_host_missing("w1", cell.now),
        ):
            cell = quarantined_cell()
            cell.add(job("0" * 16, LASTING))
            self.assertEqual(cell.plan(), [])
            cell.now += LASTING_WAIT_S + 0.1
            cell.answer("w1")
            disturb(cell)
            self.assertEqual(cell.plan(), [])

    def test_a_task_that_fails_on_a_quarantined_worker_does_not_start_there_again_and_again(
        self,
    ) -> None:
        cell = quarantined_cell()
        cell.add(job("0" * 16, LASTING))
        (order,) = wait(cell)
        cell.started(order)
        cell.answer("w1", [], [ended(4, order, EndKind.FAILED)])
        cell.member("w1").quarantine(cell.now)
        self.assertEqual(wait(cell), [])

    def test_a_cell_publishes_the_room_on_quarantined_workers_for_waiting_lasting_tasks_only(
        self,
    ) -> None:
        load = quarantined_cell().dispatcher.load(100.0)[SERVICE]
        self.assertEqual(load.slots_of_last_resort(LASTING), 4)
        for other in (LASTING, step(1), step(1, filling=True)):
            self.assertLessEqual(load.room(other), 0.0)
        self.assertEqual((load.cores, load.free, load.idle, load.slots(LASTING)), (0, 0, 0, 0))
        self.assertEqual(decode_loads(encode_loads({SERVICE: load})), {SERVICE: load})

    def test_later_fields_of_a_published_load_are_ignored(self) -> None:
        load = Load(cores=4.0, quarantined=(3.0,))
        rows = {SERVICE: [*encode_loads({SERVICE: load})[SERVICE], "more"]}
        self.assertEqual(decode_loads(rows), {SERVICE: load})

    def moved_to(self, *loads: CellLoads, new: Step = LASTING) -> str:
        """Return the cell that owns a task after it waited in a cell without workers."""
        cell = Cell(host("w1", cores=1))
        cell.add(job("0" * 16, new))
        cell.plan()
        cell.now += LASTING_WAIT_S + 0.1
        Balancer().move_stranded(cell.dispatcher, list(loads), cell.now)
        return cell.dispatcher.tracked["0" * 16].progress.owner((0, 0, 0))

    def test_a_lasting_task_moves_to_a_cell_whose_only_room_is_on_quarantined_workers(
        self,
    ) -> None:
        doubtful = CellLoads("east", {SERVICE: Load(quarantined=(9.0, 9.0))})
        self.assertEqual(self.moved_to(doubtful), "east")
        self.assertEqual(self.moved_to(doubtful, new=step(1, cores=2)), CELL)

    def test_a_cell_with_room_on_sound_workers_comes_first(self) -> None:
        doubtful = CellLoads("east", {SERVICE: Load(quarantined=(9.0, 9.0))})
        sound = Load(cores=4.0, free=4.0, largest=(4.0,))
        self.assertEqual(self.moved_to(doubtful, CellLoads("west", {SERVICE: sound})), "west")


class StandingStill(unittest.TestCase):
    POLL_S = 0.2

    def filling_cell(self, *busy: Step) -> Cell:
        """Build a cell with two filling runs of 2 cores, beside jobs of the given steps."""
        cell = Cell(host("w1"))
        cell.add(job("1" * 16, step(2, cores=2, filling=True, image="fill")))
        cell.started(*cell.plan())
        for number, each in enumerate(busy, 2):
            cell.add(job(f"{number}" * 16, each))
        cell.started(*cell.plan())
        # No tail is reported, so the pace is set by the tests only.
        cell.member("w1").pace_changed_at = float("inf")
        return cell

    def stand_still(self, cell: Cell, seconds: float, pace: int = 100) -> int:
        """Let filling runs stand still at a pace while others progress; return the stops."""
        member, stopped = cell.member("w1"), 0
        member.pace, member.pace_all = pace, True
        for _ in range(round(seconds / self.POLL_S)):
            cell.now += self.POLL_S
            for run in member.runs.values():
                if run.step.filling:
                    member.set_pace(run, pace)
            cell.answer("w1", [self.report(run, cell.now) for run in member.runs.values()])
            stopped += len(cell.stops())
        return stopped

    def report(self, run: Run, now: float) -> ListedRun:
        """Build the listing of a run, which progresses unless it fills."""
        return ListedRun(run.task, run.number, "", 30 if run.step.filling else now % 100, 0)

    def test_filling_runs_without_progress_beside_idle_cores_are_stalled(self) -> None:
        cell = self.filling_cell()
        self.assertEqual(self.stand_still(cell, STALL_S), 0)
        self.assertEqual(self.stand_still(cell, 0.6), 2)
        self.assertTrue(cell.member("w1").is_quarantined(cell.now))

    def test_filling_runs_that_others_leave_no_core_are_not_stalled(self) -> None:
        cell = self.filling_cell(step(1, cores=8))
        self.assertEqual(self.stand_still(cell, 6.0), 0)
        self.assertFalse(cell.member("w1").is_quarantined(cell.now))

    def test_filling_runs_with_half_of_their_cores_have_twice_the_time_to_progress(self) -> None:
        cell = self.filling_cell(step(1, cores=6))
        self.assertEqual(self.stand_still(cell, 2 * STALL_S), 0)
        self.assertEqual(self.stand_still(cell, 1.0), 2)

    def test_a_paused_run_that_resumes_has_time_to_progress(self) -> None:
        cell = self.filling_cell()
        self.assertEqual(self.stand_still(cell, 5.0, pace=0), 0)
        self.assertEqual(self.stand_still(cell, STALL_S - 2 * self.POLL_S), 0)
        self.assertEqual(self.stand_still(cell, 1.0), 2)

    def test_a_slowed_run_has_more_time_to_progress(self) -> None:
        cell = self.filling_cell()
        self.assertEqual(self.stand_still(cell, 4.8 * STALL_S, pace=20), 0)
        self.assertEqual(self.stand_still(cell, 0.6 * STALL_S, pace=20), 2)

    def taken_cell(self) -> Cell:
        """Build a taken cell whose only worker lists a filling run of the former holder."""
        cell = Cell(settled=False)
        cell.dispatcher.take_over([host("w1")], cell.now + 9)
        cell.add(job("1" * 16, step(1, cores=2, filling=True, image="fill")), prior=True)
        cell.answer("w1", [ListedRun(task("1" * 16), 3, "", 30, 0)])
        return cell

    def test_a_run_that_a_former_holder_paused_is_resumed(self) -> None:
        cell = self.taken_cell()
        (order,) = cell.paces()
        self.assertEqual((order.run, order.percent), (3, 100))
        self.assertEqual(self.stand_still(cell, STALL_S - self.POLL_S), 0)
        self.assertEqual(self.stand_still(cell, 0.6), 1)

    def test_a_plain_run_without_progress_on_a_full_worker_is_stalled(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("1" * 16, step(1, cores=8)))
        (order,) = cell.plan()
        cell.started(order)
        for _ in range(4):
            cell.now += 0.8
            cell.answer("w1", [listed(order, 30)])
        self.assertEqual(len(cell.stops()), 1)


if __name__ == "__main__":
    unittest.main()
