"""Listeners, faults and the recorded history, which both stand-ins share."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from aiohttp import web

from greengagewood.platform.standin.settings import Fault

__all__ = [
    "Faults",
    "Handler",
    "History",
    "admin_handler",
    "json_answer",
    "leave_unanswered",
    "listen",
    "monotonic_ms",
    "reset_connection",
]

T = TypeVar("T")
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

SHUTDOWN_S = 0.01  # aiohttp takes 0 as no limit
UNANSWERED_CHECK_S = 0.1
MAX_UNANSWERED_S = 60.0  # callers give up long before; bounds what half-open connections hold


def monotonic_ms() -> float:
    """Return the time of the machine's monotonic clock, which all recorded histories share."""
    return round(time.monotonic() * 1000, 1)


class History:
    """Append what happened to a file, one JSON object a line."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115

    def write(self, what: str, fields: dict[str, Any]) -> None:
        """Append one line with the time."""
        line = {"t": monotonic_ms(), "what": what, **fields}
        self._file.write(msgspec.json.encode(line) + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Faults:
    """The faults that are switched on, by kind."""

    def __init__(self, kinds: frozenset[str], rng: random.Random) -> None:
        self._kinds = kinds
        self._rng = rng
        self._active: dict[tuple[str, str], Fault] = {}  # by kind and id

    def change(self, fault: Fault) -> None:
        """Switch a fault on, or faults off; raise ValueError."""
        if fault.kind == "clear":
            for kind, fault_id in list(self._active):
                if fault.only in ("", kind) and fault.id in ("", fault_id):
                    del self._active[kind, fault_id]
        elif fault.kind in self._kinds:
            self._active[fault.kind, fault.id] = fault
        else:
            raise ValueError(f"unknown fault {fault.kind!r}; use clear or {sorted(self._kinds)}")

    def draw(self, kind: str, client: str = "", worker: str = "", topic: str = "") -> Fault | None:
        """Return a fault of a kind that hits this call."""
        for (active_kind, _), fault in self._active.items():
            if (
                active_kind == kind
                and (not fault.clients or client in fault.clients)
                and (not fault.workers or worker in fault.workers)
                and (not fault.topics or topic in fault.topics)
                and (fault.share >= 1 or self._rng.random() < fault.share)
            ):
                return fault
        return None


class _Runner(web.ServerRunner):
    """Serve requests, and cancel those in progress as soon as it is cleaned up."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._handling: set[asyncio.Task[Any]] = set()
        server = web.Server(self._handle, access_log=None)
        super().__init__(server, shutdown_timeout=SHUTDOWN_S)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        task = asyncio.current_task()
        assert task is not None
        self._handling.add(task)
        try:
            return await self._handler(req)
        finally:
            self._handling.discard(task)

    async def shutdown(self) -> None:
        """Cancel the requests in progress: aiohttp fails if one ends just as its wait times out."""
        tasks = self._handling - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def listen(handler: Handler, address: str) -> web.ServerRunner:
    """Serve an address; port 0 takes any free one."""
    runner = _Runner(handler)
    await runner.setup()
    ip, _, port = address.rpartition(":")
    try:
        await web.TCPSite(runner, ip, int(port), backlog=1024).start()
    except OSError as exc:
        await runner.cleanup()
        raise OSError(f"{address}: {exc}; free the address or change it") from exc
    return runner


def json_answer(body: Any, status: int = 200) -> web.Response:
    """Return an answer with a JSON body."""
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )


async def leave_unanswered(req: web.BaseRequest) -> web.Response:
    """Hold a call without an answer until its caller closes the connection."""
    deadline = time.monotonic() + MAX_UNANSWERED_S
    while time.monotonic() < deadline:
        if req.transport is None or req.transport.is_closing():
            break
        await asyncio.sleep(UNANSWERED_CHECK_S)
    return reset_connection(req)


def reset_connection(req: web.BaseRequest) -> web.Response:
    """Break the connection of a call; the answer that is returned is not sent."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=503)


def admin_handler(calls: dict[str, Callable[[web.BaseRequest, bytes], Any]]) -> Handler:
    """Return a handler of admin calls, by their path; a ValueError is answered with 400."""

    async def handle(req: web.BaseRequest) -> web.StreamResponse:
        call = calls.get(req.path)
        if call is None:
            return json_answer({"error": f"no call {req.path}; use one of {sorted(calls)}"}, 404)
        try:
            result = call(req, await req.read())
            return json_answer(await result if asyncio.iscoroutine(result) else result)
        except (ValueError, KeyError) as exc:
            return json_answer({"error": str(exc)}, 400)
        except ConnectionRefusedError as exc:
            return json_answer({"error": str(exc)}, 503)

    return handle
