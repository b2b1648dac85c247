"""Hold the engines of every service, and what is done alike for all of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.permits.holder import UnlimitedIssuer, PermitIssuer
from calicopath_core.scheduling.backoffs import FleetBackoffs
from calicopath_core.scheduling.engines import EngineBoard
from calicopath_core.scheduling.starts import bound_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.fleet.deployment import EngineSpec, ServiceSpec
    from calicopath_core.fleet.replicas import Replica, ReplicaTable
    from calicopath_core.scheduling.starts import WarmupTerms


class EngineBoards(dict[str, EngineBoard]):
    """Hold a board for each service of engines, by its name."""

    def __init__(
        self,
        *,
        salt: str,
        warmup: WarmupTerms,
        new_board: Callable[[EngineSpec], EngineBoard] | None = None,
        permits: PermitIssuer | None = None,
    ) -> None:
        super().__init__()
        self.permits = permits or UnlimitedIssuer()
        self.salt = salt
        self.warmup = warmup
        self.backoffs = FleetBackoffs()
        self.new_board = new_board or self.board_of

    def board_of(self, spec: EngineSpec) -> EngineBoard:
        """Return the board of a service's engines."""
        return EngineBoard(
            slots=spec.slots,
            kv_tokens=spec.kv_tokens,
            salt=self.salt,
            backoffs=self.backoffs,
            permits=self.permits,
        )

    def set_spec(self, service: ServiceSpec) -> None:
        """Take in what a service's engines can do, if it has engines."""
        if service.engine is None:
            return
        if service.name not in self:
            self[service.name] = self.new_board(service.engine)
        bound = bound_of(service.warmup, self.warmup) if service.warmup else None
        self[service.name].bound = bound

    def set_replicas(
        self, replicas: ReplicaTable, share_of: Callable[[list[Replica]], list[Replica]]
    ) -> None:
        """Take in which engines there are, and which of them may be chosen."""
        for name, board in self.items():
            board.set_replicas(share_of(replicas.usable(name)), replicas.replicas)

    def on_take_up(self, now: float) -> None:
        """Note that another box may place runs a moment longer."""
        for board in self.values():
            board.on_take_up(now)

    def forget_lost(self, now: float) -> None:
        """Drop runs whose end was never told."""
        for board in self.values():
            board.forget_lost(now)
        self.backoffs.expire(now)

    def loads(self) -> dict[str, float]:
        """Return the work that waits at each engine, in seconds."""
        return {name: load_s for board in self.values() for name, load_s in board.loads().items()}

    def on_foreign_loads(self, sender: str, loads: dict[str, float], now: float) -> None:
        """Count work that another scheduler has placed, for about as long as it takes."""
        for board in self.values():
            for replica_id, load_s in loads.items():
                board.on_foreign_load(sender, replica_id, load_s, now)
