"""Rows of owners that end at any point of their terms, among the events in random order.

The rows have a random generator of their own, so a seed of `World` draws what it draws without
them. With `planned`, there are no faults but workers that drain and leave, and owners that stop as
planned, and the time that a lasting task may wait is checked throughout.
"""

from __future__ import annotations

import random

from tests.common.eventorder import RESTART_MS, Boot, Call, Violation, World

__all__ = ["OwnerRows"]

# Until when an owner of a row is ended: as soon as it has claimed the cell, has had a list of a
# worker, is storing its record of the workers, has stored it, or has sent orders for a while.
POINTS = ("claimed", "listed", "storing", "stored", "later")
MAX_POINT_MS = 1_500  # until which an owner of a row is ended although it has not come so far
LATER_MS = 600
DRAIN_MS = 2_100
SETTLED_MS = 3_000  # a lasting task may wait longer while each owner ends sooner than this
WORKER_COUNT = 6
MIN_WORKERS = 4  # that neither drain nor have left


class OwnerRows(World):
    """A `World` with rows of owners that end early."""

    def __init__(self, seed: int, planned: bool = False) -> None:
        super().__init__(seed, worker_count=WORKER_COUNT)
        self.row_rng = random.Random(f"rows of {seed}")
        self.planned = planned
        self.row: list[str] = []  # the points at which the next owners are ended
        self.row_since_ms = 0  # when the last owner of a row was ended
        self.leaving: dict[str, tuple[Boot, int]] = {}  # by address: the boot, and when it leaves
        self.gone: dict[str, tuple[Boot, int]] = {}  # and when another worker takes its address
        self.room_since_ms: dict[int, int] = {}  # by CPU: since when a worker has had that free
        self.ended_at: dict[str, int] = dict.fromkeys(POINTS, 0)
        if planned:
            self.fault_share = self.lost_share = self.late_share = self.slow_share = 0.0

    def _draw_event(self) -> None:
        super()._draw_event()
        rng = self.row_rng
        if rng.random() < 0.02:
            self._let_one_leave()
        self._let_leave()
        if self.row:
            self._end_owner_of_row()
        elif rng.random() < 0.004:
            self.row = rng.choices(POINTS, (4, 1, 1, 1, 1), k=rng.randint(2, 6))
            self.row_since_ms = self.now_ms

    # Owners.

    def _has_come_to(self, point: str) -> bool:
        owner = self.owner
        stored = self.registered[0].token == owner.cell.token
        match point:
            case "claimed":
                return True
            case "listed":
                return any(boot.adopted for boot in owner.cell.boots.values())
            case "storing":
                return owner.storing is not None or stored
            case "stored":
                return stored
            case _:
                return stored and self.now_ms > self.row_since_ms + LATER_MS

    def _end_owner_of_row(self) -> None:
        point = self.row[0]
        overdue = self.now_ms - self.row_since_ms > MAX_POINT_MS
        if not self._has_come_to(point) and not overdue:
            return
        self.row.pop(0)
        self.row_since_ms = self.now_ms
        self.ended_at[point] += 1
        ways = ["stopped"] if self.planned else ["stopped", "stopped", "killed", "replaced"]
        way = self.row_rng.choice(ways)
        old = self.owner
        # An instance that stops before its term begins stores nothing but that.
        stores_record = way == "stopped" and (point != "claimed" or bool(old.lease_calls))
        self._change_owner(released=stores_record)
        if old in self.owners and way != "replaced":
            self.owners.remove(old)

    def _answer(self, call: Call) -> None:
        super()._answer(call)
        if call.reply == "fence" and call.owner in self.owners[:-1]:
            self.owners.remove(call.owner)  # as `CellRunner` does

    # Workers that leave.

    def _let_one_leave(self) -> None:
        staying = [
            boot
            for boot in self.boots.values()
            if boot.up and not boot.draining and boot.address not in self.leaving
        ]
        if len(staying) > MIN_WORKERS:
            boot = self.row_rng.choice(staying)
            boot.draining = True
            self.leaving[boot.address] = boot, self.now_ms + DRAIN_MS

    def _let_leave(self) -> None:
        for address, (boot, due_ms) in list(self.leaving.items()):
            if self.now_ms >= due_ms:
                del self.leaving[address]
                if self.boots[address] is boot and boot.up:
                    self._crash(boot)
                    again_ms = self.now_ms + self.row_rng.randint(500, 15_000)
                    self.gone[address] = boot, again_ms
        for address, (boot, due_ms) in list(self.gone.items()):
            if self.now_ms >= due_ms:
                del self.gone[address]
                if self.boots[address] is boot:
                    self._reboot(boot, self._new_id())

    # Lasting tasks.

    def _check(self) -> None:
        super()._check()
        if self.planned and self.calm_since_ms is None and self.steps % 10 == 0:
            self._check_waits()

    def _check_waits(self) -> None:
        """Check that a lasting task which has run waits no longer than the rules allow.

        An owner that ends at once can neither adopt its workers nor start anything.
        """
        free = max(
            (b.cpu_millis - b.used_cpu_millis() for b in self.boots.values() if self._is_open(b)),
            default=0,
        )
        for cpu_millis in (2_000, 3_000):
            if free < 2 * cpu_millis:
                self.room_since_ms.pop(cpu_millis, None)
            else:
                self.room_since_ms.setdefault(cpu_millis, self.now_ms)
        if self.now_ms - self.row_since_ms < SETTLED_MS:
            return
        for task, ran_ms in self.last_ran_ms.items():
            job = self.jobs[task.job_id]
            room_since_ms = self.room_since_ms.get(job.submission.spec.steps[0].cpu_millis)
            if job.cancelled_ms is not None or room_since_ms is None:
                continue
            if self.now_ms - max(ran_ms, room_since_ms) > RESTART_MS:
                raise Violation(f"does not run again: {task}, last at {ran_ms}")

    @staticmethod
    def _is_open(boot: Boot) -> bool:
        return boot.up and boot.listed and not boot.draining and not boot.unhealthy
