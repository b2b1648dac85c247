"""Split boxes and replicas into groups, one scheduler each, when a single scheduler is overloaded.

One view of the whole fleet schedules best: with two groups of 98 boxes, each seeing half of 11 to
21 stage replicas in six failure domains, twice as many bytes moved between domains and days with
faults earned 0.09 less. The fleet therefore is one group until the scheduler finds its own event
loop late for seconds, and gets one more group each time that happens again. Every heartbeat carries
the group count, and the newest count is in force. Groups consist of whole failure domains, so that
a job's inputs stay near; a group with too few replicas of a service calls those of other groups
too. Every box computes the groups by itself from the same lists. Where two boxes disagree for a
moment, two schedulers call the same replica, which only costs efficiency.
"""

from __future__ import annotations

import functools
import hashlib
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.limits.lag import LoopLag

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.replicas import Replica

OVERLOAD_LAG_S = 0.05
"""Average event loop lag of an overloaded scheduler. A job takes about ten decisions, so it loses
half a second of its objective."""

OVERLOAD_DURATION_S = 5.0
"""How long the lag must last before a split. A start of all boxes or a burst of returning callers
is over by then, and each change of groups hands work over."""

IDLE_LAG_S = 0.005
IDLE_DURATION_S = 60.0
"""Two groups are merged once the lag has stayed below `IDLE_LAG_S` for this long; the duration
doubles each time that the fleet had to be split again."""

MAX_GROUPS = 32
"""More than the failure domains at the design size (26); with more groups each lacks replicas."""

MIN_REPLICA_SHARE = 0.5
"""A group with less than this fraction of its even share of a service's replicas calls all of
them."""

HASH_CACHE_SIZE = 65536


class GroupCount(msgspec.Struct, frozen=True, array_like=True):
    """Hold the number of groups that the fleet is split into; a higher `epoch` is newer."""

    epoch: int = 0
    groups: int = 1

    def newer(self, other: GroupCount) -> GroupCount:
        """Return the newer of two counts, the larger one if their epochs are equal."""
        return max(self, other, key=lambda item: (item.epoch, item.groups))


class GroupPolicy:
    """Decide from the scheduler's own event loop lag when the fleet is split or merged."""

    def __init__(self, *, clock: Clock) -> None:
        self.lag = LoopLag(clock=clock)
        self.overloaded_since: float | None = None
        self.idle_since: float | None = None
        self.merge_count = 0

    def next_count(self, count: GroupCount, *, is_leader: bool, now: float) -> GroupCount:
        """Return the count that should be in force; only the leader merges groups."""
        self.overloaded_since = since(self.overloaded_since, self.lag.value_s > OVERLOAD_LAG_S, now)
        self.idle_since = since(self.idle_since, self.lag.value_s < IDLE_LAG_S, now)
        if (
            has_lasted(self.overloaded_since, OVERLOAD_DURATION_S, now)
            and count.groups < MAX_GROUPS
        ):
            self.reset()
            return GroupCount(count.epoch + 1, count.groups + 1)
        idle_duration_s = IDLE_DURATION_S * 2**self.merge_count
        if is_leader and count.groups > 1 and has_lasted(self.idle_since, idle_duration_s, now):
            self.reset()
            self.merge_count += 1
            return GroupCount(count.epoch + 1, count.groups - 1)
        return count

    def reset(self) -> None:
        """Discard the measurements, which belong to another split or another scheduler's term."""
        self.overloaded_since = self.idle_since = None
        self.lag.value_s = 0.0


def since(previous: float | None, holds: bool, now: float) -> float | None:
    """Return when a condition began to hold, `None` if it does not hold now."""
    if not holds:
        return None
    return now if previous is None else previous


def has_lasted(started_at: float | None, for_s: float, now: float) -> bool:
    """Tell whether a condition that began at `started_at` has held for `for_s` seconds."""
    return started_at is not None and now - started_at >= for_s


class FailureDomainGroups:
    """Assign boxes and replicas to groups by failure domain.

    With fewer groups than failure domains each group has whole domains; with more, a domain has
    several groups.
    """

    def __init__(self, *, failure_domains: Iterable[str], groups: int) -> None:
        self.groups = groups
        self.failure_domains = sorted(
            set(failure_domains), key=lambda failure_domain: rendezvous_hash(failure_domain, -1)
        )
        self.numbers = {
            failure_domain: number for number, failure_domain in enumerate(self.failure_domains)
        }

    def group_of(self, name: str, failure_domain: str) -> int:
        """Return the group of a name; a domain without boxes counts as the first one."""
        if self.groups == 1 or not self.failure_domains:
            return 0
        number = self.numbers.get(failure_domain, 0)
        groups = range(number % self.groups, self.groups, len(self.failure_domains))
        if number >= self.groups:
            groups = range(number % self.groups, number % self.groups + 1)
        return max(groups, key=functools.partial(rendezvous_hash, name))

    def replicas_of_group(self, replicas: Sequence[Replica], group: int) -> list[Replica]:
        """Return the replicas of a service that a group calls; all if its own are too few."""
        own = [item for item in replicas if self.group_of(item.id, item.failure_domain) == group]
        min_count = MIN_REPLICA_SHARE * len(replicas) / self.groups
        return own if len(own) >= min_count and own else list(replicas)


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def rendezvous_hash(name: str, group: int) -> bytes:
    """Return the weight of a name and a group, by which names rank groups and groups rank names."""
    return hashlib.blake2b(f'{group}/{name}'.encode(), digest_size=8).digest()
