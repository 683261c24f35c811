"""Heartbeats between keepers: to all of the sender's failure domain, and to some of the others.

A heartbeat carries the sender's description and those of a few members of other failure domains;
members of the sender's failure domain send theirs to each other directly. The acknowledgement
carries the receiver's description, and confirms the peer as of the time at which the heartbeat was
sent.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.link import LinkTimeout
from greengagewood.internal.linkpool import LinkPool
from greengagewood.internal.membership import Membership
from greengagewood.internal.messages import Heartbeat, HeartbeatAck, Member
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.native.instancelist import EntryInstance

__all__ = ["Heartbeats"]

ACK_TIMEOUT_S = 1.0
OTHER_DOMAIN_PEERS_PER_ROUND = 1
OTHER_MEMBERS_PER_HEARTBEAT = 3


class Heartbeats:
    """Exchange heartbeats with other keepers and keep the membership.

    `on_peer` is called with each peer that was heard of directly, `on_change` whenever the
    membership's version has risen.
    """

    def __init__(
        self,
        own_member: Member,
        describe: Callable[[], Member],
        seeds: tuple[str, ...],
        pool: LinkPool,
        metrics: Metrics,
        on_peer: Callable[[Member], None],
        on_change: Callable[[], None],
    ) -> None:
        self.membership = Membership(own_member, monotonic_ms())
        self._instance = own_member.instance
        self._failure_domain = own_member.failure_domain
        self._own_address = own_member.keeper_address
        self._describe = describe
        self._seeds = seeds
        self._pool = pool
        self._metrics = metrics
        self._on_peer = on_peer
        self._on_change = on_change
        self._random = random.Random()
        self._send_tasks: set[asyncio.Task[None]] = set()

    def update_self(self) -> None:
        """Refresh the description of this instance."""
        version_before = self.membership.version
        self.membership.update_self(self._describe(), monotonic_ms())
        if self.membership.version != version_before:
            self._on_change()

    def send(self, entries: tuple[EntryInstance, ...]) -> None:
        """Send one heartbeat to each chosen peer."""
        self.update_self()
        self.membership.remove_silent(monotonic_ms())
        for address in self._choose_addresses(entries):
            task = asyncio.create_task(self._send_to(address))
            self._send_tasks.add(task)
            task.add_done_callback(self._send_tasks.discard)

    async def stop(self) -> None:
        """Cancel the heartbeats in progress."""
        for task in self._send_tasks:
            task.cancel()
        await asyncio.gather(*self._send_tasks, return_exceptions=True)

    def _choose_addresses(self, entries: tuple[EntryInstance, ...]) -> list[str]:
        """Return all known addresses in this failure domain, and a random few in the others."""
        same_domain = set(self._seeds)
        other_domains: set[str] = set()
        for peer in self.membership.peers.values():
            same = peer.member.failure_domain == self._failure_domain
            (same_domain if same else other_domains).add(peer.member.keeper_address)
        for entry in entries:
            same = entry.failure_domain == self._failure_domain
            (same_domain if same else other_domains).add(entry.keeper)
        same_domain.discard(self._own_address)
        chosen = sorted(other_domains - same_domain)
        if len(chosen) > OTHER_DOMAIN_PEERS_PER_ROUND:
            chosen = self._random.sample(chosen, OTHER_DOMAIN_PEERS_PER_ROUND)
        return sorted(same_domain) + chosen

    async def _send_to(self, address: str) -> None:
        sent_ms = monotonic_ms()
        own_member = self.membership.peers[self._instance].member
        heartbeat = Heartbeat(own_member, self._sample_others(sent_ms))
        try:
            reply = await self._pool.link(address).request(heartbeat, ACK_TIMEOUT_S)
        except LinkTimeout:
            self._metrics.count("heartbeats_unanswered")
            return
        if isinstance(reply, HeartbeatAck):
            version_before = self.membership.version
            self.membership.confirm(reply.member, sent_ms, monotonic_ms())
            self._notify(reply.member, version_before)

    def _sample_others(self, now_ms: int) -> tuple[tuple[Member, int], ...]:
        others = [
            (peer.member, now_ms - peer.last_heard_ms)
            for peer in self.membership.peers.values()
            if peer.member.failure_domain != self._failure_domain
        ]
        if len(others) > OTHER_MEMBERS_PER_HEARTBEAT:
            others = self._random.sample(others, OTHER_MEMBERS_PER_HEARTBEAT)
        return tuple(others)

    def handle(self, heartbeat: Heartbeat) -> HeartbeatAck:
        """Merge the descriptions in a peer's heartbeat and acknowledge it."""
        now_ms = monotonic_ms()
        version_before = self.membership.version
        self.membership.merge(heartbeat.sender, 0, now_ms)
        for member, age_ms in heartbeat.others:
            self.membership.merge(member, age_ms, now_ms)
        self._notify(heartbeat.sender, version_before)
        return HeartbeatAck(self.membership.peers[self._instance].member)

    def _notify(self, peer: Member, version_before: int) -> None:
        self._on_peer(peer)
        if self.membership.version != version_before:
            self._on_change()
