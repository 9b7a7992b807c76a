"""Tasks that crash the workers that start them, and bystanders of crashes."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from curranthall.cells.fleet import RunState
from curranthall.cells.ports import EndKind, StartTask
from curranthall.dag import Job, Phase, Progress, Step, TaskId
from curranthall.dag.progress import decode_progress
from curranthall.intake import Verdict
from curranthall.model import Host, HostState, Size
from tests.cell_fixtures import BORN, CELL, Cell, ended, host, job, listed, step, task
from tests.cluster import SERVICE, Cluster, now
from tests.virtual import run

POISON = "0" * 16
OTHER = "f" * 16
SEEDS = range(6)


class Attribution(unittest.TestCase):
    def crash(self, cell: Cell, name: str) -> None:
        """Let a worker fall silent and answer again from another boot."""
        cell.now += 0.01
        cell.dispatcher.on_silence(name, cell.now)
        self.wait(cell, 3.0)
        cell.answer(name, born=int(cell.now * 1000))

    def wait(self, cell: Cell, seconds: float) -> None:
        """Let time pass; all workers that answer then list their runs."""
        cell.now += seconds
        for member in cell.dispatcher.members.values():
            if member.silent_since is None:
                runs = [each for each in member.runs.values() if each.state is RunState.RUNNING]
                running = [listed(self.order(each)) for each in runs]
                cell.answer(member.name, running, born=member.born)

    def order(self, found: Any) -> StartTask:
        """Return an order like the one of a run."""
        return StartTask(found.worker, found.task, found.number, "", "", 0)

    def crashes(self, cell: Cell, each: TaskId) -> int:
        """Return the crashes recorded of a task."""
        return cell.dispatcher.tracked[each.job].progress.count_crashes(each[1:])

    def phase(self, cell: Cell, job_id: str = POISON) -> Phase:
        """Return a job's phase."""
        return cell.dispatcher.tracked[job_id].progress.phase

    def start_and_crash(self, cell: Cell) -> str:
        """Start the only waiting task and crash its worker; return the worker's name."""
        (order,) = cell.plan()
        cell.started(order)
        self.crash(cell, order.worker)
        return order.worker

    def test_a_task_that_crashes_each_worker_is_given_up_after_three(self) -> None:
        cell = Cell(host("w1"), host("w2"), host("w3"), host("w4"))
        cell.add(job(POISON, step(1)))
        for _ in range(3):
            self.assertEqual(self.phase(cell), Phase.QUEUED if _ == 0 else Phase.RUNNING)
            self.start_and_crash(cell)
        self.assertEqual(self.phase(cell), Phase.FAILED)
        cell.record()
        self.assertEqual(cell.plan(), [])

    def test_a_worker_that_is_replaced_at_its_address_counts_as_crashed(self) -> None:
        cell = Cell(host("w1"), host("w2"), host("w3"))
        cell.add(job(POISON, step(1)))
        for _ in range(3):
            (order,) = cell.plan()
            cell.dispatcher.on_start_unanswered(order, cell.now)
            cell.dispatcher.on_silence(order.worker, cell.now)
            self.wait(cell, 4)
            cell.dispatcher.on_gone(order.worker, cell.now)
        self.assertEqual(self.phase(cell), Phase.FAILED)

    def test_bystanders_of_three_crashes_are_not_suspected(self) -> None:
        cell = Cell(*(host(f"w{n}") for n in range(5)))
        cell.add(job(OTHER, step(1, lasting=True)))
        for _ in range(4):
            (order,) = cell.plan()
            cell.started(order)
            self.wait(cell, 1.5)
            self.crash(cell, order.worker)
        self.assertEqual(self.crashes(cell, task(OTHER)), 0)
        self.assertEqual(self.phase(cell, OTHER), Phase.RUNNING)

    def test_a_task_restarted_beside_a_poison_task_is_told_apart(self) -> None:
        # Seen on a bench: both waited for the same boot, and each plan put both on one worker.
        cell = Cell(*(host(f"w{n}", cores=8) for n in range(4)))
        cell.add(job(POISON, step(1)))
        cell.add(job(OTHER, step(1, lasting=True)))
        for _ in range(3):
            orders = cell.plan()
            cell.started(*orders)
            (poison,) = (order for order in orders if order.task.job == POISON)
            self.crash(cell, poison.worker)
        self.assertEqual(self.phase(cell), Phase.FAILED)
        self.assertLess(self.crashes(cell, task(OTHER)), 2)

    def test_two_suspects_never_start_on_one_worker(self) -> None:
        cell = Cell(host("w1", cores=2))
        cell.add(job(POISON, step(2)))
        cell.started(*cell.plan())
        self.crash(cell, "w1")
        (first,) = cell.plan()
        cell.started(first)
        self.assertEqual(cell.plan(), [])
        self.wait(cell, 1.0)
        (second,) = cell.plan()
        self.assertNotEqual(second.task, first.task)

    def test_a_crash_counts_against_the_run_that_was_suspected_before(self) -> None:
        cell = Cell(host("w1", cores=4))
        cell.add(job(POISON, step(1)))
        self.start_and_crash(cell)
        cell.add(job(OTHER, step(1)))
        orders = cell.plan()
        self.assertEqual(len(orders), 2)
        cell.started(*orders)
        self.crash(cell, "w1")
        self.assertEqual(self.crashes(cell, task(POISON)), 2)
        self.assertEqual(self.crashes(cell, task(OTHER)), 0)

    def test_a_suspect_starts_where_a_crash_costs_least(self) -> None:
        cell = Cell(host("w1"), host("w2"), host("w3"))
        cell.add(job(OTHER, step(2, cores=3, lasting=True, max_per_worker=1)))
        cell.started(*cell.plan())
        (free,) = {"w1", "w2", "w3"} - {
            name for name, member in cell.dispatcher.members.items() if member.runs
        }
        self.wait(cell, 1.5)
        cell.add(job(POISON, step(1)))
        progress = cell.dispatcher.tracked[POISON].progress
        progress.add_crash((0, 0, 0), 1)
        (order,) = cell.plan()
        self.assertEqual(order.worker, free)

    def test_nothing_starts_beside_an_isolated_task_until_it_outlasts_its_start(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job(POISON, step(3)))
        for number in (1, 2):
            cell.dispatcher.tracked[POISON].progress.add_crash((0, 0, 1), number)
        (order,) = cell.plan()
        self.assertEqual(order.task.number, 1)
        cell.started(order)
        cell.add(job(OTHER, step(1)))
        cell.now += 0.3
        cell.answer("w1", [listed(order)])
        self.assertEqual(cell.plan(), [])
        cell.now += 1
        cell.answer("w1", [listed(order)])
        self.assertEqual(len(cell.plan()), 3)
        self.assertEqual(self.crashes(cell, task(number=1)), 0)

    def test_a_worker_that_leaves_is_not_a_crash(self) -> None:
        cell = Cell(host("w1"), host("w2"))
        cell.add(job(POISON, step(1)))
        (order,) = cell.plan()
        leaving: Host = host(order.worker, state=HostState.LEAVING)
        cell.dispatcher.update_host(leaving)
        cell.dispatcher.on_silence(order.worker, cell.now)
        cell.dispatcher.on_gone(order.worker, cell.now)
        self.assertEqual(self.crashes(cell, task()), 0)

    def test_a_worker_that_was_cut_off_is_not_a_crash(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job(POISON, step(1, lasting=True)))
        (order,) = cell.plan()
        cell.started(order)
        cell.dispatcher.on_silence("w1", cell.now)
        cell.now += 8
        cell.dispatcher.tick(cell.now, cell.now)
        self.assertEqual(cell.member("w1").runs, {})
        cell.answer("w1")
        self.assertEqual(self.crashes(cell, task()), 0)

    def test_a_crash_that_lasts_longer_than_the_lease_counts(self) -> None:
        cell = Cell(host("w1"), host("w2"))
        cell.add(job(POISON, step(1, lasting=True)))
        (order,) = cell.plan()
        cell.started(order)
        cell.dispatcher.on_silence(order.worker, cell.now)
        cell.dispatcher.mark_host_missing(order.worker, cell.now)
        cell.now += 8
        cell.dispatcher.tick(cell.now, cell.now)
        self.assertNotIn(order.worker, cell.dispatcher.members)
        cell.dispatcher.update_host(host("w9", address=f"{order.worker}:1"))
        cell.answer("w9", born=BORN + 8_000)
        self.assertEqual(self.crashes(cell, task()), 1)

    def test_an_outage_of_most_workers_is_not_attributed_at_first(self) -> None:
        names = [f"w{n}" for n in range(4)]
        cell = Cell(*(host(name, cores=1) for name in names))
        cell.add(job(POISON, step(4)))
        cell.started(*cell.plan())
        for outage in range(2):
            for name in names:
                cell.dispatcher.on_silence(name, cell.now)
            cell.now += 3
            for name in names:
                cell.answer(name, born=BORN + 1 + outage)
            found = [self.crashes(cell, task(number=n)) for n in range(4)]
            self.assertEqual(found, [outage] * 4)
            cell.now += 10
            for name in names:
                cell.answer(name, born=BORN + 1 + outage)
            cell.started(*cell.plan())

    def test_the_start_that_another_boot_rejected_is_not_suspected(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job(POISON, step(1)))
        (order,) = cell.plan()
        cell.dispatcher.on_gone("w1", cell.now, order)
        self.assertEqual(self.crashes(cell, task()), 0)

    def test_members_of_a_gang_count_together(self) -> None:
        cell = Cell(*(host(f"w{n}", cores=1) for n in range(6)))
        cell.add(job(POISON, step(2, gang=True)))
        for count in range(3):
            first, second = sorted(cell.plan(), key=lambda order: order.task.number)
            cell.started(first, second)
            crashed, other = (first, second) if count % 2 else (second, first)
            cell.dispatcher.on_silence(crashed.worker, cell.now)
            self.wait(cell, 4)
            cell.dispatcher.on_gone(crashed.worker, cell.now)
            last = cell.member(other.worker).last_end
            cell.answer(other.worker, [], [ended(last + 1, other, EndKind.STOPPED)])
        self.assertEqual(self.phase(cell), Phase.FAILED)


