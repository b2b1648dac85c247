"""Define what replicas tell of themselves in the heads of their answers, and who listens.

It is the earliest word of a replica that leaves, and the only one while the store is away.
"""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.backends.base import NotStarted

if TYPE_CHECKING:
    from calicopath_core.fleet.replicas import Replica


class Notice(NamedTuple):
    """Say what the head of an answer tells of its replica.

    One that is `leaving` wants no new work from anybody; `backoff_s` is for how many seconds it
    wants nothing from the box that it answered, 0 if it asks for none. `limit_per_s` is how many
    requests a second it takes from all boxes together, nothing if it names no limit; `ran` is false
    for an answer that turns its call away. `is_other` says that another replica has answered at its
    address: its life is over.
    """

    leaving: bool = False
    backoff_s: float = 0.0
    limit_per_s: float | None = None
    executed: bool = True
    from_other_replica: bool = False


EMPTY_NOTICE = Notice()


class Exclusion(enum.Enum):
    """Say why a replica must not be called: an order, which holds even if nobody else is left.

    What is only slow, failing or far is passed over while there is another, and is no bar.
    """

    GONE = 'gone'
    DRAINING = 'draining'
    EVACUATED = 'taken-out'
    LEAVING = 'leaving'
    BACKOFF = 'backoff'
    LIMIT = 'limit'


class ReplicaExcluded(NotStarted):
    """Report that a call was not sent since its replica must not get it."""

    def __init__(self, replica: Replica, exclusion: Exclusion) -> None:
        super().__init__(f'{replica.id} must not be called: {exclusion.value}')
        self.exclusion = exclusion


class CallInterceptor(ABC):
    """Have the last word before each call to a replica, and learn what each answer tells."""

    @abstractmethod
    def check_call(self, replica: Replica, *, new_work: bool) -> None:
        """Raise `Barred` if a call must not be sent now; asked as its first byte is to go."""

    @abstractmethod
    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Note what a replica's answer tells, as soon as its head has come."""


class NoInterceptor(CallInterceptor):
    """Bar nothing and listen to nothing."""

    def check_call(self, replica: Replica, *, new_work: bool) -> None:
        """Let a call go."""

    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Note nothing."""


class NoticeObserver(ABC):
    """Learn of what replicas have told, and what follows from it."""

    @abstractmethod
    def on_leaving(self, replica: str, source: str) -> None:
        """Note that a replica says that it leaves; `source` is `own` or the box that told."""

    @abstractmethod
    def on_replaced(self, replica: str, source: str) -> None:
        """Note that another replica answers at a replica's address."""

    @abstractmethod
    def on_backoff(self, replica: Replica, backoff_s: float) -> None:
        """Note a replica that wants nothing from this box for a while."""

    @abstractmethod
    def on_backoff_ended(self, replica: str, held_s: float, rejected_calls: int) -> None:
        """Note that a replica may be called again, and how many calls it had turned away."""

    @abstractmethod
    def on_limit(self, replica: str, service: str, per_s: float, source: str) -> None:
        """Note the requests a second that a replica takes; `source` is `own` or a box."""

    @abstractmethod
    def on_limit_ended(self, replica: str, held_s: float, sent: int, source: str) -> None:
        """Note that a replica limits no more, and how many calls it got from this box meanwhile."""

    @abstractmethod
    def on_held_back(self, replica: Replica, exclusion: Exclusion) -> None:
        """Note a call that was chosen and not sent."""
