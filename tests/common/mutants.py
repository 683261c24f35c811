"""Deliberately broken variants of the decision code, switched on in tests only."""

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


def _no_fence(self, worker):
    return True


def _lapsed_by_now(self, worker):
    bound = worker.last_reply_ms + workerstate.command_expiry_ms(self._document.leases)
    return self._mutant_now > bound


def _plan_noting_now(original):
    def plan(self, now_ms, view):
        self._mutant_now = now_ms
        return original(self, now_ms, view)

    return plan


def _keep_owning(original):
    def epoch_changed(self, before, previous, now_ms):
        if self.state in owner.OWNING_STATES and self.log.owner != self.instance:
            return
        original(self, before, previous, now_ms)

    return epoch_changed


def _always_licensed(self, now_ms, view):
    self._license_confirmed_ms = now_ms


def _deaf_to_peers(original):
    def confirmation(self, now_ms, view):
        heard = list(view.acked_heartbeat_sent_ms.values())
        return max([view.log_confirmed_ms or 0, *heard])

    return confirmation


def _confirmed_when_read(original):
    def take_read(self, scheduler, sent, records, jobs):
        original(self, scheduler, self.now_ms, records, jobs)

    return take_read


def _any_epoch(original):
    def exchange(self, sent):
        self._epoch, self._round = sent.epoch, sent.round - 1
        return original(self, sent)

    return exchange


def _any_round(original):
    def exchange(self, sent):
        if sent.epoch == self._epoch:
            self._round = sent.round - 1
        return original(self, sent)

    return exchange


def _any_echo(original):
    def exchange(self, sent):
        fresh = msgspec.structs.replace(sent, echo=self._clock(), boot=self._boot)
        return original(self, fresh)

    return exchange


def _any_boot(original):
    def exchange(self, sent):
        fresh = msgspec.structs.replace(sent, boot=self._boot)
        return original(self, fresh)

    return exchange


def _one_too_many(original):
    def write(self, snapshot, part_chars):
        self.offset += 1
        parts = original(self, snapshot, part_chars)
        self.offset -= 1
        return parts

    return write


def _part_is_whole(original):
    def take(self, record):
        if record.part == 0:
            self.synced = True
        original(self, record)

    return take


def _forget_ended(original):
    def note_end(self, job, at_ms):
        original(self, job, at_ms)
        self.state.ended.pop(job, None)

    return note_end


def _ack_at_once(original):
    def take_ended(self, worker, ended):
        original(self, worker, ended)
        worker.to_ack.add((ended.task, ended.attempt))

    return take_ended


def _nothing_unknown(self):
    return False


def _boundless(self):
    return self.capacity


def _never_lapses(leases):
    return leases.task_lease_ms // 2


def _final_can_change(original):
    def apply(self, outcome, at_ms):
        known = self.state.tasks.get(outcome.task)
        if known is not None:
            known.final_outcome = ""
        original(self, outcome, at_ms)

    return apply


def _rules_by_time_always(original):
    def take_over(self, before, previous, now_ms):
        original(self, before, (previous[0], True), now_ms)

    return take_over


def _lose_outcomes(self, outcomes):
    return None


def _attempts_start_again(original):
    def start(self, placed):
        self._attempts_in_epoch = 0
        original(self, placed)

    return start


def _skip_enlisting(original):
    def merge(self):
        original(self)
        for found in self.workers.values():
            found.enlisted = True

    return merge


_owner = owner.CellOwner
_worker = standin_worker.StandinWorker

MUTANTS: dict[str, list[Callable[[], contextlib.AbstractContextManager[object]]]] = {
    "no fence at takeover": [_patch(_owner, "_is_fenced_or_expired", _no_fence)],
    "every takeover may rule out as after a release": [
        _patch(_owner, "_take_over", _rules_by_time_always(_owner._take_over))
    ],
    "tasks are not unknown at takeover": [_patch(_owner, "_is_taking_over", _nothing_unknown)],
    "ruling out needs no confirmation": [
        _patch(_owner, "_leases_expired", _lapsed_by_now),
        _patch(_owner, "plan", _plan_noting_now(_owner.plan)),
    ],
    "renewal after step-down": [
        _patch(_owner, "_handle_new_epoch", _keep_owning(_owner._handle_new_epoch))
    ],
    "license never lapses": [_patch(_owner, "_update_license", _always_licensed)],
    "any peer's word confirms, claims unheard": [
        _patch(_owner, "_latest_confirmation_ms", _deaf_to_peers(_owner._latest_confirmation_ms))
    ],
    "a read confirms from when it is read": [
        _patch(world.World, "_apply_read", _confirmed_when_read(world.World._apply_read))
    ],
    "worker takes any epoch": [_patch(_worker, "exchange", _any_epoch(_worker.exchange))],
    "worker takes any round": [_patch(_worker, "exchange", _any_round(_worker.exchange))],
    "worker takes any echo": [_patch(_worker, "exchange", _any_echo(_worker.exchange))],
    "worker takes an echo from before its restart": [
        _patch(_worker, "exchange", _any_boot(_worker.exchange))
    ],
    "a snapshot covers one record too many": [
        _patch(celllog.CellLog, "write_snapshot", _one_too_many(celllog.CellLog.write_snapshot))
    ],
    "a snapshot in part counts as whole": [
        _patch(
            celllog.CellLog,
            "_collect_snapshot_part",
            _part_is_whole(celllog.CellLog._collect_snapshot_part),
        )
    ],
    "ended jobs are forgotten at once": [
        _patch(
            celllog.CellLog,
            "_end_job_if_finished",
            _forget_ended(celllog.CellLog._end_job_if_finished),
        )
    ],
    "final outcomes can change": [
        _patch(
            celllog.CellLog,
            "_apply_outcome",
            _final_can_change(celllog.CellLog._apply_outcome),
        )
    ],
    "reports are acknowledged before they are durable": [
        _patch(_owner, "_handle_ended", _ack_at_once(_owner._handle_ended))
    ],
    "what runs takes no room": [_patch(workerstate.WorkerState, "free", _boundless)],
    "half a lease is enough to rule out": [_patch(owner, "command_expiry_ms", _never_lapses)],
    "outcomes are not read back": [_patch(taskbook.TaskBook, "confirm_durable", _lose_outcomes)],
    "attempt numbers start again": [_patch(_owner, "_start", _attempts_start_again(_owner._start))],
    "workers are commanded before they are enlisted": [
        _patch(_owner, "_merge_workers", _skip_enlisting(_owner._merge_workers))
    ],
}


@contextlib.contextmanager
def mutant(name) -> Iterator[None]:
    """Switch one broken variant on."""
    with contextlib.ExitStack() as stack:
        for patch in MUTANTS[name]:
            stack.enter_context(patch())
        yield
