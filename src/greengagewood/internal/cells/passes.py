"""A pass of the planner over the steps that wait, which may take several plans."""

from __future__ import annotations

from dataclasses import dataclass, field

from greengagewood.internal.jobs.book import Step
from greengagewood.internal.jobs.model import StepSpec

__all__ = ["Pass", "Rank", "UnplaceableSteps"]

Rank = tuple[int, bool, tuple[int, int, int, int, str, float]]


class UnplaceableSteps:
    """The steps that one plan could not place, to skip other steps that need at least as much."""

    def __init__(self) -> None:
        self._specs_by_group: dict[tuple[str, str, str, bool, bool], list[StepSpec]] = {}

    @staticmethod
    def _group(service: str, step: Step) -> tuple[str, str, str, bool, bool]:
        """Return what two steps must have in common to be compared by size."""
        spec = step.spec
        # Only long-running tasks that never ran must leave headroom, see `leaves_headroom`.
        has_run = spec.long_running and any(task.last_run_ended_ms for task in step.waiting_tasks)
        # Cold workers take the first task of a job beyond the share of others.
        unstarted = spec.best_effort and not step.job.active_run_count
        image = spec.image if spec.best_effort else ""
        return service, image, spec.required_label, has_run, unstarted

    def rules_out(self, service: str, step: Step) -> bool:
        """Return whether a step that needs no more than this one could not be placed."""
        spec = step.spec
        return any(
            spec.reaches(other)
            and (spec.long_running or not other.long_running)
            and spec.best_effort == other.best_effort
            for other in self._specs_by_group.get(self._group(service, step), ())
        )

    def add(self, service: str, step: Step) -> None:
        """Record that a step could not be placed, unless its limit or permits may be the reason."""
        if not step.spec.max_per_instance and not step.job.submission.queue.decision_ms:
            self._specs_by_group.setdefault(self._group(service, step), []).append(step.spec)


@dataclass(slots=True, eq=False)
class Pass:
    """One pass over the steps that waited when it began, which may take several plans."""

    steps: list[Step]
    first_arrivals_ms: dict[str, int]  # see `Planner._rank`
    starving_steps: set[Step]
    few_starts: bool
    # Steps that were ranked and not placed yet, and their numbers in `steps`; a heap once all are.
    ranked: list[tuple[Rank, int, Step]] = field(default_factory=list)
    ranked_count: int = 0
    unplaceable: UnplaceableSteps = field(default_factory=UnplaceableSteps)
