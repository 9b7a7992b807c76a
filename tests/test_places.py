"""Places of lasting tasks: the workers they wait for after a takeover; none runs twice."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from curranthall.cells.balance import Balancer, CellLoads
from curranthall.cells.load import Load
from curranthall.cells.owner import guess_roster
from curranthall.cells.ports import Ending, EndKind, ListedRun, StartResult, StartTask
from curranthall.dag import Phase, Progress, Step
from curranthall.dag.progress import Place, decode_progress
from curranthall.model import HostState, Size
from tests import takeover
from tests.cell_fixtures import (
    BORN,
    CELL,
    EPOCH,
    SERVICE,
    Cell,
    claimed_progress,
    ended,
    host,
    job,
    listed,
    step,
    task,
)
from tests.cluster import now
from tests.test_takeover import CELL as SPLIT_CELL
from tests.test_takeover import POLL_S, SplitCell, make_job, make_step
from tests.virtual import run

JOB = "0" * 16
LASTING = step(2, lasting=True)
FIRST, SECOND = (0, 0, 0), (0, 0, 1)
FORMER_RUN = (EPOCH - 1) * 1_000_000 + 1
PROOF_S = 9.0
# A vacant cell is taken this soon, and the platform allows a lasting task to wait this long.
TAKE_S = 3.0
WAIT_S = 3.0
# Random simulations that fail if places hold nothing up.
SEEDS = (1, 3, 9)


def stored(progress: Progress) -> Progress:
    """Return the progress as a reader of the row decodes it."""
    return decode_progress(progress.encode())


class Recorded(unittest.TestCase):
    """A start is sent only after the row that names its worker is committed."""

    def setUp(self) -> None:
        """Place the only task of a lasting job on the only worker."""
        self.cell = Cell(host("w1"))
        self.cell.add(job(JOB, step(1, lasting=True)))
        self.assertEqual(self.starts(), [])
        self.tracked = self.cell.dispatcher.tracked[JOB]

    def starts(self) -> list[StartTask]:
        """Plan and return the starts, without a commit."""
        self.cell.dispatcher.plan(self.cell.now)
        return self.cell.take(StartTask)

    def test_a_start_waits_for_its_row_and_its_deadline_counts_from_then(self) -> None:
        cell = self.cell
        (place,) = (stored(self.tracked.progress).places or {}).values()
        self.assertEqual(place.worker, "w1")
        cell.now += 2
        cell.answer("w1")
        self.assertEqual(self.starts(), [])
        cell.record()
        (order,) = self.starts()
        self.assertEqual(order.run, place.run)
        self.assertEqual(order.deadline_ms, int(cell.now * 1000) + 1_500)
        self.assertEqual(self.starts(), [])

    def test_a_row_that_was_written_before_the_placement_does_not_count(self) -> None:
        cell = self.cell
        cell.dispatcher.note_recorded(self.tracked, self.tracked.change - 1, 2)
        self.assertEqual(self.starts(), [])
        cell.dispatcher.note_recorded(self.tracked, self.tracked.change, 3)
        self.assertEqual(len(self.starts()), 1)

    def test_nothing_is_sent_after_a_later_holder_claimed_the_job(self) -> None:
        self.cell.record()
        self.cell.dispatcher.refresh(JOB, claimed_progress(EPOCH + 1), 9, self.cell.now)
        self.assertEqual(self.starts(), [])
        self.assertEqual(self.cell.member("w1").runs, {})

    def test_nothing_is_sent_once_the_cell_is_closed_or_released(self) -> None:
        for releasing in (False, True):
            self.setUp()
            dispatcher = self.cell.dispatcher
            dispatcher.closed, dispatcher.releasing = True, releasing
            self.cell.record()
            self.assertEqual(self.starts(), [])
            dispatcher.closed = dispatcher.releasing = False
            self.assertEqual(self.starts(), [])
            self.assertEqual(len(self.cell.plan()), 1)

    def test_an_unsent_start_does_not_put_off_the_lease_end_handed_over(self) -> None:
        self.assertIsNotNone(self.cell.dispatcher.lease_end(self.cell.member("w1"), self.cell.now))

    def test_a_worker_that_became_unusable_gets_nothing_and_another_one_does(self) -> None:
        def leave(cell: Cell) -> None:
            cell.dispatcher.update_host(host("w1", state=HostState.LEAVING))

        def restart(cell: Cell) -> None:
            cell.answer("w1", born=BORN + 1, confirm=False)

        def fall_silent(cell: Cell) -> None:
            cell.dispatcher.on_silence("w1", cell.now)

        def go(cell: Cell) -> None:
            cell.dispatcher.on_gone("w1", cell.now)

        for change in (leave, restart, fall_silent, go):
            with self.subTest(change.__name__):
                self.setUp()
                change(self.cell)
                self.cell.record()
                self.assertEqual(self.starts(), [])
                self.cell.dispatcher.update_host(host("w2"))
                self.cell.answer("w2")
                # The renewal that confirms w2 also confirms a new boot of w1.
                expected = "w1" if change is restart else "w2"
                self.assertEqual([order.worker for order in self.cell.plan()], [expected])

    def test_a_cancelled_job_is_neither_started_nor_stopped(self) -> None:
        self.cell.dispatcher.refresh(JOB, Progress(CELL, Phase.CANCELLED), 2, self.cell.now)
        self.cell.record()
        self.assertEqual(self.starts(), [])
        self.assertEqual(self.cell.stops(), [])
        self.assertEqual(self.cell.member("w1").runs, {})

    def test_a_run_that_was_not_sent_is_not_suspected_of_a_crash(self) -> None:
        self.cell.dispatcher.on_silence("w1", self.cell.now)
        self.assertEqual(self.tracked.progress.doubts, {})

    def test_a_listed_run_of_the_task_replaces_one_that_was_not_sent(self) -> None:
        self.cell.dispatcher.update_host(host("w2"))
        self.cell.answer("w2", [ListedRun(task(), 5, "", 100, 0)])
        self.cell.record()
        self.assertEqual(self.starts(), [])
        self.assertEqual(self.cell.stops(), [])
        self.assertEqual([each.number for each in self.cell.member("w2").runs.values()], [5])

    def test_a_gang_is_dropped_as_a_whole(self) -> None:
        for silent in (0, 1):
            cell = Cell(*(host(f"w{at}") for at in range(3)))
            cell.add(job(JOB, step(2, lasting=True, gang=True, max_per_worker=1)))
            cell.dispatcher.plan(cell.now)
            busy = [name for name in ("w0", "w1", "w2") if cell.member(name).runs]
            cell.dispatcher.on_silence(busy[silent], cell.now)
            cell.record()
            cell.dispatcher.plan(cell.now)
            self.assertEqual((cell.take(StartTask), cell.stops()), ([], []))
            self.assertEqual(len(cell.plan()), 2)

    def test_finite_tasks_start_without_a_write(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job(JOB, step(2), step(1, lasting=True, copies=True)))
        cell.dispatcher.plan(cell.now)
        self.assertEqual(len(cell.take(StartTask)), 3)
        self.assertEqual(cell.dispatcher.dirty, {})


class Held(unittest.TestCase):
    """A task of a former holder waits for the worker of its last start."""

    def taken(self, *steps: Step, **fields: Any) -> Cell:
        """Build a taken cell of w1 and w2, of which w2 answered, and a job from before."""
        cell = Cell(settled=False)
        cell.dispatcher.take_over([host("w1"), host("w2")], cell.now + PROOF_S, now=cell.now)
        progress = claimed_progress(EPOCH - 1, **fields)
        cell.dispatcher.adopt(job(JOB, *(steps or (LASTING,))), progress, 1, cell.now)
        cell.answer("w2")
        cell.record()
        return cell

    def planned(self, cell: Cell) -> list[int]:
        """Return the numbers of the tasks that start."""
        return [order.task.number for order in cell.plan()]

    def test_a_task_waits_for_the_worker_of_its_last_start_and_the_others_do_not(self) -> None:
        cell = self.taken(places={FIRST: Place(FORMER_RUN, "w1")})
        self.assertEqual(self.planned(cell), [1])

    def test_a_task_of_a_worker_that_answered_or_left_the_cell_does_not_wait(self) -> None:
        places = {FIRST: Place(FORMER_RUN, "w2"), SECOND: Place(FORMER_RUN, "elsewhere")}
        self.assertEqual(self.planned(self.taken(places=places)), [0, 1])

    def test_a_task_listed_by_its_worker_is_not_started(self) -> None:
        cell = Cell(settled=False)
        cell.dispatcher.take_over([host("w1"), host("w2")], cell.now + PROOF_S, now=cell.now)
        cell.answer("w2", [ListedRun(task(), FORMER_RUN, "", 100, 0)])
        row = claimed_progress(EPOCH - 1, places={FIRST: Place(FORMER_RUN, "w2")})
        cell.dispatcher.adopt(job(JOB, LASTING), row, 1, cell.now)
        cell.answer("w2", [ListedRun(task(), FORMER_RUN, "", 100, 0)])
        cell.record()
        self.assertEqual(self.planned(cell), [1])
        end = Ending(1, task(), FORMER_RUN, EndKind.LAPSED, "")
        cell.answer("w2", [], [end])
        self.assertEqual(self.planned(cell), [0])

    def test_a_held_task_starts_once_its_worker_answers_or_is_gone_or_lapses(self) -> None:
        def answer(cell: Cell) -> None:
            cell.answer("w1")

        def go(cell: Cell) -> None:
            cell.dispatcher.on_gone("w1", cell.now)

        def lapse(cell: Cell) -> None:
            cell.now += PROOF_S
            cell.dispatcher.tick(cell.now, cell.now)
            cell.answer("w2", self.running)

        for prove in (answer, go, lapse):
            with self.subTest(prove.__name__):
                cell = self.taken(places={FIRST: Place(FORMER_RUN, "w1")})
                (other,) = cell.plan()
                cell.started(other)
                self.running = [listed(other)]
                prove(cell)
                self.assertEqual(self.planned(cell), [0])

    def test_an_incomplete_answer_frees_nothing(self) -> None:
        cell = self.taken(places={FIRST: Place(FORMER_RUN, "w1")})
        ends = [Ending(at, task("f" * 16), at, EndKind.DONE, "") for at in range(1, 501)]
        cell.answer("w1", [], ends)
        self.assertEqual(self.planned(cell), [1])

    def test_nothing_starts_before_the_row_names_this_epoch(self) -> None:
        cell = Cell(settled=False)
        cell.dispatcher.take_over([host("w1"), host("w2")], cell.now + PROOF_S, now=cell.now)
        cell.answer("w2")
        cell.add(job(JOB, LASTING), prior=True)
        self.assertEqual(self.planned(cell), [])
        cell.record()
        self.assertEqual(self.planned(cell), [0, 1])

    def test_a_start_that_the_claim_runs_into_holds_its_task(self) -> None:
        cell = Cell(settled=False)
        cell.dispatcher.take_over([host("w1"), host("w2")], cell.now + PROOF_S, now=cell.now)
        cell.answer("w2")
        cell.add(job(JOB, LASTING), prior=True)
        row = claimed_progress(EPOCH - 1, places={FIRST: Place(FORMER_RUN, "w1")})
        cell.dispatcher.refresh(JOB, row, 2, cell.now)
        cell.record()
        self.assertEqual(self.planned(cell), [1])

    def test_rows_without_the_record_wait_for_all_workers(self) -> None:
        cell = self.taken(places=None)
        self.assertEqual(self.planned(cell), [])
        cell.answer("w1")
        self.assertEqual(self.planned(cell), [])
        cell.dispatcher.note_rows_read()
        self.assertEqual(self.planned(cell), [])
        cell.record()
        self.assertEqual(self.planned(cell), [0, 1])

    def test_a_guessed_roster_holds_all_tasks(self) -> None:
        cell = Cell(settled=False)
        roster = guess_roster(CELL, [host("w2")])
        cell.dispatcher.take_over(roster, cell.now + PROOF_S, now=cell.now)
        cell.answer("w2")
        cell.add(job(JOB, LASTING), prior=True)
        cell.record()
        self.assertEqual(self.planned(cell), [])
        cell.now += PROOF_S
        cell.dispatcher.tick(cell.now, cell.now)
        cell.answer("w2")
        self.assertEqual(self.planned(cell), [0, 1])

    def test_finite_tasks_and_copies_of_a_claimed_job_wait_for_all_workers(self) -> None:
        steps = (LASTING, step(1), step(1, lasting=True, copies=True))
        cell = self.taken(*steps)
        self.assertEqual({order.task.step for order in cell.plan()}, {0})
        cell.answer("w1")
        self.assertEqual(cell.plan(), [])
        cell.dispatcher.note_rows_read()
        # An end that the former holder recorded and acknowledged since makes the next write fail.
        self.assertEqual(cell.plan(), [])
        cell.record()
        self.assertEqual({order.task.step for order in cell.plan()}, {1, 2})

    def test_a_gang_is_held_if_any_of_its_tasks_is(self) -> None:
        gang = step(2, lasting=True, gang=True)
        cell = self.taken(gang, places={SECOND: Place(FORMER_RUN, "w1")})
        self.assertEqual(self.planned(cell), [])
        cell.answer("w1")
        self.assertEqual(self.planned(cell), [0, 1])

    def test_a_held_task_is_not_moved_and_neither_is_the_whole_job(self) -> None:
        cell = self.taken(LASTING, step(1), places={FIRST: Place(FORMER_RUN, "w1")})
        cell.dispatcher.closed = True
        room = Load(cores=64, free=64, idle=64, lasting=64, largest=(8, 8), largest_lasting=8)
        Balancer().move_stranded(cell.dispatcher, [CellLoads("south", {SERVICE: room})], cell.now)
        progress = cell.dispatcher.tracked[JOB].progress
        self.assertEqual((progress.cell, progress.moved_to), (CELL, {SECOND: "south"}))

    def test_a_job_with_tasks_that_a_former_holder_may_run_is_not_moved_as_a_whole(self) -> None:
        cell = self.taken(LASTING, step(1))
        cell.dispatcher.closed = True
        room = Load(cores=64, free=64, idle=64, lasting=64, largest=(8, 8), largest_lasting=8)
        Balancer().move_stranded(cell.dispatcher, [CellLoads("south", {SERVICE: room})], cell.now)
        progress = cell.dispatcher.tracked[JOB].progress
        self.assertEqual(progress.cell, CELL)
        self.assertEqual(progress.moved_to, {FIRST: "south", SECOND: "south"})

    def test_held_tasks_count_as_waiting(self) -> None:
        cell = self.taken(places={FIRST: Place(FORMER_RUN, "w1")})
        cell.dispatcher.closed = True
        cell.dispatcher.tick(cell.now, cell.now)
        self.assertEqual(cell.dispatcher.lasting_waits[0].tasks, 2)
        cell.dispatcher.closed = False
        cell.started(*cell.plan())
        cell.now += 3
        cell.dispatcher.tick(cell.now, cell.now)
        (wait,) = cell.dispatcher.lasting_waits
        self.assertEqual((wait.tasks, wait.waited_s, wait.why), (1, 3.0, "held"))
        batch = cell.dispatcher.tracked[JOB].batches[0, 0]
        self.assertEqual(batch.count_unavailable(), 2)
        self.assertEqual(cell.dispatcher.load(cell.now)[SERVICE].waiting.lasting, 1)


class Over(unittest.TestCase):
    """A run that is over is recorded, so that no later holder waits for its worker."""

    def setUp(self) -> None:
        """Start the only task of a lasting job on the only worker, unanswered so far."""
        self.cell = Cell(host("w1"))
        self.cell.add(job(JOB, step(1, lasting=True)))
        (self.order,) = self.cell.plan()

    def place(self) -> str:
        """Return the worker that the job's row names once it is written."""
        self.cell.record()
        progress = self.cell.dispatcher.tracked[JOB].progress
        return (stored(progress).places or {})[FIRST].worker

    def test_the_place_of_a_run_that_ended_or_lapsed_or_went_names_no_worker(self) -> None:
        def end(cell: Cell) -> None:
            cell.answer("w1", [], [ended(1, self.order, EndKind.FAILED)])

        def lapse(cell: Cell) -> None:
            cell.dispatcher.on_silence("w1", cell.now)
            cell.now += 20
            cell.dispatcher.tick(cell.now, cell.now)

        def restart(cell: Cell) -> None:
            cell.answer("w1", born=BORN + 1)

        def go(cell: Cell) -> None:
            cell.dispatcher.on_gone("w1", cell.now)

        for lose in (end, lapse, restart, go):
            with self.subTest(lose.__name__):
                self.setUp()
                self.cell.started(self.order)
                self.cell.answer("w1", [listed(self.order)])
                self.assertEqual(self.place(), "w1")
                lose(self.cell)
                self.assertEqual(self.place(), "")

    def test_the_place_of_a_refused_start_names_no_worker(self) -> None:
        self.cell.dispatcher.on_start_result(self.order, StartResult.NO_ROOM, self.cell.now)
        self.assertEqual(self.place(), "")

    def test_the_place_of_an_unanswered_start_that_may_come_late_names_its_worker(self) -> None:
        cell = self.cell
        cell.dispatcher.on_start_unanswered(self.order, cell.now)
        cell.now += 5
        cell.answer("w1")
        self.assertEqual(cell.member("w1").runs, {})
        self.assertEqual(self.place(), "w1")

    def test_the_end_of_an_earlier_run_leaves_the_place_of_the_last_start(self) -> None:
        cell = self.cell
        cell.started(self.order)
        tracked = cell.dispatcher.tracked[JOB]
        tracked.progress.set_place(FIRST, self.order.run + 1, "w2")
        cell.answer("w1", [], [ended(1, self.order, EndKind.FAILED)])
        self.assertEqual(self.place(), "w2")


