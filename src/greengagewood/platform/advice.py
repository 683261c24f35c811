"""HTTP client of the advice service, which decides which workers may run a step."""

from __future__ import annotations

from collections.abc import Sequence

import aiohttp
import msgspec

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.ports import AdviceUnavailable, Permit
from greengagewood.platform.wire import CALL_PATH, Integer, Session, call_timeout, decode, encode

__all__ = ["HttpAdvice"]

MAX_RETRY_AFTER_MS = 30_000  # a longer Retry-After is taken for this


class _AdviceAnswer(msgspec.Struct):
    allowed: list[tuple[str, str]]
    validity_ms: Integer = msgspec.field(name="validity-ms")


def _retry_after_ms(value: str) -> int:
    """Return the pause that a Retry-After header of whole seconds asks for, or 0."""
    if not (value.isascii() and value.isdigit()):
        return 0
    return min(MAX_RETRY_AFTER_MS, int(value[:6]) * 1_000)


class HttpAdvice:
    """Request permits from the advice service."""

    def __init__(self, session: Session, address: str) -> None:
        self._session = session
        self._url = f"http://{address}{CALL_PATH}advise"

    async def request_permits(
        self, job: str, occurrence: int, step: int, workers: Sequence[str], timeout_s: float
    ) -> dict[str, Permit]:
        """Return a permit for each worker that may run the step; raise AdviceUnavailable."""
        sent_ms = monotonic_ms()
        data = encode({"step": f"{job}.{occurrence}.{step}", "workers": list(workers)})
        headers = {"Content-Type": "application/json"}
        try:
            async with self._session.post(
                self._url, data=data, headers=headers, timeout=call_timeout(timeout_s)
            ) as resp:
                body = await resp.read()
            if resp.status != 200:
                raise AdviceUnavailable(
                    f"status {resp.status}",
                    busy=resp.status == 429,
                    retry_after_ms=_retry_after_ms(resp.headers.get("Retry-After", "")),
                )
            answer = decode(body, _AdviceAnswer)
        except aiohttp.ConnectionTimeoutError as exc:  # the call was not sent
            raise AdviceUnavailable(repr(exc)) from exc
        except TimeoutError as exc:
            raise AdviceUnavailable(repr(exc), timed_out=True) from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise AdviceUnavailable(repr(exc)) from exc
        expires_ms = sent_ms + answer.validity_ms
        return {worker: Permit(ticket, expires_ms) for worker, ticket in answer.allowed}
