"""Assemble a gateway box: store feeds, scheduling, crash tracking and request handling."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
from typing import TYPE_CHECKING

import structlog

from calicopath_core.clock import SuspensionClock
from calicopath_core.crashes.guard import CrashGuard
from calicopath_core.crashes.keeping import BlockedRequestPersister
from calicopath_core.crashes.ledger import CrashLedger
from calicopath_core.crashes.sharing import CrashSharing
from calicopath_core.exchanges.balancer import Balancer
from calicopath_core.exchanges.budget import RetryBudgets
from calicopath_core.exchanges.buffers import AnswerBuffers
from calicopath_core.exchanges.context import ExchangeContext
from calicopath_core.exchanges.executor import ExchangeExecutor
from calicopath_core.fleet.connection_shares import ConnectionLender, ConnectionShares
from calicopath_core.fleet.deployment import DEFAULT_LIMITS, Deployment, DeploymentView
from calicopath_core.fleet.forwarders import Forwarders
from calicopath_core.fleet.pace import PaceEstimates
from calicopath_core.fleet.positions import NO_POSITION, Position
from calicopath_core.fleet.reachability import ReplicaReachability
from calicopath_core.fleet.store import RecordKind
from calicopath_core.scheduling.baseline import RandomEnginePool, StandaloneElection
from calicopath_core.scheduling.client import SchedulerClient
from calicopath_core.scheduling.election import BoxAddress, Election
from calicopath_core.scheduling.groups import GroupPolicy
from calicopath_core.scheduling.inbox import Inbox
from calicopath_core.scheduling.messages import BackoffNotice, Pong
from calicopath_core.scheduling.scheduler import Scheduler
from calicopathd import events
from calicopathd.gateway.connectlog import ConnectLog
from calicopathd.gateway.following import StoreFollower
from calicopathd.gateway.forwarding import ForwardingServer
from calicopathd.gateway.notices import BoxNotices
from calicopathd.gateway.peers import PeerLink
from calicopathd.gateway.settings import forward_address
from calicopathd.gateway.versions import BoxVersions

if TYPE_CHECKING:
    import msgspec

    from calicopath_core.exchanges.messages import ReplicaClient
    from calicopath_core.fleet.contact import StoreContact
    from calicopath_core.fleet.deployment import ClientLimits, EngineSpec
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.fleet.store import FleetStore
    from calicopath_core.membership.transport import PeerTransport
    from calicopath_core.scheduling.engines import EnginePool
    from calicopath_core.scheduling.interfaces import StageCaller
    from calicopathd.gateway.observer import GatewayObserver
    from calicopathd.gateway.settings import GatewaySettings

BLOCKED_NEWS_WAIT_S = 0.5
"""How long a box that is otherwise ready waits for the list of blocked requests. One box reads it
from the store and the others get it with a ping. After this time the box serves without it."""

SCHEDULING_CHECK_INTERVAL_S = 1.0
"""How often a box that is not the scheduler checks whether it has become the scheduler."""

log = structlog.get_logger(__name__)


class GatewayBox:
    """Hold the components of one gateway box; all I/O goes through the arguments."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        store: FleetStore,
        transport: PeerTransport,
        replica_client: ReplicaClient,
        stage_caller: StageCaller,
        observer: GatewayObserver,
        seed: int | None = None,
        standalone: bool = False,
    ) -> None:
        self.settings = settings
        self.store = store
        self.observer = observer
        self.clock = SuspensionClock()
        self.rng = random.Random(seed)
        self.incarnation = f'{settings.box}-{os.urandom(4).hex()}'
        self.job_numbers = itertools.count(1)
        self.leaving = False
        self.refuses_new = False
        self.view = DeploymentView()
        self.notices = BoxNotices(
            clock=self.clock,
            observer=observer,
            rng=self.rng,
            own_address=str(settings.peer_listen),
            hubs=self.hubs,
            send=self.send,
            issuer_address=lambda: self.client.scheduler_address,
            limit_share=lambda: 1 / max(1, self.election.groups),
            position=lambda: self.election.position(),
            on_backoff=self.on_replica_backoff,
        )
        self.replicas, self.gate = self.notices.replicas, self.notices.gate
        replica_client.interceptor = stage_caller.interceptor = self.gate
        self.reachability = ReplicaReachability(
            clock=self.clock, observer=ConnectLog(metrics=observer.metrics)
        )
        self.pace = stage_caller.pace = PaceEstimates(observer=observer)
        self.own = BoxAddress(
            settings.box,
            str(settings.peer_listen),
            settings.failure_domain,
            self.incarnation,
            small=settings.is_small,
        )
        self.election = StandaloneElection(own=self.own) if standalone else Election(own=self.own)
        self.connections = ConnectionShares(
            clock=self.clock,
            max_connections_of=self.max_connections_of,
            box_count=self.election.box_count,
            service_of=self.service_at,
            replica_count=lambda service: len(self.replicas.usable(service)),
        )
        self.connection_lender = ConnectionLender(
            clock=self.clock,
            max_connections_of=self.max_connections_of,
            box_count=self.election.box_count,
            group_count=lambda: self.election.groups,
        )
        self.forwarders = Forwarders(
            clock=self.clock,
            rng=self.rng,
            failure_domain=settings.failure_domain,
            boxes=self.forwarding_boxes,
            address_of=lambda box: str(forward_address(box.address)),
        )
        self.forwarding = ForwardingServer(replicas=self.replicas, reachability=self.reachability)
        self.config_since = 0.0
        self.synced_at: float | None = None
        self.group = (0, 1)
        self.group_policy = GroupPolicy(clock=self.clock)
        self.link = PeerLink(
            transport=transport,
            election=self.election,
            clock=self.clock,
            config_version=self.config_version,
            contact=self.contact,
            on_bad_message=observer.on_bad_message,
        )
        self.ledger = CrashLedger(clock=self.clock, observer=observer)
        self.sharing = CrashSharing(
            clock=self.clock,
            ledger=self.ledger,
            own_address=self.own.address,
            hubs=self.hubs,
            send=self.link.send,
            complete=False,
        )
        self.blocked_persister = BlockedRequestPersister(
            clock=self.clock,
            ledger=self.ledger,
            sharing=self.sharing,
            is_due=self.persists_blocked_requests,
            read=store.read_blocked,
            write=store.write_blocked,
            era=lambda: self.subscription.era(),
            on_failed=observer.on_blocked_access_failed,
        )
        self.crashes = CrashGuard(ledger=self.ledger, sharing=self.sharing)
        self.scheduler = Scheduler(
            clock=self.clock,
            replicas=self.replicas,
            caller=stage_caller,
            send=self.link.send,
            observer=observer,
            own_address=self.own.address,
            select_replicas=self.election.replicas_of_group,
            crashes=self.crashes,
            backoff_left_s=self.gate.backoffs.remaining_s,
            support_backoff_left_s=self.gate.control_call_available_in_s,
            permits=self.notices.limit_issuer,
            warmup=settings.warmup,
            pool_factory=self.random_engine_pool if standalone else None,
            pace=self.pace,
            promises_returns=settings.promises_returns,
        )
        self.scheduler.stages.is_isolated = lambda: self.reachability.is_isolated
        self.client = SchedulerClient(
            clock=self.clock,
            election=self.election,
            send=self.link.send,
            on_scheduler=self.on_scheduler_changed,
            contact=self.contact,
            has_configuration=lambda: self.view.current is not None,
            on_unanswered=observer.on_unanswered,
            on_unwanted=observer.on_unwanted,
        )
        # A sender may have noticed before this box that the previous scheduler is silent.
        self.inbox = Inbox(
            scheduler=self.scheduler, clock=self.clock, before_slice=self.client.update_scheduler
        )
        self.store_follower = StoreFollower(
            own=self.own,
            settings=settings,
            store=store,
            clock=self.clock,
            rng=self.rng,
            observer=observer,
            view=self.view,
            replicas=self.replicas,
            send=self.link.send,
            on_boxes_changed=self.on_boxes_changed,
            on_deployment_applied=self.on_deployment_applied,
            is_leaving=lambda: self.leaving,
        )
        self.evacuations, self.publisher = (
            self.store_follower.evacuations,
            self.store_follower.publisher,
        )
        self.records, self.feeds = self.store_follower.records, self.store_follower.feeds
        self.subscription = self.store_follower.subscription
        self.versions = BoxVersions(
            clock=self.clock,
            observer=observer,
            store=store,
            own=self.own,
            replicas=self.replicas,
            pools=self.scheduler.engine_pools,
            scheduler_address=lambda: self.client.scheduler_address,
            is_scheduler=self.is_scheduler,
            group=lambda: self.election.group,
            era=self.subscription.era,
            send=self.send,
            place_waiting_jobs=self.scheduler.place_waiting_jobs,
        )
        self.link.versions = self.versions
        self.link.scheduler, self.link.client = self.scheduler, self.client
        self.link.inbox = self.inbox
        self.link.subscription, self.link.crash_sharing = self.subscription, self.sharing
        self.link.notices = self.notices
        self.link.connections = self.connections
        self.link.connection_lender = self.connection_lender
        self.sharing.waiting_boxes = self.unaware_boxes
        self.executor = ExchangeExecutor(context=self.new_context(replica_client))

    def new_context(self, replica_client: ReplicaClient) -> ExchangeContext:
        """Return the context that all exchanges of this box share."""
        return ExchangeContext(
            clock=self.clock,
            view=self.view,
            replicas=self.replicas,
            gate=self.gate,
            balancer=Balancer(
                replicas=self.replicas,
                gate=self.gate,
                failure_domain=self.settings.failure_domain,
                rng=self.rng,
                cold_rate_of=self.cold_rate_of,
                connection_share=self.connection_share,
                pace=self.pace,
            ),
            retry_budgets=RetryBudgets(terms=self.settings.retry_budget),
            election=self.election,
            scheduler=self.client,
            replica_client=replica_client,
            observer=self.observer,
            crashes=self.crashes,
            versions=self.versions.directory,
            new_job_id=self.new_job_id,
            may_serve=self.may_serve,
            refuses_new=lambda: self.refuses_new,
            is_partitioned=lambda: self.reachability.is_partitioned,
            failure_domain=self.settings.failure_domain,
            buffers=AnswerBuffers(max_bytes=self.settings.max_buffered_bytes),
        )

    def forwarding_boxes(self) -> list[BoxAddress]:
        """Return the listed boxes that may forward connections."""
        return [item.box for item in self.election.candidates.values() if not item.leaving]

    def random_engine_pool(self, spec: EngineSpec) -> EnginePool:
        """Return an engine pool of the baseline, which picks engines at random."""
        return RandomEnginePool(slots=spec.slots, kv_tokens=spec.kv_tokens, rng=self.rng)

    def new_job_id(self) -> str:
        """Return a job ID that is unique over all incarnations of this box."""
        return f'{self.incarnation}-{next(self.job_numbers)}'

    def config_version(self) -> int:
        """Return the version of the configuration in force, 0 if there is none."""
        return self.view.current.version if self.view.current is not None else 0

    def known_position(self, kind: RecordKind) -> Position:
        """Return the store position up to which this box has records of a kind."""
        return self.subscription.positions().get(kind, NO_POSITION)

    def contact(self) -> StoreContact:
        """Return how recently the store answered this box or the relay that it follows."""
        return self.subscription.contact()

    def connection_share(self, address: str) -> int:
        """Return how many connections this box may open to a replica."""
        return self.connections.share(address)

    def service_at(self, address: str) -> str | None:
        """Return the service of the replica at an address, `None` if there is none."""
        replica = self.replicas.by_address.get(address)
        return replica.service if replica is not None else None

    def max_connections_of(self, service: str) -> int | None:
        """Return how many connections one replica of a service accepts, `None` if unknown."""
        deployment = self.view.current
        spec = deployment.services.get(service) if deployment is not None else None
        return spec.max_connections if spec is not None else None

    def cold_rate_of(self, service: str) -> float | None:
        """Return the requests per second for a cold replica of a service, `None` for no limit."""
        deployment = self.view.current
        spec = deployment.services.get(service) if deployment is not None else None
        if spec is None or spec.warmup is None:
            return None
        return spec.warmup.per_s / max(1, self.election.box_count())

    def limits(self) -> ClientLimits:
        """Return the limits on requests that are in force."""
        return self.view.current.limits if self.view.current is not None else DEFAULT_LIMITS

    def persists_blocked_requests(self) -> bool:
        """Return whether this box persists blocked requests: only the first relay does."""
        return (
            self.subscription.relay_selection.is_first_relay
            and self.is_synced()
            and not self.leaving
        )

    def is_synced(self) -> bool:
        """Return whether all records that routing needs have been read once."""
        needed = (kind for kind in self.feeds if kind is not RecordKind.BOX)
        return self.view.current is not None and all(self.feeds[kind].synced for kind in needed)

    def is_scheduler(self) -> bool:
        """Return whether this box schedules and has all records that this needs."""
        return self.client.scheduler_address == self.own.address and self.is_synced()

    def missing(self) -> list[str]:
        """Return what this box lacks to be ready."""
        found = [
            feed.kind.value
            for feed in self.feeds.values()
            if feed.kind is not RecordKind.BOX and not feed.synced
        ]
        if self.view.current is None and RecordKind.DEPLOYMENT.value not in found:
            found.append('valid deployment')
        if not found and not self.knows_blocked_requests():
            found.append('blocked requests')
        if not self.replicas.replicas and RecordKind.REPLICA.value not in found:
            found.append('any replica')
        return [*found, 'leaving'] if self.leaving else found

    def is_ready(self) -> bool:
        """Return whether load balancers should send callers to this box."""
        return self.may_serve() and bool(self.replicas.replicas) and not self.leaving

    def may_serve(self) -> bool:
        """Return whether requests of callers are sent to replicas."""
        return self.is_synced() and self.knows_blocked_requests()

    def unaware_boxes(self) -> set[str]:
        """Return the subscribers of this box and, if it is a relay, the other relays."""
        relays = (
            self.subscription.relay_selection.candidates
            if self.subscription.relay_selection.is_relay
            else []
        )
        return {*self.publisher.subscribers, *relays}

    def knows_blocked_requests(self) -> bool:
        """Return whether the box has the list of blocked requests, or has waited long enough.

        After a restart of all boxes, waiting callers send their requests at once, and some of
        these may crash replicas; hence boxes should know the list before they serve.
        """
        if self.sharing.complete:
            return True
        now = self.clock.monotonic()
        if self.synced_at is None:
            self.synced_at = now
        return now - self.synced_at >= BLOCKED_NEWS_WAIT_S

    def on_boxes_changed(self, now: float) -> None:
        """Update the election and the relays after a change of the listed boxes."""
        self.election.on_listed(self.records.boxes.values(), now)
        self.update_group()
        self.subscription.on_listed(self.records.boxes.values())
        self.versions.on_listed(self.records.boxes.values())

    def update_group(self) -> None:
        """Inform the scheduler if this box belongs to another group now."""
        current = (self.election.group, self.election.groups)
        if current != self.group:
            self.group = current
            self.observer.on_group_changed(*current)
            self.scheduler.on_replicas()

    async def measure_lag(self) -> None:
        """Measure the lag of the event loop while this box is the scheduler, until cancelled."""
        while True:
            if self.client.scheduler_address == self.own.address:
                await self.group_policy.lag.measure()
            else:
                await asyncio.sleep(SCHEDULING_CHECK_INTERVAL_S)

    def adjust_group_count(self, now: float) -> None:
        """Split or merge groups by the scheduler's load; only a box that schedules decides."""
        if self.client.scheduler_address != self.own.address or self.leaving:
            self.group_policy.reset()
            return
        is_leader = self.election.is_leader(now)
        self.election.on_group_count(
            self.group_policy.next_count(self.election.group_count, is_leader=is_leader, now=now)
        )

    def on_deployment_applied(self, deployment: Deployment) -> None:
        """Pass a newer configuration to the scheduler and log it."""
        self.config_since = self.clock.wall()
        self.scheduler.on_deployment(deployment)
        events.emit(
            log,
            events.DEPLOYMENT_APPLIED,
            version=deployment.version,
            routes=len(deployment.routes),
            tenants=len(deployment.workspaces_by_key),
            ranks={item.name: item.priority for item in deployment.workspaces_by_key.values()},
        )

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Send a message to a box, which may be this one."""
        self.link.send(address, message)

    def hubs(self) -> list[str]:
        """Return the addresses of the scheduler candidates, which are notified first."""
        return self.election.candidate_addresses(self.clock.monotonic())

    def on_replica_backoff(self, replica: Replica) -> None:
        """Inform the scheduler that a replica asked this box to back off, if it is an engine."""
        if replica.service in self.scheduler.engine_pools:
            remaining_by_replica = {replica.id: self.gate.backoffs.remaining_s(replica)}
            self.send_backoffs(remaining_by_replica)

    def send_backoffs(self, remaining_by_replica: dict[str, float]) -> None:
        """Send the scheduler the engines that asked for backoffs and the seconds left of each."""
        if remaining_by_replica:
            notice = BackoffNotice(address=self.own.address, backoffs=remaining_by_replica)
            self.link.send(self.client.scheduler_address, notice)

    def on_scheduler_changed(self, address: str, asked_again: int) -> None:
        """Start or stop scheduling after a change of the scheduler, and send it the backoffs."""
        for service in self.scheduler.engine_pools:
            self.send_backoffs(self.gate.remaining_backoffs(service))
        if address == self.own.address:
            self.scheduler.succession.activate()
            self.scheduler.stages.on_take_over(has_work=asked_again > 0)
        else:
            self.scheduler.stages.release.on_hand_over()
            self.scheduler.succession.step_down(address)
        self.versions.on_scheduler_changed(address)
        self.notices.on_issuer_changed(is_own=address == self.own.address)
        self.observer.on_scheduler_changed(address, asked_again)

    def tick(self) -> None:
        """Run the periodic work: expire entries, end overloads and adjust groups."""
        now = self.clock.monotonic()
        self.store_follower.restore_filter.expire()
        for name in self.replicas.expire(now):
            events.emit(log, events.REPLICA_DROPPED, replica=name, held_s=True)
        self.inbox.check_overload_end(now)
        if self.client.scheduler_address == self.own.address:
            self.scheduler.stages.query_limited(self.notices.is_limited)
        self.adjust_group_count(now)
        self.update_group()
        self.ledger.expire()
        self.notices.expire()

    def leave(self) -> None:
        """Announce to other boxes that this one leaves, and hand scheduling over."""
        self.leaving = True
        self.election.leaving = True
        self.subscription.announce_leaving()
        self.link.ping_all()
        for candidate in self.election.candidates.values():
            if candidate.last_heard_at is not None:
                # Tells boxes that see this one as a candidate at once that it leaves.
                self.link.send(candidate.box.address, self.link.presence(Pong, 0))
        successor = self.election.scheduler(self.clock.monotonic(), self.contact()).address
        if successor != self.own.address:
            self.scheduler.succession.step_down(successor)
