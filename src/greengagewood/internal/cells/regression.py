"""Recursive least squares with forgetting, over features that have names.

Answers the need to learn many effects at once from few noisy readings: unlike a gradient step, each
reading is credited to the features that the earlier ones leave open.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Regression"]

Vector = dict[str, float]


@dataclass
class Regression:
    """Hold the estimate of one linear function.

    `prior` and `spread` are the mean and the variance of a weight before any reading; `noise` is
    the variance of a reading, and `keep` the share of an old reading's weight that each newer one
    leaves.
    """

    prior: float
    spread: float
    noise: float
    keep: float
    weights: Vector = field(default_factory=dict)
    sample_counts: dict[str, int] = field(default_factory=dict)  # by feature
    _covariance: dict[str, Vector] = field(default_factory=dict)

    def weight(self, name: str) -> float:
        """Return the estimate of one weight."""
        return self.weights.get(name, self.prior)

    def variance(self, name: str) -> float:
        """Return the variance of the estimate of one weight."""
        row = self._covariance.get(name)
        return row[name] if row else self.spread

    def _add(self, name: str) -> None:
        self.weights[name] = self.prior
        for row in self._covariance.values():
            row[name] = 0.0
        self._covariance[name] = {**dict.fromkeys(self.weights, 0.0), name: self.spread}

    def predict(self, features: Mapping[str, float]) -> float:
        """Return the value to expect."""
        return sum(self.weight(name) * amount for name, amount in features.items())

    def learn(self, features: Mapping[str, float], value: float) -> float:
        """Learn from one reading; return how far the estimate was off before."""
        for name in features:
            if name not in self.weights:
                self._add(name)
            self.sample_counts[name] = self.sample_counts.get(name, 0) + 1
        error = value - self.predict(features)
        gains = {
            name: sum(row[other] * amount for other, amount in features.items())
            for name, row in self._covariance.items()
        }
        scale = self.noise + sum(gains[name] * amount for name, amount in features.items())
        for name, row in self._covariance.items():
            gain = gains[name] / scale
            self.weights[name] += gain * error
            if gain:
                for other, forward in gains.items():
                    row[other] -= gain * forward
        for name in features:  # only what was seen is forgotten, so nothing grows without bound
            row = self._covariance[name]
            row[name] = min(self.spread, row[name] / self.keep)
        return error
