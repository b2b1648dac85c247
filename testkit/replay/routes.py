"""Describe the routes and workspaces of a replay as a deployment has them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.fleet.deployment import Phase, Route, RouteKind, WeightedService, Workspace
from testkit.replay.fleet import CHECK, ENGINE, RANK, RETRIEVE

if TYPE_CHECKING:
    from testkit.replay.fleet import Fleet, JobKind

MAX_ATTEMPTS = 2


def routes_of(fleet: Fleet) -> tuple[Route, ...]:
    """Return a route for each kind of request."""
    return tuple(route_of(kind) for kind in fleet.kinds)


def route_of(kind: JobKind) -> Route:
    """Return the route of a kind of request; its stages read from the one before."""
    names = [RETRIEVE, RANK, CHECK] if kind.chained else [RETRIEVE]
    phases = tuple(
        Phase(name, (number - 1,) if number else (), 0) for number, name in enumerate(names)
    )
    return Route(
        name=kind.name,
        host='',
        prefix=f'/{kind.name}/',
        kind=RouteKind.STREAMING,
        timeout_s=kind.deadline_s,
        objective_s=kind.objective_s,
        priority=kind.priority,
        services=(WeightedService(ENGINE, 1.0),),
        max_attempts=MAX_ATTEMPTS,
        phases=phases,
        anonymous=False,
        resumable=True,
    )


def workspaces_of(count: int) -> tuple[Workspace, ...]:
    """Return that many workspaces."""
    return tuple(Workspace(f'workspace-{number}', (), None) for number in range(count))
