"""Interference of filling images with serving images, learned from the workers' reports.

A tail latency is converted to a load between 0 and 1, `1 - unloaded / tail`. A filling image adds
a weight times its share of the worker's cores. A serving image's own load varies by half within
seconds, much more than one filling task adds, but little between consecutive reports. Weights are
therefore estimated from the *change* between two reports, by recursive least squares, with one
estimate per serving image.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

# Own load before any report, and the gain of its moving average.
INITIAL_OWN_LOAD = 0.42
OWN_LOAD_GAIN = 0.05
# Weight and variance of a pair that has not been observed together.
INITIAL_WEIGHT = 0.5
INITIAL_VARIANCE = 0.25
# Noise of a change: own load varies by 0.04 between reports (seen in simulations of whole days),
# and tails are rounded to whole ms.
OWN_LOAD_VARIANCE = 0.0016
ROUNDING_VARIANCE = 0.0004
# Interference changes over time: each report adds this to the variance of the weights it affects.
DRIFT_VARIANCE = 0.0005
# Above this load, tails no longer show how high the load is.
SATURATED_LOAD = 0.93
# Weights with a lower variance are exported to other cells, which import them with their variance
# multiplied by the factor.
LEARNED_VARIANCE = 0.08
IMPORT_VARIANCE_FACTOR = 1.5
# Upper bound of the unloaded tail, relative to the target.
UNLOADED_SHARE = 0.25
# Smaller changes of a filling image's share of the cores are ignored.
MIN_SHARE = 0.01


class Observation(NamedTuple):
    """One report of a worker's serving tasks of one image, and the filling images' shares.

    `tail_ms` is the harmonic mean over the tasks, which corresponds to their mean load. Only
    reports of the same `tasks` on the same worker are compared.
    """

    image: str
    tail_ms: float
    target_ms: float
    filling: Mapping[str, float]
    worker: str = ""
    tasks: tuple[int, ...] = (0,)


class _LastReport(NamedTuple):
    """The last report of a worker and image, compared with the next one."""

    tasks: tuple[int, ...]
    load: float
    filling: Mapping[str, float]


class _Estimate:
    """Own load of one serving image and the weights of filling images."""

    def __init__(self) -> None:
        self.index: dict[str, int] = {}
        self.own = INITIAL_OWN_LOAD
        self.values: list[float] = []
        self.covariance: list[list[float]] = []
        self.unloaded_ms = float("inf")

    def weight_of(self, image: str) -> float:
        column = self.index.get(image)
        return INITIAL_WEIGHT if column is None else self.values[column]

    def added_load(self, filling: Mapping[str, float]) -> float:
        return sum(self.weight_of(image) * share for image, share in filling.items())

    def update_own_load(self, load: float, filling: Mapping[str, float]) -> None:
        own = min(1.0, max(0.0, load - self.added_load(filling)))
        self.own += OWN_LOAD_GAIN * (own - self.own)

    def update_weights(self, change: float, shares: Mapping[str, float], noise: float) -> None:
        columns = [self._index_of(image) for image in shares]
        deltas = list(shares.values())
        for column in columns:
            variance = self.covariance[column][column] + DRIFT_VARIANCE
            self.covariance[column][column] = min(variance, INITIAL_VARIANCE)
        gains = [
            sum(row[column] * delta for column, delta in zip(columns, deltas, strict=True))
            for row in self.covariance
        ]
        error = change - self.added_load(shares)
        total_variance = noise + sum(
            gains[column] * delta for column, delta in zip(columns, deltas, strict=True)
        )
        for at, row in enumerate(self.covariance):
            step = gains[at] / total_variance
            self.values[at] = max(0.0, self.values[at] + step * error)
            for other, gain in enumerate(gains):
                row[other] -= step * gain

    def import_weight(self, image: str, weight: float, variance: float) -> None:
        column = self._index_of(image)
        inflated = IMPORT_VARIANCE_FACTOR * variance + DRIFT_VARIANCE
        if inflated < self.covariance[column][column]:
            for row in self.covariance:
                row[column] = 0.0
            self.covariance[column] = [0.0] * len(self.values)
            self.covariance[column][column] = inflated
            self.values[column] = weight

    def _index_of(self, image: str) -> int:
        column = self.index.get(image)
        if column is None:
            column = self.index[image] = len(self.values)
            self.values.append(INITIAL_WEIGHT)
            for row in self.covariance:
                row.append(0.0)
            self.covariance.append([0.0] * column + [INITIAL_VARIANCE])
        return column


def _changes(before: Mapping[str, float], after: Mapping[str, float]) -> dict[str, float]:
    """Return the change of each image's share; changes up to MIN_SHARE are omitted."""
    changes = {image: after.get(image, 0.0) - before.get(image, 0.0) for image in {*before, *after}}
    return {image: change for image, change in changes.items() if abs(change) > MIN_SHARE}


