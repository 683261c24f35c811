"""Settings of the programs, from a YAML file: addresses, keys, instance and failure domain."""

from __future__ import annotations

import ipaddress
from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["ControlSettings", "GatewaySettings", "KeeperSettings", "SchedulerSettings"]

Port = Annotated[int, Meta(ge=1, le=65535)]
Secret = Annotated[str, Meta(min_length=16, max_length=256)]


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Give the IP address and the port of a socket."""

    ip: str
    port: Port

    def __post_init__(self) -> None:
        try:
            ipaddress.ip_address(self.ip)
        except ValueError as exc:
            raise ValueError(
                f"{self.ip!r} is not an IP number; write one such as 10.0.0.1"
            ) from exc

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class Keys(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the keys that authenticate messages: the one to sign with and all that are accepted."""

    current: str
    accepted: Annotated[dict[str, Secret], Meta(min_length=1)]

    def __post_init__(self) -> None:
        if self.current not in self.accepted:
            raise ValueError(f"current key {self.current!r} is not among accepted; add it there")


class _Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    environment: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    stage: Annotated[str, Meta(pattern=r"^(production|trial)$")] = "production"
    instance: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    failure_domain: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    keys: Keys
    admin: Address
    platform: Address
    log_level: Annotated[str, Meta(pattern=r"^(DEBUG|INFO|NOTICE|WARNING|ERROR)$")] = "INFO"


class KeeperSettings(_Settings, frozen=True, kw_only=True):
    """Configure the keeper, ggw-keeper."""

    listen: Address
    gateway: Address
    scheduler: Address
    seeds: tuple[Address, ...] = ()
    commit_interval_ms: Annotated[int, Meta(ge=1, le=10_000)] = 25


class GatewaySettings(_Settings, frozen=True, kw_only=True):
    """Configure the gateway, ggw-gateway."""

    listen: Address
    peer: Address
    keeper: Address
    drain_grace_ms: Annotated[int, Meta(ge=0, le=60_000)] = 2500
    quiet_limit_ms: Annotated[int, Meta(ge=100, le=600_000)] = 10_000


class SchedulerSettings(_Settings, frozen=True, kw_only=True):
    """Configure the scheduler, ggw-scheduler."""

    listen: Address
    keeper: Address


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Configure the operators' command-line tool, ggwctl."""

    environment: str
    platform: Address
    admins: tuple[Address, ...] = ()
    trial_admins: tuple[Address, ...] = ()
