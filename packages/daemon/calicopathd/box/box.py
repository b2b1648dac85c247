"""Assemble a box: its view, pools, claims and executor."""

from __future__ import annotations

import random
import uuid
from typing import TYPE_CHECKING, Any

import structlog

from calicopath_clients.calls import HttpPlainService, HttpEndpointProber, HttpStagePool
from calicopath_clients.engine import HttpEngine
from calicopath_clients.platform import HttpBoxList, HttpObjectStore
from calicopath_core.backends.base import Backends
from calicopath_core.claims.executors import ForwardingExecutor, GroupingConfig, LocalExecutor
from calicopath_core.claims.forwarding import GossipShardOwners
from calicopath_core.claims.registry import ClaimRegistry
from calicopath_core.clock import LoopClock
from calicopath_core.crashes.guard import CrashGuard
from calicopath_core.crashes.ledger import CrashLedger
from calicopath_core.crashes.sharing import CrashSharing
from calicopath_core.execution.attempts import StageContext
from calicopath_core.execution.door import Door
from calicopath_core.execution.executor import PipelineExecutor
from calicopath_core.execution.policy import Objective, policy_for
from calicopath_core.limits.concurrency import GradientLimit
from calicopath_core.limits.lag import LoopLag
from calicopath_core.limits.retry import RetryBudget
from calicopath_core.membership.gossip import PUSH_FANOUT, Gossip
from calicopath_core.membership.members import MemberTable
from calicopath_core.membership.messages import MemberInfo
from calicopath_core.membership.roles import RelayController
from calicopath_core.routing.pools import ServicePool
from calicopath_core.routing.registry import PoolRegistry
from calicopath_core.routing.selectors import ExpectedCompletionSelector
from calicopath_core.routing.subset import SubsetChooser
from calicopath_core.store.feed import StoreFeed
from calicopath_core.store.view import ConfigView, ViewUpdate
from calicopathd import events
from calicopathd.box.lifecycle import Lifecycle
from calicopathd.crashlog import CrashLog
from calicopathd.metrics import Metrics
from calicopathd.peers.zmq_transport import ZmqTransport

if TYPE_CHECKING:
    import aiohttp

    from calicopath_core.limits.concurrency import ConcurrencyLimit
    from calicopath_core.structure.endpoints import Endpoint
    from calicopathd.config.settings import Settings

log = structlog.get_logger(__name__)

SECONDS_AN_HOUR = 3600


