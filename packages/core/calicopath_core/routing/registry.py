"""Update the pools of all services when the configuration changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.structure.keys import ENDPOINT_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.routing.pools import ServicePool
    from calicopath_core.routing.subset import SubsetChooser
    from calicopath_core.store.view import ConfigView, ViewUpdate
    from calicopath_core.structure.endpoints import Endpoint


class PoolRegistry:
    """Hold one pool per service, with this box's subset of the service's endpoints."""

    def __init__(
        self,
        *,
        view: ConfigView,
        subset: SubsetChooser,
        new_pool: Callable[[str], ServicePool],
    ) -> None:
        self.view = view
        self.subset = subset
        self.new_pool = new_pool
        self.pools: dict[str, ServicePool] = {}
        self.endpoints_by_service: dict[str, dict[str, Endpoint]] = {}
        self.service_of: dict[str, str] = {}
        view.listeners.append(self.on_updates)

    def pool(self, service: str) -> ServicePool:
        """Return the pool of a service, created on first use."""
        if service not in self.pools:
            self.pools[service] = self.new_pool(service)
        return self.pools[service]

    def on_updates(self, updates: list[ViewUpdate]) -> None:
        """Update the pools of all services whose endpoints have changed."""
        changed: set[str] = set()
        for update in updates:
            if update.key.startswith(ENDPOINT_PREFIX):
                changed |= self.reassign(update.key)
        for service in sorted(changed):
            endpoints = self.endpoints_by_service.get(service, {}).values()
            self.pool(service).update(self.subset.choose(endpoints))

    def reassign(self, key: str) -> set[str]:
        """Index an endpoint under its current service; return the services that changed."""
        changed: set[str] = set()
        before = self.service_of.pop(key, None)
        if before is not None:
            del self.endpoints_by_service[before][key]
            changed.add(before)
        endpoint = self.view.endpoints.get(key)
        if endpoint is not None:
            self.endpoints_by_service.setdefault(endpoint.service, {})[key] = endpoint
            self.service_of[key] = endpoint.service
            changed.add(endpoint.service)
        return changed
