"""Estimate how long a job still takes from each of its phases on, if no other work is queued."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from calicopath_core.scheduling.messages import PhaseWork
    from calicopath_core.scheduling.stages import StageQueue


def critical_paths(
    phases: Sequence[PhaseWork], queues: Mapping[str, StageQueue], first_event_s: float
) -> dict[int, float]:
    """Return for each phase the expected seconds from its call to the engine's first event.

    The engine takes `first_event_s` seconds after the last phase.
    """
    paths: dict[int, float] = {}
    for number in reversed(range(len(phases))):
        phase = phases[number]
        queue = queues.get(phase.service)
        own_s = queue.typical_call_s() if queue is not None and phase.pieces else 0.0
        readers = [
            paths.get(reader, 0.0) for reader, other in enumerate(phases) if number in other.needs
        ]
        paths[number] = own_s + max(readers, default=first_event_s)
    return paths
