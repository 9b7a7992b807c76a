"""Sizes of classes and their interference with services, learned from reports."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import accumulate

USAGE_BINS = 64
BIN_RATIO = 0.1
USAGE_QUANTILE = 0.95
FULL_CONFIDENCE_SAMPLES = 24
LEARNING_RATE = 0.3


class Usage:
    """A histogram of used cores over declared cores for one class."""

    def __init__(self) -> None:
        self._bins = [0] * USAGE_BINS
        self._count = 0

    def add(self, ratio: float) -> None:
        """Add the ratio of one task."""
        self._bins[min(USAGE_BINS - 1, int(ratio / BIN_RATIO))] += 1
        self._count += 1

    def factor(self) -> float:
        """Return the factor on the declared size, which is the prior."""
        if not self._count:
            return 1.0
        wanted = self._count * USAGE_QUANTILE
        seen = accumulate(self._bins)
        bins = next(number for number, total in enumerate(seen, start=1) if total >= wanted)
        confidence = min(1.0, self._count / FULL_CONFIDENCE_SAMPLES)
        learned = bins * BIN_RATIO
        # Growth applies at once, since it protects the worker; shrinking needs samples.
        return learned if learned > 1.0 else confidence * learned + (1.0 - confidence)


class Interference:
    """How much one task of a class slows a service down, learned from reports.

    Uses normalized least mean squares: the prediction error is distributed over the classes
    that ran at the same time, by their numbers of tasks.
    """

    def __init__(self) -> None:
        self._effects: dict[tuple[str, str], float] = defaultdict(float)

    def observe(self, service: str, classes: Iterable[str], slowdown: float) -> None:
        """Learn from a slowdown factor and the classes that ran at the time of the report."""
        counts = Counter(classes)
        if not counts:
            return
        error = (slowdown - 1.0) - self.predict(service, counts.elements())
        scale = LEARNING_RATE * error / sum(count * count for count in counts.values())
        for cls, count in counts.items():
            pair = (service, cls)
            self._effects[pair] = max(0.0, self._effects[pair] + scale * count)

    def predict(self, service: str, classes: Iterable[str]) -> float:
        """Predict the slowdown that classes add to a service."""
        return sum(self._effects.get((service, cls), 0.0) for cls in classes)

    def class_effect(self, service: str, cls: str) -> float:
        """Return the slowdown that one task of a class adds to a service."""
        return self._effects.get((service, cls), 0.0)
