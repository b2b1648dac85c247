"""Describe the deployment, replicas and requests of the gateway tests."""

from __future__ import annotations

from typing import Any

from calicopath_core.exchanges.budget import BudgetTerms
from calicopath_core.exchanges.messages import (
    Exchange,
)
from calicopath_core.fleet.deployment import (
    Deployment,
    EngineSpec,
    Phase,
    Route,
    RouteKind,
    ServiceSpec,
    StageSpec,
    WeightedService,
    Workspace,
)
from calicopath_core.fleet.replicas import Replica
from calicopath_core.scheduling.messages import Prompt, PromptPart

FAILURE_DOMAINS = ('north', 'south')
HOST = 'example.test'
KEY = 'key-1'
RETRY_BUDGET_TERMS = BudgetTerms(0.2, 50.0, 10.0)
STAGE = StageSpec(
    concurrency=1,
    batch=4,
    call_s=0.2,
    piece_s=0.04,
    result_capacity_bytes=9_000_000,
    result_ttl_s=4.0,
)
RESULT_BYTES = 1_000_000
EVENTS = 6
EVENT_GAP_S = 0.02


def route(name: str, kind: RouteKind, service: str, **changes: Any) -> Route:
    """Return a route of the test deployment."""
    fields: dict[str, Any] = {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_s': 8.0,
        'objective_s': 2.0,
        'priority': 0,
        'services': (WeightedService(service, 1.0),),
        'max_attempts': 2,
        'phases': (),
        'anonymous': False,
        'resumable': kind is RouteKind.STREAMING,
    }
    return Route(**(fields | changes))


def deployment(version: int = 1, **changes: Any) -> Deployment:
    """Return a deployment with a stream behind two stages, and a safe and an unsafe route."""
    fields: dict[str, Any] = {
        'version': version,
        'routes': (
            route(
                'draft',
                RouteKind.STREAMING,
                'engine',
                phases=(Phase('look', (), RESULT_BYTES), Phase('rank', (0,), RESULT_BYTES)),
            ),
            route('letter', RouteKind.STREAMING, 'engine', resumable=False),
            route('read', RouteKind.SAFE, 'desk', timeout_s=1.0),
            route('pay', RouteKind.UNSAFE, 'desk', timeout_s=1.0, max_attempts=1),
        ),
        'services': (
            ServiceSpec('engine', '/healthz', 100, None, EngineSpec(128, 250_000)),
            ServiceSpec('look', '/healthz', 100, STAGE, None),
            ServiceSpec('rank', '/healthz', 100, STAGE, None),
            ServiceSpec('desk', '/healthz', 100, None, None),
        ),
        'workspaces': (Workspace('hire', (KEY,), None),),
    }
    return Deployment(**(fields | changes))


def replicas() -> list[Replica]:
    """Return the replicas of the test deployment: one of each service in each failure domain."""
    return [
        Replica(
            f'{service}-{failure_domain}',
            service,
            f'{service}-{failure_domain}:1',
            failure_domain,
            6,
            False,
        )
        for service in ('engine', 'look', 'rank', 'desk')
        for failure_domain in FAILURE_DOMAINS
    ]


def exchange(number: int, route_name: str, now: float, **changes: Any) -> Exchange:
    """Return a request on a route."""
    staged = route_name == 'draft'
    fields: dict[str, Any] = {
        'call_id': f'call-{number}',
        'method': 'POST',
        'target': f'/{route_name}/x',
        'path': f'/{route_name}/x',
        'host': HOST,
        'headers': (),
        'body': b'',
        'received_at': now,
        'deadline_s': 8.0,
        'key': KEY,
        'last_event_id': None,
        'prompt': Prompt('m', (PromptPart(f'p{number}', 500),), 500, EVENTS),
        'piece_counts': (2, 1) if staged else (),
        'piece_key': f'key-{number}',
    }
    return Exchange(**(fields | changes))
