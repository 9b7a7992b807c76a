"""Workers that are back under their ids, before they refuse calls to their former boots."""

import asyncio
import unittest

from curranthall.dag import Job
from tests.cluster import Effect, now
from tests.test_returned_workers import LATE_CALL_S, LONG_S, WORKERS, ReturnedWorkers, Returns
from tests.test_takeover import CELL, POLL_S, make_job, make_step
from tests.virtual import run

# The platform expects a new run of a lasting task within 10 s of its worker's loss.
RERUN_S = 10.0
# The platform lists a worker for this long after its last report.
LISTED_S = 4.5
# Just before the last moment at which a call without an answer is executed.
LAST_S = LATE_CALL_S - 0.1


class LateStartsBeforeTheFence(ReturnedWorkers):
    """A start without an answer is executed by a boot that has not answered yet."""

    async def wait_for_runs(self, returns: Returns, count: int, sent_at: float) -> None:
        """Wait until as many runs are on all workers, or a late start's time is almost over."""
        while returns.running() < count and now() < sent_at + LAST_S:
            await asyncio.sleep(POLL_S)

    async def return_and_execute(
        self, returns: Returns, worker: str, starts: list[Effect], sent_at: float
    ) -> None:
        """Let the next boot of a worker execute late starts before it answers."""
        await returns.restart(worker, 0.05)
        self.assertLess(now() - sent_at, LATE_CALL_S)
        await returns.execute(worker, starts)

    def test_a_finite_task_of_an_unlisted_worker_does_not_run_twice(self) -> None:
        self.check_unlisted(60.0)

    def test_a_lasting_task_of_an_unlisted_worker_does_not_run_twice(self) -> None:
        self.check_unlisted(0.0)

    def check_unlisted(self, seconds: float) -> None:
        """Cut a worker off from the entries and the platform's list."""

        async def scene(returns: Returns) -> None:
            worker, starts = await returns.lose_start(seconds)
            sent_at = now()
            returns.isolate(worker)
            await returns.restart(worker)
            await asyncio.sleep(LISTED_S)
            returns.cluster.unlisted.add(worker)
            await self.wait_for_runs(returns, 1, sent_at)
            self.assertLess(now() - sent_at, LATE_CALL_S)
            await returns.execute(worker, starts)

        self.check(scene)

    def test_a_task_that_a_successor_starts_elsewhere_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            worker, starts = await returns.lose_start(60.0)
            sent_at = now()
            returns.cluster.kill(returns.former)
            returns.cluster.announce(worker, LONG_S)
            await returns.wait_for_successor()
            await self.wait_for_runs(returns, 1, sent_at)
            self.assertFalse(returns.runner(worker).running)
            await self.return_and_execute(returns, worker, starts, sent_at)

        self.check(scene)

    def test_a_task_whose_worker_leaves_after_an_unanswered_start_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            worker, starts = await returns.lose_start(60.0)
            sent_at = now()
            returns.cluster.announce(worker, LONG_S)
            await self.wait_for_runs(returns, 1, sent_at)
            self.assertEqual(returns.running(), 0)
            await self.return_and_execute(returns, worker, starts, sent_at)

        self.check(scene)

    def test_a_task_with_two_unanswered_starts_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            cluster = returns.cluster
            cluster.announce(WORKERS[0], LONG_S)
            await asyncio.sleep(1.0)
            worker, starts = await returns.lose_start(60.0)
            sent_at = now()
            again = cluster.withhold("start", worker)
            while not again and now() < sent_at + LONG_S:
                await asyncio.sleep(POLL_S)
            cluster.withheld.clear()
            cluster.leaving.clear()
            await self.wait_for_runs(returns, 1, sent_at)
            self.assertEqual(len(returns.runner(worker).running), returns.running())
            await self.return_and_execute(returns, worker, starts + again, sent_at)

        self.check(scene)

    def test_a_gang_does_not_run_twice(self) -> None:
        async def scene(returns: Returns) -> None:
            cluster = returns.cluster
            lost = {worker: cluster.withhold("start", worker) for worker in WORKERS}
            job = self.new_gang(returns)
            await returns.submit("b-e1", job)
            while sum(map(bool, lost.values())) < 2:
                await asyncio.sleep(POLL_S)
            sent_at = now()
            cluster.withheld.clear()
            worker = next(name for name in WORKERS if lost[name])
            cluster.announce(worker, LONG_S)
            await self.wait_for_runs(returns, 2, sent_at)
            self.assertFalse(returns.runner(worker).running)
            await self.return_and_execute(returns, worker, lost[worker], sent_at)

        self.check(scene)

    def test_a_late_hold_after_a_late_start_is_waited_for(self) -> None:
        async def scene(returns: Returns) -> None:
            worker, starts = await returns.lose_start(0.0)
            start_sent_at = now()
            await asyncio.sleep(0.7)
            holds = await returns.lose_hold(worker)
            hold_sent_at = now()
            returns.isolate(worker)
            await returns.restart(worker)
            await asyncio.sleep(start_sent_at + LAST_S - now())
            await returns.execute(worker, starts)
            self.assertTrue(returns.runner(worker).running)
            await asyncio.sleep(hold_sent_at + LAST_S - now())
            await returns.execute(worker, holds)

        self.check(scene)

    def new_gang(self, returns: Returns) -> Job:
        """Build a job of one gang whose members run on different workers."""
        returns.jobs += 1
        job = make_job(returns.jobs, make_step(2, gang=True, max_per_worker=1))
        returns.cluster.work[job.id] = 60.0
        return job


