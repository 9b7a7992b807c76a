"""Which filling images lift which serving images' tails: learned from the workers' reports.

A tail is read as a load between 0 and 1, `1 - quiet / tail`. A filling image adds to it a weight
times its share of the worker's cores. A serving image's own load swings by half within seconds,
much more than one filling task adds, but little from one report to the next: so weights are
estimated from the *change* between two reports, by recursive least squares, one estimate for
each serving image.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

# The own load before any report, and the part of a report's surprise that it takes over.
OWN_LOAD = 0.42
OWN_GAIN = 0.05
# The weight of a pair that was never together, and how sure that is.
PAIR_WEIGHT = 0.5
PAIR_VARIANCE = 0.25
# Own load moves by 0.04 from one report to the next (played days), tails come in whole ms.
SWING_VARIANCE = 0.0016
ROUNDING_VARIANCE = 0.0004
# Interference shifts: each report adds this to the variance of the weights it bears on.
DRIFT_VARIANCE = 0.0005
# Tails say nothing of how far a load is above this.
SATURATED = 0.93
# Weights surer than this are told to other cells, which doubt them by this factor.
SHARED_VARIANCE = 0.08
DOUBT = 1.5
# A quiet tail before any report, as a part of the target.
QUIET_SHARE = 0.25
# Below this share of the cores a filling image says nothing.
LEAST_SHARE = 0.01


class Observation(NamedTuple):
    """One report of a worker's serving tasks of one image, and the filling images' shares.

    `tail_ms` is the harmonic mean over the tasks, so that it stands for their mean load; `tasks`
    tells them apart, as only reports of the same tasks on the same worker are compared.
    """

    image: str
    tail_ms: float
    target_ms: float
    filling: Mapping[str, float]
    worker: str = ""
    tasks: tuple[int, ...] = (0,)


class _Seen(NamedTuple):
    """What a report said, kept for the next one."""

    tasks: tuple[int, ...]
    load: float
    filling: Mapping[str, float]


class _Estimate:
    """Own load of one serving image, and the weights of the filling images beside it."""

    def __init__(self) -> None:
        self.index: dict[str, int] = {}
        self.own = OWN_LOAD
        self.values: list[float] = []
        self.covariance: list[list[float]] = []
        self.quiet_ms = float("inf")

    def of(self, image: str) -> float:
        place = self.index.get(image)
        return PAIR_WEIGHT if place is None else self.values[place]

    def pressed(self, filling: Mapping[str, float]) -> float:
        return sum(self.of(image) * share for image, share in filling.items())

    def note_level(self, load: float, filling: Mapping[str, float]) -> None:
        own = min(1.0, max(0.0, load - self.pressed(filling)))
        self.own += OWN_GAIN * (own - self.own)

    def note_change(self, change: float, shares: Mapping[str, float], noise: float) -> None:
        places = [self._place(image) for image in shares]
        parts = list(shares.values())
        for place in places:
            variance = self.covariance[place][place] + DRIFT_VARIANCE
            self.covariance[place][place] = min(variance, PAIR_VARIANCE)
        gains = [
            sum(row[place] * part for place, part in zip(places, parts, strict=True))
            for row in self.covariance
        ]
        error = change - self.pressed(shares)
        spread = noise + sum(gains[place] * part for place, part in zip(places, parts, strict=True))
        for at, row in enumerate(self.covariance):
            step = gains[at] / spread
            self.values[at] = max(0.0, self.values[at] + step * error)
            for other, gain in enumerate(gains):
                row[other] -= step * gain

    def replace(self, image: str, weight: float, variance: float) -> None:
        place = self._place(image)
        doubted = DOUBT * variance + DRIFT_VARIANCE
        if doubted < self.covariance[place][place]:
            for row in self.covariance:
                row[place] = 0.0
            self.covariance[place] = [0.0] * len(self.values)
            self.covariance[place][place] = doubted
            self.values[place] = weight

    def _place(self, image: str) -> int:
        place = self.index.get(image)
        if place is None:
            place = self.index[image] = len(self.values)
            self.values.append(PAIR_WEIGHT)
            for row in self.covariance:
                row.append(0.0)
            self.covariance.append([0.0] * place + [PAIR_VARIANCE])
        return place


def _changes(before: Mapping[str, float], after: Mapping[str, float]) -> dict[str, float]:
    """Give by image how much its share changed; what hardly changed is left out."""
    found = {image: after.get(image, 0.0) - before.get(image, 0.0) for image in {*before, *after}}
    return {image: change for image, change in found.items() if abs(change) > LEAST_SHARE}


class Interference:
    """What is known of all pairs of serving and filling images."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}
        self._seen: dict[tuple[str, str], _Seen] = {}

    def observe(self, report: Observation) -> None:
        """Learn from a report, by what changed since the last one of the same tasks."""
        if report.tail_ms <= 0:
            return
        estimate = self._of(report.image)
        quiet_ms = min(report.tail_ms, report.target_ms * QUIET_SHARE)
        estimate.quiet_ms = min(estimate.quiet_ms, quiet_ms)
        load = 1 - estimate.quiet_ms / report.tail_ms
        source = report.worker, report.image
        before = self._seen.get(source)
        self._seen[source] = _Seen(report.tasks, load, dict(report.filling))
        if before is not None and before.tasks == report.tasks:
            shares = _changes(before.filling, report.filling)
            lowest, change = min(load, before.load), load - before.load
            # Beyond saturation the true load is unknown, but it is not below what was read.
            cut_off = max(load, before.load) >= SATURATED
            expected = estimate.pressed(shares)
            if shares and not (cut_off and (lowest >= SATURATED or abs(change) < abs(expected))):
                noise = SWING_VARIANCE / len(report.tasks) + ROUNDING_VARIANCE
                estimate.note_change(change, shares, noise)
        estimate.note_level(load, report.filling)

    def forget_worker(self, worker: str) -> None:
        """Drop the last reports of a worker that is gone."""
        for source in [source for source in self._seen if source[0] == worker]:
            del self._seen[source]

    def weight(self, serving: str, filling: str) -> float:
        """Give a pair's weight."""
        return self._of(serving).of(filling)

    def is_learned(self, serving: str, filling: str) -> bool:
        """Tell whether a pair's weight was learned from reports, not presumed."""
        estimate = self._of(serving)
        place = estimate.index.get(filling)
        return place is not None and estimate.covariance[place][place] < SHARED_VARIANCE

    def load(self, serving: str, filling: Mapping[str, float]) -> float:
        """Predict a serving image's load beside filling ones."""
        estimate = self._of(serving)
        return estimate.own + estimate.pressed(filling)

    def observed_load(self, serving: str, tail_ms: float, target_ms: float) -> float:
        """Read a tail as a load."""
        return max(0.0, 1 - self._quiet(serving, target_ms) / max(tail_ms, 0.001))

    def limit(self, serving: str, target_ms: float) -> float:
        """Give the load at which the tail reaches its target."""
        return 1 - self._quiet(serving, target_ms) / target_ms

    def own_load(self, serving: str) -> float:
        """Give a serving image's own load."""
        return self._of(serving).own

    def filling_images(self) -> set[str]:
        """Name the filling images seen beside serving ones."""
        return {image for estimate in self._estimates.values() for image in estimate.index}

    def export_rows(self) -> list[list[Any]]:
        """Give what was learned, for other cells: serving, filling, weight, variance."""
        return [
            [serving, image, round(estimate.values[at], 3), round(estimate.covariance[at][at], 3)]
            for serving, estimate in self._estimates.items()
            for image, at in estimate.index.items()
            if estimate.covariance[at][at] < SHARED_VARIANCE
        ]

    def import_rows(self, rows: list[list[Any]]) -> None:
        """Take over what another cell knows better."""
        for serving, image, weight, variance in rows:
            self._of(serving).replace(image, weight, variance)

    def weights(self) -> dict[str, dict[str, float]]:
        """Give all weights, for logs."""
        return {
            serving: {image: round(estimate.of(image), 2) for image in estimate.index}
            for serving, estimate in self._estimates.items()
        }

    def _quiet(self, serving: str, target_ms: float) -> float:
        return min(self._of(serving).quiet_ms, target_ms * QUIET_SHARE)

    def _of(self, serving: str) -> _Estimate:
        return self._estimates.setdefault(serving, _Estimate())
