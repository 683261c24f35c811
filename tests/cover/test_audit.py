"""The audit of a run must report each kind of offence.

Without these tests, an audit that overlooks lost or repeated work would let a faulty run pass.
"""

from devtools.audit import Audit, CallerRecord, ExecutionRecord, TaskEvent, audit_run

CAPACITY = {"w1": (64, 1000, 0)}


def caller_record(marker="r1", caller="a", **changes):
    values = {
        "idempotent": False,
        "outcome": "answered",
        "answer_matches": True,
        "not_run_attempts": (),
        "latency_ms": 5.0,
    }
    return CallerRecord(marker, caller, **{**values, **changes})


def audit_of(callers, executions, events=(), tasks=(), committed=None) -> Audit:
    return audit_run(callers, executions, events, tasks, committed or CAPACITY, CAPACITY)


class TestRequests:
    def test_a_request_that_ran_once_is_no_offence(self):
        assert audit_of([caller_record()], [ExecutionRecord("r1.1", "a")]).violations() == 0

    def test_a_request_that_ran_twice_is_doubled(self):
        executions = [ExecutionRecord("r1.1", "a"), ExecutionRecord("r1.2", "a")]
        assert audit_of([caller_record()], executions).duplicated == 1

    def test_an_idempotent_request_may_run_twice(self):
        executions = [ExecutionRecord("r1.1", "a"), ExecutionRecord("r1.2", "a")]
        assert audit_of([caller_record(idempotent=True)], executions).violations() == 0

    def test_a_request_without_an_answer_is_lost(self):
        assert audit_of([caller_record(outcome="not_run")], []).lost == 1

    def test_an_answer_to_a_request_that_never_ran_is_lost(self):
        assert audit_of([caller_record()], []).lost == 1

    def test_the_answer_to_another_request_is_mixed_up(self):
        assert (
            audit_of([caller_record(answer_matches=False)], [ExecutionRecord("r1.1", "a")]).mixed_up
            == 1
        )

    def test_an_execution_for_another_caller_is_mixed_up(self):
        assert audit_of([caller_record()], [ExecutionRecord("r1.1", "b")]).mixed_up == 1

    def test_an_attempt_reported_as_not_run_must_not_have_run(self):
        audit = audit_of(
            [caller_record(not_run_attempts=("r1.1",))], [ExecutionRecord("r1.1", "a")]
        )
        assert audit.ran_after_not_run == 1

    def test_a_broken_connection_is_an_offence_unless_excused(self):
        # It is excused only at an instance that the run kills or cuts off.
        assert audit_of([caller_record(outcome="cut")], []).cut_off == 1
        assert audit_of([caller_record(outcome="cut", excused=True)], []).violations() == 0

    def test_an_execution_long_after_leaving_began_is_an_offence(self):
        assert (
            audit_of(
                [caller_record()], [ExecutionRecord("r1.1", "a", 3001)]
            ).late_on_leaving_backends
            == 1
        )


class TestTasks:
    def events(self, *events):
        return [
            TaskEvent(at_ms, worker, event, "j/0", attempt)
            for at_ms, worker, event, attempt in events
        ]

    def test_a_task_that_ran_once_to_its_end_is_no_offence(self):
        events = self.events((0, "w1", "start", 1), (5, "w1", "done", 1))
        assert audit_of([], [], events, ["j/0"]).violations() == 0

    def test_a_task_that_never_ended_is_lost(self):
        assert audit_of([], [], self.events((0, "w1", "start", 1)), ["j/0"]).lost == 1

    def test_a_task_that_ended_twice_is_doubled(self):
        events = self.events(
            (0, "w1", "start", 1), (5, "w1", "done", 1), (6, "w2", "start", 2), (9, "w2", "done", 2)
        )
        assert audit_of([], [], events, ["j/0"]).duplicated == 1

    def test_a_task_that_runs_on_two_workers_at_once_is_doubled(self):
        events = self.events(
            (0, "w1", "start", 1),
            (1, "w2", "start", 2),
            (2, "w1", "lapsed", 1),
            (3, "w2", "done", 2),
        )
        assert audit_of([], [], events, ["j/0"]).duplicated == 1

    def test_a_task_that_nobody_submitted_is_an_offence(self):
        events = self.events((0, "w1", "start", 1), (5, "w1", "done", 1))
        assert audit_of([], [], events, []).duplicated == 1

    def test_a_worker_over_its_capacity_is_an_offence(self):
        assert audit_of([], [], committed={"w1": (65, 10, 0)}).overcommitted == 1
