"""Calls that a process or worker left without an answer, after another one has its identity."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any
from unittest import mock

import tests.cluster
from curranthall.cells.fleet import FAILURES_TO_QUARANTINE
from curranthall.cells.ports import EndKind, StartAnswer, StartTask
from curranthall.errors import AnswerLost, CurranthallError, Fenced
from curranthall.lease import LOST, MARGIN_S, HeldWorker, LeaseKeeper
from curranthall.model import Host, Outcome, Size, StartOrder, Task
from curranthall.standin.engine import TERM_S
from tests.cell_fixtures import BORN, Cell, ended, host, job, listed, step
from tests.cluster import LATE_S as LATE_CALLS_S
from tests.cluster import TIMEOUT_S, FaultyWorker
from tests.test_takeover import CELL, SplitCell, make_job, make_step
from tests.virtual import NET_S, FakeWorker, World, run

ORDER = StartOrder(Task("j", 0, 0), "c", "acme", Size(1, 1), 100.0, 0)
TICK_S = 0.05
CALL_S = 2.0
# A restarted worker answers again after this time.
REBOOT_S = 0.6
# Longer than a call waits for its answer.
LATE_S = 1.7
NEVER_S = 1_000.0
# The platform's workers may execute a call seconds late.
LATE_START_S = 5.0
LONG_S = 25.0
# Half of the cell's room.
TASKS = 14


class LeasedWorker:
    """An entry that leases a worker, which may restart under its name with a clock of its own."""

    def __init__(self) -> None:
        self.world = World()
        self.lost: list[Task] = []
        self.keeper = LeaseKeeper(
            "a", self.world.loop.time, self._connect, self._on_outcome, self._spawn
        )
        self._boot()
        self.keeper.update_hosts([self.world.workers["w"].host])
        asyncio.ensure_future(self._step())

    @property
    def held(self) -> HeldWorker:
        """Return the entry's record of the worker."""
        return self.keeper.workers["w"]

    @property
    def is_running(self) -> bool:
        """Return whether the worker runs the attempt."""
        return ORDER.task in self.world.workers["w"].inventory().running

    def _connect(self, host: Host) -> FakeWorker:
        return FakeWorker("a", self.world.net, self.world, host.name)

    def _on_outcome(self, held: HeldWorker, task: Task, outcome: Outcome) -> None:
        if outcome is LOST:
            self.lost.append(task)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        asyncio.ensure_future(coroutine)

    async def _step(self) -> None:
        while True:
            self.keeper.step(lambda host: True)
            await asyncio.sleep(TICK_S)

    def _boot(self) -> None:
        clock = self.world.loop.time
        booted_at = clock()
        self.world.add_worker("w", "d")._clock = lambda: clock() - booted_at

    async def restart_worker(self) -> None:
        """Restart the worker."""
        self.world.kill("w")
        await asyncio.sleep(REBOOT_S)
        self._boot()

    def delay_calls(self, **delays: float) -> None:
        """Deliver the renewals or starts sent from now on late."""
        names = {"lease.renew": "renewal", "task.start": "start"}
        self.world.net.on_send = lambda call: delays.get(names.get(call.step, ""), 0.0)

    def cut(self) -> None:
        """Cut the worker off from the entry."""
        self.world.net.cuts.add(frozenset(("a", "w")))

    async def start(self) -> None:
        """Start the attempt; the answer is lost."""
        seq = self.keeper.reserve(self.held, ORDER)
        try:
            await self.keeper.start(self.held, ORDER, seq, self.world.loop.time() + CALL_S)
        except CurranthallError:
            pass

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition is true."""
        async with asyncio.timeout(3 * TERM_S):
            while not condition():
                await asyncio.sleep(NET_S)


class ProductWorkers(unittest.TestCase):
    """An attempt that its entry counts as lost has no run on the worker's next boot."""

    def play(self, scene: Callable[[LeasedWorker], Coroutine[Any, Any, None]]) -> None:
        async def main() -> None:
            leased = LeasedWorker()
            await leased.wait_until(lambda: leased.held.lease is not None)
            await scene(leased)
            await leased.wait_until(lambda: bool(leased.lost) or not leased.held.lease)
            self.assertFalse(leased.is_running)
            await asyncio.sleep(TERM_S)
            self.assertFalse(leased.is_running)

        run(main())

    def test_a_renewal_that_a_next_boot_executes_does_not_outlast_the_lapse(self) -> None:
        async def scene(leased: LeasedWorker) -> None:
            lease = leased.held.lease
            assert lease is not None
            await asyncio.sleep(TERM_S / 2)
            await leased.restart_worker()
            leased.world.net.answers_to_lose["w"] = 100
            renewals = lease.seq
            await leased.wait_until(lambda: lease.seq > renewals)
            await asyncio.sleep(TICK_S)
            await leased.start()
            leased.cut()

        self.play(scene)

    def test_late_calls_to_a_former_boot_start_nothing_on_the_next_one(self) -> None:
        async def scene(leased: LeasedWorker) -> None:
            lease = leased.held.lease
            assert lease is not None
            renewals = lease.seq
            leased.delay_calls(renewal=LATE_S, start=LATE_S)
            await leased.wait_until(lambda: lease.seq > renewals)
            await asyncio.gather(leased.start(), leased.restart_worker())
            await asyncio.sleep(LATE_S - REBOOT_S)
            leased.cut()

        self.play(scene)

    def test_a_late_start_of_a_lapsed_lease_has_no_effect_under_the_next_lease(self) -> None:
        async def scene(leased: LeasedWorker) -> None:
            leased.delay_calls(renewal=NEVER_S, start=2 * LATE_S)
            await asyncio.sleep(TERM_S - MARGIN_S - TICK_S)
            await asyncio.gather(leased.start(), leased.restart_worker())
            await leased.wait_until(lambda: bool(leased.lost))
            leased.delay_calls()

        self.play(scene)


