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
"""Identifiers that one connection carries before it is replaced; bounds its memory."""


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

    def choose(self, used: set[str]) -> bool:
        """Choose an identifier that a connection has not carried; return whether there is one."""
        free = [item for item in self.candidates if item not in used]
        if not free or len(used) >= MAX_IDENTIFIERS:
            return False
        self.chosen = free[0]
        used.add(self.chosen)
        return True

    @property
    def extra_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the header that has to be added to the request."""
        return () if self.is_sent else ((self.header, self.chosen),)

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether an answer belongs to the call."""
        found = head.get(self.header)
        return found == self.chosen if found else not self.echoes


class NoIdentity(CallIdentity):
    """Recognize the answer to a call that has no identifier: it repeats none."""

    def __init__(self, *, header: str) -> None:
        super().__init__(header=header, candidates=('',), is_sent=True)

    def choose(self, used: set[str]) -> bool:
        """Return `True`: the call carries nothing that could be repeated."""
        return True

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether an answer repeats no identifier."""
        return not head.get(self.header)