class Rows(unittest.TestCase):
    def test_crashes_noted_by_two_writers_merge(self) -> None:
        one, two = Progress(CELL), Progress(CELL)
        one.add_crash((0, 0, 0), 1)
        two.add_crash((0, 0, 0), 2)
        one.merge(decode_progress(two.encode()), CELL, 1)
        self.assertEqual(one.count_crashes((0, 0, 0)), 2)
        two.add_outlasted((0, 0, 0), 3)
        one.merge(decode_progress(two.encode()), CELL, 1)
        self.assertEqual(one.count_crashes((0, 0, 0)), 0)

    def test_the_first_outage_does_not_count_in_any_order(self) -> None:
        one, two = Progress(CELL), Progress(CELL)
        one.add_crash((0, 0, 0), 1, is_excused=True)
        two.add_crash((0, 0, 0), 2, is_excused=True)
        self.assertEqual(one.count_crashes((0, 0, 0)), 0)
        one.merge(decode_progress(two.encode()), CELL, 1)
        self.assertEqual(one.count_crashes((0, 0, 0)), 1)

    def test_a_run_in_doubt_is_settled_by_the_successor(self) -> None:
        former = Cell(host("w1"))
        former.add(job(POISON, step(1)))
        (order,) = former.plan()
        former.dispatcher.on_silence("w1", former.now)
        row = former.dispatcher.tracked[POISON].progress.encode()
        for born, crashes in ((BORN, {}), (BORN + 3_000, {(0, 0, 0): {order.run}})):
            cell = Cell(host("w1"), settled=False)
            cell.answer("w1", born=born)
            cell.dispatcher.adopt(job(POISON, step(1)), decode_progress(row), 2, cell.now)
            cell.dispatcher.tick(cell.now, cell.now)
            progress = cell.dispatcher.tracked[POISON].progress
            # A successor can't tell a crash from an outage.
            self.assertEqual((progress.doubts, progress.outages), ({}, crashes))

    def test_a_row_without_crashes_is_read(self) -> None:
        found = decode_progress(Progress(CELL).encode())
        self.assertEqual((found.crashes, found.outlasted), ({}, {}))