class Quarantines(unittest.TestCase):
    """A worker that is back in an outage of the store, after a start without an answer."""

    def test_runs_of_the_former_boot_do_not_count_as_stalled(self) -> None:
        async def main() -> float:
            returns = Returns()
            await returns.start()
            cluster = returns.cluster
            await returns.submit("b-e1", returns.new_job(4, 60.0))
            await asyncio.sleep(2.0)
            worker, _ = await returns.lose_start(60.0)
            while returns.running() < 5:
                await asyncio.sleep(POLL_S)
            self.assertTrue(returns.runner(worker).running)
            cluster.store_down = True
            await returns.restart(worker)
            await returns.hear_of(worker)
            await asyncio.sleep(3.0)
            cluster.store_down = False
            await asyncio.sleep(0.5)
            member = returns.held(returns.former)[CELL].dispatcher.members[worker]
            left_s = member.quarantined_until - now()
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])
            return left_s

        self.assertLessEqual(run(main()), 0.0)


class Losses(unittest.TestCase):
    """A worker that is back answers once, then is lost for good."""

    def time_until_rerun(self, has_begun: bool) -> float:
        """Return after how many seconds its lasting tasks run again."""

        async def main() -> float:
            returns = Returns()
            returns.cluster.listed_after_crash_s = LISTED_S
            await returns.start()
            expected = 0
            if has_begun:
                await returns.submit("b-e1", returns.new_job(4, 0.0))
                await asyncio.sleep(2.0)
                expected = returns.running()
                self.assertEqual(expected, 4)
            starts = {name: returns.cluster.withhold("start", name) for name in WORKERS}
            await returns.submit("b-e1", returns.new_job(1, 0.0))
            while not any(starts.values()):
                await asyncio.sleep(POLL_S)
            returns.cluster.withheld.clear()
            worker = next(name for name in WORKERS if starts[name])
            if has_begun:
                # The stop is answered, and the start that got no answer is over.
                while returns.running() <= expected:
                    await asyncio.sleep(POLL_S)
            self.assertEqual(bool(returns.runner(worker).running), has_begun)
            await returns.restart(worker)
            await returns.hear_of(worker)
            returns.cluster.crash_worker(worker)
            began = now()
            while returns.running() < expected + 1 and now() - began < LONG_S:
                await asyncio.sleep(POLL_S)
            returns.cluster.close()
            self.assertEqual(returns.cluster.judge.broken, [])
            return now() - began

        return run(main())

    def test_a_lasting_task_whose_start_was_not_answered_starts_again_in_time(self) -> None:
        self.assertLess(self.time_until_rerun(False), RERUN_S)

    def test_lasting_tasks_beside_an_unanswered_start_start_again_in_time(self) -> None:
        self.assertLess(self.time_until_rerun(True), RERUN_S)


if __name__ == "__main__":
    unittest.main()
