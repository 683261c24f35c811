"""The audit must fail when it should."""

from devtools.audit import Audit, CallerRecord, ExecutionRecord, TaskEvent, audit_run

FITS = {"w1": (64, 1000, 0)}


def record(marker="r1", caller="a", **changes):
    values = {
        "idempotent": False,
        "outcome": "answered",
        "answer_matches": True,
        "not_run_attempts": (),
        "latency_ms": 5.0,
    }
    return CallerRecord(marker, caller, **{**values, **changes})


def run(callers, executions, events=(), tasks=(), committed=None) -> Audit:
    return audit_run(callers, executions, events, tasks, committed or FITS, FITS)


class TestRequests:
    def test_a_good_run_has_no_offence(self):
        assert run([record()], [ExecutionRecord("r1.1", "a")]).violations() == 0

    def test_a_request_that_ran_twice_is_doubled(self):
        executions = [ExecutionRecord("r1.1", "a"), ExecutionRecord("r1.2", "a")]
        assert run([record()], executions).duplicated == 1

    def test_an_idempotent_request_may_run_twice(self):
        executions = [ExecutionRecord("r1.1", "a"), ExecutionRecord("r1.2", "a")]
        assert run([record(idempotent=True)], executions).violations() == 0

    def test_a_request_without_an_answer_is_lost(self):
        assert run([record(outcome="not_run")], []).lost == 1

    def test_an_answer_to_a_request_that_never_ran_is_lost(self):
        assert run([record()], []).lost == 1

    def test_another_answer_is_mixed_up(self):
        assert run([record(answer_matches=False)], [ExecutionRecord("r1.1", "a")]).mixed_up == 1

    def test_a_run_for_another_caller_is_mixed_up(self):
        assert run([record()], [ExecutionRecord("r1.1", "b")]).mixed_up == 1

    def test_a_run_after_not_run_is_an_offence(self):
        found = run([record(not_run_attempts=("r1.1",))], [ExecutionRecord("r1.1", "a")])
        assert found.ran_after_not_run == 1

    def test_a_cut_is_excused_only_at_the_killed_instance(self):
        assert run([record(outcome="cut")], []).cut_off == 1
        assert run([record(outcome="cut", excused=True)], []).violations() == 0

    def test_a_run_long_after_leaving_is_an_offence(self):
        assert run([record()], [ExecutionRecord("r1.1", "a", 3001)]).late_on_leaving_backends == 1


class TestTasks:
    def events(self, *rows):
        return [TaskEvent(at, worker, event, "j/0", n) for at, worker, event, n in rows]

    def test_one_run_to_the_end_is_right(self):
        events = self.events((0, "w1", "start", 1), (5, "w1", "done", 1))
        assert run([], [], events, ["j/0"]).violations() == 0

    def test_a_task_that_never_ended_is_lost(self):
        assert run([], [], self.events((0, "w1", "start", 1)), ["j/0"]).lost == 1

    def test_a_task_that_ended_twice_is_doubled(self):
        events = self.events(
            (0, "w1", "start", 1), (5, "w1", "done", 1), (6, "w2", "start", 2), (9, "w2", "done", 2)
        )
        assert run([], [], events, ["j/0"]).duplicated == 1

    def test_a_task_in_two_places_is_doubled(self):
        events = self.events(
            (0, "w1", "start", 1),
            (1, "w2", "start", 2),
            (2, "w1", "lapsed", 1),
            (3, "w2", "done", 2),
        )
        assert run([], [], events, ["j/0"]).duplicated == 1

    def test_a_task_that_nobody_submitted_is_an_offence(self):
        events = self.events((0, "w1", "start", 1), (5, "w1", "done", 1))
        assert run([], [], events, []).duplicated == 1

    def test_a_worker_over_its_capacity_is_an_offence(self):
        assert run([], [], committed={"w1": (65, 10, 0)}).overcommitted == 1
