"""The tail latency model: what it learns, and what services and best-effort tasks get from it."""

from __future__ import annotations

import functools
import random

import pytest

from greengagewood.internal.cells import tails
from greengagewood.internal.cells.regression import Regression
from greengagewood.internal.cells.tails import MIN_SAMPLES_FOR_HARMLESS
from greengagewood.internal.jobs.model import StepSpec
from tests.common.sharing import BEST_EFFORT_WORK_MS, ColocationSimulation

SEEDS = range(3)
SIMULATED_S = 60.0


@functools.cache
def _simulate(seed: int, use_model: bool) -> ColocationSimulation:
    return ColocationSimulation(seed, use_model).simulate(SIMULATED_S)


class TestRegression:
    """Guard against errors in the recursive least squares estimate."""

    def test_it_finds_the_weights_of_a_noisy_linear_function(self) -> None:
        rng = random.Random(1)
        model = Regression(0.0, 100.0, 0.1, 1.0)
        for _ in range(300):
            x, y = rng.random(), rng.random()
            model.learn({"x": x, "y": y}, 3 * x - 2 * y + rng.gauss(0, 0.1))
        assert model.weight("x") == pytest.approx(3, abs=0.1)
        assert model.weight("y") == pytest.approx(-2, abs=0.1)

    def test_it_equals_the_solution_of_the_normal_equations(self) -> None:
        rng = random.Random(2)
        samples = [({"a": rng.random(), "b": rng.random()}, rng.random()) for _ in range(40)]
        model = Regression(0.0, 10.0, 1.0, 1.0)
        for features, value in samples:
            model.learn(features, value)
        # Ridge regression with two weights: the normal equations in closed form.
        aa = sum(f["a"] ** 2 for f, _ in samples) + 0.1
        bb = sum(f["b"] ** 2 for f, _ in samples) + 0.1
        ab = sum(f["a"] * f["b"] for f, _ in samples)
        ay = sum(f["a"] * v for f, v in samples)
        by = sum(f["b"] * v for f, v in samples)
        det = aa * bb - ab * ab
        assert model.weight("a") == pytest.approx((ay * bb - by * ab) / det)
        assert model.weight("b") == pytest.approx((by * aa - ay * ab) / det)

    def test_an_unseen_feature_keeps_its_prior(self) -> None:
        model = Regression(1.5, 9.0, 0.1, 0.99)
        model.learn({"a": 1.0}, 3.0)
        assert model.weight("b") == 1.5
        assert model.variance("b") == 9.0 > model.variance("a")


class TestColocation:
    """Guard against decisions that disturb services, or that starve best-effort tasks.

    Both come about when the model learns wrong effects, or plans wrongly with them. A minute of
    services with best-effort tasks beside them is simulated.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_tail_latencies_are_over_target_far_less_than_without_the_model(
        self, seed: int
    ) -> None:
        modelled = _simulate(seed, True)
        naive = _simulate(seed, False)
        assert modelled.over_target_count / modelled.reading_count < (
            0.25 * naive.over_target_count / naive.reading_count
        )

    @pytest.mark.parametrize("seed", SEEDS)
    def test_best_effort_tasks_still_complete(self, seed: int) -> None:
        modelled = _simulate(seed, True)
        naive = _simulate(seed, False)
        assert modelled.completed_count > 0.5 * naive.completed_count

    @pytest.mark.parametrize("seed", SEEDS)
    def test_it_learns_which_pairs_of_images_disturb(self, seed: int) -> None:
        simulation = _simulate(seed, True)
        learned_effects = [
            (true_effect, simulation.model.effect(serving, best_effort))
            for (serving, best_effort), true_effect in simulation.effects.items()
            if simulation.model.regressions[serving].sample_counts.get(best_effort, 0)
            >= MIN_SAMPLES_FOR_HARMLESS
        ]
        harmless = [learned for true_effect, learned in learned_effects if true_effect == 0]
        harmful = [learned for true_effect, learned in learned_effects if true_effect > 0]
        assert harmless and harmful
        assert sum(harmless) / len(harmless) < 0.3 * sum(harmful) / len(harmful)


JOB_OBJECTIVE_MS = 3 * BEST_EFFORT_WORK_MS


class TestKnownDisturbance:
    """Guards against best-effort runs that start beside a quiet service and soon stand still.

    The load of a service swings by half within seconds. A run that disturbs it is then held at a
    speed limit of 0, and its whole job waits for it.
    """

    @staticmethod
    def _admitted_percent(effect: float, samples: int, slack: float, worker_count: int = 11) -> int:
        """Return the speed beside s0, which every fourth of the workers serves."""
        simulation = ColocationSimulation(0, use_model=True, worker_count=worker_count)
        worker = simulation.workers[0]
        regression = simulation.model._regression("s0")
        for _ in range(samples):
            regression.learn({"f0": 0.1}, 0.1 * effect)
        for run in worker.runs.values():
            run.undisturbed_slack = slack
        simulation.model.count_undisturbed(simulation.workers)
        spec = StepSpec(1, cpu_millis=6_000, memory_mb=1, best_effort=True, image="f0")
        return simulation.model.admission_for(worker, spec).speed_percent

    @pytest.mark.parametrize(
        ("effect", "samples", "slack", "admitted"),
        [
            (12.0, 400, 2.8, False),  # known to disturb, and the service is only half idle
            (12.0, 400, 5.0, True),
            (0.2, 400, 2.8, True),  # known to be harmless
            (12.0, 0, 5.0, True),  # not known yet, so it is tried
        ],
    )
    def test_a_known_disturbance_is_admitted_only_beside_idle_services(
        self, effect: float, samples: int, slack: float, admitted: bool
    ) -> None:
        assert (self._admitted_percent(effect, samples, slack) > 0) == admitted

    def test_an_image_that_disturbs_almost_everywhere_is_placed_as_before(self) -> None:
        """Guards against tasks that wait for a place that no worker has."""
        assert self._admitted_percent(12.0, 400, 2.8, worker_count=11) == 0  # 8 serve others
        assert self._admitted_percent(12.0, 400, 2.8, worker_count=10) > 0

    def test_more_wide_jobs_meet_their_objectives(self, monkeypatch: pytest.MonkeyPatch) -> None:
        def play() -> tuple[int, int]:
            in_time = over_target = 0
            for seed in range(3):
                simulation = ColocationSimulation(
                    seed,
                    use_model=True,
                    worker_count=32,
                    load_period_ms=20_000,
                    tasks_per_job=20,
                    jobs_per_reading=1.0,
                    effects_range=(4, 10),
                ).simulate(SIMULATED_S)
                in_time += sum(time <= JOB_OBJECTIVE_MS for time in simulation.job_times_ms)
                over_target += simulation.over_target_count
            return in_time, over_target

        in_time, over_target = play()
        monkeypatch.setattr(tails, "MIN_SLACK_TO_DISTURB", tails.MIN_SLACK_TO_PLACE)
        in_time_before, over_target_before = play()
        assert in_time > 1.05 * in_time_before
        assert over_target < over_target_before
