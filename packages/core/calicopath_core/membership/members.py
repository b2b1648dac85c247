"""Keep track of the other boxes: the platform's lagging list, and what is heard of them.

Nothing safe depends on this table. It only says to whom to talk and who acts as a relay.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from calicopath_core.membership.messages import MemberInfo

SILENT_AFTER_S = 8.0
"""A box not heard of for this long, by anybody, counts as failed."""

FORGET_AFTER_S = 60.0
RELAYS_PER_DOMAIN = 2
MAX_LOCAL_NEIGHBOURS = 24
MAX_REMOTE_NEIGHBOURS = 16
"""Boxes of the own and of other failure domains with which this box talks: few enough to keep
connections open, enough for the whole to hang together whoever fails."""


class Member:
    """Hold what is known of one box; `heard_at` is on the monotonic clock, in seconds.

    `rank` orders boxes for the relay's role; `distance` is the same from both ends of a pair and
    decides which boxes are neighbours.
    """

    def __init__(
        self, *, own_name: str, info: MemberInfo, heard_at: float | None, now: float
    ) -> None:
        self.rank = rank(info.name)
        self.distance = rank('|'.join(sorted((own_name, info.name))))
        self.info = info
        self.heard_at = heard_at
        self.known_since = now

    def is_live(self, now: float) -> bool:
        """Tell whether the box was heard of lately; a new one gets the benefit of the doubt."""
        last = self.known_since if self.heard_at is None else self.heard_at
        return now - last < SILENT_AFTER_S


class MemberTable:
    """Hold the boxes other than this one.

    `expects_others` stays on once another box was heard of, until the platform lists none: a box
    that hears nobody then knows that it is cut off, however long that lasts.
    """

    def __init__(self, *, own: MemberInfo) -> None:
        self.own = own
        self.members: dict[str, Member] = {}
        self.expects_others = False

    def on_listed(self, infos: Iterable[MemberInfo], now: float) -> None:
        """Take the platform's box list in: new boxes appear, and those gone are forgotten.

        The list lags, so a box that is heard of stays although it is not listed.
        """
        listed = {info.name: info for info in infos if info.name != self.own.name}
        if not listed:
            self.expects_others = False
        for name, info in listed.items():
            member = self.members.get(name)
            if member is None or (member.heard_at is None and member.info != info):
                self.members[name] = Member(
                    own_name=self.own.name, info=info, heard_at=None, now=now
                )
        for name in list(self.members):
            if name not in listed and not self.members[name].is_live(now):
                del self.members[name]

    def on_heard(self, info: MemberInfo, now: float, *, direct: bool) -> bool:
        """Note a sign of life and return whether it is newer than what is known.

        What a box says itself goes before what is told of it: a box restarted with a clock that
        is behind would otherwise look older than its former self.
        """
        if info.name == self.own.name:
            return False
        self.expects_others = True
        member = self.members.get(info.name)
        if member is None:
            self.members[info.name] = Member(
                own_name=self.own.name, info=info, heard_at=now, now=now
            )
            return True
        has_restarted = direct and info.started_ms != member.info.started_ms
        is_newer = (info.started_ms, info.heartbeat_number) > (
            member.info.started_ms,
            member.info.heartbeat_number,
        )
        if not is_newer and not has_restarted:
            return False
        member.info = info
        member.heard_at = now
        return True

    def live(self, now: float) -> list[Member]:
        """Return the boxes that are believed to be alive."""
        return [member for member in self.members.values() if member.is_live(now)]

    def heard_within(self, window_s: float, now: float) -> bool:
        """Tell whether any other box gave a sign of life lately."""
        return any(
            member.heard_at is not None and now - member.heard_at < window_s
            for member in self.members.values()
        )

    def forget_silent(self, now: float) -> None:
        """Drop boxes that have been silent for long."""
        for name, member in list(self.members.items()):
            last = member.known_since if member.heard_at is None else member.heard_at
            if now - last > FORGET_AFTER_S:
                del self.members[name]

    def sample(self, count: int, now: float, rng: random.Random) -> list[Member]:
        """Return a few live neighbours, most of them of the own failure domain."""
        local, remote = self.neighbours(now)
        remote_count = min(len(remote), max(1, count // 3, count - len(local)))
        local_count = min(len(local), count - remote_count)
        return rng.sample(local, local_count) + rng.sample(remote, remote_count)

    def neighbours(self, now: float) -> tuple[list[Member], list[Member]]:
        """Return the live boxes with which this one talks, of its own domain and of others."""
        local: list[Member] = []
        remote: list[Member] = []
        for member in self.live(now):
            is_local = member.info.failure_domain == self.own.failure_domain
            (local if is_local else remote).append(member)
        local.sort(key=lambda member: member.distance)
        remote.sort(key=lambda member: member.distance)
        return local[:MAX_LOCAL_NEIGHBOURS], remote[:MAX_REMOTE_NEIGHBOURS]

    def is_relay(self, now: float) -> bool:
        """Tell whether this box ranks among its failure domain's relays.

        Boxes may disagree for a while: then more or fewer of them watch the platform.
        """
        own_rank = rank(self.own.name)
        lower_ranked = sum(
            member.rank < own_rank
            for member in self.live(now)
            if member.info.failure_domain == self.own.failure_domain and not member.info.leaving
        )
        return lower_ranked < RELAYS_PER_DOMAIN


def rank(name: str) -> int:
    """Return the number by which boxes are ordered; the least ones relay."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), 'big')
