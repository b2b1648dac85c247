"""Spread configuration from box to box by gossip, and repair differences.

A box that applies a newer object pushes it to a few random boxes. Every heartbeat carries a digest
of the whole view. If digests stay different, two boxes compare bucket digests, then versions, and
send each other newer objects. Views only accept newer versions, so the order and repetition of
messages do not matter.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from calicopath_core.crashes.messages import CrashNews
from calicopath_core.membership.buckets import BucketIndex
from calicopath_core.membership.messages import (
    BadMessage,
    BucketDigests,
    BucketVersions,
    Entry,
    Heartbeat,
    MessageDecoder,
    Push,
    Want,
    encode,
)
from calicopath_core.store.view import ViewUpdate

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.crashes.sharing import CrashSharing
    from calicopath_core.membership.members import MemberTable
    from calicopath_core.membership.messages import MemberInfo
    from calicopath_core.membership.transport import PeerTransport
    from calicopath_core.store.view import ConfigView

T = TypeVar('T', bound=msgspec.Struct)

HEARTBEAT_S = 1.0
HEARTBEAT_FANOUT = 3
PUSH_FANOUT = 4
PUSH_DELAY_S = 0.05
"""How long new objects are collected before they are pushed together."""

MAX_RECENT_VERSIONS = 16
"""Most recently applied objects whose versions every heartbeat carries."""

LOCAL_MEMBERS_SENT = 8
REMOTE_MEMBERS_SENT = 4
"""Boxes in the same and in other failure domains that one heartbeat lists. Boxes in the same
failure domain need frequent updates, because its relays are chosen among them."""

MAX_PUSH_ENTRIES = 200
MAX_WANTED = 2000
MAX_VERSIONS = 5000
MAX_RECENT_DIGESTS = 64
REPAIR_INTERVAL_S = 1.0
"""Shortest interval between two repairs with any boxes, so that a burst of changes, which pushes
are already spreading, does not start repairs."""


class GossipCounts:
    """Count messages sent and received, undecodable messages and repaired objects."""

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self.sent_bytes = 0
        self.received: Counter[str] = Counter()
        self.received_bytes = 0
        self.undecodable = 0
        self.repaired = 0


class Gossip:
    """Exchange messages with the other boxes; `tick` is called every `PUSH_DELAY_S`."""

    def __init__(
        self,
        *,
        view: ConfigView,
        members: MemberTable,
        transport: PeerTransport,
        clock: Clock,
        rng: random.Random,
        is_ready: Callable[[], bool],
    ) -> None:
        self.view = view
        self.members = members
        self.transport = transport
        self.clock = clock
        self.rng = rng
        self.is_ready = is_ready
        self.index = BucketIndex(view=view)
        self.counts = GossipCounts()
        self.unsent_updates: dict[str, ViewUpdate] = {}
        self.recent_versions: OrderedDict[str, int] = OrderedDict()
        self.recent_digests: deque[int] = deque(maxlen=MAX_RECENT_DIGESTS)
        self.next_heartbeat_at = 0.0
        self.next_repair_at = 0.0
        self.contact_at: float | None = None
        self.agreed_with_ready_peer = False
        self.handlers: dict[type[msgspec.Struct], Callable[[Any], None]] = {
            Heartbeat: self.on_heartbeat,
            Push: self.on_push,
            BucketDigests: self.on_digests,
            BucketVersions: self.on_versions,
            Want: self.on_want,
        }
        self.crash_sharing: CrashSharing | None = None
        self.decoder = MessageDecoder(types=self.handlers)
        view.listeners.append(self.on_updates)
        transport.listen(self.on_data)

    def register_handler(self, kind: type[T], handler: Callable[[T], None]) -> None:
        """Register a handler for another message type sent over the same connections."""
        self.handlers[kind] = handler
        self.decoder = MessageDecoder(types=self.handlers)

    def share_crashes(self, crash_sharing: CrashSharing) -> None:
        """Share crash evidence through heartbeats and messages of this gossip."""
        self.crash_sharing = crash_sharing
        self.register_handler(CrashNews, crash_sharing.on_news)

    def on_updates(self, updates: list[ViewUpdate]) -> None:
        """Queue updates of the view to be pushed to other boxes."""
        for update in updates:
            self.unsent_updates[update.key] = update
            self.recent_versions[update.key] = update.version
            self.recent_versions.move_to_end(update.key)
        while len(self.recent_versions) > MAX_RECENT_VERSIONS:
            self.recent_versions.popitem(last=False)
        self.recent_digests.append(self.view.digest)

    def on_contact(self, at: float) -> None:
        """Record a contact with the platform at a time in monotonic seconds."""
        if self.contact_at is None or at > self.contact_at:
            self.contact_at = at

    def contact_age_s(self) -> float | None:
        """Return the seconds since the last contact with the platform by any box, or `None`."""
        if self.contact_at is None:
            return None
        return self.clock.monotonic() - self.contact_at

    def leave(self) -> None:
        """Announce in heartbeats that this box is leaving, so that another box becomes a relay."""
        self.members.own = msgspec.structs.replace(self.members.own, leaving=True)

    def tick(self) -> None:
        """Push new objects, and send a heartbeat when one is due."""
        self.push_updates()
        now = self.clock.monotonic()
        if now >= self.next_heartbeat_at:
            # Jitter keeps boxes that started together from sending heartbeats at the same time.
            self.next_heartbeat_at = now + HEARTBEAT_S * self.rng.uniform(0.8, 1.2)
            self.members.forget_silent(now)
            self.send_heartbeats(now)
            if self.crash_sharing is not None:
                self.crash_sharing.notify_hubs()

    def push_updates(self) -> None:
        """Push new objects to a few random boxes."""
        if not self.unsent_updates:
            return
        entries = [
            Entry(item.key, item.version, item.spec) for item in self.unsent_updates.values()
        ]
        self.unsent_updates.clear()
        now = self.clock.monotonic()
        for member in self.members.sample(PUSH_FANOUT, now, self.rng):
            self.send_entries(member.info.address, entries)

    def send_entries(self, address: str, entries: list[Entry]) -> None:
        """Send objects in messages of bounded size."""
        for start in range(0, len(entries), MAX_PUSH_ENTRIES):
            part = entries[start : start + MAX_PUSH_ENTRIES]
            self.send(address, Push(self.members.own.name, part))

    def send_heartbeats(self, now: float) -> None:
        """Send a heartbeat to a few random boxes."""
        own = msgspec.structs.replace(
            self.members.own, heartbeat_number=self.members.own.heartbeat_number + 1
        )
        self.members.own = own
        chosen = self.members.sample(HEARTBEAT_FANOUT, now, self.rng)
        heartbeat = Heartbeat(
            sender=own,
            digest=self.view.digest,
            contact_age_s=self.contact_age_s(),
            ready=self.is_ready(),
            recent=dict(self.recent_versions),
            members=self.members_to_send(now),
            crashes=self.crash_sharing.ledger.digest() if self.crash_sharing is not None else '',
        )
        for member in chosen:
            self.send(member.info.address, heartbeat)

    def members_to_send(self, now: float) -> list[MemberInfo]:
        """Return some live boxes for a heartbeat, most of them in the same failure domain."""
        local: list[MemberInfo] = []
        remote: list[MemberInfo] = []
        for member in self.members.live(now):
            if member.heard_at is not None:
                is_local = member.info.failure_domain == self.members.own.failure_domain
                (local if is_local else remote).append(member.info)
        chosen = self.rng.sample(local, min(LOCAL_MEMBERS_SENT, len(local)))
        return chosen + self.rng.sample(remote, min(REMOTE_MEMBERS_SENT, len(remote)))

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Encode, count and send a message."""
        data = encode(message)
        self.counts.sent[type(message).__name__] += 1
        self.counts.sent_bytes += len(data)
        self.transport.send(address, data)

    def on_data(self, data: bytes) -> None:
        """Decode and handle a message; count and drop one that cannot be decoded."""
        self.counts.received_bytes += len(data)
        try:
            message = self.decoder.decode(data)
        except BadMessage:
            self.counts.undecodable += 1
            return
        self.counts.received[type(message).__name__] += 1
        self.handlers[type(message)](message)

    def on_push(self, message: Push) -> None:
        """Apply pushed objects to the view."""
        self.view.apply_all(
            ViewUpdate(entry.key, entry.version, entry.spec) for entry in message.entries
        )

    def on_heartbeat(self, message: Heartbeat) -> None:
        """Update the member table, and start a repair if the views stay different."""
        now = self.clock.monotonic()
        self.members.on_heard(message.sender, now, direct=True)
        for info in message.members:
            self.members.on_heard(info, now, direct=False)
        if message.contact_age_s is not None:
            self.on_contact(now - message.contact_age_s)
        if self.crash_sharing is not None:
            self.crash_sharing.on_digest(message.sender.address, message.crashes)
        if message.digest == self.view.digest:
            self.agreed_with_ready_peer = self.agreed_with_ready_peer or message.ready
            return
        if self.request_recent(message):
            return
        if message.digest in self.recent_digests or now < self.next_repair_at:
            # The other box is slightly behind, and pushes are already on their way to it.
            return
        self.next_repair_at = now + REPAIR_INTERVAL_S
        digests = BucketDigests(self.members.own, self.is_ready(), self.index.digests)
        self.send(message.sender.address, digests)

    def request_recent(self, message: Heartbeat) -> bool:
        """Request recent objects that this box lacks; return whether there are any."""
        wanted = [
            key for key, version in message.recent.items() if version > self.view.version(key)
        ]
        if wanted:
            self.send(message.sender.address, Want(self.members.own, wanted))
        return bool(wanted)

    def on_digests(self, message: BucketDigests) -> None:
        """Reply with the versions in differing buckets, as many as fit into a message."""
        buckets = self.index.differing(message.buckets)
        if not buckets:
            self.agreed_with_ready_peer = self.agreed_with_ready_peer or message.ready
            return
        versions = self.index.versions_in(buckets)
        while len(versions) > MAX_VERSIONS and len(buckets) > 1:
            buckets = buckets[: len(buckets) // 2]
            versions = self.index.versions_in(buckets)
        self.send(message.sender.address, BucketVersions(self.members.own, buckets, versions))

    def on_versions(self, message: BucketVersions) -> None:
        """Send objects that are newer here, and request those that are older here."""
        own = self.index.versions_in(message.buckets)
        newer = [key for key, version in own.items() if version > message.versions.get(key, 0)]
        older = [key for key, version in message.versions.items() if version > own.get(key, 0)]
        if newer:
            self.counts.repaired += len(newer)
            self.send_entries(message.sender.address, self.entries(newer))
        if older:
            self.send(message.sender.address, Want(self.members.own, older[:MAX_WANTED]))

    def on_want(self, message: Want) -> None:
        """Send the requested objects."""
        keys = message.keys[:MAX_WANTED]
        self.counts.repaired += len(keys)
        self.send_entries(message.sender.address, self.entries(keys))

    def entries(self, keys: Iterable[str]) -> list[Entry]:
        """Return the objects under some keys; skip keys that are not in the view."""
        found = []
        for key in keys:
            entry = self.view.entries.get(key)
            if entry is not None:
                found.append(Entry(key, entry.version, entry.spec))
        return found
