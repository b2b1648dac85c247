"""Define what boxes tell each other of the store's records, and encode records for that.

A relay follows the store; boxes subscribe to relays. Positions are the store's; ages are spans in
seconds, since boxes' clocks differ.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

import msgspec

# msgspec reads these annotations when the program runs.
from calicopath_core.fleet.contact import StoreContact
from calicopath_core.fleet.deployment import ClientLimits, Deployment, Route, ServiceSpec, Workspace
from calicopath_core.fleet.evacuations import Evacuation
from calicopath_core.fleet.positions import Position
from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import Change, Record, RecordKind
from calicopath_core.scheduling.election import BoxAddress


class Subscribe(msgspec.Struct, frozen=True, tag='sb'):
    """Ask a relay for what the store changes; renewed often. `positions` is what the box holds."""

    sender: str
    positions: dict[RecordKind, Position]


class RelayStatus(msgspec.Struct, frozen=True, tag='rb'):
    """Answer a subscription: how the store answers the relay, and what the relay holds.

    `direct` says that the sender follows the store itself, `leaving` that it stops.
    """

    sender: str
    direct: bool
    leaving: bool
    contact: StoreContact
    positions: dict[RecordKind, Position]


class RelayUpdate(msgspec.Struct, frozen=True, tag='ru'):
    """Carry the newest state of records changed after `since`, or every one if that is `NOTHING`.

    `body` holds names and records, compressed.
    """

    sender: str
    kind: RecordKind
    since: Position
    position: Position
    body: bytes


RELAY_MESSAGES = (Subscribe, RelayStatus, RelayUpdate)


class DeploymentFields(NamedTuple):
    """Hold what a deployment is built from."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    workspaces: tuple[Workspace, ...]
    limits: ClientLimits


ENCODER = msgspec.msgpack.Encoder()
DEPLOYMENTS = msgspec.msgpack.Decoder(list[tuple[str, DeploymentFields | None]])
REPLICAS = msgspec.msgpack.Decoder(list[tuple[str, Replica | None]])
BOXES = msgspec.msgpack.Decoder(list[tuple[str, BoxAddress | None]])
EVACUATIONS = msgspec.msgpack.Decoder(list[tuple[str, Evacuation | None]])


def encode_changes(changes: list[Change]) -> bytes:
    """Return the body of an update."""
    items = [(change.name, fields_of(change.record)) for change in changes]
    return zlib.compress(ENCODER.encode(items))


def fields_of(record: Record | None) -> object:
    """Return what a record is built from."""
    if isinstance(record, Deployment):
        services = tuple(record.services.values())
        return DeploymentFields(
            record.version, record.routes, services, record.workspaces, record.limits
        )
    return record


def decode_changes(kind: RecordKind, body: bytes) -> list[Change]:
    """Return the changes in the body of an update; raise `ValueError`."""
    try:
        data = zlib.decompress(body)
    except zlib.error as error:
        raise ValueError(f'an update that is not compressed: {error}') from error
    if kind is RecordKind.DEPLOYMENT:
        return [
            Change(name, None if fields is None else Deployment(**fields._asdict()))
            for name, fields in DEPLOYMENTS.decode(data)
        ]
    if kind is RecordKind.REPLICA:
        return [Change(name, record) for name, record in REPLICAS.decode(data)]
    if kind is RecordKind.EVACUATION:
        return [Change(name, record) for name, record in EVACUATIONS.decode(data)]
    return [Change(name, record) for name, record in BOXES.decode(data)]
