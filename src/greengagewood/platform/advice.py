"""HTTP client of the advice service, which decides which workers may run a step."""

from __future__ import annotations

from collections.abc import Sequence

import aiohttp
import msgspec

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.ports import AdviceUnavailable, Permit
from greengagewood.platform.wire import CALL_PATH, Integer, Session, call_timeout, decode, encode

__all__ = ["HttpAdvice"]

ADVICE_TIMEOUT_S = 2.0


class _AdviceAnswer(msgspec.Struct):
    allowed: list[tuple[str, str]]
    validity_ms: Integer = msgspec.field(name="validity-ms")


class HttpAdvice:
    """Request permits from the advice service."""

    def __init__(self, session: Session, address: str) -> None:
        self._session = session
        self._url = f"http://{address}{CALL_PATH}advise"

    async def request_permits(
        self, job: str, occurrence: int, step: int, workers: Sequence[str]
    ) -> dict[str, Permit]:
        """Return a permit for each worker that may run the step; raise AdviceUnavailable."""
        sent_ms = monotonic_ms()
        data = encode({"step": f"{job}.{occurrence}.{step}", "workers": list(workers)})
        headers = {"Content-Type": "application/json"}
        try:
            async with self._session.post(
                self._url, data=data, headers=headers, timeout=call_timeout(ADVICE_TIMEOUT_S)
            ) as resp:
                body = await resp.read()
            if resp.status != 200:
                raise AdviceUnavailable(f"status {resp.status}")
            answer = decode(body, _AdviceAnswer)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            raise AdviceUnavailable(repr(exc)) from exc
        expires_ms = sent_ms + answer.validity_ms
        return {worker: Permit(ticket, expires_ms) for worker, ticket in answer.allowed}
