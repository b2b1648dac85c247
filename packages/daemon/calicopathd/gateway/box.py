"""Assemble a gateway box: what it follows, schedules and serves."""

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
from calicopath_core.exchanges.context import ExchangeContext
from calicopath_core.exchanges.executor import ExchangeExecutor
from calicopath_core.fleet.deployment import DEFAULT_LIMITS, Deployment, DeploymentView
from calicopath_core.fleet.positions import NO_POSITION, Position
from calicopath_core.fleet.store import RecordKind
from calicopath_core.scheduling.baseline import RandomEnginePool, StandaloneElection
from calicopath_core.scheduling.client import SchedulerClient
from calicopath_core.scheduling.election import BoxAddress, Election
from calicopath_core.scheduling.groups import GroupPolicy
from calicopath_core.scheduling.messages import BackoffNotice, Pong
from calicopath_core.scheduling.scheduler import Scheduler
from calicopathd import events
from calicopathd.gateway.following import StoreFollowing
from calicopathd.gateway.notices import BoxNotices
from calicopathd.gateway.peers import PeerLink

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

CONNECTIONS_USED = 0.8
"""The part of a replica's connections that boxes use together: a restarted box opens new ones while
the replica still holds the old."""

KNOWN_WAIT_S = 0.5
"""How long a box that could serve waits to hear which requests are blocked. That takes one call to
the store by one box, and a ping; where it fails, callers are served all the same."""

UNMEASURED_S = 1.0
"""How often a box that does not schedule looks whether it does."""

LEAST_CONNECTIONS = 4
"""What a box may open in any case: a stage's call, one that gives results up, and reports."""

log = structlog.get_logger(__name__)


