"""Log of what workers' restarts leave open: unanswered starts, skipped ends, runs that reappear."""

from collections.abc import Callable
from typing import NamedTuple

from curranthall.cells.fleet import EndReason, Member, Run
from curranthall.cells.ports import Ending
from curranthall.dag import TaskId
from curranthall.events import Event, log

# A call without an answer may be executed seconds later; what it starts lasts for one lease.
KEEP_S = 20.0


class RemovedRun(NamedTuple):
    """A run that was taken for over."""

    worker: str
    why: EndReason
    removed_at: float
    sent_at: float
    sent_to: int
    is_unsure: bool


class BootLog:
    """Relates what a worker's boot lists to the starts that were sent to its boots.

    `token` returns the fencing token of the calls to a worker.
    """

    def __init__(self, cell: str, epoch: int, token: Callable[[str], int]) -> None:
        self._holder: dict[str, object] = {"cell": cell, "epoch": epoch}
        self._token = token
        # Runs that were taken for over in the last KEEP_S, the oldest first.
        self._removed: dict[tuple[TaskId, int], RemovedRun] = {}

    def boots(self, run: Run, member: Member | None) -> dict[str, object]:
        """Return fields with the boot that a start was sent to, and the boot that answers now."""
        born = member.born if member is not None else 0
        sent = {"sent_to": run.sent_to, "sent_token": run.token}
        return {**sent, "born": born, "token": self._token(run.worker)}

    def note_unsure(self, run: Run, member: Member) -> None:
        """Note and log that a start got no answer."""
        run.is_unsure = True
        log(
            Event.RUN_UNSURE,
            task=run.task,
            run=run.number,
            worker=run.worker,
            **self.boots(run, member),
        )

    def note_removed(self, run: Run, why: EndReason, now: float) -> None:
        """Note a run that is taken for over."""
        self._drop_old(now)
        key = run.task, run.number
        self._removed.pop(key, None)
        self._removed[key] = RemovedRun(
            run.worker, why, now, run.sent_at, run.sent_to, run.is_unsure
        )

    def log_unlisted(self, run: Run, why: EndReason, member: Member | None) -> None:
        """Log a run that is considered over although no worker listed its end."""
        log(
            Event.RUN_VANISHED,
            task=run.task,
            run=run.number,
            worker=run.worker,
            **self._holder,
            state=run.state.value,
            why=why.value,
            unsure=run.is_unsure,
            **self.boots(run, member),
        )

    def log_duplicate(self, run: Run, done: bool, others: list[Run]) -> None:
        """Log a listed run whose task is done or has other runs."""
        log(
            Event.RUN_DUPLICATE,
            task=run.task,
            run=run.number,
            worker=run.worker,
            **self._holder,
            done=done,
            others=[[other.number, other.worker] for other in others if other is not run],
        )

    def note_restart(self, member: Member, now: float) -> None:
        """Log a restart, and the unanswered starts that the new boot may execute."""
        self._drop_old(now)
        removed = sum(
            each.is_unsure and each.worker == member.name and each.sent_to != member.born
            for each in self._removed.values()
        )
        log(
            Event.WORKER_REBORN,
            worker=member.name,
            born=member.born,
            token=self._token(member.name),
            open_starts=member.count_unanswered(),
            removed_starts=removed,
        )

    def check_end(self, member: Member, ending: Ending) -> None:
        """Log a gap before the next end of a boot: this holder did not acknowledge those in it."""
        if ending.number > member.last_end + 1:
            log(
                Event.ENDS_SKIPPED,
                worker=member.name,
                born=member.born,
                after=member.last_end,
                first=ending.number,
                acked=member.acked_end,
                followed=member.lists_all_ends_here,
                **self._holder,
            )

    def check_listed(
        self, member: Member, task: TaskId, number: int, listed: str, now: float
    ) -> None:
        """Log a listed run, or its end, if the run was taken for over before."""
        self._drop_old(now)
        removed = self._removed.pop((task, number), None)
        if removed is None:
            return
        log(
            Event.RUN_REAPPEARED,
            task=task,
            run=number,
            worker=member.name,
            listed=listed,
            why=removed.why.value,
            removed_ms=round((now - removed.removed_at) * 1000),
            sent_ms=round((now - removed.sent_at) * 1000),
            unsure=removed.is_unsure,
            sent_to=removed.sent_to,
            born=member.born,
            token=self._token(member.name),
            **self._holder,
        )

    def _drop_old(self, now: float) -> None:
        while self._removed:
            key = next(iter(self._removed))
            if now - self._removed[key].removed_at <= KEEP_S:
                return
            del self._removed[key]
