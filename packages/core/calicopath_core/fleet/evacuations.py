"""Track the failure domains that operators evacuated: their replicas get no new work.

Operators evacuate a failure domain before maintenance or when they suspect a fault. Work in
progress there finishes, and no new work is sent until the evacuation ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class Evacuation(NamedTuple):
    """Describe an evacuated failure domain; `revision` is the store's revision of the record."""

    failure_domain: str
    revision: int


class ActiveEvacuation(NamedTuple):
    """Hold an evacuation and when this box learned of it, in seconds since 1970."""

    evacuation: Evacuation
    since: float


class Evacuations:
    """Hold the evacuated failure domains that this box knows of.

    `on_evacuation_started` and `on_evacuation_ended` are called once per change, `on_changed` with
    the names of all evacuated domains. A name that matches no failure domain is held like any other
    and has no effect.
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
        """Replace all evacuations by a complete list."""
        listed = {item.failure_domain: item for item in evacuations}
        changes = [
            (failure_domain, None) for failure_domain in self.active if failure_domain not in listed
        ]
        self.apply_changes([*changes, *listed.items()])

    def apply_changes(self, changes: Iterable[tuple[str, Evacuation | None]]) -> None:
        """Apply the newest state of some failure domains; `None` ends an evacuation."""
        before = frozenset(self.active)
        for failure_domain, evacuation in changes:
            if evacuation is None:
                self.end_evacuation(failure_domain)
            else:
                self.start_evacuation(evacuation)
        after = frozenset(self.active)
        if after != before:
            self.on_changed(after)

    def start_evacuation(self, evacuation: Evacuation) -> None:
        """Start an evacuation; a rewritten record of an active one keeps its start time."""
        known = self.active.get(evacuation.failure_domain)
        if known is not None:
            self.active[evacuation.failure_domain] = known._replace(evacuation=evacuation)
            return
        self.active[evacuation.failure_domain] = ActiveEvacuation(evacuation, self.wall_clock())
        self.on_evacuation_started(evacuation)

    def end_evacuation(self, failure_domain: str) -> None:
        """End an evacuation."""
        known = self.active.pop(failure_domain, None)
        if known is not None:
            self.on_evacuation_ended(known)
