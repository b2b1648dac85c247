"""Keep which failure domains operators have taken out: no new work goes to the replicas there.

Answers a failure domain that is about to be worked on, or that is suspect: what is at work there
ends, and nothing more is sent until the failure domain is given back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class Evacuation(NamedTuple):
    """Say that a failure domain is taken out; `revision` is the store's when it was written."""

    failure_domain: str
    revision: int


class ActiveEvacuation(NamedTuple):
    """Hold an evacuation and since when this box knows of it, in seconds since 1970."""

    evacuation: Evacuation
    since: float


class Evacuations:
    """Hold the failure domains that are taken out, as far as this box knows.

    `on_taken_out` and `on_given_back` learn of each change once; a name that is no failure domain's
    is held like any other and stops nothing.
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
        listed = {item.failure_domain: item for item in evacuations}
        changes = [
            (failure_domain, None) for failure_domain in self.active if failure_domain not in listed
        ]
        self.apply_changes([*changes, *listed.items()])

    def apply_changes(self, changes: Iterable[tuple[str, Evacuation | None]]) -> None:
        """Take in the newest state of some failure domains: taken out, or nothing if given back."""
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
        """Hold a failure domain for taken out; one written anew keeps its time."""
        known = self.active.get(evacuation.failure_domain)
        if known is not None:
            self.active[evacuation.failure_domain] = known._replace(evacuation=evacuation)
            return
        self.active[evacuation.failure_domain] = ActiveEvacuation(evacuation, self.wall_clock())
        self.on_evacuation_started(evacuation)

    def end_evacuation(self, failure_domain: str) -> None:
        """Hold a failure domain for given back."""
        known = self.active.pop(failure_domain, None)
        if known is not None:
            self.on_evacuation_ended(known)