class Rows(unittest.TestCase):
    """The record of places in a job's row."""

    def test_places_are_stored_until_the_job_ends(self) -> None:
        row = Progress(CELL, places={FIRST: Place(5, "w1"), SECOND: Place(6, "w1")})
        self.assertEqual(stored(row).places, row.places)
        self.assertEqual(stored(Progress(CELL)).places, {})
        row.phase = Phase.CANCELLED
        self.assertIsNone(stored(row).places)

    def test_the_last_start_is_kept(self) -> None:
        for first, second in ((5, 6), (6, 5)):
            row = Progress(CELL, places={FIRST: Place(first, f"w{first}")})
            row.merge(Progress(CELL, places={FIRST: Place(second, f"w{second}")}), CELL, EPOCH)
            self.assertEqual(row.places, {FIRST: Place(6, "w6")})

    def test_a_start_that_is_over_stays_so_beside_the_row_that_names_its_worker(self) -> None:
        for own, other in (("", "w1"), ("w1", "")):
            row = Progress(CELL, places={FIRST: Place(5, own)})
            row.merge(Progress(CELL, places={FIRST: Place(5, other)}), CELL, EPOCH)
            self.assertEqual(stored(row).places, {FIRST: Place(5, "")})
            row.merge(Progress(CELL, places={FIRST: Place(6, "w2")}), CELL, EPOCH)
            self.assertEqual(row.places, {FIRST: Place(6, "w2")})

    def test_a_writer_without_the_record_makes_it_unknown(self) -> None:
        row = Progress(CELL, places={FIRST: Place(5, "w1")})
        row.merge(Progress(CELL, places=None), CELL, EPOCH)
        row.set_place(SECOND, 6, "w1")
        self.assertIsNone(stored(row).places)

    def test_a_started_job_is_not_moved_as_a_whole(self) -> None:
        row = Progress(CELL)
        row.move_job("south")
        row.merge(Progress(CELL, places={FIRST: Place(5, "w1")}), CELL, EPOCH)
        self.assertEqual(row.cell, CELL)


