"""Read the body of a caller's request within its limits."""

from __future__ import annotations

import asyncio

from aiohttp import web

from greengagewood.internal.verdict import Reason, Refusal, not_run

__all__ = ["BodyRefused", "read_body"]

BODY_TIMEOUT_S = 5.0


class BodyRefused(Exception):
    """Raised when a body is too large or too slow; `refusal` is the answer to the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


async def read_body(req: web.Request, max_bytes: int) -> bytes:
    """Read a body within the limits of size and time; raise BodyRefused if it exceeds one."""
    if not req.can_read_body:
        return b""
    declared_bytes = req.content_length or 0
    if declared_bytes > max_bytes:
        raise BodyRefused(_too_large(max_bytes))
    body = bytearray()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for chunk in req.content.iter_any():
                body += chunk
                if len(body) > max_bytes:
                    raise BodyRefused(_too_large(max_bytes))
    except TimeoutError as exc:
        detail = f"the body did not arrive within {BODY_TIMEOUT_S} s"
        raise BodyRefused(not_run(Reason.BAD_REQUEST, detail, 408, 0)) from exc
    return bytes(body)


def _too_large(max_bytes: int) -> Refusal:
    detail = f"the body is larger than {max_bytes} bytes"
    return not_run(Reason.BODY_TOO_LARGE, detail, 413, None)
