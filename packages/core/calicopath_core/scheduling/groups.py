"""Split boxes and replicas into groups, each with a scheduler of its own, when one can't bear all.

One view of the fleet is worth much: with two groups of 98 boxes, each seeing half of 11 to 21 stage
replicas in six failure domains, twice as many bytes moved between failure domains and days with
faults earned 0.09 less. So there is one group until the box that schedules finds its own event loop
late for seconds, and one more each time that happens again. How many there are is told with every
sign of life: the newest count is in force. Groups are made of whole failure domains, so that what a
job reads stays near; a group that has too little of a service calls replicas of the others too.
Every box works the groups out by itself from the same lists; where two disagree for a moment two
schedulers call the same replica, which costs efficiency only.
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
"""How late a scheduler's event loop is on average when it has too much to do: a job goes through
some ten decisions, so half a second of its objective is lost."""

OVERLOAD_DURATION_S = 5.0
"""How long it must have been so: a start of all boxes or a burst of returning callers is over by
then, and each change of groups hands work over."""

IDLE_LAG_S = 0.005
IDLE_DURATION_S = 60.0
"""How late at most, and for how long, before two groups are joined again; doubled each time that a
fleet had to be split again."""

MAX_GROUPS = 32
"""More than failure domains at the size designed for (26): beyond that groups lack replicas."""

MIN_REPLICA_SHARE = 0.5
"""A group with less than this part of its even share of a service's replicas calls all of them."""

HASH_CACHE_SIZE = 65536


class GroupCount(msgspec.Struct, frozen=True, array_like=True):
    """Say into how many groups the fleet is split; a higher `epoch` is newer."""

    epoch: int = 0
    groups: int = 1

    def newer(self, other: GroupCount) -> GroupCount:
        """Return the newer of two counts, the larger one of the same epoch."""
        return max(self, other, key=lambda item: (item.epoch, item.groups))


class GroupPolicy:
    """Decide from what a scheduler measures of itself when the fleet is split or joined."""

    def __init__(self, *, clock: Clock) -> None:
        self.lag = LoopLag(clock=clock)
        self.overloaded_since: float | None = None
        self.idle_since: float | None = None
        self.merge_count = 0

    def next_count(self, count: GroupCount, *, is_leader: bool, now: float) -> GroupCount:
        """Return what count should be in force; only the scheduler that `leads` joins groups."""
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
        """Forget what was measured: it belongs to another split, or to another's time."""
        self.overloaded_since = self.idle_since = None
        self.lag.value_s = 0.0


def since(previous: float | None, holds: bool, now: float) -> float | None:
    """Return from when on something holds, nothing if it does not."""
    if not holds:
        return None
    return now if previous is None else previous


def has_lasted(started_at: float | None, for_s: float, now: float) -> bool:
    """Tell whether something holds for so long."""
    return started_at is not None and now - started_at >= for_s


class FailureDomainGroups:
    """Say which group names in failure domains belong to.

    With fewer groups than failure domains each group has whole failure domains; with more, a
    failure domain has several groups.
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
        """Return a group; a failure domain that no box is in counts with the first."""
        if self.groups == 1 or not self.failure_domains:
            return 0
        number = self.numbers.get(failure_domain, 0)
        groups = range(number % self.groups, self.groups, len(self.failure_domains))
        if number >= self.groups:
            groups = range(number % self.groups, number % self.groups + 1)
        return max(groups, key=functools.partial(rendezvous_hash, name))

    def share_of(self, replicas: Sequence[Replica], group: int) -> list[Replica]:
        """Return those of a service's replicas that a group calls."""
        own = [item for item in replicas if self.group_of(item.id, item.failure_domain) == group]
        min_count = MIN_REPLICA_SHARE * len(replicas) / self.groups
        return own if len(own) >= min_count and own else list(replicas)


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def rendezvous_hash(name: str, group: int) -> bytes:
    """Return by what a name orders groups, and groups order names."""
    return hashlib.blake2b(f'{group}/{name}'.encode(), digest_size=8).digest()
