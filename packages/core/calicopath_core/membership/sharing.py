"""Have every box know what one has seen, as long as it matters.

A box tells the hubs, boxes that all others ping, at once; the digests in pings show who lacks what,
so that a lost message, a box that starts and a box that was cut off are healed by the next ping or
two.
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
"""How long own news are repeated with each ping: a message may be lost with its connection."""

MIN_FULL_SEND_INTERVAL_S = 0.4
"""How often one box is sent everything at most: 300 boxes that lack 2 KB cost a hub 1.5 MB a second
while they lack it, and nothing at other times."""


Key = TypeVar('Key')
SomeNews = TypeVar('SomeNews', bound=News)


class NewsSharing(ABC, Generic[Key, SomeNews]):
    """Exchange what boxes hold by keys; `hubs` are the addresses of those that hear of it first.

    Where there are no boxes that all others ping, each `forwards` what is news to it.
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
        """Return what is alike at boxes that share the same."""

    @abstractmethod
    def holds(self, key: Key) -> bool:
        """Tell whether something is still known of a key."""

    @abstractmethod
    def news_for(self, keys: Iterable[Key]) -> SomeNews:
        """Return a message with what is known of some keys."""

    @abstractmethod
    def full_news(self, *, whole: bool) -> SomeNews:
        """Return a message with all that is shared."""

    @abstractmethod
    def merge(self, news: SomeNews) -> list[Key]:
        """Join what another box has told; return of which keys that was news."""

    @abstractmethod
    def knows_more_than(self, news: SomeNews) -> bool:
        """Tell whether this box shares something that is not in another's news."""

    def report(self, keys: Iterable[Key]) -> None:
        """Tell the hubs at once, and repeat it for a while."""
        until = self.clock.monotonic() + self.repeat_s
        for key in keys:
            self.repeat_until[key] = until
        self.notify_hubs()

    def notify_hubs(self) -> None:
        """Tell the hubs what is new here."""
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
        """Send a box that has pinged what it lacks, if it knows something else."""
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
        """Send all that is shared."""
        self.send(address, self.full_news(whole=True))

    def on_news(self, news: SomeNews) -> None:
        """Join what another box has told; answer one that told everything and lacks something."""
        keys = self.merge(news)
        if self.forwards and keys:
            self.report(keys)
        if news.whole and self.knows_more_than(news):
            self.send(news.sender, self.full_news(whole=False))
