"""Recursive least squares with forgetting, over named features.

It learns many weights at once from few noisy samples: unlike a gradient step, it attributes the
error of a sample mostly to features whose weights are still uncertain after the earlier samples.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Regression"]

Vector = dict[str, float]


@dataclass
class Regression:
    """Estimate the weights of one linear function.

    `prior_mean` and `prior_variance` are of a weight before any sample; `noise_variance` is of the
    value of a sample. Each sample multiplies the influence of the earlier samples of its features
    by `forgetting_factor`.
    """

    prior_mean: float
    prior_variance: float
    noise_variance: float
    forgetting_factor: float
    weights: Vector = field(default_factory=dict)
    sample_counts: dict[str, int] = field(default_factory=dict)  # number of samples by feature
    _covariance: dict[str, Vector] = field(default_factory=dict)

    def weight(self, name: str) -> float:
        """Return the estimate of one weight."""
        return self.weights.get(name, self.prior_mean)

    def variance(self, name: str) -> float:
        """Return the variance of the estimate of one weight."""
        row = self._covariance.get(name)
        return row[name] if row else self.prior_variance

    def _add_feature(self, name: str) -> None:
        self.weights[name] = self.prior_mean
        for row in self._covariance.values():
            row[name] = 0.0
        self._covariance[name] = {**dict.fromkeys(self.weights, 0.0), name: self.prior_variance}

    def predict(self, features: Mapping[str, float]) -> float:
        """Return the estimated value."""
        return sum(self.weight(name) * amount for name, amount in features.items())

    def learn(self, features: Mapping[str, float], value: float) -> float:
        """Update the weights from a sample; return its value minus the previous estimate."""
        for name in features:
            if name not in self.weights:
                self._add_feature(name)
            self.sample_counts[name] = self.sample_counts.get(name, 0) + 1
        residual = value - self.predict(features)
        prediction_covariances = {
            name: sum(row[other] * amount for other, amount in features.items())
            for name, row in self._covariance.items()
        }
        residual_variance = self.noise_variance + sum(
            prediction_covariances[name] * amount for name, amount in features.items()
        )
        for name, row in self._covariance.items():
            gain = prediction_covariances[name] / residual_variance
            self.weights[name] += gain * residual
            if gain:
                for other, covariance in prediction_covariances.items():
                    row[other] -= gain * covariance
        # Forgets only the features of this sample, so that no variance grows without bound.
        for name in features:
            row = self._covariance[name]
            row[name] = min(self.prior_variance, row[name] / self.forgetting_factor)
        return residual
