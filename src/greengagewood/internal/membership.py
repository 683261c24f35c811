"""Membership: which instances were heard of, and how long ago.

An instance describes itself together with its keeper's start time (`boot`) and a heartbeat number
that rises. Peers pass a description on with its age, so a receiver knows how long ago the instance
itself sent it. The instance list only adds addresses to try: it lags behind, so it never proves
that an instance is alive or dead.

A confirmation is stronger than a description: it is the time at which this instance *sent* the
heartbeat that the peer has acknowledged. So a process that was paused and then reads old messages
does not take them for recent ones.
"""

from __future__ import annotations

from dataclasses import dataclass

from greengagewood.internal.messages import Member

__all__ = ["Membership", "Peer"]

REMOVE_AFTER_MS = 60_000


@dataclass
class Peer:
    """Hold what is known of one instance; times are of this process's monotonic clock."""

    member: Member
    last_heard_ms: int
    confirmed_ms: int | None = None


class Membership:
    """Keep the newest description of each instance and when the instance sent it."""

    def __init__(self, own_member: Member, now_ms: int) -> None:
        self._instance = own_member.instance
        self.peers: dict[str, Peer] = {own_member.instance: Peer(own_member, now_ms, now_ms)}
        self.version = 1

    def update_self(self, own_member: Member, now_ms: int) -> None:
        """Replace the description of this instance."""
        peer = self.peers[self._instance]
        if _differs(peer.member, own_member):
            self.version += 1
        self.peers[self._instance] = Peer(own_member, now_ms, now_ms)

    def merge(self, member: Member, age_ms: int, now_ms: int) -> bool:
        """Merge a description of the given age; return whether it is newer than the known one."""
        if member.instance == self._instance or age_ms < 0:
            return False
        known = self.peers.get(member.instance)
        if known is not None:
            newest_known = (known.member.boot, known.member.heartbeat_number)
            if (member.boot, member.heartbeat_number) <= newest_known:
                return False
        if known is None or _differs(known.member, member):
            self.version += 1
        confirmed = None
        if known is not None and known.member.boot == member.boot:
            confirmed = known.confirmed_ms
        self.peers[member.instance] = Peer(member, now_ms - age_ms, confirmed)
        return True

    def confirm(self, member: Member, sent_ms: int, now_ms: int) -> None:
        """Record the acknowledgement of the heartbeat that was sent at `sent_ms`."""
        self.merge(member, 0, now_ms)
        peer = self.peers.get(member.instance)
        if peer is not None and peer.member.boot == member.boot:
            peer.confirmed_ms = max(peer.confirmed_ms or sent_ms, sent_ms)

    def remove_silent(self, now_ms: int) -> None:
        """Remove instances that were not heard of for REMOVE_AFTER_MS."""
        for name, peer in list(self.peers.items()):
            if name != self._instance and now_ms - peer.last_heard_ms > REMOVE_AFTER_MS:
                del self.peers[name]
                self.version += 1

    def alive(self, now_ms: int, within_ms: int) -> list[Member]:
        """Return the members that were heard of within the last `within_ms`."""
        return [p.member for p in self.peers.values() if now_ms - p.last_heard_ms <= within_ms]


def _differs(old: Member, new: Member) -> bool:
    """Tell whether descriptions differ in more than heartbeat number, loads and claims."""
    return (
        old.boot != new.boot
        or old.leaving != new.leaving
        or old.keeper_address != new.keeper_address
        or old.scheduler_address != new.scheduler_address
        or old.gateway_address != new.gateway_address
        or old.config != new.config
        or [(c.cell, c.epoch, c.placing) for c in old.owned_cells]
        != [(c.cell, c.epoch, c.placing) for c in new.owned_cells]
    )
