"""Define the messages by which relays pass on the store's records, and encode the records.

A relay follows the store; boxes subscribe to relays. Positions are the store's; ages are durations
in seconds, since the clocks of boxes differ.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

import msgspec

# msgspec evaluates these annotations at run time.
from calicopath_core.fleet.contact import StoreContact
from calicopath_core.fleet.deployment import ClientLimits, Deployment, Route, ServiceSpec, Workspace
from calicopath_core.fleet.evacuations import Evacuation
from calicopath_core.fleet.positions import Position
from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import Change, Record, RecordKind
from calicopath_core.scheduling.election import BoxAddress


class Subscribe(msgspec.Struct, frozen=True, tag='sb'):
    """Subscribe to a relay; renewed often. `positions` is what the sender holds."""

    sender: str
    positions: dict[RecordKind, Position]


class RelayStatus(msgspec.Struct, frozen=True, tag='rb'):
    """Report the state of a relay, in answer to a subscription.

    `direct` means that the sender follows the store itself, `leaving` that it is stopping.
    `contact` is its contact with the store, `positions` what it holds.
    """

    sender: str
    direct: bool
    leaving: bool
    contact: StoreContact
    positions: dict[RecordKind, Position]


class RelayUpdate(msgspec.Struct, frozen=True, tag='ru'):
    """Carry the newest state of records changed after `since`, or all of them for `NO_POSITION`.

    `body` holds names and records, compressed.
    """

    sender: str
    kind: RecordKind
    since: Position
    position: Position
    body: bytes


RELAY_MESSAGES = (Subscribe, RelayStatus, RelayUpdate)


class DeploymentFields(NamedTuple):
    """Hold the arguments that a deployment is built from."""

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
    """Return the compressed body of an update."""
    items = [(change.name, fields_of(change.record)) for change in changes]
    return zlib.compress(ENCODER.encode(items))


def fields_of(record: Record | None) -> object:
    """Return the serializable form of a record."""
    if isinstance(record, Deployment):
        services = tuple(record.services.values())
        return DeploymentFields(
            record.version, record.routes, services, record.workspaces, record.limits
        )
    return record


def decode_changes(kind: RecordKind, body: bytes) -> list[Change]:
    """Return the changes in the body of an update; raise `ValueError` if it is malformed."""
    try:
        data = zlib.decompress(body)
    except zlib.error as error:
        raise ValueError(f'relay update is not compressed: {error}') from error
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
