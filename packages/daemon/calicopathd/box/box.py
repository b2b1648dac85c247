"""Assemble the components of a box: view, gossip, pools, claims and executor."""

from __future__ import annotations

import random
import uuid
from typing import TYPE_CHECKING, Any

import structlog

from calicopath_clients.calls import HttpEndpointProber, HttpPlainService, HttpStagePool
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
from calicopath_core.execution.admission import PipelineAdmission
from calicopath_core.execution.attempts import StageContext
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

SECONDS_PER_HOUR = 3600


class Box:
    """Hold the components of one daemon."""

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
        self.relay_controller = RelayController(
            gossip=self.gossip,
            feed=self.feed,
            boxes=HttpBoxList(url=settings.platform, session=session),
            clock=self.clock,
            rng=self.rng,
        )
        subset = SubsetChooser(box=settings.box, failure_domain=settings.failure_domain)
        self.pools = PoolRegistry(view=self.view, subset=subset, new_pool=self.new_pool)
        self.crash_guard = self.new_crash_guard()
        self.backends = Backends(
            engine=HttpEngine(session=session),
            pool=HttpStagePool(session=session),
            service=HttpPlainService(session=session),
            prober=HttpEndpointProber(),
        )
        self.local_claims = self.new_local_claims()
        shard_owners = GossipShardOwners(
            gossip=self.gossip, local=self.local_claims, clock=self.clock
        )
        self.forwarding_executor = ForwardingExecutor(
            local=self.local_claims, shard_owners=shard_owners
        )
        self.executor = self.new_executor()

    def new_gossip(self) -> Gossip:
        """Return the gossip with other boxes, which starts with the seed peers."""
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
        seed_addresses = [item.strip() for item in settings.seed_peers.split(',') if item.strip()]
        members.on_listed([MemberInfo(seed, '', seed, 0, 0, False) for seed in seed_addresses], now)
        return Gossip(
            view=self.view,
            members=members,
            transport=self.transport,
            clock=self.clock,
            rng=self.rng,
            is_ready=self.is_ready,
        )

    def new_crash_guard(self) -> CrashGuard:
        """Return the guard that blocks requests that crash endpoints, with evidence from peers."""
        ledger = CrashLedger(clock=self.clock, observer=CrashLog(counters=self.metrics))
        sharing = CrashSharing(
            clock=self.clock,
            ledger=ledger,
            own_address=self.gossip.members.own.address,
            hubs=self.choose_crash_hubs,
            send=self.gossip.send,
            forwards=True,
        )
        self.gossip.share_crashes(sharing)
        return CrashGuard(ledger=ledger, sharing=sharing)

    def choose_crash_hubs(self) -> list[str]:
        """Return the addresses of a few random boxes that forward crash evidence to others."""
        members = self.gossip.members
        chosen = members.sample(PUSH_FANOUT, self.clock.monotonic(), self.rng)
        return [member.info.address for member in chosen]

    def new_executor(self) -> PipelineExecutor:
        """Return the executor of requests, with the policy that the settings choose."""
        policy = policy_for(
            Objective(self.settings.objective), affinity=self.settings.prefix_affinity == 'on'
        )
        context = StageContext(
            pools=self.pools,
            backends=self.backends,
            clock=self.clock,
            policy=policy,
            retry_budget=RetryBudget(),
            observer=self.metrics,
            lag=self.lag,
            crashes=self.crash_guard,
        )
        admission = PipelineAdmission(
            pools=self.pools, margin=policy.admission_margin, lag=self.lag
        )
        claims = ClaimRegistry(
            local=self.local_claims, executor=self.forwarding_executor, new_nonce=self.new_id
        )
        return PipelineExecutor(context=context, admission=admission, claims=claims)

    def new_local_claims(self) -> LocalExecutor:
        """Return the executor of claim operations, for requests of this box and for other boxes."""
        grouping = GroupingConfig(
            shards=self.settings.claim_shards,
            slot_s=self.settings.claim_slot_s,
            retention_s=self.settings.claim_retention_h * SECONDS_PER_HOUR,
            write_interval_s=self.settings.claim_write_interval_s,
        )
        return LocalExecutor(store=self.store, clock=self.clock, grouping=grouping)

    def new_pool(self, service: str) -> ServicePool:
        """Return the pool of a service that is new in the configuration."""
        return ServicePool(
            service=service,
            clock=self.clock,
            selector=ExpectedCompletionSelector(rng=self.rng),
            new_limit=self.new_limit,
        )

    def new_limit(self, endpoint: Endpoint) -> ConcurrencyLimit:
        """Return the concurrency limit of an endpoint, which starts at this box's share."""
        return GradientLimit(concurrency=endpoint.concurrency, boxes=self.settings.boxes)

    def new_id(self) -> str:
        """Return a unique identifier for a request or a claim nonce.

        It must not come from `rng`: boxes may have the same seed, and a nonce that two boxes share
        would let both run one request.
        """
        return uuid.uuid4().hex

    def is_synced(self) -> bool:
        """Tell whether the view was once complete, read from the platform or from a ready peer."""
        return self.feed.synced or self.gossip.agreed_with_ready_peer

    def is_isolated(self) -> bool:
        """Tell whether this box has lost contact with the platform and all peers.

        An isolated box does not learn that endpoints are draining. A box that knows no other box
        never counts as isolated: it depends on the platform alone and serves during its outages.
        """
        age = self.gossip.contact_age_s()
        limit_s = self.settings.isolation_s
        if age is not None and age <= limit_s:
            return False
        members = self.gossip.members
        hears_no_peer = not members.heard_within(limit_s, self.clock.monotonic())
        return hears_no_peer and members.expects_others

    def may_serve(self) -> bool:
        """Tell whether the view is complete and recent enough to serve requests."""
        return self.is_synced() and not self.is_isolated()

    def is_ready(self) -> bool:
        """Tell whether the load balancer should send callers to this box."""
        return self.may_serve() and not self.lifecycle.leaving

    def log_updates(self, updates: list[ViewUpdate]) -> None:
        """Log objects that came into force and the problems found in them."""
        for update in updates:
            events.emit(log, events.VIEW_CHANGED, key=update.key, version=update.version)
            for problem in self.view.problems.get(update.key, []):
                events.emit(log, events.VIEW_PROBLEM, problem=str(problem))

    def status(self) -> dict[str, Any]:
        """Return the state of this box for operators, as in `GET /admin/v1/status`."""
        return {
            'box': self.settings.box,
            'failure_domain': self.settings.failure_domain,
            'ready': self.is_ready(),
            'leaving': self.lifecycle.leaving,
            'relaying': self.relay_controller.is_relaying,
            'contact_age_s': self.gossip.contact_age_s(),
            'config_digest': f'{self.view.digest:016x}',
            'objects': len(self.view.entries),
            'in_progress': self.lifecycle.in_progress,
        }
