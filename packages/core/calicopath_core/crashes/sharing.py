"""Share crash evidence among boxes."""

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
"""Requests in one message, 60 KB."""

INCOMPLETE_PREFIX = '?'
"""Starts the digest of a box that has not loaded the stored blocks, so that its digest differs from
those of complete boxes and they send it their evidence."""


class CrashSharing(NewsSharing[SuspectKey, CrashNews]):
    """Share the evidence of this box's ledger with other boxes.

    A box is `complete` once it has the stored blocks, read from the store or received from another
    complete box; in fleets without a stored copy, boxes start complete. `waiting_boxes` returns the
    addresses of boxes that wait for a complete sender.
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
        """Return a digest that is equal on boxes with equal shared evidence and completeness."""
        digest = self.ledger.digest()
        return digest if self.complete else INCOMPLETE_PREFIX + digest

    def holds(self, key: SuspectKey) -> bool:
        """Return whether there is still evidence on a request."""
        return key in self.ledger.suspects

    def news_for(self, keys: Iterable[SuspectKey]) -> CrashNews:
        """Return a message with the evidence on some requests."""
        evidence = [self.ledger.evidence_for(key) for key in keys]
        return CrashNews(
            sender=self.own_address, evidence=tuple(evidence[:MAX_EVIDENCE]), whole=False
        )

    def full_news(self, *, whole: bool) -> CrashNews:
        """Return a message with all shared evidence."""
        evidence = self.ledger.shared()[:MAX_EVIDENCE]
        return CrashNews(
            sender=self.own_address, evidence=evidence, whole=whole, complete=self.complete
        )

    def merge(self, news: CrashNews) -> list[SuspectKey]:
        """Merge another box's evidence; return the keys for which it was new."""
        changed = self.ledger.merge(news.evidence, news.sender)
        if news.whole and news.complete:
            # Only after the merge: this sends the merged evidence to the waiting boxes.
            self.on_complete()
        return changed

    def on_complete(self) -> None:
        """Mark this box as complete and send all evidence to the boxes that wait for it."""
        if self.complete:
            return
        self.complete = True
        for address in self.waiting_boxes():
            self.send_full_news(address)

    def knows_more_than(self, news: CrashNews) -> bool:
        """Return whether this box shares evidence that a received message lacks."""
        received = {(item.content, item.service): item for item in news.evidence}
        for item in self.ledger.shared():
            other = received.get((item.content, item.service))
            if other is None or item.crash_ages_s.keys() - other.crash_ages_s.keys():
                return True
            if item.survival_age_s is not None and other.survival_age_s is None:
                return True
        return False
