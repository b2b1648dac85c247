"""Build jobs, replicas and queues for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest import mock

from calicopath_core.fleet.deployment import StageSpec
from calicopath_core.fleet.replicas import Replica
from calicopath_core.scheduling.backlog import Backlog
from calicopath_core.scheduling.interfaces import SchedulerObserver
from calicopath_core.scheduling.jobs import Job, Piece, Result
from calicopath_core.scheduling.messages import PhaseWork, PlaceJob, Prompt, PromptPart
from calicopath_core.scheduling.stages import StageQueue

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.scheduling.pacing import Pacing

SPEC = StageSpec(
    concurrency=1,
    batch=4,
    call_s=0.2,
    piece_s=0.05,
    result_capacity_bytes=1_000_000,
    result_ttl_s=4.0,
)


def replica(name: str, failure_domain: str = 'a', service: str = 'look') -> Replica:
    return Replica(name, service, f'{name}:1', failure_domain, 1, False)


def prompt(*parts: tuple[str, int], out: int = 10) -> Prompt:
    """Return a prompt with parts given by name and length in tokens."""
    found = tuple(PromptPart(name, tokens) for name, tokens in parts)
    return Prompt('m', found, sum(part.tokens for part in found), out)


def phase(
    service: str = 'look', needs: tuple[int, ...] = (), size: int = 100, count: int = 1
) -> Any:
    return PhaseWork(service, needs, size, count)


def job(name: str, *phases: Any, now: float = 0.0, **changes: Any) -> Job:
    """Return a job with all its pieces; `changes` replace fields of its placement request."""
    fields: dict[str, Any] = {
        'job': name,
        'reply_to': 'b1:7',
        'failure_domain': 'a',
        'call_id': name,
        'piece_key': name,
        'priority': 0,
        'objective_s': 3.0,
        'deadline_s': 8.0,
        'service': 'engine',
        'phases': tuple(phases),
        'prompt': prompt((f'own-{name}', 100)),
    }
    found = Job(place=PlaceJob(**(fields | changes)), now=now)
    for number, work in enumerate(found.place.phases):
        found.pieces[number] = [
            Piece(job=found, phase=number, index=index) for index in range(work.pieces)
        ]
    return found


def result(
    handle: str, failure_domain: str = 'a', size: int = 100, created_at: float = 0.0
) -> Result:
    return Result(
        handle=handle,
        producer=f'maker-{failure_domain}',
        failure_domain=failure_domain,
        size=size,
        created_at=created_at,
    )


def backlog_of(jobs: Iterable[Job]) -> Backlog:
    """Return the backlog of some jobs."""
    found = Backlog(observer=mock.Mock(spec=SchedulerObserver))
    for item in jobs:
        found.add(item)
    return found


def held_by(
    pacing: Pacing, jobs: Iterable[Job], queues: Mapping[str, StageQueue], now: float = 0.0
) -> set[str]:
    """Return the names of the jobs that pacing holds back."""
    listed = list(jobs)
    held = pacing.held_classes(backlog_of(listed), queues, now)
    return {item.id for item in listed if item.held_by in held}


def queue(*replicas: Replica, spec: StageSpec = SPEC) -> StageQueue:
    """Return a queue for some replicas."""
    found = StageQueue(service='look', spec=spec)
    found.set_replicas(replicas)
    return found


def wait(target: StageQueue, owner: Job, number: int = 0, now: float = 0.0) -> None:
    """Add the pieces of a job's phase to a queue."""
    owner.started.add(number)
    for piece in owner.pieces[number]:
        target.add(piece, now)
