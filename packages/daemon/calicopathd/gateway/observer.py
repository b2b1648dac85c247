"""Log and count the events of a gateway box."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from calicopath_core.backends.base import SilentReplica
from calicopath_core.exchanges.context import ExchangeObserver, failure_kind
from calicopath_core.fleet.feed import FeedObserver
from calicopath_core.fleet.leaving import OWN
from calicopath_core.fleet.notices import NoticeObserver
from calicopath_core.fleet.pace import PaceObserver
from calicopath_core.permits.issuer import PermitObserver
from calicopath_core.scheduling.interfaces import SchedulerObserver
from calicopathd import events
from calicopathd.crashlog import CrashLog
from calicopathd.gateway.versionlog import VersionLog

if TYPE_CHECKING:
    from calicopath_clients.http1.bounds import ExceededBound
    from calicopath_core.backends.base import BackendError
    from calicopath_core.exchanges.context import ExchangeState, RefusedExchange
    from calicopath_core.exchanges.messages import Exchange
    from calicopath_core.fleet.evacuations import ActiveEvacuation, Evacuation
    from calicopath_core.fleet.notices import Exclusion
    from calicopath_core.fleet.positions import Position
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.fleet.store import RecordKind
    from calicopath_core.scheduling.jobs import Job, Piece
    from calicopath_core.scheduling.messages import Placed, PlaceJob
    from calicopath_core.scheduling.shares import WorkspaceShare
    from calicopathd.gateway.metrics import GatewayMetrics

log = structlog.get_logger(__name__)

MAX_LOGGED_PATH = 64
"""Longest part of a request's path in a log line."""


