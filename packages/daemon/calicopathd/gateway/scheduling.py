"""Report to operators what a box does as scheduler: who waits, and who is rejected and why.

Nothing here changes the scheduler's state. The cost depends on the number of classes, services and
workspaces, not on the number of waiting jobs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from calicopath_core.scheduling.shedding import BUSY_REASON

if TYPE_CHECKING:
    from aioprometheus.collectors import Counter

    from calicopath_core.scheduling.scheduler import Scheduler
    from calicopath_core.scheduling.shares import ShareMonitor
    from calicopathd.gateway.box import GatewayBox
    from calicopathd.gateway.metrics import GatewayMetrics


class WaitingJobs(msgspec.Struct, frozen=True):
    """Count the jobs of one rank that have no engine; `late` ones miss their objective.

    `priority` is the one that the scheduler uses, which may be more urgent than the route's.
    `resumed` jobs were on an engine that failed, and go first.
    """

    priority: int
    over_allowance: bool
    resumed: bool
    in_time: int
    late: int


class WaitingPieces(msgspec.Struct, frozen=True):
    """Count the pieces of a service that are in no call.

    `in_time` belong to jobs in time, `started` to jobs with calls or results, late ones included.
    `ready` have their inputs and can be called, late ones included.
    """

    service: str
    in_time: int
    started: int
    ready: int


class Rejections(msgspec.Struct, frozen=True):
    """Count the rejections for one reason since the box started."""

    reason: str
    count: int


class WorkspaceShare(msgspec.Struct, frozen=True):
    """Describe what a workspace asks and may ask, in seconds of stage work per second.

    `over` says that its requests exceed its share now and wait behind the others.
    """

    workspace: str
    usual: float
    recent: float
    allowed: float
    over: bool


class SchedulingState(msgspec.Struct, frozen=True):
    """Describe the scheduling of a box; `scheduler` is the address of the one that it uses.

    A box that does not schedule has no `shares`. It has waiting jobs while it hands them over.
    Jobs and pieces are as of the scheduler's last decision.
    """

    box: str
    scheduling: bool
    scheduler: str
    figures: dict[str, float]
    jobs: list[WaitingJobs]
    pieces: list[WaitingPieces]
    rejections: list[Rejections]
    shares: list[WorkspaceShare]


def scheduling_state(box: GatewayBox, metrics: GatewayMetrics) -> SchedulingState:
    """Return what a box does as scheduler."""
    is_scheduling = box.client.scheduler_address == box.own.address
    now = box.clock.monotonic()
    return SchedulingState(
        box=box.own.name,
        scheduling=is_scheduling,
        scheduler=box.client.scheduler_address,
        figures=scheduling_figures(box, metrics),
        jobs=waiting_jobs(box.scheduler),
        pieces=waiting_pieces(box.scheduler),
        rejections=rejections_by_reason(metrics),
        shares=workspace_shares(box.scheduler.shares, now) if is_scheduling else [],
    )


def scheduling_figures(box: GatewayBox, metrics: GatewayMetrics) -> dict[str, float]:
    """Return single figures; `calicopath scheduler` shows each in a column of this name.

    `unanswered` counts the requests that this box refused since it started, because its scheduler
    did not answer, `reservations` the callers who were told when to return and have not come yet.
    """
    return {
        'decision_lag_ms': round(box.inbox.lag_s() * 1000),
        'undecided': len(box.inbox.queue),
        'jobs': len(box.scheduler.jobs),
        'to_hand_over': box.scheduler.succession.waiting,
        'unanswered': total(metrics.jobs_unanswered),
        'reservations': box.scheduler.returning.reservations.count,
    }


def waiting_jobs(scheduler: Scheduler) -> list[WaitingJobs]:
    """Return the jobs without an engine by rank, the most urgent first."""
    found = []
    for job_class, counts in scheduler.backlog.classes.items():
        in_time = sum(counts.jobs.values())
        found.append(
            WaitingJobs(
                priority=job_class.effective_priority,
                over_allowance=job_class.is_over_allowance,
                resumed=job_class.resumed,
                in_time=in_time,
                late=counts.members - in_time,
            )
        )
    return sorted(found, key=lambda item: (not item.resumed, item.over_allowance, item.priority))


def waiting_pieces(scheduler: Scheduler) -> list[WaitingPieces]:
    """Return the pieces in no call by service."""
    classes = scheduler.backlog.classes.values()
    return [
        WaitingPieces(
            service=service,
            in_time=sum(counts.pieces.get(service, 0) for counts in classes),
            started=sum(counts.started_pieces.get(service, 0) for counts in classes),
            ready=len(queue.waiting),
        )
        for service, queue in sorted(scheduler.stages.queues.items())
    ]


def rejections_by_reason(metrics: GatewayMetrics) -> list[Rejections]:
    """Return the rejections by this box as scheduler, the most frequent reason first."""
    counts = {labels['reason']: count for labels, count in values(metrics.jobs_rejected)}
    if shed := total(metrics.jobs_shed):
        counts[BUSY_REASON] = counts.get(BUSY_REASON, 0) + shed
    found = [Rejections(reason, count) for reason, count in counts.items()]
    return sorted(found, key=lambda item: (-item.count, item.reason))


def total(counter: Counter) -> int:
    """Return the sum of a counter over all labels."""
    return sum(count for _, count in values(counter))


def values(counter: Counter) -> list[tuple[dict[str, str], int]]:
    """Return the labels and values of a counter."""
    found: list[tuple[Any, Any]] = counter.get_all()
    return [(labels, int(count)) for labels, count in found]


def workspace_shares(shares: ShareMonitor, now: float) -> list[WorkspaceShare]:
    """Return the share of each workspace, those with the highest recent rate first."""
    found = []
    for usual in shares.rule.usual_rates(now):
        share = shares.rule.share_of(usual.workspace, now)
        found.append(
            WorkspaceShare(
                workspace=usual.workspace,
                usual=usual.rate,
                recent=share.used,
                allowed=share.allowed,
                over=usual.workspace in shares.over,
            )
        )
    return sorted(found, key=lambda item: (-item.recent, item.workspace))
