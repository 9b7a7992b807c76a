"""Which filling images lift which serving images' tails: learned from the workers' reports.

A tail is read as a load between 0 and 1, `1 - quiet / tail`. The load of a serving image is its
own part plus, for each filling image beside it, a weight times its share of the worker's cores.
Weights are estimated by recursive least squares, one estimate for each serving image.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

# Estimates before any report: own load, and the weight of a pair that was never together.
OWN_LOAD = 0.42
OWN_VARIANCE = 0.02
PAIR_WEIGHT = 0.5
PAIR_VARIANCE = 1.0
# Serving load swings by half within seconds, which one report can't tell from interference.
REPORT_VARIANCE = 0.03
# Interference shifts: each report adds this to the variance of the weights it bears on.
DRIFT_VARIANCE = 0.0005
# Tails say nothing of how far a load is above this.
SATURATED = 0.93
# Weights surer than this are told to other cells, which doubt them by this factor.
SHARED_VARIANCE = 0.15
DOUBT = 2.0
# A quiet tail before any report, as a part of the target.
QUIET_SHARE = 0.25
# Below this share of the cores a filling image says nothing.
LEAST_SHARE = 0.01


class Observation(NamedTuple):
    """One report of a serving task, and the filling images' shares of the worker's cores."""

    image: str
    tail_ms: float
    target_ms: float
    filling: Mapping[str, float]


class _Estimate:
    """Own load and weights of one serving image; index 0 is the own load."""

    def __init__(self) -> None:
        self.index: dict[str, int] = {}
        self.values = [OWN_LOAD]
        self.covariance = [[OWN_VARIANCE]]
        self.quiet_ms = float("inf")

    def of(self, image: str) -> float:
        place = self.index.get(image)
        return PAIR_WEIGHT if place is None else self.values[place]

    def load(self, filling: Mapping[str, float]) -> float:
        return self.values[0] + sum(self.of(image) * share for image, share in filling.items())

    def learn(self, filling: Mapping[str, float], load: float) -> None:
        places = [0, *(self._place(image) for image in filling)]
        shares = [1.0, *filling.values()]
        error = load - self.load(filling)
        if load >= SATURATED and error <= 0:
            return
        gains = [
            sum(row[place] * share for place, share in zip(places, shares, strict=True))
            for row in self.covariance
        ]
        spread = REPORT_VARIANCE + sum(
            gains[place] * share for place, share in zip(places, shares, strict=True)
        )
        for at, row in enumerate(self.covariance):
            step = gains[at] / spread
            self.values[at] = max(0.0, self.values[at] + step * error)
            for other, gain in enumerate(gains):
                row[other] -= step * gain
        for place in places[1:]:
            variance = self.covariance[place][place] + DRIFT_VARIANCE
            self.covariance[place][place] = min(variance, PAIR_VARIANCE)

    def replace(self, image: str, weight: float, variance: float) -> None:
        place = self._place(image)
        doubted = DOUBT * variance + REPORT_VARIANCE
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


class Interference:
    """What is known of all pairs of serving and filling images."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def observe(self, seen: Observation) -> None:
        """Learn from one report."""
        if seen.tail_ms <= 0:
            return
        estimate = self._of(seen.image)
        estimate.quiet_ms = min(estimate.quiet_ms, seen.tail_ms, seen.target_ms * QUIET_SHARE)
        filling = {image: part for image, part in seen.filling.items() if part > LEAST_SHARE}
        estimate.learn(filling, 1 - estimate.quiet_ms / seen.tail_ms)

    def weight(self, serving: str, filling: str) -> float:
        """Give a pair's weight."""
        return self._of(serving).of(filling)

    def load(self, serving: str, filling: Mapping[str, float]) -> float:
        """Predict a serving image's load beside filling ones."""
        return self._of(serving).load(filling)

    def seen_load(self, serving: str, tail_ms: float, target_ms: float) -> float:
        """Read a tail as a load."""
        return max(0.0, 1 - self._quiet(serving, target_ms) / max(tail_ms, 0.001))

    def limit(self, serving: str, target_ms: float) -> float:
        """Give the load at which the tail reaches its target."""
        return 1 - self._quiet(serving, target_ms) / target_ms

    def own(self, serving: str) -> float:
        """Give a serving image's own load."""
        return self._of(serving).values[0]

    def filling_images(self) -> set[str]:
        """Name the filling images seen beside serving ones."""
        return {image for estimate in self._estimates.values() for image in estimate.index}

    def shared(self) -> list[list[Any]]:
        """Give what was learned, for other cells: serving, filling, weight, variance."""
        return [
            [serving, image, round(estimate.values[at], 3), round(estimate.covariance[at][at], 3)]
            for serving, estimate in self._estimates.items()
            for image, at in estimate.index.items()
            if estimate.covariance[at][at] < SHARED_VARIANCE
        ]

    def take_in(self, rows: list[list[Any]]) -> None:
        """Take over what another cell knows better."""
        for serving, image, weight, variance in rows:
            self._of(serving).replace(image, weight, variance)

    def table(self) -> dict[str, dict[str, float]]:
        """Give all weights, for logs."""
        return {
            serving: {image: round(estimate.of(image), 2) for image in estimate.index}
            for serving, estimate in self._estimates.items()
        }

    def _quiet(self, serving: str, target_ms: float) -> float:
        return min(self._of(serving).quiet_ms, target_ms * QUIET_SHARE)

    def _of(self, serving: str) -> _Estimate:
        return self._estimates.setdefault(serving, _Estimate())
