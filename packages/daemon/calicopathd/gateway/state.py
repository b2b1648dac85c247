"""Serve a box's metrics and state to operators over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec

from calicopath_core.crashes.suspects import is_part
from calicopath_core.fleet.store import RecordKind
from calicopathd.gateway.exclusions import excluded_replicas
from calicopathd.gateway.requests import RawRequest, RequestHandler
from calicopathd.gateway.scheduling import scheduling_state

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.crashes.suspects import SuspectKey
    from calicopath_core.fleet.deployment import ClientLimits
    from calicopathd.gateway.box import GatewayBox
    from calicopathd.gateway.metrics import GatewayMetrics
    from calicopathd.gateway.reloading import SettingsFile
    from calicopathd.gateway.responder import Responder

STATE_PATH = '/state'
BOXES_PATH = '/boxes'
BLOCKED_PATH = '/blocked'
REPLICAS_PATH = '/replicas'
SCHEDULER_PATH = '/scheduler'
VERSIONS_PATH = '/versions'
RELEASE_PATH = '/blocked/release'
STATUS_OK = 200
STATUS_METHOD_NOT_ALLOWED = 405
JSON_HEADERS = (('Content-Type', 'application/json'),)


class EvacuatedFailureDomain(msgspec.Struct, frozen=True):
    """Name a failure domain taken out, the time in seconds since 1970, and the store revision."""

    failure_domain: str
    since: float
    revision: int


class BoxState(msgspec.Struct, frozen=True):
    """Describe the settings, configuration and evacuations in force; times are since 1970.

    `problem` is the error of the settings file, empty if the file is in force. `missing` is what
    the box lacks to be ready, `unreadable` holds the objects of the store that it cannot decode, by
    kind and name, with the reasons. The box knows the evacuations up to `taken_out_revision` of the
    store's `taken_out_era`, -1 if it knows none.
    """

    box: str
    failure_domain: str
    ready: bool
    settings: str
    settings_since: float
    problem: str
    configuration: int
    configuration_since: float
    taken_out: list[EvacuatedFailureDomain]
    taken_out_revision: int
    taken_out_era: int
    missing: list[str] = []
    unreadable: dict[str, str] = {}


class ListedBox(msgspec.Struct, frozen=True):
    """Name a box and the address of its state endpoint."""

    box: str
    address: str


class BlockedRequest(msgspec.Struct, frozen=True):
    """Describe a blocked request; `since` and `until` are in seconds since 1970.

    `parts` are the parts of a prompt that a request must have to be blocked, `spared` others that
    were at the same crashes.
    """

    content: str
    service: str
    since: float
    until: float
    replicas: tuple[str, ...]
    parts: tuple[str, ...] = ()
    spared: tuple[str, ...] = ()


class ReleasedRequest(msgspec.Struct, frozen=True):
    """Name a request that was unblocked."""

    content: str
    service: str


def part_contents(keys: Iterable[SuspectKey]) -> tuple[str, ...]:
    """Return the fingerprints of the parts of prompts among some keys."""
    return tuple(sorted(key.content for key in keys if is_part(key.content)))


class StateHandler(RequestHandler):
    """Answer requests of operators on the box's metrics address."""

    def __init__(
        self, *, box: GatewayBox, metrics: GatewayMetrics, settings_file: SettingsFile
    ) -> None:
        self.box = box
        self.metrics = metrics
        self.settings_file = settings_file

    async def handle(self, request: RawRequest, responder: Responder) -> None:
        """Answer with JSON on the state paths, and with the metrics on all others."""
        path, _, query = request.target.partition('?')
        if path == STATE_PATH:
            responder.respond(STATUS_OK, JSON_HEADERS, msgspec.json.encode(self.box_state()))
        elif path == BOXES_PATH:
            responder.respond(STATUS_OK, JSON_HEADERS, msgspec.json.encode(self.boxes()))
        elif path == BLOCKED_PATH:
            responder.respond(STATUS_OK, JSON_HEADERS, msgspec.json.encode(self.blocked_requests()))
        elif path == REPLICAS_PATH:
            body = msgspec.json.encode(excluded_replicas(self.box))
            responder.respond(STATUS_OK, JSON_HEADERS, body)
        elif path == SCHEDULER_PATH:
            body = msgspec.json.encode(scheduling_state(self.box, self.metrics))
            responder.respond(STATUS_OK, JSON_HEADERS, body)
        elif path == VERSIONS_PATH:
            body = msgspec.json.encode(self.box.versions.state())
            responder.respond(STATUS_OK, JSON_HEADERS, body)
        elif path == RELEASE_PATH and request.method == 'POST':
            released = self.release(query)
            responder.respond(STATUS_OK, JSON_HEADERS, msgspec.json.encode(released))
        elif path == RELEASE_PATH:
            responder.respond(STATUS_METHOD_NOT_ALLOWED, (('Allow', 'POST'),), b'')
        else:
            body, headers = self.metrics.render()
            responder.respond(STATUS_OK, tuple(headers.items()), body)

    def box_state(self) -> BoxState:
        """Return the settings, configuration and evacuations in force."""
        state = self.settings_file.state
        taken_out_at = self.box.known_position(RecordKind.EVACUATION)
        return BoxState(
            box=self.box.own.name,
            failure_domain=self.box.own.failure_domain,
            ready=self.box.is_ready(),
            settings=state.digest,
            settings_since=state.since,
            problem=state.problem,
            configuration=self.box.config_version(),
            configuration_since=self.box.config_since,
            taken_out=self.evacuated_failure_domains(),
            taken_out_revision=taken_out_at.revision,
            taken_out_era=taken_out_at.era,
            missing=self.box.missing(),
            unreadable=self.box.store.unreadable_objects(),
        )

    def evacuated_failure_domains(self) -> list[EvacuatedFailureDomain]:
        """Return the failure domains whose replicas get no new work from this box."""
        active = self.box.evacuations.active
        return [
            EvacuatedFailureDomain(failure_domain, item.since, item.evacuation.revision)
            for failure_domain, item in sorted(active.items())
        ]

    def blocked_requests(self) -> list[BlockedRequest]:
        """Return the blocked requests that this box knows."""
        box = self.box
        since_1970 = box.clock.wall() - box.clock.monotonic()
        return [
            BlockedRequest(
                content=item.key.content,
                service=item.key.service,
                since=item.since + since_1970,
                until=item.until + since_1970,
                replicas=item.replicas,
                parts=part_contents(item.keys),
                spared=part_contents(item.spared),
            )
            for item in box.ledger.blocked.values()
        ]

    def release(self, query: str) -> list[ReleasedRequest]:
        """Unblock the request named in a query; return it with the services that blocked it."""
        fields = parse_qs(query)
        content = fields.get('content', [''])[0]
        keys = self.box.crashes.release(content, who=fields.get('who', ['?'])[0])
        return [ReleasedRequest(*key) for key in keys]

    def boxes(self) -> list[ListedBox]:
        """Return every box, this one included; all boxes use the same metrics port."""
        port = self.box.settings.metrics_listen.port
        listed = {self.box.own.name: self.box.own, **self.box.records.boxes}
        return [
            ListedBox(name, f'{box.address.rpartition(":")[0]}:{port}')
            for name, box in sorted(listed.items())
        ]

    def limits(self) -> ClientLimits:
        """Return the limits on requests that are in force."""
        return self.box.limits()

    def on_bad_request(self, status: int, reason: str) -> None:
        """Ignore invalid requests: they do not come from callers and are not counted."""
