"""Attribution of failures: quarantine of workers and backoff of classes."""

from typing import NamedTuple

from curranthall.events import Event, log
from curranthall.model import OutcomeKind

QUARANTINE_CLASSES = 2
QUARANTINE_FAILURES = 4
QUARANTINE_S = 30.0
BACKOFF_WORKERS = 3
BACKOFF_S = 10.0
BACKOFF_MAX_S = 600.0
BLAME_WINDOW_S = 120.0


class _Failure(NamedTuple):
    at: float
    worker: str
    cls: str


class Blame:
    """Distinguish faulty workers from faulty classes."""

    def __init__(self) -> None:
        self._failures: list[_Failure] = []
        self._quarantined: dict[str, float] = {}
        self._backed_off: dict[str, tuple[float, float]] = {}

    def record_outcome(self, worker: str, cls: str, kind: OutcomeKind, now: float) -> None:
        """Record the outcome of an attempt."""
        if kind is OutcomeKind.DONE:
            self._failures = [f for f in self._failures if f.worker != worker or f.cls != cls]
            self._backed_off.pop(cls, None)
            return
        if kind is not OutcomeKind.FAILED:
            return
        self._failures.append(_Failure(now, worker, cls))
        self._failures = [f for f in self._failures if now - f.at < BLAME_WINDOW_S]
        on_worker = [f for f in self._failures if f.worker == worker]
        failed_on = {f.worker for f in self._failures if f.cls == cls}
        if len({f.cls for f in on_worker}) >= QUARANTINE_CLASSES or (
            len(on_worker) >= QUARANTINE_FAILURES and len(failed_on) == 1
        ):
            if not self.is_quarantined(worker, now):
                log(Event.WORKER_QUARANTINED, worker=worker, seconds=QUARANTINE_S)
            self._quarantined[worker] = now + QUARANTINE_S
        elif len(failed_on) >= BACKOFF_WORKERS:
            last = self._backed_off.get(cls, (0.0, BACKOFF_S / 2))[1]
            wait = min(last * 2, BACKOFF_MAX_S)
            self._backed_off[cls] = (now + wait, wait)
            log(Event.CLASS_BACKED_OFF, cls=cls, seconds=wait)

    def is_quarantined(self, worker: str, now: float) -> bool:
        """Return whether a worker gets no tasks; after QUARANTINE_S it is tried again."""
        return now < self._quarantined.get(worker, 0.0)

    def is_backed_off(self, cls: str, now: float) -> bool:
        """Return whether a class must wait."""
        return now < self._backed_off.get(cls, (0.0, 0.0))[0]