class Box:
    """Hold everything that one daemon consists of."""

    def __init__(self, *, settings: Settings, session: aiohttp.ClientSession) -> None:
        self.settings = settings
        self.clock = LoopClock()
        self.rng = random.Random(settings.seed or None)
        self.metrics = Metrics(box=settings.box)
        self.lifecycle = Lifecycle()
        self.view = ConfigView()
        self.lag = LoopLag(clock=self.clock)
        self.view.listeners.append(self.log_updates)
        self.store = HttpObjectStore(url=settings.platform, session=session)
        self.feed = StoreFeed(
            store=self.store, view=self.view, clock=self.clock, relist_s=settings.relist_s
        )
        self.transport = ZmqTransport(address=settings.peer_listen)
        self.gossip = self.new_gossip()
        self.roles = RelayController(
            gossip=self.gossip,
            feed=self.feed,
            boxes=HttpBoxList(url=settings.platform, session=session),
            clock=self.clock,
            rng=self.rng,
        )
        subset = SubsetChooser(box=settings.box, failure_domain=settings.failure_domain)
        self.pools = PoolRegistry(view=self.view, subset=subset, new_pool=self.new_pool)
        self.crashes = self.new_crashes()
        self.backends = Backends(
            engine=HttpEngine(session=session),
            pool=HttpStagePool(session=session),
            service=HttpPlainService(session=session),
            prober=HttpEndpointProber(),
        )
        self.local_claims = self.new_local_claims()
        peers = GossipShardOwners(gossip=self.gossip, local=self.local_claims, clock=self.clock)
        self.forwarding = ForwardingExecutor(local=self.local_claims, shard_owners=peers)
        self.executor = self.new_executor()

    def new_gossip(self) -> Gossip:
        """Return the exchange with other boxes, starting from the seed peers."""
        settings = self.settings
        address = settings.peer_address or f'{settings.peer_listen.host}:{self.transport.port}'
        own = MemberInfo(
            name=settings.box,
            failure_domain=settings.failure_domain,
            address=address,
            started_ms=int(self.clock.wall() * 1000),
            heartbeat_number=0,
            leaving=False,
        )
        members = MemberTable(own=own)
        now = self.clock.monotonic()
        seeds = [item.strip() for item in settings.seed_peers.split(',') if item.strip()]
        members.on_listed([MemberInfo(seed, '', seed, 0, 0, False) for seed in seeds], now)
        return Gossip(
            view=self.view,
            members=members,
            transport=self.transport,
            clock=self.clock,
            rng=self.rng,
            is_ready=self.ready,
        )

    def new_crashes(self) -> CrashGuard:
        """Return what is known of requests under which endpoints end, shared with other boxes."""
        ledger = CrashLedger(clock=self.clock, observer=CrashLog(counters=self.metrics))
        sharing = CrashSharing(
            clock=self.clock,
            ledger=ledger,
            own_address=self.gossip.members.own.address,
            hubs=self.crash_hubs,
            send=self.gossip.send,
            forwards=True,
        )
        self.gossip.share_crashes(sharing)
        return CrashGuard(ledger=ledger, sharing=sharing)

    def crash_hubs(self) -> list[str]:
        """Return a few boxes that are told at once, and pass it on."""
        members = self.gossip.members
        chosen = members.sample(PUSH_FANOUT, self.clock.monotonic(), self.rng)
        return [member.info.address for member in chosen]

    def new_executor(self) -> PipelineExecutor:
        """Return the executor with the policy that the deployment chose."""
        policy = policy_for(
            Objective(self.settings.objective), affinity=self.settings.prefix_affinity == 'on'
        )
        context = StageContext(
            pools=self.pools,
            backends=self.backends,
            clock=self.clock,
            policy=policy,
            budget=RetryBudget(),
            observer=self.metrics,
            lag=self.lag,
            crashes=self.crashes,
        )
        door = Door(pools=self.pools, margin=policy.door_margin, lag=self.lag)
        claims = ClaimRegistry(
            local=self.local_claims, executor=self.forwarding, new_nonce=self.new_id
        )
        return PipelineExecutor(context=context, door=door, claims=claims)

    def new_local_claims(self) -> LocalExecutor:
        """Return what this box writes of claims, for itself and for others."""
        plan = GroupingConfig(
            shards=self.settings.claim_shards,
            slot_s=self.settings.claim_slot_s,
            retention_s=self.settings.claim_retention_h * SECONDS_AN_HOUR,
            write_interval_s=self.settings.claim_write_interval_s,
        )
        return LocalExecutor(store=self.store, clock=self.clock, grouping=plan)

    def new_pool(self, service: str) -> ServicePool:
        """Return the pool of a service that has appeared."""
        return ServicePool(
            service=service,
            clock=self.clock,
            selector=ExpectedCompletionSelector(rng=self.rng),
            new_limit=self.new_limit,
        )

    def new_limit(self, endpoint: Endpoint) -> ConcurrencyLimit:
        """Return an endpoint's limit, which starts at this box's share."""
        return GradientLimit(concurrency=endpoint.concurrency, boxes=self.settings.boxes)

    def new_id(self) -> str:
        """Return an identifier that no other request or claim has.

        It must not come from `rng`: boxes may be given the same seed, and a nonce that two boxes
        share would let both run one request.
        """
        return uuid.uuid4().hex

    def synced(self) -> bool:
        """Tell whether the view was once whole: read from the platform or a ready peer."""
        return self.feed.synced or self.gossip.agreed_with_ready_peer

    def isolated(self) -> bool:
        """Tell whether this box is cut off from platform and peers, and so hears of no drain.

        A box that knows of no others has only the platform, whose outage it serves through.
        """
        age = self.gossip.contact_age_s()
        limit_s = self.settings.isolation_s
        if age is not None and age <= limit_s:
            return False
        members = self.gossip.members
        alone = not members.heard_within(limit_s, self.clock.monotonic())
        return alone and members.expects_others

    def may_serve(self) -> bool:
        """Tell whether the view is good enough to serve by."""
        return self.synced() and not self.isolated()

    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return self.may_serve() and not self.lifecycle.leaving

    def log_updates(self, updates: list[ViewUpdate]) -> None:
        """Log what has come into force."""
        for update in updates:
            events.emit(log, events.VIEW_CHANGED, key=update.key, version=update.version)
            for problem in self.view.problems.get(update.key, []):
                events.emit(log, events.VIEW_PROBLEM, problem=str(problem))

    def status(self) -> dict[str, Any]:
        """Return what operators see of this box."""
        return {
            'box': self.settings.box,
            'failure_domain': self.settings.failure_domain,
            'ready': self.ready(),
            'leaving': self.lifecycle.leaving,
            'relaying': self.roles.is_relaying,
            'contact_age_s': self.gossip.contact_age_s(),
            'config_digest': f'{self.view.digest:016x}',
            'objects': len(self.view.entries),
            'in_progress': self.lifecycle.in_progress,
        }
