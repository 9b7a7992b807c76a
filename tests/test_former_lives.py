"""Calls that a process or worker left without an answer, after another one has its identity."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from curranthall.errors import CurranthallError
from curranthall.lease import LOST, MARGIN_S, HeldWorker, LeaseKeeper
from curranthall.model import Host, Outcome, Size, StartOrder, Task
from curranthall.standin.engine import TERM_S
from tests.virtual import NET_S, FakeWorker, World, run

ORDER = StartOrder(Task("j", 0, 0), "c", "acme", Size(1, 1), 100.0, 0)
TICK_S = 0.05
CALL_S = 2.0
# A restarted worker answers again after this time.
REBOOT_S = 0.6
# Longer than a call waits for its answer.
LATE_S = 1.7
NEVER_S = 1_000.0


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


if __name__ == "__main__":
    unittest.main()
