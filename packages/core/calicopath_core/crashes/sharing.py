"""Have every box know under which requests replicas have ended.

A box tells those that judge for it at once; the digests in pings show who lacks what, so that a
lost message, a box that starts and a box that was cut off are healed by the next ping or two.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.crashes.messages import CrashNews

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import msgspec

    from calicopath_core.clock import Clock
    from calicopath_core.crashes.ledger import CrashLedger
    from calicopath_core.crashes.suspects import SuspectKey

REPEAT_S = 1.0
"""How long own news are repeated with each ping: a message may be lost with its connection."""

ANSWER_S = 0.4
"""How often one box is sent everything at most: 300 boxes that lack 2 KB cost a hub 1.5 MB a second
while twenty such requests come at once, and nothing at other times."""

MAX_EVIDENCE = 500
"""Requests told of in one message: 60 KB."""


class CrashSharing:
    """Exchange what ledgers hold; `hubs` are the addresses of the boxes that hear of it first.

    Where there are no boxes that all others ping, each `forwards` what is news to it.
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
    ) -> None:
        self.clock = clock
        self.ledger = ledger
        self.own_address = own_address
        self.hubs = hubs
        self.send = send
        self.forwards = forwards
        self.fresh: dict[SuspectKey, float] = {}
        self.answered: dict[str, float] = {}

    def report(self, keys: Iterable[SuspectKey]) -> None:
        """Tell the hubs at once, and repeat it for a while."""
        until = self.clock.monotonic() + REPEAT_S
        for key in keys:
            self.fresh[key] = until
        self.tell_hubs()

    def tell_hubs(self) -> None:
        """Tell the hubs what is new here."""
        now = self.clock.monotonic()
        held = self.ledger.suspects
        self.fresh = {key: at for key, at in self.fresh.items() if at > now and key in held}
        if not self.fresh:
            return
        evidence = [self.ledger.evidence_of(key) for key in self.fresh]
        news = CrashNews(
            sender=self.own_address, evidence=tuple(evidence[:MAX_EVIDENCE]), whole=False
        )
        for address in self.hubs():
            if address != self.own_address:
                self.send(address, news)

    def on_digest(self, address: str, digest: str) -> None:
        """Send a box that has pinged what it lacks, if it knows something else."""
        if digest == self.ledger.digest():
            return
        now = self.clock.monotonic()
        self.answered = {name: at for name, at in self.answered.items() if at > now}
        if address in self.answered:
            return
        self.answered[address] = now + ANSWER_S
        self.send_whole(address)

    def send_whole(self, address: str) -> None:
        """Send all that is shared."""
        evidence = self.ledger.shared()[:MAX_EVIDENCE]
        self.send(address, CrashNews(sender=self.own_address, evidence=evidence, whole=True))

    def on_news(self, news: CrashNews) -> None:
        """Join what another box has told; answer one that told everything and lacks something."""
        keys = self.ledger.merge(news.evidence, news.sender)
        if self.forwards and keys:
            self.report(keys)
        if news.whole and self.lacks(news):
            self.send(
                news.sender,
                CrashNews(
                    sender=self.own_address,
                    evidence=self.ledger.shared()[:MAX_EVIDENCE],
                    whole=False,
                ),
            )

    def lacks(self, news: CrashNews) -> bool:
        """Tell whether this box shares something that is not in another's news."""
        told = {(item.content, item.service): item for item in news.evidence}
        for item in self.ledger.shared():
            other = told.get((item.content, item.service))
            if other is None or item.ended_s.keys() - other.ended_s.keys():
                return True
            if item.survived_s is not None and other.survived_s is None:
                return True
        return False
