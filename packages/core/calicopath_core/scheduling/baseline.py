"""Implement the naive baseline: every box schedules for itself on any engine with a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.fleet.contact import STEADY
from calicopath_core.scheduling.election import Election
from calicopath_core.scheduling.engines import EngineChoice, EnginePool

if TYPE_CHECKING:
    import random

    from calicopath_core.fleet.contact import StoreContact
    from calicopath_core.scheduling.election import BoxAddress, Candidate
    from calicopath_core.scheduling.jobs import Job


class StandaloneElection(Election):
    """Elect this box, without regard to other boxes."""

    def candidates_to_ping(self, now: float) -> list[Candidate]:
        """Return no candidates."""
        return []

    def scheduler(
        self, now: float, own_contact: StoreContact = STEADY, *, has_configuration: bool = True
    ) -> BoxAddress:
        """Return this box."""
        return self.own


class RandomEnginePool(EnginePool):
    """Choose a random engine with a free slot, whatever its load."""

    def __init__(self, *, slots: int, kv_tokens: int, rng: random.Random) -> None:
        super().__init__(slots=slots, kv_tokens=kv_tokens)
        self.rng = rng

    def choose(self, job: Job, now: float) -> EngineChoice | None:
        """Return a random engine with a free slot, `None` if there is none."""
        usable = [item for item in self.engines_for(job) if len(item.runs) < self.slots]
        return EngineChoice(self.rng.choice(usable), 0.0) if usable else None
