"""Checks how long lasting tasks go without a run, whatever number of holders their cell loses."""

import asyncio
from typing import NamedTuple

from curranthall.cells.owner import LEASE_SLACK_S, ORDER_LIMIT_S, RENEW_S
from curranthall.dag import TaskId
from curranthall.model import HostState, Size
from curranthall.standin.runner import MAX_LEASE_S
from tests.cluster import Cluster, now

STEP_S = 0.05
# The longest that a run goes on after the last renewal of a holder that granted its lease.
OVER_S = ORDER_LIMIT_S + LEASE_SLACK_S
# To claim a job and start its task once nothing holds it up.
START_S = 1.0
# No run outlasts the last contact of its worker with a holder by more: clocks may be 2 % slow.
LEASE_S = MAX_LEASE_S * 1.03
# Until when all cells are held for long enough once the faults are over.
SETTLE_LIMIT_S = 60.0
# A lasting task may leave this part of a worker free.
KEPT_SHARE = 1 / 8


class Contact(NamedTuple):
    """The last contact of a holder, named by its epoch, with a worker."""

    epoch: int
    at: float


class WaitJudge:
    """Reports each lasting task that waits beyond the bound; a report counts once a task.

    The bound: OVER_S after the run's end or, if its worker is out of reach, after the last renewal
    of the last holder that reached it; while holders or the store are disturbed no wait counts.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.broken: list[str] = []
        self._cluster = cluster
        # By accepted lasting task, when its job was accepted.
        self._accepted: dict[TaskId, float] = {}
        # By epoch, when its holder could last renew.
        self._renewable: dict[int, float] = {}
        self._contacts: dict[str, Contact] = {}
        self._calm_since = now()
        self._reported: set[TaskId] = set()
        self._stepper = asyncio.ensure_future(self._step_until_closed())

    def accept(self, job_id: str) -> None:
        """Watch the lasting tasks of an accepted job."""
        for number, step in enumerate(self._cluster.judge.jobs[job_id].steps):
            if step.lasting:
                for task in range(step.width):
                    self._accepted[TaskId(job_id, 0, number, task)] = now()

    def drop(self, job_id: str) -> None:
        """Forget a job's tasks before it is cancelled."""
        self._accepted = {task: at for task, at in self._accepted.items() if task.job != job_id}

    def close(self) -> None:
        """Stop watching."""
        self._stepper.cancel()

    async def settle(self) -> None:
        """Wait until all tasks were due while nothing was disturbed; report if that takes long."""
        limit = now() + SETTLE_LIMIT_S
        while now() - self._calm_since < OVER_S + RENEW_S + START_S:
            await asyncio.sleep(STEP_S)
            if now() > limit:
                self.broken.append(f"{now():.3f} a cell without a holder, or faults that go on")
                return

    def due(self, task: TaskId) -> float:
        """Return until when a task that doesn't run may wait."""
        over_at = max(self._accepted[task], self._over_at(task))
        return max(over_at + OVER_S, self._calm_since) + RENEW_S + START_S

    def _over_at(self, task: TaskId) -> float:
        judge = self._cluster.judge
        worker, sent_at = judge.sent.get(task, ("", 0.0))
        ended_at = judge.run_ended_at.get(task, sent_at)
        contact = self._contacts.get(worker)
        if contact is None or self._is_reached(worker):
            return max(sent_at, ended_at)
        # Only that holder may know when the run ended, or that a start was lost.
        last_lease = min(self._renewable.get(contact.epoch, 0.0), contact.at + LEASE_S)
        return max(sent_at, last_lease)

    def _is_reached(self, worker: str) -> bool:
        contact = self._contacts[worker]
        return worker in self._cluster.gone or now() - contact.at <= 2 * STEP_S

    async def _step_until_closed(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            self._step()

    def _step(self) -> None:
        cluster, held = self._cluster, 0
        for cell in cluster.domains:
            name, epoch = self._newest_holder(cell)
            if not name or name in cluster.frozen:
                continue
            if self._can_renew(name):
                self._renewable[epoch] = now()
                held += 1
            for worker in cluster.runners:
                if worker[0] == cell and cluster.open(name, worker):
                    last = self._contacts.get(worker)
                    # A worker that a later holder reached obeys a former one no more.
                    if last is None or last.epoch <= epoch:
                        self._contacts[worker] = Contact(epoch, now())
        if held < len(cluster.domains) or self._is_disturbed():
            self._calm_since = now()
        for task in self._accepted.keys() - self._reported:
            if now() > self.due(task) and not self._runs(task) and self._has_room(task):
                self._report(task)

    def _newest_holder(self, cell: str) -> tuple[str, int]:
        found = [
            (entry.succession.held[cell].dispatcher.epoch, name)
            for name, entry in self._cluster.entries.items()
            if not entry.dead and cell in entry.succession.held
        ]
        epoch, name = max(found, default=(0, ""))
        return name, epoch

    def _can_renew(self, name: str) -> bool:
        cluster = self._cluster
        away = cluster.read_only | cluster.cell_rows_down
        return not cluster.store_down and cluster.open(name, "store") and name not in away

    def _is_disturbed(self) -> bool:
        """Return whether a fault other than an unreachable worker is active."""
        cluster = self._cluster
        shares = cluster.lose_answers + cluster.apply_late + cluster.late_holds
        places = cluster.read_only or cluster.cell_rows_down or cluster.send_delay_s
        slow = cluster.commit_delay_s or cluster.store_down or cluster.parts_away
        ends = {*cluster.entries, "store", *cluster.domains}
        split = any(cut <= ends for cut in cluster.cuts)
        slow = slow or cluster.missed_holds
        return bool(shares or places or slow or split or cluster.frozen or cluster.evacuated)

    def _runs(self, task: TaskId) -> bool:
        return bool(self._cluster.judge.at_work.get(task))

    def _has_room(self, task: TaskId) -> bool:
        """Return whether the task fits on two workers that a holder reaches."""
        cluster, rooms = self._cluster, 0
        reserved = cluster.judge.jobs[task.job].steps[task.step].reserved
        for name, host in cluster.hosts().items():
            runner, contact = cluster.runners[name], self._contacts.get(name)
            if host.state is not HostState.LIVE or contact is None or not self._is_reached(name):
                continue
            kept = Size(host.size.cores * KEPT_SHARE, host.size.memory * KEPT_SHARE)
            free = host.size.minus(runner.total_reserved()).minus(kept)
            rooms += reserved.fits(free)
        return rooms >= 2

    def _report(self, task: TaskId) -> None:
        self._reported.add(task)
        judge = self._cluster.judge
        worker, sent_at = judge.sent.get(task, ("", 0.0))
        over_at, ended_at = self._over_at(task), judge.run_ended_at.get(task)
        self.broken.append(
            f"{now():.3f} waits too long: {task}, last sent to {worker or 'none'} at {sent_at:.3f},"
            f" last run ended {ended_at and round(ended_at, 3)}, surely over {over_at:.3f},"
            f" calm since {self._calm_since:.3f}"
        )
