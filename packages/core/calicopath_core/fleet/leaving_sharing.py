"""Have every box know which replicas have said that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from calicopath_core.membership.messages import News
from calicopath_core.membership.sharing import NewsSharing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.leaving import LeavingReplicas

MAX_REPORTS_PER_MESSAGE = 200
"""Words told in one message, the latest ones: 6 KB. A whole failure domain that leaves while the
store is away is more; what is left over each box hears from the replicas themselves."""


class LeavingReport(msgspec.Struct, frozen=True, array_like=True):
    """Tell that a life of a replica leaves, and how many seconds ago that was heard.

    `lost_address` is where another answers if the life is over.
    """

    replica: str
    started_ms: float
    age_s: float
    lost_address: str = ''


class LeavingNews(News, frozen=True, tag='lv'):
    """Tell a box of replicas that have said in answers that they leave."""

    reports: tuple[LeavingReport, ...] = msgspec.field(name='words')


class LeavingSharing(NewsSharing[str, LeavingNews]):
    """Exchange which replicas leave."""

    def __init__(
        self,
        *,
        clock: Clock,
        leaving: LeavingReplicas,
        own_address: str,
        hubs: Callable[[], Iterable[str]],
        send: Callable[[str, msgspec.Struct], None],
    ) -> None:
        super().__init__(clock=clock, own_address=own_address, hubs=hubs, send=send)
        self.leaving = leaving

    def digest(self) -> str:
        """Return what is alike at boxes that share the same words."""
        return self.leaving.digest()

    def holds(self, key: str) -> bool:
        """Tell whether a replica's word is kept."""
        return key in self.leaving.departures

    def news_for(self, keys: Iterable[str]) -> LeavingNews:
        """Return the words of some replicas."""
        return self.message(keys, whole=False)

    def full_news(self, *, whole: bool) -> LeavingNews:
        """Return all words that are shared."""
        return self.message(self.leaving.shared_replicas(), whole=whole)

    def message(self, names: Iterable[str], *, whole: bool) -> LeavingNews:
        """Return the latest words of some replicas."""
        now, held = self.clock.monotonic(), self.leaving.departures
        reports = [
            LeavingReport(
                name, held[name].started_ms, now - held[name].heard_at, held[name].lost_address
            )
            for name in names
        ]
        reports.sort(key=lambda report: report.age_s)
        return LeavingNews(
            sender=self.own_address, whole=whole, reports=tuple(reports[:MAX_REPORTS_PER_MESSAGE])
        )

    def merge(self, news: LeavingNews) -> list[str]:
        """Join another box's words; return which were news."""
        return [
            report.replica
            for report in news.reports
            if self.leaving.record(
                report.replica, report.started_ms, report.age_s, news.sender, report.lost_address
            )
        ]

    def knows_more_than(self, news: LeavingNews) -> bool:
        """Tell whether this box shares a word that is not in another's news."""
        told = {report.replica: report.lost_address for report in news.reports}
        held = self.leaving.departures
        return any(
            name not in told or (held[name].lost_address and not told[name])
            for name in self.leaving.shared_replicas()
        )


LEAVING_MESSAGES = (LeavingNews,)