class Plays(unittest.TestCase):
    def play(self, scene: Callable[[Cluster], Coroutine[Any, Any, None]], seed: int) -> None:
        """Run a scene, then check that no invariant was violated."""

        async def main() -> None:
            cluster = Cluster(seed, entries=2, workers=5)
            cluster.reboots_as_other = seed % 2 == 0
            cluster.start()
            await asyncio.sleep(3)
            await scene(cluster)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])

        run(main())

    def make_job(self, number: int, *steps: Step) -> Job:
        """Build a job."""
        return Job(f"{number:016x}", "q", SERVICE, "spec", steps, int(now() * 1000))

    async def submit(self, cluster: Cluster, *jobs: Job) -> None:
        """Submit jobs, half of them with tasks of seconds."""
        for each in jobs:
            cluster.work[each.id] = 0.6 + 2.0 * (int(each.id, 16) % 3)
            self.assertIs(await cluster.submit("a-e0", each), Verdict.ACCEPTED)

    async def submit_poison(self, cluster: Cluster, count: int) -> list[Job]:
        """Submit jobs that have one poison task each."""
        size = Size(1, 1_000)
        jobs = [self.make_job(0x100 + n, Step(4, size, 1_000)) for n in range(count)]
        cluster.poison |= {TaskId(each.id, 0, 0, each_no % 4) for each_no, each in enumerate(jobs)}
        await self.submit(cluster, *jobs)
        return jobs

    async def submit_others(self, cluster: Cluster, count: int, first: int = 1) -> list[Job]:
        """Submit jobs without poison tasks, one of them lasting."""
        size = Size(1, 1_000)
        jobs = [
            self.make_job(first + n, Step(4, size, 1_000, lasting=n == 0)) for n in range(count)
        ]
        await self.submit(cluster, *jobs)
        return jobs

    async def phases(self, cluster: Cluster, jobs: list[Job]) -> set[Phase | None]:
        """Return the phases that the live entries show."""
        names = [name for name, entry in cluster.entries.items() if not entry.dead]
        return {await cluster.phase(name, each.id) for each in jobs for name in names}

    async def expect(self, cluster: Cluster, jobs: list[Job], phase: Phase, within: float) -> None:
        """Expect that all live entries show all jobs in a phase."""

        async def shown() -> bool:
            return await self.phases(cluster, jobs) == {phase}

        self.assertTrue(await cluster.until(shown, within), f"{phase} {cluster.judge.crashes}")

    def test_a_poison_task_is_given_up_and_its_neighbours_complete(self) -> None:
        async def scene(cluster: Cluster) -> None:
            others = await self.submit_others(cluster, 8)
            poison = await self.submit_poison(cluster, 3)
            await self.expect(cluster, poison, Phase.FAILED, 30)
            self.assertLessEqual(max(cluster.judge.crashes.values()), 4)
            await self.expect(cluster, others[1:], Phase.COMPLETED, 40)
            self.assertNotIn(Phase.FAILED, await self.phases(cluster, others[:1]))

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(scene, seed)

    def test_the_count_of_crashes_survives_the_holder(self) -> None:
        async def scene(cluster: Cluster) -> None:
            others = await self.submit_others(cluster, 8)
            poison = await self.submit_poison(cluster, 2)
            for _ in range(2):
                crashes = cluster.judge.crashes.total()

                async def crashed(before: int = crashes) -> bool:
                    return cluster.judge.crashes.total() > before

                await cluster.until(crashed, 10)
                for cell in cluster.domains:
                    holder = cluster.holder(cell)
                    if holder is not None:
                        cluster.kill(holder)
                        await asyncio.sleep(1)
                        cluster.restart(holder)
            await self.expect(cluster, poison, Phase.FAILED, 60)
            await self.expect(cluster, others[1:], Phase.COMPLETED, 60)
            self.assertNotIn(Phase.FAILED, await self.phases(cluster, others[:1]))

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(scene, seed)

    def test_no_job_fails_when_domains_lose_power_again_and_again(self) -> None:
        async def scene(cluster: Cluster) -> None:
            jobs: list[Job] = []
            for outage in range(5):
                jobs += await self.submit_others(cluster, 6, 1 + 6 * outage)
                await asyncio.sleep(0.3)
                names = [name for name in cluster.runners if name[0] == "abc"[outage % 3]]
                for name in names:
                    cluster.crash_worker(name)
                await asyncio.sleep(3)
                for name in names:
                    cluster.reboot(name)
                await asyncio.sleep(0.2)
            lasting = jobs[::6]
            finite = [each for each in jobs if each not in lasting]
            await self.expect(cluster, finite, Phase.COMPLETED, 60)
            self.assertNotIn(Phase.FAILED, await self.phases(cluster, lasting))

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(scene, seed)


if __name__ == "__main__":
    unittest.main()
