"""Heartbeats between keepers: to every instance of the own failure domain, and to a few elsewhere.

A heartbeat carries the sender's own description and a few members of other failure domains; those
of the own one speak for themselves. The answer carries the receiver's description, and confirms
the beat from when it was sent.
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

TIMEOUT_S = 1.0
REMOTE_PEERS_PER_BEAT = 1
OTHERS_PER_HEARTBEAT = 3


class Heartbeats:
    """Exchange heartbeats and keep the membership; `on_news` is called when it has changed."""

    def __init__(
        self,
        me: Member,
        describe: Callable[[], Member],
        seeds: tuple[str, ...],
        pool: LinkPool,
        metrics: Metrics,
        on_peer: Callable[[Member], None],
        on_news: Callable[[], None],
    ) -> None:
        self.membership = Membership(me, monotonic_ms())
        self._instance = me.instance
        self._failure_domain = me.failure_domain
        self._address = me.keeper_address
        self._describe = describe
        self._seeds = seeds
        self._pool = pool
        self._metrics = metrics
        self._on_peer = on_peer
        self._on_news = on_news
        self._random = random.Random()
        self._asks: set[asyncio.Task[None]] = set()

    def update_self(self) -> None:
        """Describe the instance anew."""
        before = self.membership.version
        self.membership.update_self(self._describe(), monotonic_ms())
        if self.membership.version != before:
            self._on_news()

    def beat(self, entries: tuple[EntryInstance, ...]) -> None:
        """Send one heartbeat to each chosen peer."""
        self.update_self()
        self.membership.forget_silent(monotonic_ms())
        for address in self._choose(entries):
            task = asyncio.create_task(self._ask(address))
            self._asks.add(task)
            task.add_done_callback(self._asks.discard)

    async def stop(self) -> None:
        """Give up what is in progress."""
        for task in self._asks:
            task.cancel()
        await asyncio.gather(*self._asks, return_exceptions=True)

    def _choose(self, entries: tuple[EntryInstance, ...]) -> list[str]:
        """Return every known address inside the failure domain, and a few elsewhere."""
        near = set(self._seeds)
        far: set[str] = set()
        for peer in self.membership.peers.values():
            same = peer.member.failure_domain == self._failure_domain
            (near if same else far).add(peer.member.keeper_address)
        for entry in entries:
            same = entry.failure_domain == self._failure_domain
            (near if same else far).add(entry.keeper)
        near.discard(self._address)
        chosen = sorted(far - near)
        if len(chosen) > REMOTE_PEERS_PER_BEAT:
            chosen = self._random.sample(chosen, REMOTE_PEERS_PER_BEAT)
        return sorted(near) + chosen

    async def _ask(self, address: str) -> None:
        sent_ms = monotonic_ms()
        me = self.membership.peers[self._instance].member
        heartbeat = Heartbeat(me, self._sample_others(sent_ms))
        try:
            reply = await self._pool.link(address).ask(heartbeat, TIMEOUT_S)
        except LinkTimeout:
            self._metrics.count("heartbeats_unanswered")
            return
        if isinstance(reply, HeartbeatAck):
            before = self.membership.version
            self.membership.confirm(reply.member, sent_ms, monotonic_ms())
            self._heard(reply.member, before)

    def _sample_others(self, now_ms: int) -> tuple[tuple[Member, int], ...]:
        others = [
            (peer.member, now_ms - peer.heard_ms)
            for peer in self.membership.peers.values()
            if peer.member.failure_domain != self._failure_domain
        ]
        if len(others) > OTHERS_PER_HEARTBEAT:
            others = self._random.sample(others, OTHERS_PER_HEARTBEAT)
        return tuple(others)

    def take(self, heartbeat: Heartbeat) -> HeartbeatAck:
        """Take a peer's heartbeat in and answer it."""
        now_ms = monotonic_ms()
        before = self.membership.version
        self.membership.learn(heartbeat.sender, 0, now_ms)
        for member, age_ms in heartbeat.others:
            self.membership.learn(member, age_ms, now_ms)
        self._heard(heartbeat.sender, before)
        return HeartbeatAck(self.membership.peers[self._instance].member)

    def _heard(self, peer: Member, before: int) -> None:
        self._on_peer(peer)
        if self.membership.version != before:
            self._on_news()
