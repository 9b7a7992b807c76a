"""Run times learned from the runs that ended as done, relative to the callers' estimates.

Made for loads in which estimates are off by up to nine tenths and 3 % of the tasks take 7 times as
long as the others: only ranks of samples are used, which a few outliers do not move.
"""

from bisect import bisect_left, insort
from collections import OrderedDict, deque

from curranthall.dag import Step

# Samples kept of one kind of run; the oldest one is dropped for a new one.
MAX_SAMPLES = 64
# With fewer samples the caller's estimate is used.
MIN_SAMPLES = 8
# Kinds of runs kept; the one observed least recently is dropped for a new one.
MAX_KINDS = 256
# The caller's estimate differs from the true time by up to this share of the true time.
ESTIMATE_ERROR = 0.9
# Run times of steps without an estimate are kept relative to this.
NO_ESTIMATE_S = 1.0
# Ends kept of one worker, and how many of them tell whether it is slow.
MAX_WORKER_SAMPLES = 8
MIN_WORKER_SAMPLES = 3
# A worker is slow if half of its last runs took this multiple of the usual time or longer.
SLOW_WORKER_RATIO = 1.5
# Workers kept; more than any cell has.
MAX_WORKERS = 256

# The image of a step and "", or the queue and the number of the step; whether it has an estimate.
RunKind = tuple[str, str, int, bool]


def kind_of(queue: str, number: int, step: Step) -> RunKind:
    """Return the kind of a step's runs: by image, else by queue and step number."""
    has_estimate = step.estimate_ms > 0
    return (step.image, "", 0, has_estimate) if step.image else ("", queue, number, has_estimate)


def median(ordered: list[float]) -> float:
    """Return the median of sorted values, the upper one of two."""
    return ordered[len(ordered) // 2]


def quantile(ordered: list[float], share: float) -> float:
    """Return the least of sorted values that at least a share of them does not exceed."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def estimate_quantile(share: float) -> float:
    """Return a quantile of the true time relative to an estimate with an even error."""
    return 1 / (1 + ESTIMATE_ERROR * (1 - 2 * share))


class _Samples:
    """The last samples of one kind of run, in the order of their arrival and sorted."""

    def __init__(self, size: int) -> None:
        self._recent: deque[float] = deque()
        self._size = size
        self.ordered: list[float] = []

    def add(self, value: float) -> None:
        if len(self._recent) == self._size:
            del self.ordered[bisect_left(self.ordered, self._recent.popleft())]
        self._recent.append(value)
        insort(self.ordered, value)


class RunTimes:
    """Learned ratios of run time to estimate, by kind of run."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[RunKind, _Samples] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kinds)

    def observe(self, queue: str, number: int, step: Step, seconds: float) -> None:
        """Add the run time of a run that ended as done and was neither slowed nor resumed."""
        kind = kind_of(queue, number, step)
        samples = self._kinds.setdefault(kind, _Samples(MAX_SAMPLES))
        self._kinds.move_to_end(kind)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        samples.add(seconds / self._base_s(step))

    def expected_s(self, queue: str, number: int, step: Step) -> float:
        """Return the median run time in seconds; the estimate until there are enough samples."""
        ratios = self._ratios(queue, number, step)
        return self._base_s(step) * (median(ratios) if ratios else 1.0)

    def quantile_s(self, queue: str, number: int, step: Step, share: float) -> float:
        """Return the time in seconds within which a share of the runs ends.

        Until there are enough samples this follows from the estimate and its largest error.
        """
        ratios = self._ratios(queue, number, step)
        return self._base_s(step) * (
            quantile(ratios, share) if ratios else estimate_quantile(share)
        )

    def _ratios(self, queue: str, number: int, step: Step) -> list[float]:
        """Return the sorted samples of a kind of run, none if there are too few."""
        samples = self._kinds.get(kind_of(queue, number, step))
        enough = samples is not None and len(samples.ordered) >= MIN_SAMPLES
        return samples.ordered if samples is not None and enough else []

    @staticmethod
    def _base_s(step: Step) -> float:
        return step.estimate_ms / 1000 if step.estimate_ms else NO_ESTIMATE_S


class WorkerSpeeds:
    """How long the last runs on each worker took, relative to comparable runs."""

    def __init__(self) -> None:
        self._workers: OrderedDict[str, _Samples] = OrderedDict()

    def observe(self, worker: str, ratio: float) -> None:
        """Add the ratio of a run's time to that of comparable runs."""
        samples = self._workers.setdefault(worker, _Samples(MAX_WORKER_SAMPLES))
        self._workers.move_to_end(worker)
        if len(self._workers) > MAX_WORKERS:
            self._workers.popitem(last=False)
        samples.add(ratio)

    def forget(self, worker: str) -> None:
        """Forget a worker: the boot that answers now may be of another kind."""
        self._workers.pop(worker, None)

    def is_slow(self, worker: str) -> bool:
        """Return whether the runs on a worker usually take much longer than comparable ones."""
        samples = self._workers.get(worker)
        if samples is None or len(samples.ordered) < MIN_WORKER_SAMPLES:
            return False
        return median(samples.ordered) >= SLOW_WORKER_RATIO
