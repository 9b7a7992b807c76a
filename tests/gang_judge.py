"""The gangs of a cluster: its workers run their members together, and none stands alone."""

import asyncio
from typing import NamedTuple

from curranthall.cells.ports import EndKind
from curranthall.dag import TaskId
from curranthall.standin.runner import Runner
from tests.cluster import CALM_S, Cluster, now

STEP_S = 0.02
# The platform's bound: a member that waits this long for the others ends.
ALONE_S = 3.0
# Members of one run that are started this far apart while nothing is disturbed are reported.
APART_S = 0.5


class GangRun(NamedTuple):
    """One run of a gang: all its members share its number."""

    job: str
    occurrence: int
    step: int
    run: int


class GangJudge:
    """Couples the runs of gangs, and reports members that stand alone without a fault."""

    def __init__(self, cluster: Cluster) -> None:
        self.broken: list[str] = []
        # How many runs of gangs had all their members.
        self.whole_runs = 0
        self._cluster = cluster
        self._began: dict[GangRun, float] = {}
        self._whole: set[GangRun] = set()
        # Members that were seen running, by run.
        self._seen: dict[GangRun, set[int]] = {}
        self._reported: set[GangRun] = set()
        self._stepper = asyncio.ensure_future(self._step_until_closed())

    def close(self) -> None:
        """Stop the coupling."""
        self._stepper.cancel()

    def runs(self, job_id: str, step: int) -> int:
        """Return how many members of a job's gang run."""
        return sum(
            len(members)
            for gang, members in self._find_runs().items()
            if (gang.job, gang.step) == (job_id, step)
        )

    async def _step_until_closed(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            for gang, members in self._find_runs().items():
                self._couple(gang, members)

    def _find_runs(self) -> dict[GangRun, dict[int, Runner]]:
        found: dict[GangRun, dict[int, Runner]] = {}
        for runner in self._cluster.runners.values():
            for task, run in runner.running.items():
                if run.work.step.gang:
                    gang = GangRun(*task[:3], run.order.run)
                    found.setdefault(gang, {})[task.number] = runner
        return found

    def _couple(self, gang: GangRun, members: dict[int, Runner]) -> None:
        width = self._cluster.judge.jobs[gang.job].steps[gang.step].width
        began = self._began.setdefault(gang, now())
        if len(members) == width and gang not in self._whole:
            self._whole.add(gang)
            self.whole_runs += 1
        seen = self._seen.setdefault(gang, set())
        seen.update(members)
        ended = seen - members.keys()
        if ended:
            is_done = any((self._task(gang, each), gang.run) in self._done for each in ended)
            self._end(gang, members, EndKind.DONE if is_done else EndKind.BROKEN)
            return
        is_whole = gang in self._whole
        for index, runner in members.items():
            run = runner.running[self._task(gang, index)]
            if not is_whole:
                # The members work only once all are there.
                run.progress_s = 0.0
        if is_whole:
            return
        calm = now() - self._cluster.judge.fault_at >= CALM_S
        if now() - began > APART_S and calm and gang not in self._reported:
            self._reported.add(gang)
            self.broken.append(f"{now():.3f} alone: {sorted(members)} of {width} of {gang}")
        if now() - began > ALONE_S:
            self._end(gang, members, EndKind.ALONE)

    @property
    def _done(self) -> dict[tuple[TaskId, int], float]:
        return self._cluster.judge.done

    def _task(self, gang: GangRun, index: int) -> TaskId:
        return TaskId(gang.job, gang.occurrence, gang.step, index)

    def _end(self, gang: GangRun, members: dict[int, Runner], kind: EndKind) -> None:
        for index, runner in members.items():
            runner.end(self._task(gang, index), kind)
