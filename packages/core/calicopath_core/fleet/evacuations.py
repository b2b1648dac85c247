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


class ActiveEvacuation(NamedTuple):
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
        wall_clock: Callable[[], float],
        on_evacuation_started: Callable[[Evacuation], None],
        on_evacuation_ended: Callable[[ActiveEvacuation], None],
        on_changed: Callable[[frozenset[str]], None],
    ) -> None:
        self.wall_clock = wall_clock
        self.on_evacuation_started = on_evacuation_started
        self.on_evacuation_ended = on_evacuation_ended
        self.on_changed = on_changed
        self.active: dict[str, ActiveEvacuation] = {}

    def replace_all(self, evacuations: Iterable[Evacuation]) -> None:
        """Take in every evacuation there is."""
        listed = {item.zone: item for item in evacuations}
        changes = [(zone, None) for zone in self.active if zone not in listed]
        self.apply_changes([*changes, *listed.items()])

    def apply_changes(self, changes: Iterable[tuple[str, Evacuation | None]]) -> None:
        """Take in the newest state of some zones: taken out, or nothing if given back."""
        before = frozenset(self.active)
        for zone, evacuation in changes:
            if evacuation is None:
                self.end_evacuation(zone)
            else:
                self.start_evacuation(evacuation)
        after = frozenset(self.active)
        if after != before:
            self.on_changed(after)

    def start_evacuation(self, evacuation: Evacuation) -> None:
        """Hold a zone for taken out; one written anew keeps the time since which it is."""
        known = self.active.get(evacuation.zone)
        if known is not None:
            self.active[evacuation.zone] = known._replace(evacuation=evacuation)
            return
        self.active[evacuation.zone] = ActiveEvacuation(evacuation, self.wall_clock())
        self.on_evacuation_started(evacuation)

    def end_evacuation(self, zone: str) -> None:
        """Hold a zone for given back."""
        known = self.active.pop(zone, None)
        if known is not None:
            self.on_evacuation_ended(known)