class Takeover(unittest.TestCase):
    """Takeovers in virtual time."""

    def play(
        self, scenario: Callable[[SplitCell], Coroutine[Any, Any, None]], seed: int = 1
    ) -> None:
        """Run a scenario in the cell and check that no rule was broken."""

        async def main() -> list[str]:
            split = SplitCell(seed)
            await split.start()
            split.close_cells("b", "c")
            await scenario(split)
            split.cluster.close()
            return split.cluster.judge.broken

        self.assertEqual(run(main()), [])

    def busy(self, split: SplitCell) -> list[str]:
        """Return the workers with runs."""
        return [name for name, at in split.cluster.runners.items() if at.running]

    async def until_running(self, split: SplitCell, count: int, limit_s: float) -> float:
        """Wait until `count` tasks run; return how long it took, at most `limit_s`."""
        began = now()
        while now() - began < limit_s:
            if sum(len(at.running) for at in split.cluster.runners.values()) == count:
                break
            await asyncio.sleep(POLL_S)
        return now() - began

    def test_a_task_whose_run_ended_does_not_wait_for_other_silent_workers(self) -> None:
        async def scenario(split: SplitCell) -> None:
            cluster = split.cluster
            await split.submit("b-e1", make_job(1, make_step(1, lasting=True)))
            await asyncio.sleep(2)
            (busy,) = self.busy(split)
            idle = next(name for name in cluster.runners if name[0] == "a" and name != busy)
            cluster.crash_worker(idle)
            # The run's lease ends while nobody is told.
            split.cut(split.former, busy)
            await asyncio.sleep(4.5)
            cluster.kill(split.former)
            await asyncio.sleep(1.6)
            self.assertEqual(self.busy(split), [])
            waited_s = await self.until_running(split, 1, 20.0)
            self.assertLess(waited_s, TAKE_S + WAIT_S - 1.6)
            self.assertTrue(split.held(split.successor)[SPLIT_CELL].dispatcher.count_unproven())

        self.play(scenario)

    def test_a_task_that_waited_for_room_does_not_wait_again_for_its_lost_worker(self) -> None:
        """A start to the worker of another task got no answer, so its lease ends are unknown."""

        async def scenario(split: SplitCell) -> None:
            cluster = split.cluster
            lasting = make_job(1, Step(4, Size(5, 1_000), 1_000, lasting=True))
            await split.submit("b-e1", lasting)
            await asyncio.sleep(1)
            lost = self.busy(split)[0]
            cluster.withhold("start", lost)
            await split.submit("b-e1", make_job(2, make_step(4)._replace(size=Size(2, 1_000))))
            await asyncio.sleep(0.3)
            self.assertEqual(len(cluster.withheld["start", lost]), 1)
            cluster.crash_worker(lost)
            await asyncio.sleep(12)
            cluster.kill(split.former)
            cluster.add_worker("a-w4", SPLIT_CELL, cores=16)
            await asyncio.sleep(TAKE_S + WAIT_S)
            running = {task for at in cluster.runners.values() for task in at.running}
            self.assertEqual(sum(task.job == lasting.id for task in running), 4)
            await asyncio.sleep(10)

        self.play(scenario)

    def test_no_start_is_sent_before_its_row_however_the_store_answers(self) -> None:
        """The judge reads the row at each start."""

        async def scenario(split: SplitCell) -> None:
            cluster = split.cluster
            cluster.commit_delay_s = 0.4
            await split.submit("b-e1", make_job(1, make_step(8, lasting=True)))
            cluster.lose_answers = 0.3
            await asyncio.sleep(3)
            cluster.crash_worker(self.busy(split)[0])
            await asyncio.sleep(8)
            cluster.kill(split.former)
            await asyncio.sleep(8)
            cluster.commit_delay_s = cluster.lose_answers = 0.0
            await self.until_running(split, 8, 20.0)
            self.assertEqual(sum(len(at.running) for at in cluster.runners.values()), 8)

        for seed in range(6):
            with self.subTest(seed=seed):
                self.play(scenario, seed)

    def freeze_before_start(self, frozen_s: float, is_split: bool) -> Callable[[SplitCell], Any]:
        """Build a scenario: a holder is paused between its commit of a place and the start."""

        async def scenario(split: SplitCell) -> None:
            cluster = split.cluster
            cluster.commit_delay_s = 0.3
            new_job = make_job(1, make_step(7, lasting=True))
            await split.submit("b-e1", new_job)
            while not self.places(split, new_job.id):
                await asyncio.sleep(POLL_S)
            self.assertEqual(cluster.judge.starts, 0)
            cluster.freeze(split.former)
            cluster.commit_delay_s = 0.0
            if is_split:
                # The others don't reach the worker that the paused holder is about to start on.
                split.partition(tuple(set(self.places(split, new_job.id).values())))
            await asyncio.sleep(frozen_s)
            cluster.thaw(split.former)
            waited_s = await self.until_running(split, 7, 20.0)
            self.assertLess(waited_s, 20.0)
            await asyncio.sleep(10)

        return scenario

    def places(self, split: SplitCell, job_id: str) -> dict[Any, str]:
        """Return the workers that a job's row names, by task."""
        progress = split.cluster.judge.find_progress(job_id)
        places = progress.places if progress is not None else None
        return {key: place.worker for key, place in (places or {}).items()}

    def test_a_holder_paused_between_its_write_and_the_start_starts_nothing_twice(self) -> None:
        for frozen_s in (0.5, 2.0, 2.9, 3.5, 5.0, 8.0, 10.0, 11.5, 13.0):
            for is_split in (False, True):
                with self.subTest(frozen_s=frozen_s, is_split=is_split):
                    self.play(self.freeze_before_start(frozen_s, is_split))

    def test_a_former_holder_that_learns_of_an_end_first_does_not_start_the_task_again(
        self,
    ) -> None:
        """The successor has claimed the job, so the former holder's write conflicts."""

        async def scenario(split: SplitCell) -> None:
            cluster = split.cluster
            await split.submit("b-e1", make_job(1, make_step(7, lasting=True)))
            await asyncio.sleep(2)
            (busy,) = self.busy(split)
            cluster.cell_rows_down = {split.former}
            others = sorted(name for name in cluster.runners if name[0] == "a" and name != busy)
            # The former holder keeps the busy worker and another one, the successor the rest.
            split.partition((busy, others[0]))
            await split.wait_for_successor()
            cluster.crash_worker(busy)
            cluster.add_worker(busy, SPLIT_CELL)
            await self.until_running(split, 7, 20.0)
            await asyncio.sleep(12)

        for seed in range(4):
            with self.subTest(seed=seed):
                self.play(scenario, seed)

    def test_nothing_is_sent_after_a_release_began(self) -> None:
        async def scenario(split: SplitCell) -> None:
            cluster = split.cluster
            cluster.commit_delay_s = 0.3
            new_job = make_job(1, make_step(7, lasting=True))
            await split.submit("b-e1", new_job)
            while not self.places(split, new_job.id):
                await asyncio.sleep(POLL_S)
            released = asyncio.ensure_future(split.held(split.former)[SPLIT_CELL].release())
            while not split.successor:
                self.assertEqual(cluster.judge.starts, 0)
                await asyncio.sleep(POLL_S)
            await released
            self.assertLess(await self.until_running(split, 7, 20.0), WAIT_S)

        self.play(scenario)

    def test_no_lasting_task_runs_twice_in_random_takeovers(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(takeover.play(seed, takeover.Lasting), [])


if __name__ == "__main__":
    unittest.main()
