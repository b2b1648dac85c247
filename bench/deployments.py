"""Describe the users' deployments at their current sizes, for the simulated bench."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from calicopath_core.structure.endpoints import Endpoint
from calicopath_core.structure.stages import StageKind
from testkit.fake_endpoints import FakeEndpoint, FakeFleet, Timing

if TYPE_CHECKING:
    from testkit.fake_store import StoreState

TOKENS_PER_ANSWER = 12
"""Each token stands for several real ones, which keeps the bench fast."""


class PoolSize(NamedTuple):
    """Hold a service's number of replicas, the concurrent calls of each, and their timing."""

    kind: StageKind
    replicas: int
    concurrency: int
    timing: Timing
    expected_ms: int


class Workload(NamedTuple):
    """Hold one workspace's pipeline and its weight in the mix of requests."""

    workspace: str
    template: str
    priority: int
    share: float


class Deployment(NamedTuple):
    """Hold one user's boxes, failure domains, pools by service, and workloads."""

    name: str
    boxes: int
    failure_domains: int
    pools: dict[str, PoolSize]
    workloads: tuple[Workload, ...]

    @property
    def capacity_per_s(self) -> float:
        """Return the request rate at which all generation slots are busy."""
        pool = self.pools['drafting']
        full = 1.0 + pool.timing.batch_slowdown * (pool.concurrency - 1)
        service_s = (pool.timing.first_token_s + TOKENS_PER_ANSWER * pool.timing.token_s) * full
        return pool.replicas * pool.concurrency / service_s


STAGE_TIMING = Timing(service_s=0.012)
ENGINE_TIMING = Timing(first_token_s=0.06, token_s=0.04, batch_slowdown=0.03, prefill_s=0.15)


def new_deployment(
    name: str, boxes: int, drafting_replicas: int, workloads: tuple[Workload, ...]
) -> Deployment:
    """Return a deployment whose pools differ from others only in the drafting replicas."""
    pools = {
        'encoders': PoolSize(StageKind.ENCODER, 2, 2, STAGE_TIMING, 12),
        'retrievers': PoolSize(StageKind.RETRIEVER, 2, 4, STAGE_TIMING, 12),
        'rerankers': PoolSize(StageKind.RERANKER, 2, 4, STAGE_TIMING, 12),
        'drafting': PoolSize(StageKind.ENGINE, drafting_replicas, 8, ENGINE_TIMING, 540),
        'desk': PoolSize(StageKind.SERVICE, 4, 8, STAGE_TIMING, 12),
    }
    return Deployment(name, boxes, 4, pools, workloads)


RAVI = new_deployment(
    'ravi-canal-hire',
    6,
    6,
    (
        Workload('booking-desk', 'act', 8, 0.25),
        Workload('deposits', 'act', 8, 0.1),
        Workload('lock-passage', 'answer', 7, 0.2),
        Workload('towpath', 'answer', 6, 0.35),
        Workload('boatyard', 'answer', 3, 0.1),
    ),
)
POKANA = new_deployment(
    'pokana-coop',
    8,
    9,
    (
        Workload('guestbook', 'act', 8, 0.2),
        Workload('reminders', 'act', 7, 0.1),
        Workload('card-studio', 'answer', 5, 0.4),
        Workload('member-desk', 'answer', 4, 0.1),
        Workload('family-drafts', 'answer', 3, 0.2),
    ),
)
MANY_BOXES = POKANA._replace(name='many-boxes', boxes=48)
"""Pokana Co-op with more boxes than concurrent calls per replica, as at the design size."""

MANY_WORKSPACES = POKANA._replace(
    name='many-workspaces',
    workloads=tuple(Workload(f'workspace-{n}', 'answer', 5, 1.0) for n in range(60)),
)
"""Pokana Co-op with more workspaces than prompt prefixes fit into an engine's cache."""

DEPLOYMENTS = {item.name: item for item in (RAVI, POKANA, MANY_BOXES, MANY_WORKSPACES)}

TEMPLATE_STAGES = {
    'answer': ('encoders', 'retrievers', 'rerankers', 'drafting'),
    'act': ('encoders', 'retrievers', 'rerankers', 'drafting', 'desk'),
    'lookup': ('encoders', 'retrievers', 'rerankers'),
}


def new_fleet(deployment: Deployment) -> FakeFleet:
    """Return the fake endpoints of a deployment, spread over its failure domains."""
    return FakeFleet(
        [
            FakeEndpoint(
                endpoint=Endpoint(
                    f'{service}-{number}',
                    service,
                    pool.kind,
                    'http://127.0.0.1:1',
                    f'domain-{number % deployment.failure_domains}',
                    pool.concurrency,
                ),
                timing=pool.timing,
            )
            for service, pool in deployment.pools.items()
            for number in range(pool.replicas)
        ]
    )


def new_documents(deployment: Deployment, fleet: FakeFleet) -> dict[str, dict[str, Any]]:
    """Return the configuration documents of a deployment by store key."""
    specs: dict[str, dict[str, Any]] = {}
    for name, item in fleet.endpoints.items():
        endpoint = item.endpoint
        specs[f'config/endpoints/{name}'] = {
            'kind': 'endpoint',
            'name': name,
            'service': endpoint.service,
            'stage': endpoint.kind.value,
            'address': endpoint.address,
            'failure_domain': endpoint.failure_domain,
            'concurrency': endpoint.concurrency,
        }
    for template, services in TEMPLATE_STAGES.items():
        specs[f'config/templates/{template}'] = {
            'kind': 'template',
            'name': template,
            'parameters': {'prefix': {'type': 'string', 'default': ''}},
            'stages': [stage_spec(service, deployment.pools[service]) for service in services],
        }
    for workload in (*deployment.workloads, Workload('lookups', 'lookup', 5, 0.0)):
        specs[f'config/pipelines/{workload.workspace}/main'] = {
            'kind': 'pipeline',
            'workspace': workload.workspace,
            'name': 'main',
            'template': workload.template,
            'parameters': {'prefix': f'{workload.workspace}:'},
            'deadline_ms': 2000,
            'priority': workload.priority,
        }
    return specs


def stage_spec(service: str, pool: PoolSize) -> dict[str, Any]:
    """Return the template entry of a service's stage."""
    spec: dict[str, Any] = {
        'name': service,
        'kind': pool.kind.value,
        'service': service,
        'expected_ms': pool.expected_ms,
    }
    if pool.kind is StageKind.SERVICE:
        spec['repeatable'] = False
    if pool.kind is StageKind.ENGINE:
        spec['params'] = {'max_tokens': TOKENS_PER_ANSWER, 'instruction': '${prefix}'}
    return spec


def fill_store(state: StoreState, specs: dict[str, dict[str, Any]]) -> None:
    """Write configuration documents into a fake store."""
    for key, spec in specs.items():
        state.write(key, {'spec': spec, 'change': {}}, 0)
