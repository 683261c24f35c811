"""Membership: which instances are alive, from heartbeats and the late instance list.

An instance describes itself with a boot number and a beat that rises. Descriptions spread with
their age, so a receiver knows how long ago the instance itself spoke, whoever passed it on. The
instance list only adds peers to try and marks leaving ones: it lags, so it never proves an
instance alive or dead.

A confirmation is stronger than a description: it is the time at which the beat was *sent* that
the peer has acknowledged. A process that was paused and then reads old messages cannot take them
for fresh ones.
"""

from __future__ import annotations

from dataclasses import dataclass

from greengagewood.internal.messages import Member

__all__ = ["Membership", "Peer"]

FORGET_AFTER_MS = 60_000


@dataclass
class Peer:
    """Hold what is known of one instance; times are of the own monotonic clock."""

    member: Member
    heard_ms: int
    confirmed_ms: int | None = None


class Membership:
    """Keep the members and their ages."""

    def __init__(self, me: Member, now_ms: int) -> None:
        self._me = me.instance
        self.peers: dict[str, Peer] = {me.instance: Peer(me, now_ms, now_ms)}
        self.version = 1

    def update_self(self, me: Member, now_ms: int) -> None:
        """Replace the own description."""
        peer = self.peers[self._me]
        if _differs(peer.member, me):
            self.version += 1
        self.peers[self._me] = Peer(me, now_ms, now_ms)

    def learn(self, member: Member, age_ms: int, now_ms: int) -> bool:
        """Take a description in; return whether it is newer than what was known."""
        if member.instance == self._me or age_ms < 0:
            return False
        known = self.peers.get(member.instance)
        if known is not None:
            newest = (known.member.boot, known.member.heartbeat_number)
            if (member.boot, member.heartbeat_number) <= newest:
                return False
        if known is None or _differs(known.member, member):
            self.version += 1
        confirmed = None
        if known is not None and known.member.boot == member.boot:
            confirmed = known.confirmed_ms
        self.peers[member.instance] = Peer(member, now_ms - age_ms, confirmed)
        return True

    def confirm(self, member: Member, sent_ms: int, now_ms: int) -> None:
        """Take an acknowledgement in of the beat that was sent at `sent_ms`."""
        self.learn(member, 0, now_ms)
        peer = self.peers.get(member.instance)
        if peer is not None and peer.member.boot == member.boot:
            peer.confirmed_ms = max(peer.confirmed_ms or sent_ms, sent_ms)

    def forget_silent(self, now_ms: int) -> None:
        """Drop instances that have been silent for so long that they are gone."""
        for name, peer in list(self.peers.items()):
            if name != self._me and now_ms - peer.heard_ms > FORGET_AFTER_MS:
                del self.peers[name]
                self.version += 1

    def alive(self, now_ms: int, within_ms: int) -> list[Member]:
        """List the members heard of within a time."""
        return [p.member for p in self.peers.values() if now_ms - p.heard_ms <= within_ms]


def _differs(old: Member, new: Member) -> bool:
    """Tell whether two descriptions differ in more than their beat and load."""
    return (
        old.boot != new.boot
        or old.leaving != new.leaving
        or old.scheduler_address != new.scheduler_address
        or old.gateway_address != new.gateway_address
        or old.config != new.config
        or [(c.cell, c.epoch, c.placing) for c in old.owned_cells]
        != [(c.cell, c.epoch, c.placing) for c in new.owned_cells]
    )