class GatewayObserver(
    VersionLog,
    ExchangeObserver,
    FeedObserver,
    NoticeObserver,
    PaceObserver,
    PermitObserver,
    SchedulerObserver,
    CrashLog,
):
    """Write a log line for each event and update the metrics."""

    def __init__(self, *, metrics: GatewayMetrics) -> None:
        super().__init__(counters=metrics)
        self.metrics = metrics

    def on_ended(self, state: ExchangeState, took_s: float) -> None:
        """Log and count an exchange that has ended; `took_s` is its duration."""
        received_at = state.exchange.received_at
        first_s = state.first_byte_at - received_at if state.first_byte_at is not None else None
        self.metrics.on_exchange(state.route.kind, state.outcome, took_s, first_s)
        if state.may_have_run and state.outcome != 'answered':
            ended_by = state.ended_by.value if state.ended_by is not None else ''
            self.metrics.answers_lost.inc({'kind': state.route.kind.value, 'by': ended_by})
        events.emit(
            log,
            events.EXCHANGE_ENDED,
            request=state.exchange.call_id,
            content=state.content,
            route=state.route.name,
            tenant=state.workspace,
            config=state.deployment.version,
            outcome=state.outcome,
            status=state.status,
            detail=state.detail,
            ended_by=state.ended_by,
            retry_refused=state.retry_refused,
            parts=state.shared_parts,
            replicas=state.tried_replicas,
            versions=state.tried_versions,
            last_event_id=state.exchange.last_event_id,
            resumes=state.exchange.resumed_call_id,
            first_ms=None if first_s is None else round(first_s * 1000),
            took_ms=round(took_s * 1000),
        )

    def on_refused(self, exchange: Exchange, refusal: RefusedExchange) -> None:
        """Log and count an exchange that was refused before a route was found."""
        self.metrics.on_exchange('none', 'refused', 0.0, None)
        events.emit(
            log,
            events.EXCHANGE_REFUSED,
            request=exchange.call_id,
            host=exchange.host,
            path=exchange.path,
            status=refusal.status,
            reason=refusal.reason,
        )

    def on_attempt_failed(
        self,
        state: ExchangeState,
        replica: str,
        error: Exception,
        left_s: float,
        *,
        replica_state: str,
        answered: bool = False,
    ) -> None:
        """Log and count an attempt that gave no complete response."""
        failure = failure_kind(error)
        self.metrics.attempts_failed.inc({'service': state.service, 'failure': failure})
        events.emit(
            log,
            events.ATTEMPT_FAILED,
            request=state.exchange.call_id,
            content=state.content,
            replica=replica,
            parts=state.shared_parts,
            failure=failure,
            answered=answered,
            begun=state.first_byte_at is not None,
            may_have_run=state.may_have_run,
            sends=state.sends,
            left_ms=round(left_s * 1000),
            late_ms=round(error.late_s * 1000) if isinstance(error, SilentReplica) else 0,
            replica_state=replica_state,
            error=str(error),
        )

    def on_permit(self, service: str, outcome: str) -> None:
        """Count a permit by its outcome."""
        self.metrics.permits.inc({'service': service, 'outcome': outcome})

    def on_permit_wait_ended(
        self, state: ExchangeState, replica: str, waited_s: float, available_in_s: float
    ) -> None:
        """Log the end of a wait for a permit; `replica` is empty if none was granted."""
        events.emit(
            log,
            events.PERMIT_AWAITED,
            request=state.exchange.call_id,
            service=state.service,
            replica=replica or None,
            waited_ms=round(waited_s * 1000),
            opens_in_ms=round(available_in_s * 1000),
        )

    def on_blocked_refused(self, state: ExchangeState) -> None:
        """Count a request that was refused because requests like it crash replicas."""
        self.metrics.blocked_refused.inc({'service': state.service})

    def on_leaving(self, replica: str, source: str) -> None:
        """Log and count a replica that announced that it leaves."""
        self.metrics.replicas_leaving.inc({'source': 'own' if source == OWN else 'peer'})
        events.emit(log, events.REPLICA_LEAVING, replica=replica, source=source)

    def on_replaced(self, replica: str, source: str) -> None:
        """Log and count a replica whose address now belongs to another replica."""
        self.metrics.replicas_replaced.inc({'source': 'own' if source == OWN else 'peer'})
        events.emit(log, events.REPLICA_REPLACED, replica=replica, source=source)

    def on_backoff(self, replica: Replica, backoff_s: float) -> None:
        """Log and count a replica that asked this box to back off."""
        self.metrics.backoffs.inc({'service': replica.service})
        events.emit(
            log,
            events.REPLICA_BACKOFF,
            replica=replica.id,
            service=replica.service,
            for_ms=round(backoff_s * 1000),
        )

    def on_backoff_ended(self, replica: str, held_s: float, rejected_calls: int) -> None:
        """Log the end of a backoff with its length and the calls rejected in it."""
        events.emit(
            log,
            events.BACKOFF_ENDED,
            replica=replica,
            held_ms=round(held_s * 1000),
            turned_away=rejected_calls,
        )

    def on_bad_notice(self, service: str) -> None:
        """Count a response whose backoff header can't be parsed."""
        self.metrics.bad_notices.inc({'service': service})

    def on_bad_load(self, service: str) -> None:
        """Count a load report with an invalid figure."""
        self.metrics.bad_load_reports.inc({'service': service})

    def on_replica_slow(self, replica_id: str, factor: float) -> None:
        """Log and count a replica that has become slower than others of its service."""
        self.metrics.replica_pace_changes.inc({'to': 'slow'})
        percent = round(factor * 100)
        events.emit(log, events.REPLICA_SLOW, replica=replica_id, pace_percent=percent)

    def on_replica_recovered(self, replica_id: str, slow_for_s: float) -> None:
        """Log and count a replica that is as fast as the others of its service again."""
        self.metrics.replica_pace_changes.inc({'to': 'usual'})
        slow_for_ms = round(slow_for_s * 1000)
        events.emit(log, events.REPLICA_RECOVERED, replica=replica_id, slow_for_ms=slow_for_ms)

    def on_limit(self, replica: str, service: str, per_s: float, source: str) -> None:
        """Log and count a limit that a replica advertised, in requests per second."""
        self.metrics.limits_advertised.inc({'service': service})
        events.emit(
            log,
            events.REPLICA_LIMIT,
            replica=replica,
            service=service,
            per_s=per_s,
            source=source,
        )

    def on_brittle(self, replica: Replica, per_s: float | None) -> None:
        """Log a replica that says how many rejections it bears, or no longer does (`None`)."""
        events.emit(
            log,
            events.REPLICA_BRITTLE if per_s is not None else events.BRITTLE_ENDED,
            replica=replica.id,
            service=replica.service,
            per_s=per_s,
        )

    def on_limit_ended(self, replica: str, held_s: float, sent: int, source: str) -> None:
        """Log the end of a replica's limit."""
        events.emit(
            log,
            events.LIMIT_ENDED,
            replica=replica,
            held_ms=round(held_s * 1000),
            sent=sent,
            source=source,
        )

    def on_held_back(self, replica: Replica, exclusion: Exclusion) -> None:
        """Count a call that was not sent, as its replica was excluded."""
        self.metrics.calls_held_back.inc({'service': replica.service, 'bar': exclusion.value})

    def on_replica_skipped(self, state: ExchangeState, replica: str, exclusion: Exclusion) -> None:
        """Log and count a replica that was chosen for a request but is excluded."""
        self.metrics.replicas_skipped.inc({'service': state.service, 'bar': exclusion.value})
        events.emit(
            log,
            events.REPLICA_SKIPPED,
            request=state.exchange.call_id,
            replica=replica,
            bar=exclusion.value,
        )

    def on_stage_call(
        self, service: str, replica: str, pieces: list[Piece], took_s: float, outcome: str
    ) -> None:
        """Log and count a stage call."""
        self.metrics.on_stage_call(service, len(pieces), took_s, outcome == 'ok')
        event = events.STAGE_CALLED if outcome == 'ok' else events.STAGE_FAILED
        events.emit(
            log,
            event,
            service=service,
            replica=replica,
            pieces=len(pieces),
            jobs=len({piece.job.id for piece in pieces}),
            took_ms=round(took_s * 1000),
            outcome=outcome,
        )

    def on_placed(self, job: Job, replica: Replica, cost_s: float, waited_s: float) -> None:
        """Log and count the placement of a job on an engine."""
        self.metrics.jobs_placed.inc({})
        events.emit(
            log,
            events.JOB_PLACED,
            request=job.place.call_id,
            job=job.id,
            replica=replica.id,
            zone=replica.failure_domain,
            result_zones=[item.failure_domain for item in job.final_results()],
            crossing_kb=job.cross_domain_bytes(job.final_results(), replica.failure_domain) // 1000,
            cost_ms=round(cost_s * 1000),
            staged_ms=round(waited_s * 1000),
            expected_ms=round(job.expected_stages_s * 1000),
            priority=job.place.priority,
            late=waited_s > job.objective_at - job.arrived_at,
        )

    def on_rejected(self, job: Job, reason: str, retry_after_s: float) -> None:
        """Log and count a job that was rejected by the scheduler."""
        self.metrics.jobs_rejected.inc({'reason': reason})
        events.emit(
            log,
            events.JOB_REJECTED,
            request=job.place.call_id,
            job=job.id,
            reason=reason,
            priority=job.place.priority,
            expected_ms=round(job.expected_stages_s * 1000),
            objective_ms=round(job.place.objective_s * 1000),
            retry_after_ms=round(retry_after_s * 1000),
        )

    def on_reservation_made(self, job: Job, return_in_s: float, expected_s: float) -> None:
        """Log and count a job that is refused and for which capacity is reserved."""
        self.metrics.reservations.inc({'state': 'made'})
        events.emit(
            log,
            events.RESERVATION_MADE,
            request=job.place.call_id,
            job=job.id,
            content=job.place.content,
            priority=job.place.priority,
            expected_ms=round(expected_s * 1000),
            objective_ms=round(job.place.objective_s * 1000),
            return_in_ms=round(return_in_s * 1000),
        )

    def on_reservation_used(self, job: Job, *, kept: bool) -> None:
        """Log and count a job whose caller returned as told, by whether it is in time."""
        self.metrics.reservations.inc({'state': 'kept' if kept else 'missed'})
        events.emit(
            log,
            events.RESERVATION_KEPT if kept else events.RESERVATION_MISSED,
            request=job.place.call_id,
            job=job.id,
            content=job.place.content,
            priority=job.place.priority,
        )

    def on_reservations_expired(self, count: int) -> None:
        """Log and count reservations whose callers did not return."""
        self.metrics.reservations.add({'state': 'expired'}, count)
        events.emit(log, events.RESERVATIONS_EXPIRED, reservations=count)

    def on_beyond_capacity(self, job: Job, expected_s: float) -> None:
        """Log and count a job that waits behind those that are in time."""
        self.metrics.jobs_beyond_capacity.inc({})
        events.emit(
            log,
            events.JOB_BEYOND_CAPACITY,
            request=job.place.call_id,
            job=job.id,
            priority=job.place.priority,
            expected_ms=round(expected_s * 1000),
            objective_ms=round(job.place.objective_s * 1000),
        )

    def on_handed_over(self, job: Job, successor: str, results: int) -> None:
        """Log that a job was handed over to the next scheduler."""
        events.emit(
            log,
            events.JOB_HANDED_OVER,
            request=job.place.call_id,
            job=job.id,
            scheduler=successor,
            results=results,
        )

    def on_hand_over_began(self, successor: str, begun: int, waiting: int) -> None:
        """Log that more jobs wait to be handed over than fit into one tick."""
        events.emit(
            log, events.HAND_OVER_BEGAN, scheduler=successor, jobs=waiting, with_results=begun
        )

    def on_overload_started(self, lag_s: float, waiting: int) -> None:
        """Log that this box, as scheduler, sheds requests."""
        events.emit(
            log, events.SCHEDULER_OVERLOADED, lag_ms=round(lag_s * 1000), jobs_undecided=waiting
        )

    def on_overload_ended(self, shed: int) -> None:
        """Log that this box, as scheduler, sheds no more requests."""
        events.emit(log, events.SCHEDULER_RECOVERED, jobs_shed=shed)

    def on_shed(self, place: PlaceJob, retry_after_s: float) -> None:
        """Count a shed request; its own box logs the refusal, and logging here costs time."""
        self.metrics.jobs_shed.inc({'priority': str(place.priority)})

    def on_unanswered(self, place: PlaceJob, scheduler: str, waited_s: float) -> None:
        """Log and count a request that is refused because its scheduler did not answer."""
        self.metrics.jobs_unanswered.inc({})
        events.emit(
            log,
            events.JOB_UNANSWERED,
            request=place.call_id,
            job=place.job,
            scheduler=scheduler,
            waited_ms=round(waited_s * 1000),
        )

    def on_unwanted(self, placed: Placed) -> None:
        """Log and count a placement for a request that is over."""
        self.metrics.placements_unwanted.inc({})
        events.emit(
            log,
            events.PLACEMENT_UNWANTED,
            job=placed.job,
            replica=placed.replica,
            scheduler=placed.scheduler,
        )

    def on_report_failed(self, replica: Replica, error: Exception) -> None:
        """Log that a replica did not report its free space."""
        events.emit(log, events.REPORT_FAILED, replica=replica.id, error=repr(error))

    def on_counts_rebuilt(self, structure: str, count: int) -> None:
        """Log that a structure of the scheduler was inconsistent and is rebuilt."""
        events.emit(log, events.COUNTS_REBUILT, structure=structure, items=count)

    def on_free_failed(self, address: str, count: int, error: BackendError) -> None:
        """Log that results at a replica could not be freed."""
        events.emit(log, events.FREE_FAILED, maker=address, results=count, error=str(error))

    def on_charged(self, is_over: bool) -> None:
        """Count a request charged to the share of its workspace."""
        self.metrics.requests_charged.inc({'share': 'over' if is_over else 'within'})

    def on_over_share(self, workspace: str, share: WorkspaceShare) -> None:
        """Log a workspace that exceeds its share, with figures in stage seconds per second."""
        events.emit(
            log,
            events.SHARE_EXCEEDED,
            tenant=workspace,
            used=round(share.used, 3),
            share=round(share.allowed, 3),
        )

    def on_within_share(self, workspace: str, lasted_s: float, requests: int) -> None:
        """Log a workspace that is within its share again, and its requests beyond the share."""
        events.emit(
            log,
            events.SHARE_KEPT,
            tenant=workspace,
            lasted_ms=round(lasted_s * 1000),
            requests=requests,
        )

    def on_shares_restored(self, sender: str, workspaces: int) -> None:
        """Log that the usual rates of workspaces came from the previous scheduler."""
        events.emit(log, events.SHARES_RESTORED, scheduler=sender, tenants=workspaces)

    def on_scheduler_changed(self, address: str, asked_again: int) -> None:
        """Log and count a change of the scheduler; `asked_again` jobs were sent to it again."""
        self.metrics.scheduler_changes.inc({})
        events.emit(log, events.SCHEDULER_CHANGED, scheduler=address, jobs_asked_again=asked_again)

    def on_group_changed(self, group: int, groups: int) -> None:
        """Log that this box belongs to another group."""
        events.emit(log, events.GROUP_CHANGED, group=group, groups=groups)

    def on_evacuation_started(self, evacuation: Evacuation) -> None:
        """Log that replicas of a failure domain get no new work from this box."""
        revision = evacuation.revision
        events.emit(
            log, events.FAILURE_DOMAIN_TAKEN_OUT, zone=evacuation.failure_domain, revision=revision
        )

    def on_evacuation_ended(self, active: ActiveEvacuation) -> None:
        """Log that replicas of a failure domain get new work again."""
        evacuation = active.evacuation
        events.emit(
            log,
            events.FAILURE_DOMAIN_RESTORED,
            zone=evacuation.failure_domain,
            revision=evacuation.revision,
            taken_out_since=active.since,
        )

    def on_relay_changed(self, relay: str | None) -> None:
        """Log the relay that this box follows now, `None` for the store itself."""
        events.emit(log, events.SOURCE_CHANGED, relay=relay)

    def on_registration_failed(self, error: Exception) -> None:
        """Log that the box's own record could not be written."""
        events.emit(log, events.REGISTER_FAILED, error=str(error))

    def on_relay_access_failed(self, error: Exception) -> None:
        """Log that the list of relays could not be read or written."""
        events.emit(log, events.RELAYS_UNAVAILABLE, error=str(error))

    def on_blocked_access_failed(self, error: Exception) -> None:
        """Log that blocked requests could not be read from the store or written to it."""
        events.emit(log, events.BLOCKED_REQUESTS_UNAVAILABLE, error=str(error))

    def on_store_call(self, cause: str) -> None:
        """Count a call to the store by its cause."""
        self.metrics.store_calls.inc({'cause': cause})

    def on_contact_lost(self, kind: RecordKind, error: Exception) -> None:
        """Log that the feed of a kind lost contact with the store."""
        events.emit(log, events.FEED_LOST, kind=kind.value, error=str(error))

    def on_contact_restored(self, kind: RecordKind, silent_s: float) -> None:
        """Log that the feed of a kind is in contact with the store again."""
        events.emit(log, events.FEED_BACK, kind=kind.value, silent_s=round(silent_s, 3))

    def on_history_lost(self, kind: RecordKind, held: Position) -> None:
        """Log that the store lost the history of a kind, so that it is listed again."""
        events.emit(log, events.HISTORY_LOST, kind=kind.value, held=str(held))

    def on_listing_dropped(self, kind: RecordKind, held: Position, listed: Position) -> None:
        """Log and count a list that was ignored because it is older than the known records."""
        self.metrics.listings_dropped.inc({'kind': kind.value})
        events.emit(
            log, events.LISTING_DROPPED, kind=kind.value, held=str(held), listed=str(listed)
        )

    def on_restored(self, kind: RecordKind, position: Position, kept: int, held_back: int) -> None:
        """Log the first list after the store was restored from a backup."""
        events.emit(
            log,
            events.KIND_RESTORED,
            kind=kind.value,
            listed=str(position),
            kept=kept,
            held_back=held_back,
        )

    def on_store_era(self, before: int, era: int) -> None:
        """Log that the store was restored from a backup, which starts a new era."""
        events.emit(log, events.STORE_ERA_CHANGED, before=before, era=era)

    def on_draining(self, replica: Replica) -> None:
        """Log that a replica started or stopped draining by its record."""
        event = events.REPLICA_DRAINING if replica.draining else events.DRAINING_REVOKED
        events.emit(log, event, replica=replica.id, service=replica.service)

    def on_answer_too_large(self, address: str, target: str, exceeded: ExceededBound) -> None:
        """Log and count an answer of more bytes than its call may have."""
        self.metrics.answers_too_large.inc({'part': exceeded.part})
        path = target.partition('?')[0][:MAX_LOGGED_PATH]
        events.emit(
            log,
            events.ANSWER_TOO_LARGE,
            address=address,
            path=path,
            part=exceeded.part,
            limit_bytes=exceeded.limit,
        )

    def on_removal_held(self, replica: Replica, held_s: float) -> None:
        """Log and count a removal that is delayed, since the entry may have lapsed in an outage."""
        self.metrics.removals_held.inc({'service': replica.service})
        events.emit(log, events.REMOVAL_HELD, replica=replica.id, held_s=round(held_s, 3))

    def on_bad_object(self, name: str, error: Exception) -> None:
        """Log and count a store object that can't be decoded."""
        self.metrics.bad_objects.inc({'kind': name.partition('/')[0]})
        events.emit(log, events.OBJECT_BAD, key=name, error=str(error))

    def on_bad_message(self, error: str) -> None:
        """Log a peer message that can't be decoded."""
        events.emit(log, events.PEER_MESSAGE_BAD, error=error)

    def on_forged_headers(self, count: int) -> None:
        """Count reserved headers that were removed from a caller's request."""
        if count:
            self.metrics.forged_headers.add({}, count)

    def on_bad_request(self, status: int, reason: str) -> None:
        """Log and count a request that was refused because it could not be parsed."""
        self.metrics.on_exchange('none', 'bad', 0.0, None)
        events.emit(log, events.EXCHANGE_BAD, status=status, reason=reason)
