"""Define one version of a configuration: routes, services, workspaces and limits."""

from __future__ import annotations

import enum
import math
from typing import NamedTuple


class RouteKind(enum.StrEnum):
    """Classify a route's requests by whether they can be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


class Phase(NamedTuple):
    """Describe one stage of a route; `needs` holds the indices of the stages it reads from."""

    service: str
    needs: tuple[int, ...]
    result_bytes: int


class WeightedService(NamedTuple):
    """Name a service and the weight of its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Describe how requests for one host and path prefix are handled; times are in seconds.

    `first_event_timeout_s` is how long callers wait for the first event of a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    phases: tuple[Phase, ...]
    anonymous: bool
    resumable: bool
    first_event_timeout_s: float = math.inf

    @property
    def repeatable(self) -> bool:
        """Tell whether a request that may have been executed can be sent again."""
        return self.kind is RouteKind.SAFE or (self.streaming and self.resumable)

    @property
    def streaming(self) -> bool:
        """Tell whether answers are event streams."""
        return self.kind is RouteKind.STREAMING


class StageSpec(NamedTuple):
    """Describe one replica of a stage's service.

    `batch` is the maximum number of pieces per call; a call takes `call_s` plus `piece_s` for each
    piece. `result_capacity_bytes` is the memory for results, which are kept for `result_ttl_s`.
    """

    concurrency: int
    batch: int
    call_s: float
    piece_s: float
    result_capacity_bytes: float
    result_ttl_s: float


class EngineSpec(NamedTuple):
    """Describe one replica of a model engine: concurrent runs and KV cache size in tokens."""

    slots: int
    kv_tokens: int


class WarmupSpec(NamedTuple):
    """Set how many requests a second a cold replica accepts."""

    per_s: float


class ServiceSpec(NamedTuple):
    """Describe a service; `stage` or `engine` is set if it is one.

    `warmup` is set if its replicas may be cold.
    """

    name: str
    health_path: str
    max_connections: int
    stage: StageSpec | None
    engine: EngineSpec | None
    warmup: WarmupSpec | None = None


class ClientLimits(NamedTuple):
    """Limit the size of client requests and how long clients may take to send them."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class Workspace(NamedTuple):
    """Describe a workspace; its priority, if set, takes precedence over a route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


DEFAULT_LIMITS = ClientLimits(16384, 4194304, 3.0, 15.0)
"""The limits in force before a configuration is known."""


class Deployment:
    """Hold one complete version of the configuration, indexed for requests."""

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceSpec, ...],
        workspaces: tuple[Workspace, ...],
        limits: ClientLimits = DEFAULT_LIMITS,
    ) -> None:
        self.version = version
        self.routes = routes
        self.workspaces = workspaces
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.has_workspaces = bool(workspaces)
        self.workspaces_by_key = {
            key: workspace for workspace in workspaces for key in workspace.keys
        }
        self.routes_by_prefix = {(route.host, route.prefix): route for route in routes}

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path, or `None`."""
        end = path.rfind('/')
        while end >= 0:
            route = self.routes_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def workspace_for(self, key: str) -> Workspace | None:
        """Return the workspace that owns an API key, or `None`."""
        return self.workspaces_by_key.get(key)


class DeploymentView:
    """Hold the newest deployment seen; the version never decreases while the process runs."""

    def __init__(self) -> None:
        self.current: Deployment | None = None
        self.applied_at = 0.0

    def apply_if_newer(self, deployment: Deployment, now: float) -> bool:
        """Apply a deployment if it is newer than the current one; return whether it was."""
        if self.current is not None and deployment.version <= self.current.version:
            return False
        self.current = deployment
        self.applied_at = now
        return True
