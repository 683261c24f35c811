"""Predict how much batch tasks slow a service that shares their worker, learning as they run.

The model: the logarithm of a service's latency on a worker is a base value plus, for each batch
class that runs there, a coefficient of the class times the share of the worker's processors that
the class uses times a term that grows with the service's load. The coefficients are learned by
recursive least squares with exponential forgetting, so that the model follows changes. A class
without samples has a prior coefficient with a large variance, and placement allows for it.

There are two sources of data. Gateways measure a service's latency at each backend server; these
samples, as count, sum and sum of squares of the logarithm, arrive at once and train the model.
Workers report processor usage late; each report is compared with what ran in the interval that it
measured, and corrects how much of its declared processors a class uses.

Alternatives that were rejected: a table of pairs of service and class with plain averages (it
can't separate two classes that run together), and a matrix factorisation (it needs more pairs than
a dozen classes give).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from statistics import NormalDist

__all__ = ["InterferenceModel", "LatencySample", "Prediction", "quantile_z_score"]

PRIOR_COEFFICIENT = 0.6
COEFFICIENT_PRIOR_VARIANCE = 0.5
BASE_PRIOR_VARIANCE = 4.0
FORGETTING_FACTOR = 0.999
MAX_VARIANCE = 4.0  # forgetting stops before a variance exceeds this
MODEL_ERROR_VARIANCE = 0.01  # of a sample mean, beside its sampling error
INITIAL_SIGMA = 0.35
SIGMA_EWMA_WEIGHT = 0.05
MIN_REQUESTS = 5  # smaller samples are ignored
# The squared error of a prediction, divided by its variance, is 1 on average while the model fits.
SURPRISE_EWMA_WEIGHT = 0.05
MAX_SURPRISE = 3.0  # above this average, the coefficients are learned anew


@dataclass(frozen=True)
class LatencySample:
    """Summarise the latencies of one service at one worker in a second, as sums of ln(ms)."""

    service: str
    worker: str
    count: int
    log_sum: float
    log_square_sum: float

    def __add__(self, other: LatencySample) -> LatencySample:
        return LatencySample(
            self.service,
            self.worker,
            self.count + other.count,
            self.log_sum + other.log_sum,
            self.log_square_sum + other.log_square_sum,
        )

    @property
    def log_mean(self) -> float:
        """Return the mean of ln(ms)."""
        return self.log_sum / self.count

    @property
    def log_variance(self) -> float:
        """Return the variance of ln(ms)."""
        return max(0.0, self.log_square_sum / self.count - self.log_mean**2)


@dataclass(frozen=True)
class Prediction:
    """Hold a prediction of ln(ms): the mean, its standard error, and the deviation of requests."""

    log_mean: float
    standard_error: float
    sigma: float

    def quantile_ms(self, z_score: float, standard_errors: float) -> float:
        """Return the latency at a quantile, with some standard errors of the mean added."""
        return math.exp(
            self.log_mean + standard_errors * self.standard_error + z_score * self.sigma
        )


def quantile_z_score(target: float) -> float:
    """Return how many standard deviations above the mean a quantile lies."""
    return NormalDist().inv_cdf(target)


@dataclass
class InterferenceModel:
    """Learn how much each batch class slows one service."""

    sigma: float = INITIAL_SIGMA
    _classes: list[str] = field(default_factory=list)
    _coefficients: list[float] = field(default_factory=lambda: [math.log(20.0)])
    _covariance: list[list[float]] = field(default_factory=lambda: [[BASE_PRIOR_VARIANCE]])
    _surprise: float = 1.0

    def coefficient(self, batch_class: str) -> float:
        """Return the rise of ln(ms) per unit of a class's CPU share and of the load term."""
        if batch_class not in self._classes:
            return PRIOR_COEFFICIENT
        return self._coefficients[self._classes.index(batch_class) + 1]

    def observe(self, sample: LatencySample, shares: dict[str, float], load: float) -> None:
        """Learn from a sample; `shares` maps classes to fractions of the worker's processors."""
        if sample.count < MIN_REQUESTS:
            return
        for name in shares:
            self._add_class(name)
        self.sigma += SIGMA_EWMA_WEIGHT * (math.sqrt(sample.log_variance) - self.sigma)
        x = self._features(shares, load)
        noise = self.sigma**2 / sample.count + MODEL_ERROR_VARIANCE
        self._update(x, sample.log_mean, noise)

    def predict(self, shares: dict[str, float], load: float) -> Prediction:
        """Predict the latency on a worker whose processors are used in these shares."""
        for name in shares:
            self._add_class(name)
        return self._predict(self._features(shares, load))

    def predict_increase(self, shares: dict[str, float], load: float) -> Prediction:
        """Predict the rise of ln(ms) over a worker without batch tasks."""
        for name in shares:
            self._add_class(name)
        x = self._features(shares, load)
        x[0] = 0.0  # uncertainty of the base is no reason to reject a placement
        return self._predict(x)

    def _predict(self, x: list[float]) -> Prediction:
        mean = sum(a * b for a, b in zip(self._coefficients, x, strict=True))
        variance = sum(
            a * self._dot(row, x) for a, row in zip(x, self._covariance, strict=True) if a
        )
        return Prediction(mean, math.sqrt(max(0.0, variance)), self.sigma)

    def _add_class(self, name: str) -> None:
        if name in self._classes:
            return
        self._classes.append(name)
        self._coefficients.append(PRIOR_COEFFICIENT)
        for row in self._covariance:
            row.append(0.0)
        self._covariance.append(
            [0.0] * (len(self._coefficients) - 1) + [COEFFICIENT_PRIOR_VARIANCE]
        )

    def _features(self, shares: dict[str, float], load: float) -> list[float]:
        """Return the regressors: 1 for the base, then a product of share and load per class."""
        return [1.0, *(shares.get(name, 0.0) * (0.5 + load) for name in self._classes)]

    def _dot(self, row: list[float], x: list[float]) -> float:
        return sum(a * b for a, b in zip(row, x, strict=True) if b)

    def _update(self, x: list[float], value: float, noise: float) -> None:
        """Apply one step of recursive least squares; `noise` is the variance of the value."""
        covariance_x = [self._dot(row, x) for row in self._covariance]
        scale = noise + sum(a * b for a, b in zip(x, covariance_x, strict=True))
        error = value - sum(a * b for a, b in zip(self._coefficients, x, strict=True))
        gain = [entry / scale for entry in covariance_x]
        self._note_surprise(error * error / scale)
        self._coefficients = [c + g * error for c, g in zip(self._coefficients, gain, strict=True)]
        size = len(x)
        for i in range(size):
            for j in range(size):
                self._covariance[i][j] -= gain[i] * covariance_x[j]
        self._forget()

    def _note_surprise(self, surprise: float) -> None:
        """Discard the confidence in the coefficients once the model no longer fits the samples.

        Forgetting alone follows a sudden change only after as many samples as it remembers.
        """
        self._surprise += SURPRISE_EWMA_WEIGHT * (surprise - self._surprise)
        if self._surprise < MAX_SURPRISE:
            return
        self._surprise = 1.0
        for i in range(1, len(self._coefficients)):
            self._covariance[i][i] += COEFFICIENT_PRIOR_VARIANCE

    def _forget(self) -> None:
        """Discount old samples, up to a maximal variance, so that the model can follow changes."""
        if (
            max(self._covariance[i][i] for i in range(len(self._covariance))) / FORGETTING_FACTOR
            > MAX_VARIANCE
        ):
            return
        for row in self._covariance:
            for j in range(len(row)):
                row[j] /= FORGETTING_FACTOR
