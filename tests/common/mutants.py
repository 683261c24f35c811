"""Mutants of the decision code: patches that each break one rule which the tests must enforce."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

import msgspec

from greengagewood.internal import celllog, owner, taskbook, workerstate
from greengagewood.internal.standin import worker as standin_worker
from tests.common import world

__all__ = ["MUTANTS", "mutant"]


def _patch(target, name, value):
    return lambda: mock.patch.object(target, name, value)


def _always_fenced(self, worker):
    return True


def _leases_expired_by_own_clock(self, worker):
    expired_ms = worker.last_reply_ms + workerstate.command_expiry_ms(self._document.leases)
    return self._mutant_now_ms > expired_ms


def _plan_recording_time(original):
    def plan(self, now_ms, view):
        self._mutant_now_ms = now_ms
        return original(self, now_ms, view)

    return plan


def _ignore_newer_owner(original):
    def handle_new_epoch(self, previous_epoch, previous_claim, now_ms):
        if self.state in owner.OWNING_STATES and self.log.owner != self.instance:
            return
        original(self, previous_epoch, previous_claim, now_ms)

    return handle_new_epoch


def _always_renew_license(self, now_ms, view):
    self._license_confirmed_ms = now_ms


def _trust_any_peer(original):
    def latest_confirmation_ms(self, now_ms, view):
        acked_ms = list(view.acked_heartbeat_sent_ms.values())
        return max([view.log_confirmed_ms or 0, *acked_ms])

    return latest_confirmation_ms


def _confirm_when_processed(original):
    def apply_read(self, scheduler, sent_ms, records, jobs):
        original(self, scheduler, self.now_ms, records, jobs)

    return apply_read


def _accept_any_epoch(original):
    def patched(self, exchange):
        self._epoch, self._round = exchange.epoch, exchange.round - 1
        return original(self, exchange)

    return patched


def _accept_any_round(original):
    def patched(self, exchange):
        if exchange.epoch == self._epoch:
            self._round = exchange.round - 1
        return original(self, exchange)

    return patched


def _accept_any_echo(original):
    def patched(self, exchange):
        altered = msgspec.structs.replace(exchange, echo=self._clock(), boot=self._boot)
        return original(self, altered)

    return patched


def _accept_any_boot(original):
    def patched(self, exchange):
        altered = msgspec.structs.replace(exchange, boot=self._boot)
        return original(self, altered)

    return patched


def _snapshot_next_offset(original):
    def write_snapshot(self, snapshot, part_chars):
        self.offset += 1
        parts = original(self, snapshot, part_chars)
        self.offset -= 1
        return parts

    return write_snapshot


def _sync_on_first_part(original):
    def collect_snapshot_part(self, record):
        if record.part == 0:
            self.synced = True
        original(self, record)

    return collect_snapshot_part


def _forget_ended_job(original):
    def end_job_if_finished(self, job, at_ms):
        original(self, job, at_ms)
        self.state.ended.pop(job, None)

    return end_job_if_finished


def _acknowledge_at_once(original):
    def handle_ended(self, worker, ended):
        original(self, worker, ended)
        worker.to_ack.add((ended.task, ended.attempt))

    return handle_ended


def _never_taking_over(self):
    return False


def _whole_capacity(self):
    return self.capacity


def _half_task_lease_ms(leases):
    return leases.task_lease_ms // 2


def _reopen_final_outcome(original):
    def apply_outcome(self, outcome, at_ms):
        known = self.state.tasks.get(outcome.task)
        if known is not None:
            known.final_outcome = ""
        original(self, outcome, at_ms)

    return apply_outcome


def _assume_release(original):
    def take_over(self, previous_epoch, previous_claim, now_ms):
        original(self, previous_epoch, (previous_claim[0], True), now_ms)

    return take_over


def _discard_confirmation(self, outcomes):
    return None


def _restart_attempt_numbers(original):
    def start(self, placed):
        self._attempts_in_epoch = 0
        original(self, placed)

    return start


def _skip_registration(original):
    def merge_workers(self):
        original(self)
        for worker in self.workers.values():
            worker.registered = True

    return merge_workers


_owner = owner.CellOwner
_worker = standin_worker.StandinWorker

MUTANTS: dict[str, list[Callable[[], contextlib.AbstractContextManager[object]]]] = {
    "takeover without fencing": [_patch(_owner, "_is_fenced_or_expired", _always_fenced)],
    "takeover that assumes a release by the previous owner": [
        _patch(_owner, "_take_over", _assume_release(_owner._take_over))
    ],
    "inherited tasks are pending at takeover": [
        _patch(_owner, "_is_taking_over", _never_taking_over)
    ],
    "workers are ruled out without a confirmed license": [
        _patch(_owner, "_leases_expired", _leases_expired_by_own_clock),
        _patch(_owner, "plan", _plan_recording_time(_owner.plan)),
    ],
    "an owner ignores the claim of a newer one": [
        _patch(_owner, "_handle_new_epoch", _ignore_newer_owner(_owner._handle_new_epoch))
    ],
    "license never lapses": [_patch(_owner, "_update_license", _always_renew_license)],
    "any peer's acknowledgement renews the license, even after a claim": [
        _patch(_owner, "_latest_confirmation_ms", _trust_any_peer(_owner._latest_confirmation_ms))
    ],
    "a log read confirms the license from when it is processed": [
        _patch(world.World, "_apply_read", _confirm_when_processed(world.World._apply_read))
    ],
    "worker accepts any epoch": [_patch(_worker, "exchange", _accept_any_epoch(_worker.exchange))],
    "worker accepts any round": [_patch(_worker, "exchange", _accept_any_round(_worker.exchange))],
    "worker accepts any echo": [_patch(_worker, "exchange", _accept_any_echo(_worker.exchange))],
    "worker accepts an echo from before its restart": [
        _patch(_worker, "exchange", _accept_any_boot(_worker.exchange))
    ],
    "a snapshot claims to cover one more record": [
        _patch(
            celllog.CellLog, "write_snapshot", _snapshot_next_offset(celllog.CellLog.write_snapshot)
        )
    ],
    "a partial snapshot counts as complete": [
        _patch(
            celllog.CellLog,
            "_collect_snapshot_part",
            _sync_on_first_part(celllog.CellLog._collect_snapshot_part),
        )
    ],
    "ended jobs are forgotten at once": [
        _patch(
            celllog.CellLog,
            "_end_job_if_finished",
            _forget_ended_job(celllog.CellLog._end_job_if_finished),
        )
    ],
    "final outcomes can change": [
        _patch(
            celllog.CellLog,
            "_apply_outcome",
            _reopen_final_outcome(celllog.CellLog._apply_outcome),
        )
    ],
    "reports are acknowledged before they are durable": [
        _patch(_owner, "_handle_ended", _acknowledge_at_once(_owner._handle_ended))
    ],
    "running tasks use no capacity": [_patch(workerstate.WorkerState, "free", _whole_capacity)],
    "workers are ruled out after half a task lease": [
        _patch(owner, "command_expiry_ms", _half_task_lease_ms)
    ],
    "durable outcomes are not confirmed": [
        _patch(taskbook.TaskBook, "confirm_durable", _discard_confirmation)
    ],
    "attempt numbers are reused": [
        _patch(_owner, "_start", _restart_attempt_numbers(_owner._start))
    ],
    "workers are commanded before they are registered": [
        _patch(_owner, "_merge_workers", _skip_registration(_owner._merge_workers))
    ],
}


@contextlib.contextmanager
def mutant(name) -> Iterator[None]:
    """Apply the patches of one mutant while the context lasts."""
    with contextlib.ExitStack() as stack:
        for patch in MUTANTS[name]:
            stack.enter_context(patch())
        yield