class GatewayBox:
    """Hold everything that one gateway box consists of; no I/O of its own."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        store: FleetStore,
        transport: PeerTransport,
        exchanges: ReplicaClient,
        stages: StageCaller,
        observer: GatewayObserver,
        seed: int | None = None,
        alone: bool = False,
    ) -> None:
        self.settings = settings
        self.store = store
        self.observer = observer
        self.clock = SuspensionClock()
        self.rng = random.Random(seed)
        self.life = f'{settings.box}-{os.urandom(4).hex()}'
        self.job_numbers = itertools.count(1)
        self.leaving = False
        self.view = DeploymentView()
        self.notices = BoxNotices(
            clock=self.clock,
            observer=observer,
            rng=self.rng,
            own_address=str(settings.peer_listen),
            hubs=self.hubs,
            send=self.send,
            lender=lambda: self.client.scheduler_address,
            share=lambda: 1 / max(1, self.election.groups),
            on_backoff=self.on_replica_backoff,
        )
        self.replicas, self.gate = self.notices.replicas, self.notices.gate
        exchanges.interceptor = stages.interceptor = self.gate
        self.own = BoxAddress(
            settings.box,
            str(settings.peer_listen),
            settings.failure_domain,
            self.life,
            small=settings.small,
        )
        self.election = StandaloneElection(own=self.own) if alone else Election(own=self.own)
        self.config_since = 0.0
        self.synced_at: float | None = None
        self.group = (0, 1)
        self.group_rule = GroupPolicy(clock=self.clock)
        self.link = PeerLink(
            transport=transport,
            election=self.election,
            clock=self.clock,
            config_version=self.config_version,
            contact=self.contact,
            on_bad=observer.on_bad_message,
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
        self.keeper = BlockedRequestPersister(
            clock=self.clock,
            ledger=self.ledger,
            sharing=self.sharing,
            is_due=self.keeps_blocked,
            read=store.read_blocked,
            write=store.write_blocked,
            era=lambda: self.subscription.era(),
            on_failed=observer.on_blocked_unkept,
        )
        self.crashes = CrashGuard(ledger=self.ledger, sharing=self.sharing)
        self.scheduler = Scheduler(
            clock=self.clock,
            replicas=self.replicas,
            caller=stages,
            send=self.link.send,
            observer=observer,
            own_address=self.own.address,
            share_of=self.election.share_of,
            crashes=self.crashes,
            backoff_left_s=self.gate.backoffs.remaining_s,
            support_backoff_left_s=self.gate.control_call_available_in_s,
            permits=self.notices.holder,
            warmup=settings.warmup,
            pool_factory=self.random_board if alone else None,
        )
        self.client = SchedulerClient(
            clock=self.clock,
            election=self.election,
            send=self.link.send,
            on_scheduler=self.on_scheduler,
            contact=self.contact,
            has_configuration=lambda: self.view.current is not None,
        )
        self.following = StoreFollowing(
            own=self.own,
            settings=settings,
            store=store,
            clock=self.clock,
            rng=self.rng,
            observer=observer,
            view=self.view,
            replicas=self.replicas,
            send=self.link.send,
            on_boxes=self.on_boxes,
            on_applied=self.on_applied,
            is_leaving=lambda: self.leaving,
        )
        self.evacuations, self.publisher = self.following.evacuations, self.following.publisher
        self.records, self.feeds = self.following.records, self.following.feeds
        self.subscription = self.following.subscription
        self.link.scheduler, self.link.client = self.scheduler, self.client
        self.link.subscription, self.link.crashes = self.subscription, self.sharing
        self.link.notices = self.notices
        self.sharing.waiting_boxes = self.unaware_boxes
        self.executor = ExchangeExecutor(context=self.new_context(exchanges))

    def new_context(self, exchanges: ReplicaClient) -> ExchangeContext:
        """Return what this box's exchanges share."""
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
            ),
            retry_budgets=RetryBudgets(terms=self.settings.retry_budget),
            election=self.election,
            scheduler=self.client,
            replica_client=exchanges,
            observer=self.observer,
            crashes=self.crashes,
            new_job_id=self.new_job,
            may_serve=self.serves,
            failure_domain=self.settings.failure_domain,
        )

    def random_board(self, spec: EngineSpec) -> EnginePool:
        """Return a board of the naive baseline."""
        return RandomEnginePool(slots=spec.slots, kv_tokens=spec.kv_tokens, rng=self.rng)

    def new_job(self) -> str:
        """Return an identifier that no other job has, of this or another life."""
        return f'{self.life}-{next(self.job_numbers)}'

    def config_version(self) -> int:
        """Return the version of the configuration in force here, 0 for none."""
        return self.view.current.version if self.view.current is not None else 0

    def held_position(self, kind: RecordKind) -> Position:
        """Return the store's position up to which this box knows a kind."""
        return self.subscription.positions().get(kind, NO_POSITION)

    def contact(self) -> StoreContact:
        """Return how the store answers this box, or the relay that it hears."""
        return self.subscription.contact()

    def connection_share(self, address: str) -> int:
        """Return how many connections to a replica are this box's part of what it accepts."""
        replica = self.replicas.by_address.get(address)
        deployment = self.view.current
        service = deployment.services.get(replica.service) if deployment and replica else None
        if service is None:
            return LEAST_CONNECTIONS
        share = service.max_connections * CONNECTIONS_USED / self.election.box_count()
        return max(LEAST_CONNECTIONS, int(share))

    def cold_rate_of(self, service: str) -> float | None:
        """Return how many requests a second this box may send to a service's cold replica."""
        deployment = self.view.current
        spec = deployment.services.get(service) if deployment is not None else None
        if spec is None or spec.warmup is None:
            return None
        return spec.warmup.per_s / max(1, self.election.box_count())

    def limits(self) -> ClientLimits:
        """Return what callers may send at the moment."""
        return self.view.current.limits if self.view.current is not None else DEFAULT_LIMITS

    def keeps_blocked(self) -> bool:
        """Tell whether this box is the one that keeps blocked requests in the store."""
        return (
            self.subscription.relay_selection.is_first_relay and self.synced() and not self.leaving
        )

    def synced(self) -> bool:
        """Tell whether all that says where requests may go was read once."""
        needed = (kind for kind in self.feeds if kind is not RecordKind.BOX)
        return self.view.current is not None and all(self.feeds[kind].synced for kind in needed)

    def ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return self.serves() and bool(self.replicas.replicas) and not self.leaving

    def serves(self) -> bool:
        """Tell whether what callers ask is sent on."""
        return self.synced() and self.knows_blocked()

    def unaware_boxes(self) -> set[str]:
        """Return the boxes that hear the store through this one, and the other relays."""
        relays = (
            self.subscription.relay_selection.candidates
            if self.subscription.relay_selection.is_relay
            else []
        )
        return {*self.publisher.subscribers, *relays}

    def knows_blocked(self) -> bool:
        """Tell whether the box has heard which requests are blocked, or has waited long enough.

        Callers who waited while all boxes restarted come at once, and with them what ends replicas.
        """
        if self.sharing.complete:
            return True
        now = self.clock.monotonic()
        if self.synced_at is None:
            self.synced_at = now
        return now - self.synced_at >= KNOWN_WAIT_S

    def on_boxes(self, now: float) -> None:
        """Take in which boxes there are."""
        self.election.on_listed(self.records.boxes.values(), now)
        self.follow_group()
        self.subscription.on_listed(self.records.boxes.values())

    def follow_group(self) -> None:
        """Schedule for the group that this box is in now, if it schedules."""
        mine = (self.election.group, self.election.groups)
        if mine != self.group:
            self.group = mine
            self.observer.on_group(*mine)
            self.scheduler.on_replicas()

    async def measure_lag(self) -> None:
        """Measure how late this box's event loop is while it schedules, until cancelled."""
        while True:
            if self.client.scheduler_address == self.own.address:
                await self.group_rule.lag.measure()
            else:
                await asyncio.sleep(UNMEASURED_S)

    def judge_groups(self, now: float) -> None:
        """Have the fleet split, or joined, if this box schedules and finds that it should be."""
        if self.client.scheduler_address != self.own.address or self.leaving:
            self.group_rule.reset()
            return
        leads = self.election.is_leader(now)
        self.election.on_group_count(
            self.group_rule.next_count(self.election.group_count, is_leader=leads, now=now)
        )

    def on_applied(self, deployment: Deployment) -> None:
        """Note that a newer configuration is in force."""
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
        """Send a message to another box, or to this one."""
        self.link.send(address, message)

    def hubs(self) -> list[str]:
        """Return the boxes that all others ping, which hear first of what a box has seen."""
        return self.election.candidate_addresses(self.clock.monotonic())

    def on_replica_backoff(self, replica: Replica) -> None:
        """Tell the box that schedules which engine wants nothing from this one."""
        if replica.service in self.scheduler.engine_pools:
            lefts = {replica.id: self.gate.backoffs.remaining_s(replica)}
            self.tell_backoffs(lefts)

    def tell_backoffs(self, lefts: dict[str, float]) -> None:
        """Tell the box that schedules of engines that want nothing from this one."""
        if lefts:
            news = BackoffNotice(address=self.own.address, backoffs=lefts)
            self.link.send(self.client.scheduler_address, news)

    def on_scheduler(self, address: str, asked_again: int) -> None:
        """Note that another box schedules now."""
        for service in self.scheduler.engine_pools:
            self.tell_backoffs(self.gate.remaining_backoffs(service))
        if address == self.own.address:
            self.scheduler.succession.activate()
            self.scheduler.stages.on_take_over(has_work=asked_again > 0)
        else:
            self.scheduler.stages.release.on_hand_over()
            self.scheduler.succession.step_down(address)
        self.notices.on_lender(own=address == self.own.address)
        self.observer.on_scheduler(address, asked_again)

    def tick(self) -> None:
        """Do what is due by time."""
        now = self.clock.monotonic()
        self.following.restored.expire()
        for name in self.replicas.expire(now):
            events.emit(log, events.REPLICA_DROPPED, replica=name, held_s=True)
        self.judge_groups(now)
        self.follow_group()
        self.ledger.expire()
        self.notices.expire()

    def leave(self) -> None:
        """Ask for no more callers and hand scheduling over."""
        self.leaving = True
        self.election.leaving = True
        self.subscription.announce_leaving()
        self.link.ping_all()
        for candidate in self.election.candidates.values():
            if candidate.last_heard_at is not None:
                # Boxes that see this one as a candidate learn at once that it leaves.
                self.link.send(candidate.box.address, self.link.presence(Pong, 0))
        successor = self.election.scheduler(self.clock.monotonic(), self.contact()).address
        if successor != self.own.address:
            self.scheduler.succession.step_down(successor)