class LosingWorker(FaultyWorker):
    """A worker as seen by one entry that may not execute starts, nor answer them."""

    # The worker that loses starts, and the starts with their epochs that it lost.
    losing = ""
    lost: list[tuple[int, StartTask]] = []

    async def start(self, epoch: int, order: StartTask) -> StartAnswer:
        """Start a run, or lose the call."""
        if self._name != self.losing:
            return await super().start(epoch, order)
        self.lost.append((epoch, order))
        await asyncio.sleep(TIMEOUT_S)
        raise AnswerLost(peer=self._name, why="lost")


class LostStarts(SplitCell):
    """A cell of which one worker left the starts of a job without an answer."""

    worker = "a-w0"

    async def lose_starts(self, lasting: bool) -> None:
        """Submit the job and wait until the worker loses the first starts."""
        await self.start()
        self.close_cells("b", "c")
        # The clocks of the first boots are far ahead of those of the next ones.
        await asyncio.sleep(LONG_S)
        LosingWorker.losing, LosingWorker.lost = self.worker, []
        job = make_job(1, make_step(TASKS, lasting=lasting))
        self.cluster.work[job.id] = LONG_S
        await self.submit("b-e1", job)
        while not LosingWorker.lost:
            await asyncio.sleep(NET_S)
        LosingWorker.losing = ""

    async def restart_worker(self) -> None:
        """Restart the worker."""
        self.cluster.crash_worker(self.worker)
        await asyncio.sleep(REBOOT_S)
        self.cluster.add_worker(self.worker, CELL)
        self.cluster.runners[self.worker].clock_rate = 0.98

    def execute_late(self) -> None:
        """Let the boot that runs now execute the lost starts, unless it refuses them."""
        for epoch, order in LosingWorker.lost:
            with suppress(Fenced):
                self.cluster.runners[self.worker].start(epoch, order)

    def cut_off(self) -> None:
        """Cut the worker off from all entries."""
        for name in self.cluster.entries:
            self.cut(name, self.worker)


Scene = Callable[[LostStarts], Coroutine[Any, Any, None]]


class CellWorkers(unittest.TestCase):
    """A start of a lasting task that a worker's former boot left unanswered runs on the next."""

    lasting = True

    def check(self, scene: Scene) -> None:
        """Play a scene after starts were lost; no task runs twice."""

        async def main() -> list[str]:
            split = LostStarts(1)
            await split.lose_starts(self.lasting)
            await scene(split)
            await asyncio.sleep(LONG_S)
            split.cluster.close()
            return split.cluster.judge.broken

        with mock.patch.object(tests.cluster, "FaultyWorker", LosingWorker):
            self.assertEqual(run(main()), [])

    def test_the_worker_is_cut_off_after_its_restart(self) -> None:
        async def scene(split: LostStarts) -> None:
            await split.restart_worker()
            split.cut_off()
            await asyncio.sleep(LATE_START_S - REBOOT_S)
            split.execute_late()

        self.check(scene)

    def test_the_worker_is_down_until_then(self) -> None:
        async def scene(split: LostStarts) -> None:
            split.cluster.crash_worker(split.worker)
            await asyncio.sleep(LATE_START_S)
            split.cluster.add_worker(split.worker, CELL)
            split.execute_late()
            split.cut_off()

        self.check(scene)

    def test_the_worker_is_cut_off_and_not_listed_after_its_restart(self) -> None:
        async def scene(split: LostStarts) -> None:
            split.cluster.unlisted.add(split.worker)
            await split.restart_worker()
            split.cut_off()
            await asyncio.sleep(LATE_START_S - REBOOT_S)
            split.execute_late()

        self.check(scene)

    def test_the_former_boot_answered_a_stop(self) -> None:
        async def scene(split: LostStarts) -> None:
            await asyncio.sleep(1.5)
            await split.restart_worker()
            split.execute_late()
            split.cut_off()

        self.check(scene)

    def test_the_former_boot_answered_a_stop_and_got_no_more_tasks(self) -> None:
        async def scene(split: LostStarts) -> None:
            split.cluster.unlisted.add(split.worker)
            await asyncio.sleep(2.5)
            await split.restart_worker()
            split.execute_late()

        self.check(scene)

    def test_the_holder_restarts(self) -> None:
        async def scene(split: LostStarts) -> None:
            split.cluster.kill(split.former)
            await split.restart_worker()
            split.cut_off()
            split.cluster.restart(split.former)
            await asyncio.sleep(LATE_START_S - REBOOT_S)
            split.execute_late()

        self.check(scene)

    def test_the_holder_releases_the_cell(self) -> None:
        async def scene(split: LostStarts) -> None:
            leaving = asyncio.ensure_future(split.cluster.entries[split.former].succession.leave())
            await split.restart_worker()
            split.cut_off()
            await asyncio.sleep(LATE_START_S - REBOOT_S)
            split.execute_late()
            await leaving

        self.check(scene)

    def test_the_holder_releases_the_cell_once_it_gave_the_start_up(self) -> None:
        async def scene(split: LostStarts) -> None:
            split.cut_off()
            await asyncio.sleep(2 * TIMEOUT_S)
            leaving = asyncio.ensure_future(split.cluster.entries[split.former].succession.leave())
            await split.restart_worker()
            await asyncio.sleep(LATE_START_S - 2 * TIMEOUT_S - REBOOT_S)
            split.execute_late()
            await leaving

        self.check(scene)

    def test_another_entry_takes_the_cell(self) -> None:
        async def scene(split: LostStarts) -> None:
            split.cluster.kill(split.former)
            await split.restart_worker()
            split.cut_off()
            await asyncio.sleep(LATE_START_S - REBOOT_S)
            split.execute_late()

        self.check(scene)

    def test_another_entry_takes_the_cell_and_the_start_is_executed_as_late_as_any(self) -> None:
        async def scene(split: LostStarts) -> None:
            split.cluster.kill(split.former)
            await split.restart_worker()
            split.cut_off()
            await asyncio.sleep(LATE_CALLS_S[1] - REBOOT_S)
            split.execute_late()

        self.check(scene)

    def test_the_former_boot_answered_another_entry_that_took_the_cell(self) -> None:
        async def scene(split: LostStarts) -> None:
            split.cluster.kill(split.former)
            await split.wait_for_successor()
            await asyncio.sleep(1)
            await split.restart_worker()
            split.execute_late()
            split.cut_off()

        self.check(scene)


