"""What is learned from reports: sizes of classes, and who slows whom down."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import accumulate

USAGE_BINS = 64
BIN_RATIO = 0.1
USAGE_QUANTILE = 0.95
USAGE_FULL_TRUST = 24
LEARNING_RATE = 0.3


class Usage:
    """A histogram of used cores over declared cores for one class."""

    def __init__(self) -> None:
        self._bins = [0] * USAGE_BINS
        self._count = 0

    def add(self, ratio: float) -> None:
        """Take in one task's use."""
        self._bins[min(USAGE_BINS - 1, int(ratio / BIN_RATIO))] += 1
        self._count += 1

    def factor(self) -> float:
        """Give the factor on the declared size; the declared size is the prior."""
        if not self._count:
            return 1.0
        wanted = self._count * USAGE_QUANTILE
        seen = accumulate(self._bins)
        bins = next(number for number, total in enumerate(seen, start=1) if total >= wanted)
        trust = min(1.0, self._count / USAGE_FULL_TRUST)
        learned = bins * BIN_RATIO
        # Growth is believed at once, since it guards the worker; shrinking only with evidence.
        return learned if learned > 1.0 else trust * learned + (1.0 - trust)


class Interference:
    """How much one task of a class slows a service down, learned from reports.

    A normalized least-mean-squares step: the error of a prediction is dealt out to the
    classes that ran together, by how many tasks each had.
    """

    def __init__(self) -> None:
        self._added: dict[tuple[str, str], float] = defaultdict(float)

    def observe(self, service: str, together: Iterable[str], slowdown: float) -> None:
        """Take in a slowdown factor and what ran together at the report's own time."""
        counts = Counter(together)
        if not counts:
            return
        error = (slowdown - 1.0) - self.added(service, counts.elements())
        scale = LEARNING_RATE * error / sum(count * count for count in counts.values())
        for cls, count in counts.items():
            pair = (service, cls)
            self._added[pair] = max(0.0, self._added[pair] + scale * count)

    def added(self, service: str, classes: Iterable[str]) -> float:
        """Predict the slowdown that classes add to a service."""
        return sum(self._added.get((service, cls), 0.0) for cls in classes)

    def pair(self, service: str, cls: str) -> float:
        """Give what one task of a class adds to a service."""
        return self._added.get((service, cls), 0.0)
