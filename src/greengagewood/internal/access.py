"""Who a caller is, and which service a path belongs to."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from greengagewood.internal.document import Document, Service

__all__ = ["AccessTable", "AuthenticatedCaller"]


@dataclass(frozen=True)
class AuthenticatedCaller:
    """Hold a caller that the document admits."""

    name: str
    team: str


class AccessTable:
    """Look callers and routes up in the document in force."""

    def __init__(self, document: Document) -> None:
        self._callers = {
            caller.token_sha256: AuthenticatedCaller(name, caller.team)
            for name, caller in document.callers.items()
        }
        routes = [
            (route, name) for name, service in document.services.items() for route in service.routes
        ]
        self._routes = sorted(routes, key=lambda entry: len(entry[0]), reverse=True)
        self._services = document.services

    def find_caller(self, authorization: str) -> AuthenticatedCaller | None:
        """Return the caller of a bearer token."""
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer" or not token:
            return None
        return self._callers.get(hashlib.sha256(token.encode()).hexdigest())

    def find_service(self, path: str) -> tuple[str, Service] | None:
        """Return the service of the longest route that a path lies under."""
        for route, name in self._routes:
            if path == route or path.startswith(route.rstrip("/") + "/"):
                return name, self._services[name]
        return None
