"""Share between boxes which replicas announced that they leave."""

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
"""Maximum number of reports in one message, the latest ones: 6 KB. If a whole failure domain leaves
during a store outage there are more; boxes learn the rest from the replicas' own answers."""


class LeavingReport(msgspec.Struct, frozen=True, array_like=True):
    """Report that an incarnation of a replica leaves, and how many seconds ago this was heard.

    `lost_address` is where another replica answers if the incarnation is over.
    """

    replica: str
    started_ms: float
    age_s: float
    lost_address: str = ''


class LeavingNews(News, frozen=True, tag='lv'):
    """Report replicas that announced in answers that they leave."""

    reports: tuple[LeavingReport, ...] = msgspec.field(name='words')


class LeavingSharing(NewsSharing[str, LeavingNews]):
    """Exchange departures with other boxes."""

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
        """Return a digest that is equal at boxes that share the same departures."""
        return self.leaving.digest()

    def holds(self, key: str) -> bool:
        """Tell whether a replica's departure is held."""
        return key in self.leaving.departures

    def news_for(self, keys: Iterable[str]) -> LeavingNews:
        """Return a message with the departures of some replicas."""
        return self.message(keys, whole=False)

    def full_news(self, *, whole: bool) -> LeavingNews:
        """Return a message with all shared departures."""
        return self.message(self.leaving.shared_replicas(), whole=whole)

    def message(self, names: Iterable[str], *, whole: bool) -> LeavingNews:
        """Return a message with the latest departures among some replicas."""
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
        """Merge another box's reports; return the replicas whose departures were new."""
        return [
            report.replica
            for report in news.reports
            if self.leaving.record(
                report.replica, report.started_ms, report.age_s, news.sender, report.lost_address
            )
        ]

    def knows_more_than(self, news: LeavingNews) -> bool:
        """Tell whether this box shares a departure that another box's message lacks."""
        reported = {report.replica: report.lost_address for report in news.reports}
        held = self.leaving.departures
        return any(
            name not in reported or (held[name].lost_address and not reported[name])
            for name in self.leaving.shared_replicas()
        )


LEAVING_MESSAGES = (LeavingNews,)
