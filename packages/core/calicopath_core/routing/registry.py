"""Keep the pools of all services in step with configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.structure.keys import ENDPOINT_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.routing.pools import ServicePool
    from calicopath_core.routing.replicas import Replica
    from calicopath_core.store.view import ConfigView, ViewUpdate
    from calicopath_core.structure.endpoints import Endpoint


class PoolRegistry:
    """Hold one pool a service, made when the service's first endpoint appears."""

    def __init__(self, *, view: ConfigView, new_pool: Callable[[str], ServicePool]) -> None:
        self.view = view
        self.new_pool = new_pool
        self.pools: dict[str, ServicePool] = {}
        view.listeners.append(self.on_update)

    def pool(self, service: str) -> ServicePool:
        """Return the pool of a service."""
        if service not in self.pools:
            self.pools[service] = self.new_pool(service)
        return self.pools[service]

    def on_update(self, updates: list[ViewUpdate]) -> None:
        """Pass changes of endpoints on to their pools at once."""
        if any(update.key.startswith(ENDPOINT_PREFIX) for update in updates):
            self.refresh()

    def refresh(self) -> None:
        """Give every pool its endpoints."""
        by_service: dict[str, list[Endpoint]] = {service: [] for service in self.pools}
        for endpoint in self.view.endpoints.values():
            by_service.setdefault(endpoint.service, []).append(endpoint)
        for service, endpoints in by_service.items():
            self.pool(service).update(endpoints)

    def replica(self, endpoint: str) -> Replica | None:
        """Find an endpoint by name."""
        for pool in self.pools.values():
            if endpoint in pool.replicas:
                return pool.replicas[endpoint]
        return None
