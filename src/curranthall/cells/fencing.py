"""Workers of a former holder that may still obey it, run its tasks or list its runs' ends."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from curranthall.cells.fleet import END_WAIT_S
from curranthall.dag import TaskId

# A worker that is listed as up has this long to answer a new holder with its list of ends.
FIRST_ANSWER_S = 1.5


class RunEnd(NamedTuple):
    """When the runs of a worker are over, except those of tasks of which a start may come late."""

    at: float
    open_tasks: frozenset[TaskId]


class Fencing:
    """Tracks the proof, worker by worker, that nothing of a former holder is left.

    A worker is proven when it answers the present holder, or when its last lease is over.
    """

    def __init__(self) -> None:
        self.unproven: set[str] = set()
        # By worker that has not listed all ends, when its leases of former holders are over.
        self._lease_ends: dict[str, float] = {}
        # Unproven workers with an open start, until and since their other runs are over.
        self._run_ends: dict[str, RunEnd] = {}
        self._runs_over: dict[str, RunEnd] = {}
        # By worker, how long its list of ends is waited for.
        self._ends_awaited_until: dict[str, float] = {}

    def take_over(
        self,
        workers: Iterable[str],
        proof_at: float,
        lease_ends: Mapping[str, float],
        now: float,
        run_ends: Mapping[str, RunEnd] = MappingProxyType({}),
    ) -> None:
        """Wait for workers until `lease_ends`, or `proof_at` for those that it does not name."""
        self._run_ends.update(run_ends)
        for name in workers:
            end = lease_ends.get(name, proof_at)
            self.unproven.add(name)
            self._lease_ends[name] = end
            self._ends_awaited_until[name] = max(end + END_WAIT_S, now + FIRST_ANSWER_S)

    def remove(self, worker: str) -> None:
        """Record that a worker listed all its runs and ends, or is gone."""
        self.unproven.discard(worker)
        self._lease_ends.pop(worker, None)
        self._run_ends.pop(worker, None)
        self._runs_over.pop(worker, None)
        self._ends_awaited_until.pop(worker, None)

    def lapse(self, now: float) -> set[str]:
        """Remove and return the unproven workers whose last lease is over."""
        lapsed = {name for name in self.unproven if now >= self._lease_ends[name]}
        self.unproven -= lapsed
        for name in [each for each, at in self._ends_awaited_until.items() if now >= at]:
            del self._ends_awaited_until[name]
        return lapsed

    def lapse_runs(self, confirmed_at: float) -> bool:
        """Note which runs are over though their worker is unproven; return whether any is.

        A successor may extend the leases of runs that are not over by `confirmed_at`.
        """
        over = {name: end for name, end in self._run_ends.items() if confirmed_at > end.at}
        self._runs_over |= over
        for name in over:
            del self._run_ends[name]
        return bool(over)

    def may_run(self, worker: str, task: TaskId) -> bool:
        """Return whether a task that was last started on a worker may still run there."""
        over = self._runs_over.get(worker)
        return worker in self.unproven and (over is None or task in over.open_tasks)

    def run_end(self, worker: str) -> RunEnd | None:
        """Return when the runs that former holders know to have begun are over, if known."""
        return self._run_ends.get(worker) or self._runs_over.get(worker)

    def knows_runs(self, worker: str) -> bool:
        """Return whether no former holder sent a worker a call that this one does not know of."""
        return worker not in self.unproven or self.run_end(worker) is not None

    def lease_end(self, worker: str) -> float:
        """Return when the leases of former holders are over; 0 if there can be none."""
        return self._lease_ends.get(worker, 0.0)

    def awaited_for_ends(self) -> list[str]:
        """Return the workers whose list of ends is waited for."""
        return list(self._ends_awaited_until)
