"""Verdicts on requests: whether a request that was answered or refused may have run."""

from __future__ import annotations

import enum

import msgspec

__all__ = ["Reason", "Refusal", "Verdict"]


class Verdict(enum.StrEnum):
    """Say whether a request may have run."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Reason(enum.StrEnum):
    """Cause of a refusal, under the same name in logs, metrics and answers."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_CALLER = "unknown_caller"
    NO_ROUTE = "no_route"
    NOT_FOUND = "not_found"
    NOT_READY = "not_ready"
    OVERLOADED = "overloaded"
    NO_BACKEND = "no_backend"
    EVACUATED = "evacuated"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_BROKE_OFF = "backend_broke_off"
    BACKEND_MISMATCH = "backend_mismatch"
    BACKEND_TIMEOUT = "backend_timeout"
    KEY_IN_USE = "key_in_use"
    KEY_HOLDER_GONE = "key_holder_gone"
    KEY_BODY_DIFFERS = "key_body_differs"
    LOG_UNAVAILABLE = "log_unavailable"
    LOG_ANSWER_LOST = "log_answer_lost"
    NEVER_FITS = "never_fits"
    OVER_QUOTA = "over_quota"
    OWNER_UNKNOWN = "owner_unknown"
    NOT_FINISHED = "not_finished"
    INTERNAL = "internal"


class Refusal(msgspec.Struct, frozen=True):
    """A refused request: why, whether it may have run and when to retry."""

    verdict: Verdict
    reason: Reason
    detail: str
    status: int
    retry_after_ms: int | None = None

    def to_json(self, request_id: str) -> bytes:
        """Encode the refusal as the JSON body of an HTTP response."""
        return msgspec.json.encode(
            {
                "verdict": self.verdict,
                "reason": self.reason,
                "detail": self.detail,
                "retry": self.retry_after_ms is not None,
                "retry_after_ms": self.retry_after_ms,
                "request_id": request_id,
            }
        )


def not_run(
    reason: Reason, detail: str, status: int = 503, retry_after_ms: int | None = 1000
) -> Refusal:
    """Return the refusal of a request that has certainly not run."""
    return Refusal(Verdict.NOT_RUN, reason, detail, status, retry_after_ms)


def may_have_run(reason: Reason, detail: str, status: int = 504) -> Refusal:
    """Return the refusal of a request that may have run.

    The caller may retry it only with the same idempotency key.
    """
    return Refusal(Verdict.MAY_HAVE_RUN, reason, detail, status, None)
