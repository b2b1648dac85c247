"""Hold the engine pools of all services, and apply to each what concerns them all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.fleet.pace import PaceEstimates
from calicopath_core.permits.issuer import PermitIssuer, UnlimitedIssuer
from calicopath_core.scheduling.backoffs import FleetBackoffs
from calicopath_core.scheduling.engines import EnginePool
from calicopath_core.scheduling.prompt_speed import MAX_SERVICES
from calicopath_core.scheduling.starts import start_limit_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.fleet.deployment import EngineSpec, ServiceSpec
    from calicopath_core.fleet.replicas import Replica, ReplicaTable
    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.starts import WarmupTerms
    from calicopath_core.versions.declaring import DeclarationWait


class EnginePools(dict[str, EnginePool]):
    """Map the name of each service of engines to its pool."""

    def __init__(
        self,
        *,
        salt: str,
        warmup: WarmupTerms,
        pool_factory: Callable[[EngineSpec], EnginePool] | None = None,
        permits: PermitIssuer | None = None,
        pace: PaceEstimates | None = None,
    ) -> None:
        super().__init__()
        self.pace = pace or PaceEstimates()
        self.permits = permits or UnlimitedIssuer()
        self.salt = salt
        self.warmup = warmup
        self.backoffs = FleetBackoffs()
        self.pool_factory = pool_factory or self.create_pool
        self.declaration_wait: DeclarationWait | None = None

    def create_pool(self, spec: EngineSpec) -> EnginePool:
        """Return a new pool for a service's engines."""
        return EnginePool(
            slots=spec.slots,
            kv_tokens=spec.kv_tokens,
            salt=self.salt,
            backoffs=self.backoffs,
            permits=self.permits,
            pace=self.pace,
        )

    def set_spec(self, service: ServiceSpec) -> None:
        """Create a service's pool, if it has engines, and set the start limit of its engines."""
        if service.engine is None:
            return
        if service.name not in self:
            self[service.name] = self.pool_factory(service.engine)
            self[service.name].declaration_wait = self.declaration_wait
        start_limit = start_limit_of(service.warmup, self.warmup) if service.warmup else None
        self[service.name].start_limit = start_limit

    def set_replicas(
        self, replicas: ReplicaTable, select_replicas: Callable[[list[Replica]], list[Replica]]
    ) -> None:
        """Set which engines exist, and which of them `share_of` lets this box choose."""
        for name, pool in self.items():
            pool.set_replicas(select_replicas(replicas.usable(name)), replicas.replicas)

    def set_declared(self, versions: dict[str, frozenset[str]] | None) -> None:
        """Set the software versions at which streams may begin; `None` if they are not known."""
        for name, pool in self.items():
            pool.declared_versions = None if versions is None else versions.get(name, frozenset())
        if self.declaration_wait is not None:
            self.declaration_wait.end()

    def on_activated(self, now: float) -> None:
        """Record that another box may place runs a moment longer."""
        for pool in self.values():
            pool.on_activated(now)

    def expire(self, now: float) -> None:
        """Drop runs whose end was never reported, and expired backoffs."""
        for pool in self.values():
            pool.expire_lost_runs(now)
        self.backoffs.expire(now)

    def has_restrictions_for(self, job: Job) -> bool:
        """Tell whether other jobs may use engines that are closed to this one."""
        place = job.place
        is_restricted = bool(place.exclude) or place.version is not None
        return is_restricted or place.reply_to in self.backoffs.by_box

    def loads(self) -> dict[str, float]:
        """Return the work that waits at each engine, in seconds by replica."""
        return {name: load_s for pool in self.values() for name, load_s in pool.loads().items()}

    def on_other_loads(self, sender: str, loads: dict[str, float], now: float) -> None:
        """Count work that another scheduler has placed, for about as long as it takes."""
        for pool in self.values():
            for replica_id, load_s in loads.items():
                pool.on_foreign_load(sender, replica_id, load_s, now)

    def prompt_speeds(self) -> dict[str, float]:
        """Return the learned seconds per prompt token of at most `MAX_SERVICES` services."""
        speeds = {name: pool.prompt_speed.learned_s_per_token for name, pool in self.items()}
        return dict(list(speeds.items())[:MAX_SERVICES])

    def restore_prompt_speeds(self, speeds: dict[str, float]) -> None:
        """Take over the seconds per prompt token that another scheduler has learned."""
        for name, pool in self.items():
            if name in speeds:
                pool.prompt_speed.restore(speeds[name])
