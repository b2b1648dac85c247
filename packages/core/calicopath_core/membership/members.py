"""Track the other boxes from the platform's box list, which lags, and from heartbeats.

No safety property depends on this table. It only decides which boxes to send messages to and which
boxes act as relays.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from calicopath_core.membership.messages import MemberInfo

SILENT_AFTER_S = 8.0
"""A box counts as failed if no box has received a heartbeat from it for this long."""

FORGET_AFTER_S = 60.0
RELAYS_PER_DOMAIN = 2
MAX_LOCAL_NEIGHBOURS = 24
MAX_REMOTE_NEIGHBOURS = 16
"""Boxes in the same and in other failure domains with which this box exchanges messages: few enough
to keep connections open, enough for the gossip network to stay connected when boxes fail."""


class Member:
    """Hold the state of one box.

    `heard_at` is the time of the newest heartbeat in monotonic seconds, `None` if there was none.
    `rank` orders boxes for the relay role. `distance` is equal for both boxes of a pair and decides
    which boxes are neighbours.
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
        """Return whether a heartbeat arrived recently; without one, the time of listing counts."""
        last = self.known_since if self.heard_at is None else self.heard_at
        return now - last < SILENT_AFTER_S


class MemberTable:
    """Hold the boxes other than this one.

    `expects_others` is set by the first heartbeat of another box and cleared when the platform
    lists no other box. While it is set, a box that receives no heartbeats knows that it is cut off
    from the others, also after their entries were dropped.
    """

    def __init__(self, *, own: MemberInfo) -> None:
        self.own = own
        self.members: dict[str, Member] = {}
        self.expects_others = False

    def on_listed(self, infos: Iterable[MemberInfo], now: float) -> None:
        """Apply the platform's box list: add new boxes and drop those no longer listed.

        The list lags, so a live box stays even if it is not listed.
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
        """Apply a heartbeat and return whether it was newer than the known state.

        `direct` is set if the box itself sent it. Then a changed start time is accepted even if it
        is lower: a box that restarts with a clock that is behind would otherwise look older than
        its previous incarnation.
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
        """Return the boxes that count as live."""
        return [member for member in self.members.values() if member.is_live(now)]

    def heard_within(self, window_s: float, now: float) -> bool:
        """Return whether any other box sent a heartbeat within the last `window_s` seconds."""
        return any(
            member.heard_at is not None and now - member.heard_at < window_s
            for member in self.members.values()
        )

    def forget_silent(self, now: float) -> None:
        """Drop boxes that have been silent for `FORGET_AFTER_S`."""
        for name, member in list(self.members.items()):
            last = member.known_since if member.heard_at is None else member.heard_at
            if now - last > FORGET_AFTER_S:
                del self.members[name]

    def sample(self, count: int, now: float, rng: random.Random) -> list[Member]:
        """Return up to `count` random live neighbours, most of them in the same failure domain."""
        local, remote = self.neighbours(now)
        remote_count = min(len(remote), max(1, count // 3, count - len(local)))
        local_count = min(len(local), count - remote_count)
        return rng.sample(local, local_count) + rng.sample(remote, remote_count)

    def neighbours(self, now: float) -> tuple[list[Member], list[Member]]:
        """Return the live neighbours in the same failure domain and in other ones."""
        local: list[Member] = []
        remote: list[Member] = []
        for member in self.live(now):
            is_local = member.info.failure_domain == self.own.failure_domain
            (local if is_local else remote).append(member)
        local.sort(key=lambda member: member.distance)
        remote.sort(key=lambda member: member.distance)
        return local[:MAX_LOCAL_NEIGHBOURS], remote[:MAX_REMOTE_NEIGHBOURS]

    def is_relay(self, now: float) -> bool:
        """Return whether this box ranks among the relays of its failure domain.

        Boxes may disagree for a while; then more or fewer of them watch the platform.
        """
        own_rank = rank(self.own.name)
        lower_ranked = sum(
            member.rank < own_rank
            for member in self.live(now)
            if member.info.failure_domain == self.own.failure_domain and not member.info.leaving
        )
        return lower_ranked < RELAYS_PER_DOMAIN


def rank(name: str) -> int:
    """Return a hash by which boxes are ordered; those with the lowest ranks are relays."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), 'big')