class Interference:
    """Estimates for all pairs of serving and filling images."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}
        self._last_reports: dict[tuple[str, str], _LastReport] = {}

    def observe(self, report: Observation) -> None:
        """Update the estimates from the changes since the last report of the same tasks."""
        if report.tail_ms <= 0:
            return
        estimate = self._estimate(report.image)
        unloaded_ms = min(report.tail_ms, report.target_ms * UNLOADED_SHARE)
        estimate.unloaded_ms = min(estimate.unloaded_ms, unloaded_ms)
        load = 1 - estimate.unloaded_ms / report.tail_ms
        source = report.worker, report.image
        before = self._last_reports.get(source)
        self._last_reports[source] = _LastReport(report.tasks, load, dict(report.filling))
        if before is not None and before.tasks == report.tasks:
            shares = _changes(before.filling, report.filling)
            lowest, change = min(load, before.load), load - before.load
            # Beyond saturation the true load is unknown, but not below the measured one.
            is_censored = max(load, before.load) >= SATURATED_LOAD
            expected = estimate.added_load(shares)
            if shares and not (
                is_censored and (lowest >= SATURATED_LOAD or abs(change) < abs(expected))
            ):
                noise = OWN_LOAD_VARIANCE / len(report.tasks) + ROUNDING_VARIANCE
                estimate.update_weights(change, shares, noise)
        estimate.update_own_load(load, report.filling)

    def forget_worker(self, worker: str) -> None:
        """Drop the last reports of a removed worker."""
        for source in [source for source in self._last_reports if source[0] == worker]:
            del self._last_reports[source]

    def weight(self, serving: str, filling: str) -> float:
        """Return the weight of a pair."""
        return self._estimate(serving).weight_of(filling)

    def is_learned(self, serving: str, filling: str) -> bool:
        """Return whether a pair's weight was learned from reports rather than assumed."""
        estimate = self._estimate(serving)
        column = estimate.index.get(filling)
        return column is not None and estimate.covariance[column][column] < LEARNED_VARIANCE

    def load(self, serving: str, filling: Mapping[str, float]) -> float:
        """Predict a serving image's load next to filling images with the given shares."""
        estimate = self._estimate(serving)
        return estimate.own + estimate.added_load(filling)

    def observed_load(self, serving: str, tail_ms: float, target_ms: float) -> float:
        """Convert a measured tail to a load."""
        return max(0.0, 1 - self._unloaded_ms(serving, target_ms) / max(tail_ms, 0.001))

    def limit(self, serving: str, target_ms: float) -> float:
        """Return the load at which the tail reaches its target."""
        return 1 - self._unloaded_ms(serving, target_ms) / target_ms

    def own_load(self, serving: str) -> float:
        """Return a serving image's own load."""
        return self._estimate(serving).own

    def filling_images(self) -> set[str]:
        """Return the filling images observed next to serving ones."""
        return {image for estimate in self._estimates.values() for image in estimate.index}

    def export_rows(self) -> list[list[Any]]:
        """Return learned weights for other cells as rows of serving, filling, weight, variance."""
        return [
            [serving, image, round(estimate.values[at], 3), round(estimate.covariance[at][at], 3)]
            for serving, estimate in self._estimates.items()
            for image, at in estimate.index.items()
            if estimate.covariance[at][at] < LEARNED_VARIANCE
        ]

    def import_rows(self, rows: list[list[Any]]) -> None:
        """Import the weights that another cell knows more precisely."""
        for serving, image, weight, variance in rows:
            self._estimate(serving).import_weight(image, weight, variance)

    def weights(self) -> dict[str, dict[str, float]]:
        """Return all weights by serving and filling image, rounded for logs."""
        return {
            serving: {image: round(estimate.weight_of(image), 2) for image in estimate.index}
            for serving, estimate in self._estimates.items()
        }

    def _unloaded_ms(self, serving: str, target_ms: float) -> float:
        return min(self._estimate(serving).unloaded_ms, target_ms * UNLOADED_SHARE)

    def _estimate(self, serving: str) -> _Estimate:
        estimate = self._estimates.get(serving)
        if estimate is None:
            estimate = self._estimates[serving] = _Estimate()
        return estimate
