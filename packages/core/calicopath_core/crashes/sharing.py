"""Have every box know under which requests replicas have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.crashes.messages import CrashNews
from calicopath_core.crashes.suspects import SuspectKey
from calicopath_core.membership.sharing import NewsSharing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import msgspec

    from calicopath_core.clock import Clock
    from calicopath_core.crashes.ledger import CrashLedger

MAX_EVIDENCE = 500
"""Requests told of in one message: 60 KB."""

INCOMPLETE_PREFIX = '?'
"""Begins the digest of a box that does not know what is kept, so that those that do tell it."""


class CrashSharing(NewsSharing[SuspectKey, CrashNews]):
    """Exchange what ledgers hold.

    A box is `complete` once it knows what is kept in the store, by itself or from another box; all
    are where nothing is kept. The `listeners` are the addresses of those that wait for its word.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: CrashLedger,
        own_address: str,
        hubs: Callable[[], Iterable[str]],
        send: Callable[[str, msgspec.Struct], None],
        forwards: bool = False,
        complete: bool = True,
    ) -> None:
        super().__init__(
            clock=clock, own_address=own_address, hubs=hubs, send=send, forwards=forwards
        )
        self.ledger = ledger
        self.complete = complete
        self.waiting_boxes: Callable[[], Iterable[str]] = list

    def digest(self) -> str:
        """Return what is alike at boxes that share the same evidence."""
        digest = self.ledger.digest()
        return digest if self.complete else INCOMPLETE_PREFIX + digest

    def holds(self, key: SuspectKey) -> bool:
        """Tell whether a request is still suspect."""
        return key in self.ledger.suspects

    def news_for(self, keys: Iterable[SuspectKey]) -> CrashNews:
        """Return the evidence on some requests."""
        evidence = [self.ledger.evidence_for(key) for key in keys]
        return CrashNews(
            sender=self.own_address, evidence=tuple(evidence[:MAX_EVIDENCE]), whole=False
        )

    def full_news(self, *, whole: bool) -> CrashNews:
        """Return all evidence that is shared."""
        evidence = self.ledger.shared()[:MAX_EVIDENCE]
        return CrashNews(
            sender=self.own_address, evidence=evidence, whole=whole, complete=self.complete
        )

    def merge(self, news: CrashNews) -> list[SuspectKey]:
        """Join another box's evidence; return on which requests that was news."""
        changed = self.ledger.merge(news.evidence, news.sender)
        if news.whole and news.complete:
            # After the evidence is joined, which those that wait for this box's word are told.
            self.on_complete()
        return changed

    def on_complete(self) -> None:
        """Note that this box knows what is kept, and tell those that wait for it."""
        if self.complete:
            return
        self.complete = True
        for address in self.waiting_boxes():
            self.send_full_news(address)

    def knows_more_than(self, news: CrashNews) -> bool:
        """Tell whether this box shares something that is not in another's news."""
        received = {(item.content, item.service): item for item in news.evidence}
        for item in self.ledger.shared():
            other = received.get((item.content, item.service))
            if other is None or item.crash_ages_s.keys() - other.crash_ages_s.keys():
                return True
            if item.survival_age_s is not None and other.survival_age_s is None:
                return True
        return False
