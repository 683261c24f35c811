"""HTTP client of the workers, which carry out the orders of a cell's owner."""

from __future__ import annotations

import aiohttp
import msgspec

from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.ports import (
    OrderReply,
    RunListPage,
    WorkerCallFailed,
    WorkerInfo,
    WorkerUnreachable,
    WrongBoot,
)
from greengagewood.platform.runlists import RunListReader, format_task_name, parse_task_name
from greengagewood.platform.wire import CALL_PATH, Integer, Session, call_timeout, decode, encode

__all__ = ["HttpWorkers", "format_task_name", "parse_task_name"]

ORDER_TIMEOUT_S = 1.0
LEASE_TIMEOUT_MARGIN_S = 1.0  # added to the time that a worker may wait for the end of a run
MAX_ERROR_LENGTH = 300
REASON_BY_STATUS = {400: "invalid", 429: "unhealthy", 503: "unhealthy"}
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class _OrderAnswer(msgspec.Struct):
    clock_ms: Integer | None = msgspec.field(name="clock-ms", default=None)
    refusal_reason: str = msgspec.field(name="reason", default="")


class HttpWorkers:
    """Send orders to workers."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._run_lists = RunListReader()

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
        """Start a run; the worker refuses it after `deadline_ms` on its own clock."""
        order: dict[str, object] = {
            "task": format_task_name(task),
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
        """Stop a run; it can never start on this worker afterwards."""
        order = {"task": format_task_name(task), "run": run, "fencing-token": token}
        return await self._order(worker, "run-stop", order)

    async def throttle(
        self, worker: WorkerInfo, task: TaskId, run: int, percent: int, token: int
    ) -> OrderReply:
        """Limit a run to a percentage of its full speed."""
        order = {
            "task": format_task_name(task),
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
    ) -> RunListPage | OrderReply:
        """Extend the lease of all runs to `deadline_ms` on the worker's clock, and list the runs.

        The worker no longer lists run ends up to the sequence number `acknowledged`. It waits up to
        `wait_ms` for the end of a run before it answers.
        """
        order: dict[str, object] = {"fencing-token": token, "ack-cursor": acknowledged}
        if deadline_ms is not None:
            order["deadline-ms"] = deadline_ms
        if wait_ms:
            order["wait-ms"] = wait_ms
        status, body = await self._post(
            worker, "hold", order, wait_ms / 1000 + LEASE_TIMEOUT_MARGIN_S
        )
        if status != 200:
            return _order_reply("hold", status, body)
        try:
            return self._run_lists.read(worker.worker_id, body)
        except ValueError as exc:
            raise WorkerCallFailed(f"hold: unreadable answer: {exc}") from exc

    async def _order(self, worker: WorkerInfo, call: str, order: dict[str, object]) -> OrderReply:
        status, body = await self._post(worker, call, order, ORDER_TIMEOUT_S)
        return _order_reply(call, status, body)

    async def _post(
        self, worker: WorkerInfo, call: str, order: dict[str, object], timeout_s: float
    ) -> tuple[int, bytes]:
        headers = {"Content-Type": "application/json", "X-Expected-Instance": worker.worker_id}
        url = f"http://{worker.address}{CALL_PATH}{call}"
        try:
            status, body = await self._session.post_for_body(
                url, data=encode(order), headers=headers, timeout=call_timeout(timeout_s)
            )
        except _CONNECT_ERRORS as exc:
            raise WorkerUnreachable(f"{call}: {exc!r}"[:MAX_ERROR_LENGTH]) from exc
        except Exception as exc:
            # An odd address, ID or answer makes the HTTP client raise errors of many types, and any
            # that leaves here would fail the loop of the worker instead of counting as silence.
            raise WorkerCallFailed(f"{call}: {exc!r}"[:MAX_ERROR_LENGTH]) from exc
        if status == 421:
            raise WrongBoot(worker.worker_id)
        return status, body


def _order_reply(call: str, status: int, body: bytes) -> OrderReply:
    try:
        answer = decode(body, _OrderAnswer) if body else _OrderAnswer()
    except ValueError as exc:
        if status in (200, 409):  # any other status may come from something before the worker
            raise WorkerCallFailed(f"{call}: unreadable answer: {exc}") from exc
        answer = _OrderAnswer()
    if status == 200:
        return OrderReply("", answer.clock_ms)
    if status == 409:
        return OrderReply(answer.refusal_reason or "conflict", answer.clock_ms)
    return OrderReply(REASON_BY_STATUS.get(status, f"status_{status}"), answer.clock_ms)
