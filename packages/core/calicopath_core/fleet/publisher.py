"""Send the store's records that a box has read to its subscribers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from calicopath_core.fleet.positions import NO_POSITION, Position
from calicopath_core.fleet.relay_messages import RelayUpdate, encode_changes
from calicopath_core.fleet.store import Change, RecordKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import msgspec

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.feed import RecordFeed
    from calicopath_core.fleet.relay_messages import Subscribe

SUBSCRIPTION_TTL_S = 3.0
"""How long a subscription lasts without being renewed."""

MAX_LOG_ENTRIES = 200
"""Changes of a kind that are kept; a subscriber further behind gets all records."""


class ChangeLog:
    """Log which records of a kind have changed, by position."""

    def __init__(self) -> None:
        self.entries: deque[tuple[Position, frozenset[str]]] = deque()
        self.start = NO_POSITION

    def restart(self, position: Position) -> None:
        """Clear the log after all records were listed at a position."""
        self.entries.clear()
        self.start = position

    def add(self, position: Position, names: Iterable[str]) -> None:
        """Add changed records, and drop the oldest entry if the log is full."""
        self.entries.append((position, frozenset(names)))
        if len(self.entries) > MAX_LOG_ENTRIES:
            self.start = self.entries.popleft()[0]

    def names_since(self, position: Position) -> frozenset[str] | None:
        """Return the records changed after a position, `None` if the log does not reach back."""
        if self.start == NO_POSITION or position < self.start:
            return None
        names: frozenset[str] = frozenset()
        for at, changed in self.entries:
            if at > position:
                names |= changed
        return names


class Subscriber:
    """Hold the positions that one box holds or was sent; `heard_at` is in monotonic seconds."""

    def __init__(self) -> None:
        self.heard_at = 0.0
        self.positions: dict[RecordKind, Position] = {}


class Publisher:
    """Send each subscriber the changes it lacks, when something changes and when it asks."""

    def __init__(
        self, *, own_address: str, clock: Clock, send: Callable[[str, msgspec.Struct], None]
    ) -> None:
        self.own_address = own_address
        self.clock = clock
        self.send = send
        self.feeds: dict[RecordKind, RecordFeed] = {}
        self.logs = {kind: ChangeLog() for kind in RecordKind}
        self.subscribers: dict[str, Subscriber] = {}
        self.cached_update: tuple[object, RelayUpdate] | None = None
        self.sent = 0

    def on_listed(self, kind: RecordKind, position: Position) -> None:
        """Publish a complete list of a kind's records."""
        self.logs[kind].restart(position)
        self.publish(kind)

    def on_changed(self, kind: RecordKind, position: Position, names: Iterable[str]) -> None:
        """Publish changed records."""
        self.logs[kind].add(position, names)
        self.publish(kind)

    def on_subscribe(self, message: Subscribe) -> None:
        """Renew a subscription and send the box the changes it lacks."""
        subscriber = self.subscribers.setdefault(message.sender, Subscriber())
        subscriber.heard_at = self.clock.monotonic()
        subscriber.positions = dict(message.positions)
        for kind in self.feeds:
            self.send_missing(message.sender, subscriber, kind)

    def is_subscribed(self, address: str, within_s: float) -> bool:
        """Tell whether a box has renewed its subscription within some seconds."""
        subscriber = self.subscribers.get(address)
        return subscriber is not None and self.clock.monotonic() - subscriber.heard_at < within_s

    def publish(self, kind: RecordKind) -> None:
        """Send a kind's changes to all subscribers, and drop subscriptions that have expired."""
        now = self.clock.monotonic()
        for address, subscriber in list(self.subscribers.items()):
            if now - subscriber.heard_at > SUBSCRIPTION_TTL_S:
                del self.subscribers[address]
            else:
                self.send_missing(address, subscriber, kind)

    def send_missing(self, address: str, subscriber: Subscriber, kind: RecordKind) -> None:
        """Send a subscriber the records of a kind that it lacks."""
        held = subscriber.positions.get(kind, NO_POSITION)
        position = self.feeds[kind].position
        if position is None or held >= position:
            return
        self.send(address, self.update(kind, held, position))
        self.sent += 1
        subscriber.positions[kind] = position

    def update(self, kind: RecordKind, held: Position, position: Position) -> RelayUpdate:
        """Return the update from one position to another, cached since many subscribers need it."""
        records = self.feeds[kind].records
        names = self.logs[kind].names_since(held)
        since = NO_POSITION if names is None else held
        key = (kind, since, position)
        if self.cached_update is not None and self.cached_update[0] == key:
            return self.cached_update[1]
        wanted = records if names is None else sorted(names)
        changes = [Change(name, records.get(name)) for name in wanted]
        found = RelayUpdate(
            sender=self.own_address,
            kind=kind,
            since=since,
            position=position,
            body=encode_changes(changes),
        )
        self.cached_update = (key, found)
        return found
