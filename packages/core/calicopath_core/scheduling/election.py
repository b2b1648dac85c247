"""Agree on which box schedules, by rank and by who is heard.

No box is set aside: the box first by rendezvous hash among those that are heard schedules. Two
boxes that both think so only cost efficiency, since a piece may be made again.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.scheduling.messages import Ping, Pong

CANDIDATES = 3
"""Boxes, first by rank, that every box pings: enough that one of them lives through two losses."""

PING_S = 0.2
SILENT_S = 0.7
"""A candidate not heard for this long is passed over: three pings lost, and some delay. Shorter
takes pauses for deaths, longer holds requests up behind a dead scheduler."""

NEW_GRACE_S = 0.5
"""How long a candidate never heard is waited for after it was listed."""


class BoxAddress(NamedTuple):
    """Name a box and the address on which its peers reach it."""

    name: str
    address: str
    zone: str


class Candidate:
    """Hold what was heard of one box; times are monotonic seconds."""

    def __init__(self, *, box: BoxAddress, listed_at: float) -> None:
        self.box = box
        self.listed_at = listed_at
        self.heard_at: float | None = None
        self.leaving = False

    def alive(self, now: float) -> bool:
        """Tell whether the box was heard lately, or is too new to tell."""
        if self.heard_at is None:
            return now - self.listed_at < NEW_GRACE_S
        return now - self.heard_at < SILENT_S


class Election:
    """Hold the boxes listed, in rank order, and choose the scheduler among those heard."""

    def __init__(self, *, own: BoxAddress) -> None:
        self.own = own
        self.candidates: dict[str, Candidate] = {}
        self.ranked: list[str] = [own.name]
        self.sequence = 0
        self.leaving = False

    def on_listed(self, boxes: Iterable[BoxAddress], now: float) -> None:
        """Take in the boxes of the platform's list; a new address is a new incarnation."""
        listed = {box.name: box for box in boxes if box.name != self.own.name}
        for name, box in listed.items():
            known = self.candidates.get(name)
            if known is None or known.box != box:
                self.candidates[name] = Candidate(box=box, listed_at=now)
        for name in list(self.candidates):
            if name not in listed:
                del self.candidates[name]
        self.ranked = sorted([*self.candidates, self.own.name], key=rank)

    def on_ping(self, ping: Ping, now: float) -> None:
        """Note a box that sees this one as a candidate."""
        self.heard(ping, now)

    def on_pong(self, pong: Pong, now: float) -> None:
        """Note a candidate's answer."""
        self.heard(pong, now)

    def heard(self, message: Ping | Pong, now: float) -> Candidate | None:
        """Note a sign of life."""
        candidate = self.candidates.get(message.box)
        if candidate is None:
            return None
        candidate.heard_at = now
        candidate.leaving = message.leaving
        return candidate

    def pinged(self, now: float) -> list[Candidate]:
        """Return the candidates to ping: the first by rank, and as many more as are silent."""
        found: list[Candidate] = []
        alive = 0
        for name in self.ranked:
            if name == self.own.name:
                alive += 1
            else:
                candidate = self.candidates[name]
                found.append(candidate)
                alive += candidate.alive(now)
            if alive >= CANDIDATES:
                break
        return found

    def scheduler(self, now: float) -> BoxAddress:
        """Return the box that schedules, as far as this box can tell; itself if it hears nobody."""
        for name in self.ranked:
            if name == self.own.name:
                if not self.leaving:
                    return self.own
                continue
            candidate = self.candidates[name]
            if candidate.alive(now) and not candidate.leaving:
                return candidate.box
        return self.own

    def boxes_sharing(self) -> int:
        """Return among how many boxes the fleet's budgets are split: all those listed.

        Boxes that are listed and dead make each share smaller, never the whole larger.
        """
        return len(self.ranked)


def rank(name: str) -> int:
    """Return the number by which boxes are ordered; the least schedules."""
    digest = hashlib.blake2b(f'scheduler/{name}'.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')
