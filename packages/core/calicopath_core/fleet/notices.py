"""Hold what replicas have told this box of themselves in the heads of their answers.

It is the earliest word of a replica that leaves, and the only one while the store is away.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.replicas import Replica


class Notice(NamedTuple):
    """Say what the head of an answer tells of its replica.

    One that is `leaving` wants no new work from anybody; `backoff_s` is for how many seconds it
    wants nothing from the box that it answered, 0 if it asks for none.
    """

    leaving: bool = False
    backoff_s: float = 0.0


NOTHING_TOLD = Notice()


class ReplicaListener(ABC):
    """Learn of each call to a replica, and of what its answer tells; adapters tell of all calls."""

    @abstractmethod
    def on_call(self, replica: Replica) -> None:
        """Note that a call is sent to a replica."""

    @abstractmethod
    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Note what a replica's answer tells, as soon as its head has come."""


class Deaf(ReplicaListener):
    """Listen to nothing."""

    def on_call(self, replica: Replica) -> None:
        """Note nothing."""

    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Note nothing."""


class NoticeObserver(ABC):
    """Learn of what replicas have told."""

    @abstractmethod
    def on_leaving(self, replica: Replica) -> None:
        """Note the first answer in which a replica says that it leaves."""

    @abstractmethod
    def on_backoff(self, replica: Replica, backoff_s: float) -> None:
        """Note a replica that wants nothing from this box for a while."""

    @abstractmethod
    def on_call_against(self, replica: Replica, notice: str, since_s: float) -> None:
        """Note a call that a replica had asked not to get, and how long before."""


class Backoff(NamedTuple):
    """Hold since when and until when a replica wants nothing, in monotonic seconds."""

    since: float
    until: float


class ReplicaNotices(ReplicaListener):
    """Hold by replica what was told, as long as the replica is `known`."""

    def __init__(
        self, *, clock: Clock, known: Callable[[], Container[str]], observer: NoticeObserver
    ) -> None:
        self.clock = clock
        self.known = known
        self.observer = observer
        self.leaving: dict[str, float] = {}
        self.backoffs: dict[str, Backoff] = {}

    def on_call(self, replica: Replica) -> None:
        """Tell of a call that goes against what its replica has said."""
        now = self.clock.monotonic()
        said_at = self.leaving.get(replica.id)
        if said_at is not None:
            self.observer.on_call_against(replica, 'leaving', now - said_at)
        backoff = self.backoffs.get(replica.id)
        if backoff is not None and now < backoff.until:
            self.observer.on_call_against(replica, 'backoff', now - backoff.since)

    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Keep what a replica's answer tells."""
        now = self.clock.monotonic()
        if notice.leaving and replica.id not in self.leaving:
            self.leaving[replica.id] = now
            self.observer.on_leaving(replica)
        if notice.backoff_s > 0:
            self.note_backoff(replica, now, now + notice.backoff_s)

    def note_backoff(self, replica: Replica, now: float, until: float) -> None:
        """Keep until when a replica wants nothing; the longest wish holds."""
        held = self.backoffs.get(replica.id)
        if held is None or held.until <= now:
            self.backoffs[replica.id] = Backoff(now, until)
            self.observer.on_backoff(replica, until - now)
        elif until > held.until:
            self.backoffs[replica.id] = held._replace(until=until)

    def forget_gone(self) -> None:
        """Forget replicas that are gone, and wishes whose time is over."""
        known, now = self.known(), self.clock.monotonic()
        self.leaving = {name: at for name, at in self.leaving.items() if name in known}
        self.backoffs = {
            name: item for name, item in self.backoffs.items() if name in known and item.until > now
        }
