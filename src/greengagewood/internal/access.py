"""Find the caller that a bearer token belongs to, and the service that a path belongs to."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from greengagewood.internal.document import Document, Service

__all__ = ["AccessTable", "AuthenticatedCaller"]


@dataclass(frozen=True)
class AuthenticatedCaller:
    """Hold the name and the team of a caller whose token is in the document."""

    name: str
    team: str


class AccessTable:
    """Index the callers and routes of one document."""

    def __init__(self, document: Document) -> None:
        self._callers_by_digest = {
            caller.token_sha256: AuthenticatedCaller(name, caller.team)
            for name, caller in document.callers.items()
        }
        routes = [
            (route, name) for name, service in document.services.items() for route in service.routes
        ]
        self._routes_longest_first = sorted(routes, key=lambda pair: len(pair[0]), reverse=True)
        self._services = document.services

    def find_caller(self, authorization: str) -> AuthenticatedCaller | None:
        """Return the caller of an Authorization header with a bearer token."""
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer" or not token:
            return None
        return self._callers_by_digest.get(hashlib.sha256(token.encode()).hexdigest())

    def find_service(self, path: str) -> tuple[str, Service] | None:
        """Return the service of the longest route that is the path or a parent of it."""
        for route, name in self._routes_longest_first:
            if path == route or path.startswith(route.rstrip("/") + "/"):
                return name, self._services[name]
        return None
