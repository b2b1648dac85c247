"""Share between boxes which replicas advertise limits, and which no longer do."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from calicopath_core.membership.messages import News
from calicopath_core.membership.sharing import NewsSharing
from calicopath_core.permits.limits import LimitState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.permits.limits import AdvertisedLimits

MAX_REPORTS_PER_MESSAGE = 200
"""Maximum number of reports in one message, the latest ones: 8 KB."""

REPEAT_S = 0.3
"""How long own reports are repeated: many boxes hear the same at one time, and digests repair what
is lost."""


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Report the limit of one incarnation of a replica, and how many seconds ago it was heard."""

    replica: str
    started_ms: float
    per_s: float
    ended: bool
    age_s: float


class LimitNews(News, frozen=True, tag='lm'):
    """Report limits that replicas advertised in answers."""

    reports: tuple[LimitReport, ...] = msgspec.field(name='words')


class LimitSharing(NewsSharing[str, LimitNews]):
    """Exchange advertised limits with other boxes; `service_of` returns a replica's service."""

    def __init__(
        self,
        *,
        clock: Clock,
        limits: AdvertisedLimits,
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
        """Return a digest that is equal at boxes that know the same limits."""
        return self.limits.digest()

    def holds(self, key: str) -> bool:
        """Tell whether a replica's limit is held."""
        return key in self.limits.by_replica

    def news_for(self, keys: Iterable[str]) -> LimitNews:
        """Return a message with the limits of some replicas."""
        return self.message(keys, whole=False)

    def full_news(self, *, whole: bool) -> LimitNews:
        """Return a message with the limits of all replicas."""
        return self.message(self.limits.by_replica, whole=whole)

    def message(self, names: Iterable[str], *, whole: bool) -> LimitNews:
        """Return a message with the latest limits among some replicas."""
        now = self.clock.monotonic()
        items = [(name, self.limits.by_replica[name]) for name in names]
        reports = [LimitReport(name, *item.state, now - item.heard_at) for name, item in items]
        reports.sort(key=lambda report: report.age_s)
        return LimitNews(
            sender=self.own_address, whole=whole, reports=tuple(reports[:MAX_REPORTS_PER_MESSAGE])
        )

    def merge(self, news: LimitNews) -> list[str]:
        """Merge another box's reports; return the replicas whose limits were new."""
        return [report.replica for report in news.reports if self.merge_report(report, news.sender)]

    def merge_report(self, report: LimitReport, sender: str) -> bool:
        """Merge one report; return whether it was new."""
        state = LimitState(report.started_ms, report.per_s, report.ended)
        service = self.service_of(report.replica)
        return self.limits.merge(report.replica, service, state, report.age_s, sender)

    def knows_more_than(self, news: LimitNews) -> bool:
        """Tell whether this box knows of a limit that another box's message lacks."""
        reported = {report.replica for report in news.reports}
        held = self.limits.by_replica
        return any(not item.state.ended and name not in reported for name, item in held.items())


LIMIT_MESSAGES = (LimitNews,)
