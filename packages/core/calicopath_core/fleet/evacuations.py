"""Keep which zones operators have taken out: no new work goes to the replicas there.

Answers a zone that is about to be worked on, or that is suspect: what is at work there ends, and
nothing more is sent until the zone is given back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class Evacuation(NamedTuple):
    """Say that a zone is taken out; `revision` is the store's at which the record was written."""

    zone: str
    revision: int


class HeldEvacuation(NamedTuple):
    """Hold an evacuation and since when this box knows of it, in seconds since 1970."""

    evacuation: Evacuation
    since: float


class Evacuations:
    """Hold the zones that are taken out, as far as this box knows.

    `on_taken_out` and `on_given_back` learn of each change once; a name that is no zone's is held
    like any other and stops nothing.
    """

    def __init__(
        self,
        *,
        wall: Callable[[], float],
        on_taken_out: Callable[[Evacuation], None],
        on_given_back: Callable[[HeldEvacuation], None],
        on_changed: Callable[[frozenset[str]], None],
    ) -> None:
        self.wall = wall
        self.on_taken_out = on_taken_out
        self.on_given_back = on_given_back
        self.on_changed = on_changed
        self.held: dict[str, HeldEvacuation] = {}

    def replace(self, evacuations: Iterable[Evacuation]) -> None:
        """Take in every evacuation there is."""
        listed = {item.zone: item for item in evacuations}
        changes = [(zone, None) for zone in self.held if zone not in listed]
        self.change([*changes, *listed.items()])

    def change(self, changes: Iterable[tuple[str, Evacuation | None]]) -> None:
        """Take in the newest state of some zones: taken out, or nothing if given back."""
        before = frozenset(self.held)
        for zone, evacuation in changes:
            if evacuation is None:
                self.give_back(zone)
            else:
                self.take_out(evacuation)
        after = frozenset(self.held)
        if after != before:
            self.on_changed(after)

    def take_out(self, evacuation: Evacuation) -> None:
        """Hold a zone for taken out; one written anew keeps the time since which it is."""
        known = self.held.get(evacuation.zone)
        if known is not None:
            self.held[evacuation.zone] = known._replace(evacuation=evacuation)
            return
        self.held[evacuation.zone] = HeldEvacuation(evacuation, self.wall())
        self.on_taken_out(evacuation)

    def give_back(self, zone: str) -> None:
        """Hold a zone for given back."""
        known = self.held.pop(zone, None)
        if known is not None:
            self.on_given_back(known)
