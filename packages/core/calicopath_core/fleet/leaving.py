"""Hold which replicas have said in their answers that they leave, and whose lives are over.

The word is of one life of a replica: a later life ends it, an entry in the store that still says
`ready` does not, be it older or newer. A replica does not take it back. A life is over once another
replica answers at its address, which is given to no other before.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.notices import NoticeObserver
    from calicopath_core.fleet.replicas import Replica

KEEP_S = 600.0
"""How long the word of a replica is kept that has no entry: one that lapsed while the store was
away is written anew once the store is back."""

SHARE_S = 30.0
"""How long boxes tell each other of it: the store has the entry by then, or it is away for so long
that every box has heard."""

MAX_WORDS = 20_000
"""Words kept, 0.2 KB each: more than there are replicas at the size to design for (12,000)."""

OWN = 'own'
OVER_MARK = '!'
"""Sets a life that is over apart from one that leaves, in digests."""


class Word(NamedTuple):
    """Hold which life of a replica leaves, when this was heard (monotonic seconds), from whom.

    `lost_address` is the address at which another answers, empty for one that only leaves.
    """

    born: float
    at: float
    source: str
    lost_address: str = ''


class LeavingReplicas:
    """Hold words by replica; `on_news` is told that what may be called has changed."""

    def __init__(self, *, clock: Clock, observer: NoticeObserver) -> None:
        self.clock = clock
        self.observer = observer
        self.words: dict[str, Word] = {}
        self.listeners: list[Callable[[], None]] = []
        self.cached_digest: str | None = None

    def note(
        self,
        replica: str,
        born: float,
        age_s: float = 0.0,
        source: str = OWN,
        lost_address: str = '',
    ) -> bool:
        """Note that a life of a replica leaves, or is over; tell whether that is news."""
        word = Word(born, self.clock.monotonic() - age_s, source, lost_address)
        if not self.keep(replica, word):
            return False
        for listener in self.listeners:
            listener()
        return True

    def keep(self, replica: str, word: Word) -> bool:
        """Keep a word unless it is known; tell whether that is news."""
        known = self.words.get(replica)
        if known is not None and (known.born, bool(known.lost_address)) >= (
            word.born,
            bool(word.lost_address),
        ):
            return False
        if len(self.words) >= MAX_WORDS:
            self.forget(min(self.words, key=lambda name: self.words[name].at))
        self.words[replica] = word
        self.cached_digest = None
        tell = self.observer.on_over if word.lost_address else self.observer.on_leaving
        tell(replica, word.source)
        return True

    def holds(self, replica: Replica) -> bool:
        """Tell whether a replica, in the life that its entry tells of, has said that it leaves."""
        word = self.words.get(replica.id)
        return word is not None and not word.lost_address and replica.born <= word.born

    def has_ended(self, replica: Replica) -> bool:
        """Tell whether the life that a replica's entry tells of is over."""
        word = self.words.get(replica.id)
        if word is None or word.lost_address != replica.address:
            return False
        return replica.born <= word.born

    def expire(self, known: Container[str]) -> None:
        """Forget old words of replicas that are not known any more."""
        oldest = self.clock.monotonic() - KEEP_S
        old = [name for name, word in self.words.items() if word.at < oldest and name not in known]
        for name in old:
            self.forget(name)
        self.cached_digest = None

    def forget(self, replica: str) -> None:
        """Forget a word."""
        del self.words[replica]
        self.cached_digest = None

    def shared(self) -> list[str]:
        """Return the replicas of which boxes tell each other, in order."""
        since = self.clock.monotonic() - SHARE_S
        return sorted(name for name, word in self.words.items() if word.at >= since)

    def marked(self, replica: str) -> str:
        """Return what stands for a word in digests."""
        return replica + OVER_MARK if self.words[replica].lost_address else replica

    def digest(self) -> str:
        """Return what is alike at boxes that share the same; empty for nothing."""
        if self.cached_digest is None:
            self.cached_digest = digest_of(self.marked(name) for name in self.shared())
        return self.cached_digest


def digest_of(names: Iterable[str]) -> str:
    """Return a short digest of some names; empty for none."""
    text = ' '.join(names)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest() if text else ''
