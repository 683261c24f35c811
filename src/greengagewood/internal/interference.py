"""What batch work costs a service that shares its worker, learned while it runs.

The model: the logarithm of a service's latency on a worker is a base, plus a sum over the batch
classes that run there of theta(class) times their share of the worker's processors times the
service's load. The thetas are learned by recursive least squares with forgetting, so a shift is
followed; a pair that was never seen has a prior and a large uncertainty, which placement turns
into caution.

Evidence comes from two sides. Gateways see a service's latency for each backend server at once;
these samples, as count, sum and sum of squares of the logarithm, teach the model. Workers' usage
reports come late; each is set against what ran in the interval that it measured, and corrects how
much of its declared processors a class really uses.

Weighed and left: a table of pairs with plain averages (cannot tell two classes apart that run
together), and a matrix factorisation (needs more pairs than a dozen classes give).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from statistics import NormalDist

__all__ = ["InterferenceModel", "LatencySample", "Prediction", "quantile_factor"]

PRIOR_THETA = 0.6
PRIOR_VARIANCE = 0.5
BASE_VARIANCE = 4.0
FORGETTING = 0.999
MAX_VARIANCE = 4.0
MODEL_NOISE = 0.01
DEFAULT_SIGMA = 0.35
SIGMA_WEIGHT = 0.05
MIN_COUNT = 5


@dataclass(frozen=True)
class LatencySample:
    """Sum up the latencies of one service at one worker in a second: of ln(milliseconds)."""

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
    def mean(self) -> float:
        """Return the mean of ln(ms)."""
        return self.log_sum / self.count

    @property
    def variance(self) -> float:
        """Return the variance of ln(ms)."""
        return max(0.0, self.log_square_sum / self.count - self.mean**2)


@dataclass(frozen=True)
class Prediction:
    """Predict ln(ms): the mean, the uncertainty of the mean, and the spread of requests."""

    mean: float
    uncertainty: float
    sigma: float

    def quantile_ms(self, factor: float, caution: float) -> float:
        """Return the latency at a quantile, with so many uncertainties added."""
        return math.exp(self.mean + caution * self.uncertainty + factor * self.sigma)


def quantile_factor(target: float) -> float:
    """Return how many sigmas lie below a fraction of requests."""
    return NormalDist().inv_cdf(target)


@dataclass
class InterferenceModel:
    """Learn for one service what each batch class costs it."""

    sigma: float = DEFAULT_SIGMA
    _classes: list[str] = field(default_factory=list)
    _theta: list[float] = field(default_factory=lambda: [math.log(20.0)])
    _cov: list[list[float]] = field(default_factory=lambda: [[BASE_VARIANCE]])

    def theta(self, batch_class: str) -> float:
        """Return what a class costs, in ln(ms) for a whole worker's processors."""
        if batch_class not in self._classes:
            return PRIOR_THETA
        return self._theta[self._classes.index(batch_class) + 1]

    def observe(self, sample: LatencySample, shares: dict[str, float], load: float) -> None:
        """Learn from a sample; `shares` are fractions of the worker's processors by class."""
        if sample.count < MIN_COUNT:
            return
        for name in shares:
            self._add_class(name)
        self.sigma += SIGMA_WEIGHT * (math.sqrt(sample.variance) - self.sigma)
        x = self._features(shares, load)
        noise = self.sigma**2 / sample.count + MODEL_NOISE
        self._update(x, sample.mean, noise)

    def predict(self, shares: dict[str, float], load: float) -> Prediction:
        """Predict the latency on a worker where classes run with these shares."""
        for name in shares:
            self._add_class(name)
        return self._predict(self._features(shares, load))

    def added(self, shares: dict[str, float], load: float) -> Prediction:
        """Predict what these classes add to the service alone, in ln; `sigma` is the spread."""
        for name in shares:
            self._add_class(name)
        x = self._features(shares, load)
        x[0] = 0.0  # what is not known of the service alone is no reason for caution
        return self._predict(x)

    def _predict(self, x: list[float]) -> Prediction:
        mean = sum(a * b for a, b in zip(self._theta, x, strict=True))
        variance = sum(a * self._row(row, x) for a, row in zip(x, self._cov, strict=True) if a)
        return Prediction(mean, math.sqrt(max(0.0, variance)), self.sigma)

    def _add_class(self, name: str) -> None:
        if name in self._classes:
            return
        self._classes.append(name)
        self._theta.append(PRIOR_THETA)
        for row in self._cov:
            row.append(0.0)
        self._cov.append([0.0] * (len(self._theta) - 1) + [PRIOR_VARIANCE])

    def _features(self, shares: dict[str, float], load: float) -> list[float]:
        return [1.0, *(shares.get(name, 0.0) * (0.5 + load) for name in self._classes)]

    def _row(self, row: list[float], x: list[float]) -> float:
        return sum(a * b for a, b in zip(row, x, strict=True) if b)

    def _update(self, x: list[float], value: float, noise: float) -> None:
        cov_x = [self._row(row, x) for row in self._cov]
        scale = noise + sum(a * b for a, b in zip(x, cov_x, strict=True))
        error = value - sum(a * b for a, b in zip(self._theta, x, strict=True))
        gain = [value / scale for value in cov_x]
        self._theta = [t + g * error for t, g in zip(self._theta, gain, strict=True)]
        size = len(x)
        for i in range(size):
            for j in range(size):
                self._cov[i][j] -= gain[i] * cov_x[j]
        self._forget()

    def _forget(self) -> None:
        """Let old evidence fade, up to a bound, so a shift can be learned."""
        if max(self._cov[i][i] for i in range(len(self._cov))) / FORGETTING > MAX_VARIANCE:
            return
        for row in self._cov:
            for j in range(len(row)):
                row[j] /= FORGETTING
