"""Define what replicas report about themselves in answer heads, and the interfaces that use it.

A notice is the earliest sign that a replica is leaving, and the only one during a store outage.
"""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.backends.base import NotStarted

if TYPE_CHECKING:
    from calicopath_core.fleet.replicas import Replica


class Notice(NamedTuple):
    """Describe what the head of an answer reports about its replica.

    A replica that is `leaving` accepts no new work from any box. `backoff_s` is for how many
    seconds it wants no calls from the box that it answered, 0 for no backoff. `limit_per_s` is the
    request rate that it accepts from all boxes together, `None` for no limit. `executed` is false
    if the replica rejected the call. `from_other_replica` says that another replica answered at its
    address, so its incarnation is over. A replica that turns away more than `brittle_per_s`
    requests in a second for want of room falls over; `None` if it does not say so.
    """

    leaving: bool = False
    backoff_s: float = 0.0
    limit_per_s: float | None = None
    executed: bool = True
    from_other_replica: bool = False
    brittle_per_s: float | None = None


EMPTY_NOTICE = Notice()


class Exclusion(enum.Enum):
    """Name the reasons why a replica must not be called, even if no other replica is left.

    Slow, failing or remote replicas are not excluded: they are only avoided while others are
    available.
    """

    GONE = 'gone'
    DRAINING = 'draining'
    EVACUATED = 'taken-out'
    LEAVING = 'leaving'
    BACKOFF = 'backoff'
    LIMIT = 'limit'
    OTHER_VERSION = 'other-version'


class ReplicaExcluded(NotStarted):
    """Report that a call was not sent because its replica is excluded."""

    def __init__(self, replica: Replica, exclusion: Exclusion) -> None:
        super().__init__(f'replica {replica.id} must not be called: {exclusion.value}')
        self.replica = replica
        self.exclusion = exclusion


class CallInterceptor(ABC):
    """Check each call before it is sent, and receive the notice of each answer."""

    @abstractmethod
    def check_call(self, replica: Replica, *, new_work: bool) -> None:
        """Raise `ReplicaExcluded` if a call must not be sent; called just before its first byte."""

    @abstractmethod
    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Handle a replica's notice as soon as the head of its answer has arrived."""


class NoInterceptor(CallInterceptor):
    """Allow every call and ignore all notices."""

    def check_call(self, replica: Replica, *, new_work: bool) -> None:
        """Allow the call."""

    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Ignore the notice."""


class NoticeObserver(ABC):
    """Observe what replicas report and what follows from it."""

    @abstractmethod
    def on_leaving(self, replica: str, source: str) -> None:
        """Record that a replica is leaving; `source` is `own` or the box that reported it."""

    @abstractmethod
    def on_replaced(self, replica: str, source: str) -> None:
        """Record that another replica answers at a replica's address."""

    @abstractmethod
    def on_backoff(self, replica: Replica, backoff_s: float) -> None:
        """Record a replica that wants no calls from this box for a while."""

    @abstractmethod
    def on_backoff_ended(self, replica: str, held_s: float, rejected_calls: int) -> None:
        """Record that a backoff has ended, and how many calls the replica rejected."""

    @abstractmethod
    def on_limit(self, replica: str, service: str, per_s: float, source: str) -> None:
        """Record a replica's limit in requests per second; `source` is `own` or a box."""

    @abstractmethod
    def on_limit_ended(self, replica: str, held_s: float, sent: int, source: str) -> None:
        """Record the end of a limit, and how many calls this box sent while it was in force."""

    @abstractmethod
    def on_held_back(self, replica: Replica, exclusion: Exclusion) -> None:
        """Record a call that was not sent because its replica is excluded."""
