"""Assemble a box: its view, pools, claims and executor."""

from __future__ import annotations

import random
import uuid
from typing import TYPE_CHECKING, Any

import structlog

from calicopath_clients.calls import HttpLoadReader, HttpPlainService, HttpStagePool
from calicopath_clients.engine import HttpEngine
from calicopath_clients.platform import HttpObjectStore
from calicopath_core.backends.base import Backends
from calicopath_core.clock import LoopClock
from calicopath_core.execution.door import Door
from calicopath_core.execution.executor import PipelineExecutor
from calicopath_core.execution.policy import Objective, policy_for
from calicopath_core.execution.stages import StageContext
from calicopath_core.limits.concurrency import GradientLimit
from calicopath_core.limits.retry import RetryBudget
from calicopath_core.routing.pools import ServicePool
from calicopath_core.routing.registry import PoolRegistry
from calicopath_core.routing.selectors import TwoChoicesSelector
from calicopath_core.store.claims import ClaimRegistry
from calicopath_core.store.feed import StoreFeed
from calicopath_core.store.view import ConfigView, ViewUpdate
from calicopathd import events
from calicopathd.box.lifecycle import Lifecycle
from calicopathd.box.load import LoadPoller
from calicopathd.metrics import Metrics

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
        self.view.listeners.append(self.log_updates)
        self.store = HttpObjectStore(url=settings.platform, session=session)
        self.feed = StoreFeed(
            store=self.store, view=self.view, clock=self.clock, relist_s=settings.relist_s
        )
        self.pools = PoolRegistry(view=self.view, new_pool=self.new_pool)
        self.backends = Backends(
            engine=HttpEngine(session=session),
            pool=HttpStagePool(session=session),
            service=HttpPlainService(session=session),
            load=HttpLoadReader(session=session),
        )
        self.poller = LoadPoller(
            pools=self.pools,
            reader=self.backends.load,
            clock=self.clock,
            interval_s=settings.load_interval_s,
        )
        self.executor = self.new_executor()

    def new_executor(self) -> PipelineExecutor:
        """Return the executor with the policy that the deployment chose."""
        policy = policy_for(Objective(self.settings.objective))
        context = StageContext(
            pools=self.pools,
            backends=self.backends,
            clock=self.clock,
            policy=policy,
            budget=RetryBudget(),
            observer=self.metrics,
        )
        claims = ClaimRegistry(
            store=self.store,
            clock=self.clock,
            new_nonce=self.new_id,
            shards=self.settings.claim_shards,
            retention_s=self.settings.claim_retention_h * SECONDS_AN_HOUR,
        )
        door = Door(pools=self.pools, margin=policy.door_margin)
        return PipelineExecutor(context=context, door=door, claims=claims)

    def new_pool(self, service: str) -> ServicePool:
        """Return the pool of a service that has appeared."""
        return ServicePool(
            service=service,
            clock=self.clock,
            selector=TwoChoicesSelector(rng=self.rng),
            new_limit=self.new_limit,
        )

    def new_limit(self, endpoint: Endpoint) -> ConcurrencyLimit:
        """Return an endpoint's limit, which starts at this box's share."""
        return GradientLimit(
            start=endpoint.concurrency / self.settings.boxes, ceiling=endpoint.concurrency
        )

    def new_id(self) -> str:
        """Return an identifier that no other request or claim has."""
        return uuid.UUID(int=self.rng.getrandbits(128), version=4).hex

    def may_serve(self) -> bool:
        """Tell whether the view is good enough to serve by."""
        return self.feed.synced

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
            'config_digest': f'{self.view.digest:016x}',
            'objects': len(self.view.entries),
            'in_progress': self.lifecycle.in_progress,
        }
