"""Client of the platform's workers; the one module that knows their wire format.

One exchange a round carries every command to a worker and brings back everything that it has to
tell. A worker refuses an exchange of an older epoch than the newest it has seen, or of a round
that is not newer. It ignores the commands and the renewal of an exchange whose `echo`, the
worker's own clock from an earlier reply, is older than `window_ms` or comes from before the worker
was restarted: so a command that was delayed on its way cannot take effect after its owner has
ruled it out.
"""

from __future__ import annotations

import aiohttp
import msgspec

__all__ = [
    "Attempt",
    "EndedAttempt",
    "Exchange",
    "ExchangeReply",
    "WorkerClient",
    "WorkerUnreachable",
]


class WorkerUnreachable(Exception):
    """Report that a worker's answer did not arrive: commands may have taken effect."""


class StartCommand(msgspec.Struct, frozen=True):
    """Start one attempt of a task, from a checkpoint unless it is empty."""

    task: str
    attempt: int
    batch_class: str
    cpus: int
    memory_mb: int
    accelerators: int
    run_ms: int
    checkpoint: str = ""


class Attempt(msgspec.Struct, frozen=True):
    """Describe one attempt that a worker runs."""

    task: str
    attempt: int
    batch_class: str
    cpus: int
    memory_mb: int
    accelerators: int


class EndedAttempt(msgspec.Struct, frozen=True):
    """Report how an attempt came out; kept by the worker until it is acknowledged.

    Outcomes: done (detail is the result), failed, checkpointed (detail is the checkpoint),
    stopped, lapsed, refused (detail is the reason).
    """

    task: str
    attempt: int
    outcome: str
    detail: str = ""


class Usage(msgspec.Struct, frozen=True):
    """Report what one batch class used on the worker in an interval of the worker's clock."""

    batch_class: str
    cpus: float
    from_ms: int
    to_ms: int


class Exchange(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the commands of one round to a worker."""

    epoch: int
    owner: str
    round: int
    boot: int
    echo: int
    window_ms: int
    lease_ms: int
    known_version: int
    starts: tuple[StartCommand, ...] = ()
    stops: tuple[tuple[str, int], ...] = ()
    checkpoints: tuple[tuple[str, int], ...] = ()
    throttles: tuple[tuple[str, int, float], ...] = ()
    acks: tuple[tuple[str, int], ...] = ()


class ExchangeReply(msgspec.Struct, frozen=True, kw_only=True):
    """Carry what a worker has to tell; `running` is None if `known_version` is still right."""

    accepted: bool
    epoch: int
    fresh: bool
    boot: int
    clock: int
    version: int
    cpus: int
    memory_mb: int
    accelerators: int
    running: tuple[Attempt, ...] | None = None
    ended: tuple[EndedAttempt, ...] = ()
    usage: tuple[Usage, ...] = ()


_decoder = msgspec.json.Decoder(ExchangeReply)


class WorkerClient:
    """Exchange commands and reports with workers."""

    def __init__(self, session: aiohttp.ClientSession, timeout: float) -> None:
        self._session = session
        self._limit = aiohttp.ClientTimeout(total=timeout)

    async def exchange(self, url: str, exchange: Exchange) -> ExchangeReply:
        """Run one round with the worker at a URL; raise WorkerUnreachable."""
        try:
            async with self._session.post(
                f"{url}/exchange", data=msgspec.json.encode(exchange), timeout=self._limit
            ) as resp:
                if resp.status != 200:
                    raise WorkerUnreachable(f"worker answered {resp.status}")
                return _decoder.decode(await resp.read())
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as exc:
            raise WorkerUnreachable(repr(exc)) from exc
