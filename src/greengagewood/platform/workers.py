"""Orders to workers over HTTP."""

from __future__ import annotations

import aiohttp
import msgspec

from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.ports import (
    LeaseReply,
    OrderReply,
    RunEnd,
    RunningTask,
    WorkerCallFailed,
    WorkerInfo,
    WrongBoot,
)
from greengagewood.platform.wire import CALL_PATH, call_timeout, decode, encode

__all__ = ["HttpWorkers", "parse_task", "task_name"]

ORDER_TIMEOUT_S = 1.0
HOLD_MARGIN_S = 1.0  # beyond the time that a list may wait for an end
STATUS_REASONS = {400: "invalid", 429: "unhealthy", 503: "unhealthy"}
_CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class _Answer(msgspec.Struct):
    clock_ms: int | None = msgspec.field(name="clock-ms", default=None)
    why: str = msgspec.field(name="reason", default="")


class _Lists(msgspec.Struct):
    clock_ms: int = msgspec.field(name="clock-ms")
    running: list[tuple[str, int, str, float, float]]
    finished: list[tuple[int, str, int, str, str]]
    born: int = 0


def task_name(task: TaskId) -> str:
    """Write a task's name as workers know it."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.number}"


def parse_task(name: str) -> TaskId:
    """Read a task's name; raise ValueError."""
    job, occurrence, step, index = name.split(".")
    return TaskId(job, int(occurrence), int(step), int(index))


class HttpWorkers:
    """Give orders to workers."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def start(
        self,
        worker: WorkerInfo,
        task: TaskId,
        run: int,
        payload: str,
        deadline_ms: int,
        token: int,
        checkpoint: str,
        ticket: str,
    ) -> OrderReply:
        """Order the start of a run, which is refused after a deadline on the worker's clock."""
        order: dict[str, object] = {
            "task": task_name(task),
            "run": run,
            "spec": payload,
            "deadline-ms": deadline_ms,
            "fencing-token": token,
        }
        if checkpoint:
            order["checkpoint"] = checkpoint
        if ticket:
            order["ticket"] = ticket
        return await self._order(worker, "run-start", order)

    async def stop(self, worker: WorkerInfo, task: TaskId, run: int, token: int) -> OrderReply:
        """Order the end of a run; it can never start on this worker afterwards."""
        order = {"task": task_name(task), "run": run, "fencing-token": token}
        return await self._order(worker, "run-stop", order)

    async def throttle(
        self, worker: WorkerInfo, task: TaskId, run: int, percent: int, token: int
    ) -> OrderReply:
        """Let a run work at a share of its speed."""
        order = {
            "task": task_name(task),
            "run": run,
            "percent": percent,
            "fencing-token": token,
        }
        return await self._order(worker, "pace", order)

    async def extend_lease(
        self,
        worker: WorkerInfo,
        deadline_ms: int | None,
        token: int,
        acknowledged: int,
        wait_ms: int,
    ) -> LeaseReply | OrderReply:
        """Extend the lease of all runs up to a deadline on the worker's clock, and list them."""
        order: dict[str, object] = {"fencing-token": token, "ack-cursor": acknowledged}
        if deadline_ms is not None:
            order["deadline-ms"] = deadline_ms
        if wait_ms:
            order["wait-ms"] = wait_ms
        status, body = await self._post(worker, "hold", order, wait_ms / 1000 + HOLD_MARGIN_S)
        if status != 200:
            return _reply_of(status, body)
        try:
            return _hold_reply(decode(body, _Lists))
        except ValueError as exc:
            raise WorkerCallFailed(f"hold: unreadable answer: {exc}") from exc

    async def _order(self, worker: WorkerInfo, call: str, order: dict[str, object]) -> OrderReply:
        status, body = await self._post(worker, call, order, ORDER_TIMEOUT_S)
        return _reply_of(status, body)

    async def _post(
        self, worker: WorkerInfo, call: str, order: dict[str, object], timeout_s: float
    ) -> tuple[int, bytes]:
        headers = {"Content-Type": "application/json", "X-Expected-Instance": worker.worker_id}
        url = f"http://{worker.address}{CALL_PATH}{call}"
        try:
            async with self._session.post(
                url, data=encode(order), headers=headers, timeout=call_timeout(timeout_s)
            ) as resp:
                body = await resp.read()
        except _CALL_ERRORS as exc:
            raise WorkerCallFailed(f"{call}: {exc!r}") from exc
        if resp.status == 421:
            raise WrongBoot(worker.worker_id)
        return resp.status, body


def _reply_of(status: int, body: bytes) -> OrderReply:
    try:
        answer = decode(body, _Answer) if body else _Answer()
    except ValueError:
        answer = _Answer()
    if status == 200:
        return OrderReply("", answer.clock_ms)
    if status == 409:
        return OrderReply(answer.why or "conflict", answer.clock_ms)
    return OrderReply(STATUS_REASONS.get(status, f"status_{status}"), answer.clock_ms)


def _hold_reply(lists: _Lists) -> LeaseReply:
    running = tuple(
        RunningTask(parse_task(name), run, saved, int(percent), int(measure))
        for name, run, saved, percent, measure in lists.running
    )
    ended = tuple(
        RunEnd(number, parse_task(name), run, how, saved)
        for number, name, run, how, saved in lists.finished
    )
    return LeaseReply(lists.clock_ms, lists.born, running, ended)
