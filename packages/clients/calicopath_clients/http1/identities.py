"""Tell the answer to a call from surplus answers to earlier calls on its connection.

A server may send a copy of an earlier answer in the place of the next one. An answer belongs to a
call only if it repeats an identifier that no earlier call on that connection has carried.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from calicopath_clients.http1.answers import ResponseHead

MAX_IDENTIFIERS = 512
"""Least number of identifiers that are remembered for one connection, the latest ones."""


class RecentNames:
    """Remember the latest names, at least `count` and fewer than twice as many."""

    def __init__(self, *, count: int) -> None:
        self.count = count
        self.newer: set[str] = set()
        self.older: set[str] = set()

    def __contains__(self, name: str) -> bool:
        return name in self.newer or name in self.older

    def add(self, name: str) -> None:
        """Add a name, and forget the older half once the newer one is full."""
        self.newer.add(name)
        if len(self.newer) >= self.count:
            self.older, self.newer = self.newer, set()


class CallIdentity:
    """Choose one of a call's possible identifiers, and recognize the answer to it.

    `header` names the header with which answers repeat the identifier. `is_sent` tells that the
    request has it already. A server that `echoes` has repeated identifiers before.
    """

    def __init__(
        self,
        *,
        header: str,
        candidates: Sequence[str],
        is_sent: bool = False,
        echoes: bool = True,
    ) -> None:
        self.header = header
        self.candidates = candidates
        self.is_sent = is_sent
        self.echoes = echoes
        self.chosen = candidates[0]

    def choose(self, used: RecentNames) -> bool:
        """Choose an identifier that a connection has not carried; return whether there is one."""
        for candidate in self.candidates:
            if candidate not in used:
                self.chosen = candidate
                used.add(candidate)
                return True
        return False

    @property
    def sent_header(self) -> tuple[str, str]:
        """Return the header that has to be added to the request unless it is sent already."""
        return (self.header, self.chosen)

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether an answer belongs to the call."""
        found = head.get(self.header)
        return found == self.chosen if found else not self.echoes


class NoIdentity(CallIdentity):
    """Recognize the answer to a call that has no identifier: it repeats none."""

    def __init__(self, *, header: str) -> None:
        super().__init__(header=header, candidates=('',), is_sent=True)

    def choose(self, used: RecentNames) -> bool:
        """Return `True`: the call carries nothing that could be repeated."""
        return True

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether an answer repeats no identifier."""
        return not head.get(self.header)