class FiniteTasks(CellWorkers):
    """The same of a finite task."""

    lasting = False


class Beliefs(unittest.TestCase):
    """What a cell's holder learned of a worker holds for one boot of it."""

    def test_a_restarted_worker_slows_no_task_for_the_tails_of_its_former_boot(self) -> None:
        cell = Cell(host("w1", cores=16))
        cell.add(job("2" * 16, step(1, cores=4, filling=True, image="fill")))
        cell.add(job("1" * 16, step(1, cores=4, lasting=True, image="watch", target_ms=20)))
        orders = cell.plan()
        cell.started(*orders)
        while not cell.member("w1").pace_all:
            cell.now += 0.5
            cell.answer("w1", [listed(order, cell.now, gauge=60) for order in orders])
        cell.paces()
        cell.now += 0.5
        cell.answer("w1", born=BORN + 1)
        cell.now += 0.5
        (order,) = (each for each in cell.plan() if each.task.job == "2" * 16)
        cell.started(order)
        cell.answer("w1", [listed(order)], born=BORN + 1)
        self.assertEqual(cell.paces(), [])

    def test_a_restarted_worker_is_not_quarantined_for_failures_of_its_former_boot(self) -> None:
        cell = Cell(host("w1"), max_attempts=9)
        cell.add(job("1" * 16, step(FAILURES_TO_QUARANTINE)))
        orders = cell.plan()
        cell.started(*orders)
        ends = [ended(at, order, EndKind.FAILED) for at, order in enumerate(orders, 1)]
        cell.answer("w1", ended=ends)
        self.assertTrue(cell.member("w1").is_quarantined(cell.now))
        cell.answer("w1", born=BORN + 1)
        self.assertFalse(cell.member("w1").is_quarantined(cell.now))

    def check_no_crash(self, cell: Cell, order: StartTask) -> None:
        """Let a restarted worker list a run until it is done; no crash is counted."""
        cell.now += 0.1
        cell.answer("w1", [listed(order)], born=BORN + 1)
        cell.now += 1.0
        cell.answer("w1", [listed(order)], born=BORN + 1)
        cell.dispatcher.tick(cell.now, cell.now)
        cell.answer("w1", ended=[ended(1, order, EndKind.DONE)], born=BORN + 1)
        progress = cell.dispatcher.tracked[order.task.job].progress
        self.assertEqual((progress.count_all_crashes(order.task[1:]), progress.doubts), (0, {}))

    def test_a_run_that_the_present_boot_started_did_not_crash_the_former_one(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("1" * 16, step(1)))
        (order,) = cell.plan()
        cell.started(order)
        self.check_no_crash(cell, order)

    def test_an_unanswered_run_of_the_present_boot_did_not_crash_the_former_one(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("1" * 16, step(1)))
        (order,) = cell.plan()
        cell.dispatcher.on_start_unanswered(order, cell.now)
        self.check_no_crash(cell, order)


if __name__ == "__main__":
    unittest.main()
