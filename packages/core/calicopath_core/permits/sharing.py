"""Have every box know which replicas have named limits, and which name none any more."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from calicopath_core.membership.messages import News
from calicopath_core.membership.sharing import NewsSharing
from calicopath_core.permits.limits import Heard

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.permits.limits import NamedLimits

MAX_WORDS_TOLD = 200
"""Words told in one message, the latest ones: 8 KB."""

REPEAT_S = 0.3
"""How long own words are repeated: many boxes hear the same in one moment, and digests heal what
is lost."""


class LimitWord(msgspec.Struct, frozen=True, array_like=True):
    """Tell what one life of a replica has named, and how many seconds ago that was heard."""

    replica: str
    born: float
    per_s: float
    ended: bool
    age_s: float


class LimitNews(News, frozen=True, tag='lm'):
    """Tell a box of limits that replicas have named in answers."""

    words: tuple[LimitWord, ...]


class LimitSharing(NewsSharing[str, LimitNews]):
    """Exchange which replicas limit what they take; `service_of` names a replica's service."""

    def __init__(
        self,
        *,
        clock: Clock,
        limits: NamedLimits,
        own_address: str,
        hubs: Callable[[], Iterable[str]],
        send: Callable[[str, msgspec.Struct], None],
        service_of: Callable[[str], str],
    ) -> None:
        super().__init__(
            clock=clock, own_address=own_address, hubs=hubs, send=send, repeat_s=REPEAT_S
        )
        self.limits = limits
        self.service_of = service_of

    def digest(self) -> str:
        """Return what is alike at boxes that know the same limits."""
        return self.limits.digest()

    def holds(self, key: str) -> bool:
        """Tell whether a replica's word is kept."""
        return key in self.limits.held

    def news_for(self, keys: Iterable[str]) -> LimitNews:
        """Return what is known of some replicas."""
        return self.message(keys, whole=False)

    def full_news(self, *, whole: bool) -> LimitNews:
        """Return what is known of every replica."""
        return self.message(self.limits.held, whole=whole)

    def message(self, names: Iterable[str], *, whole: bool) -> LimitNews:
        """Return the latest words of some replicas."""
        now = self.clock.monotonic()
        items = [(name, self.limits.held[name]) for name in names]
        words = [LimitWord(name, *item.heard, now - item.heard_at) for name, item in items]
        words.sort(key=lambda word: word.age_s)
        return LimitNews(sender=self.own_address, whole=whole, words=tuple(words[:MAX_WORDS_TOLD]))

    def merge(self, news: LimitNews) -> list[str]:
        """Join another box's words; return which were news."""
        return [word.replica for word in news.words if self.merge_word(word, news.sender)]

    def merge_word(self, word: LimitWord, sender: str) -> bool:
        """Join one word; tell whether it was news."""
        heard = Heard(word.born, word.per_s, word.ended)
        service = self.service_of(word.replica)
        return self.limits.merge(word.replica, service, heard, word.age_s, sender)

    def knows_more_than(self, news: LimitNews) -> bool:
        """Tell whether this box knows of a limit that is not in another's news."""
        told = {word.replica for word in news.words}
        held = self.limits.held
        return any(not item.heard.ended and name not in told for name, item in held.items())


LIMIT_MESSAGES = (LimitNews,)
