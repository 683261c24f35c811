"""Decisions on sharing: what is learned, and what services and filling work get from it."""

from __future__ import annotations

import functools
import random

import pytest

from greengagewood.internal.cells.regression import Regression
from greengagewood.internal.cells.tails import MIN_SAMPLES_FOR_HARMLESS
from tests.common.sharing import Sharing

SEEDS = range(3)
PLAYED_S = 60.0


@functools.cache
def _play(seed: int, careful: bool) -> Sharing:
    return Sharing(seed, careful).play(PLAYED_S)


class TestRegression:
    """Recursive least squares."""

    def test_it_finds_the_weights_of_a_noisy_line(self) -> None:
        rng = random.Random(1)
        model = Regression(0.0, 100.0, 0.1, 1.0)
        for _ in range(300):
            x, y = rng.random(), rng.random()
            model.learn({"x": x, "y": y}, 3 * x - 2 * y + rng.gauss(0, 0.1))
        assert model.weight("x") == pytest.approx(3, abs=0.1)
        assert model.weight("y") == pytest.approx(-2, abs=0.1)

    def test_it_equals_the_naive_solution(self) -> None:
        rng = random.Random(2)
        rows = [({"a": rng.random(), "b": rng.random()}, rng.random()) for _ in range(40)]
        model = Regression(0.0, 10.0, 1.0, 1.0)
        for features, value in rows:
            model.learn(features, value)
        # ridge regression by the normal equations, two weights, solved by hand
        aa = sum(f["a"] ** 2 for f, _ in rows) + 0.1
        bb = sum(f["b"] ** 2 for f, _ in rows) + 0.1
        ab = sum(f["a"] * f["b"] for f, _ in rows)
        ay = sum(f["a"] * v for f, v in rows)
        by = sum(f["b"] * v for f, v in rows)
        det = aa * bb - ab * ab
        assert model.weight("a") == pytest.approx((ay * bb - by * ab) / det)
        assert model.weight("b") == pytest.approx((by * aa - ay * ab) / det)

    def test_what_was_never_seen_keeps_its_prior(self) -> None:
        model = Regression(1.5, 9.0, 0.1, 0.99)
        model.learn({"a": 1.0}, 3.0)
        assert model.weight("b") == 1.5
        assert model.variance("b") == 9.0 > model.variance("a")


class TestSharing:
    """A minute of services with filling work beside them."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_tails_are_over_their_target_far_less_than_without_care(self, seed: int) -> None:
        careful = _play(seed, True)
        naive = _play(seed, False)
        assert careful.over / careful.readings < 0.25 * naive.over / naive.readings

    @pytest.mark.parametrize("seed", SEEDS)
    def test_filling_work_still_gets_done(self, seed: int) -> None:
        careful = _play(seed, True)
        naive = _play(seed, False)
        assert careful.done > 0.5 * naive.done

    @pytest.mark.parametrize("seed", SEEDS)
    def test_it_learns_which_pairs_disturb(self, seed: int) -> None:
        world = _play(seed, True)
        known = [
            (real, world.model.effect(serving, filling))
            for (serving, filling), real in world.effects.items()
            if world.model.regressions[serving].sample_counts.get(filling, 0)
            >= MIN_SAMPLES_FOR_HARMLESS
        ]
        harmless = [found for real, found in known if real == 0]
        harmful = [found for real, found in known if real > 0]
        assert harmless and harmful
        assert sum(harmless) / len(harmless) < 0.3 * sum(harmful) / len(harmful)
