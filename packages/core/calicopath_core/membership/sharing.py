"""Share what one box observes with every box.

A box sends updates at once to the hubs, which are boxes that all others ping. The digests in pings
show which boxes lack updates, so boxes that lost a message, have just started or were partitioned
catch up with the next ping or two.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Generic, TypeVar

from calicopath_core.membership.messages import News

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import msgspec

    from calicopath_core.clock import Clock

REPEAT_S = 1.0
"""How long a box repeats its updates with each ping, as a message may be lost with a connection."""

MIN_FULL_SEND_INTERVAL_S = 0.4
"""Shortest interval between two full messages to one box: 300 boxes that lack 2 KB cost a hub 1.5
MB per second until they have it."""


Key = TypeVar('Key')
SomeNews = TypeVar('SomeNews', bound=News)


class NewsSharing(ABC, Generic[Key, SomeNews]):
    """Exchange updates that boxes hold by key.

    `hubs` returns the addresses of the boxes that get updates first. Where no boxes are pinged by
    all others, `forwards` makes each box pass on updates that are new to it.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        own_address: str,
        hubs: Callable[[], Iterable[str]],
        send: Callable[[str, msgspec.Struct], None],
        forwards: bool = False,
        repeat_s: float = REPEAT_S,
    ) -> None:
        self.repeat_s = repeat_s
        self.clock = clock
        self.own_address = own_address
        self.hubs = hubs
        self.send = send
        self.forwards = forwards
        self.repeat_until: dict[Key, float] = {}
        self.next_full_send_at: dict[str, float] = {}

    @abstractmethod
    def digest(self) -> str:
        """Return a digest that is equal on boxes that share the same updates."""

    @abstractmethod
    def holds(self, key: Key) -> bool:
        """Return whether there is still anything to share under a key."""

    @abstractmethod
    def news_for(self, keys: Iterable[Key]) -> SomeNews:
        """Return a message with the updates under some keys."""

    @abstractmethod
    def full_news(self, *, whole: bool) -> SomeNews:
        """Return a message with all shared updates; `whole` is set in it if requested."""

    @abstractmethod
    def merge(self, news: SomeNews) -> list[Key]:
        """Merge updates of another box; return the keys for which they were new."""

    @abstractmethod
    def knows_more_than(self, news: SomeNews) -> bool:
        """Return whether this box shares updates that a received message lacks."""

    def report(self, keys: Iterable[Key]) -> None:
        """Send updates to the hubs at once, and repeat them for `repeat_s` seconds."""
        until = self.clock.monotonic() + self.repeat_s
        for key in keys:
            self.repeat_until[key] = until
        self.notify_hubs()

    def notify_hubs(self) -> None:
        """Send the updates that are still being repeated to the hubs."""
        now = self.clock.monotonic()
        self.repeat_until = {
            key: at for key, at in self.repeat_until.items() if at > now and self.holds(key)
        }
        if not self.repeat_until:
            return
        news = self.news_for(self.repeat_until)
        for address in self.hubs():
            if address != self.own_address:
                self.send(address, news)

    def on_digest(self, address: str, digest: str) -> None:
        """Send all updates to a box that has pinged with a different digest."""
        if digest == self.digest():
            return
        now = self.clock.monotonic()
        self.next_full_send_at = {
            name: at for name, at in self.next_full_send_at.items() if at > now
        }
        if address in self.next_full_send_at:
            return
        self.next_full_send_at[address] = now + MIN_FULL_SEND_INTERVAL_S
        self.send_full_news(address)

    def send_full_news(self, address: str) -> None:
        """Send all shared updates."""
        self.send(address, self.full_news(whole=True))

    def on_news(self, news: SomeNews) -> None:
        """Merge a message; reply with all updates if it was full and lacks some of them."""
        keys = self.merge(news)
        if self.forwards and keys:
            self.report(keys)
        if news.whole and self.knows_more_than(news):
            self.send(news.sender, self.full_news(whole=False))
