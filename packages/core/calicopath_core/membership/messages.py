"""Define and encode the messages between boxes.

Messages are one-way, and a reply is a separate message. No box waits for a lost message.
"""

from __future__ import annotations

import functools
import operator
from typing import TYPE_CHECKING, Any

import msgspec

from calicopath_core.exceptions import CalicopathError

if TYPE_CHECKING:
    from collections.abc import Iterable


class BadMessage(CalicopathError):
    """Report a message that cannot be decoded."""


class News(msgspec.Struct, frozen=True):
    """Carry updates that other boxes may lack; each kind of update has its own subclass.

    `whole` is set if the message holds everything that the sender shares. A receiver that knows
    more replies with its own updates.
    """

    sender: str
    whole: bool


class MemberInfo(msgspec.Struct, frozen=True, array_like=True):
    """Describe a box; `heartbeat_number` grows with every heartbeat that the box itself sends.

    `started_ms` is the start of the box, in milliseconds since 1970. It tells incarnations apart,
    because a box restarted under its name counts heartbeats from the beginning again.
    """

    name: str
    failure_domain: str
    address: str
    started_ms: int
    heartbeat_number: int
    leaving: bool


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Carry one configuration object; `spec` is `None` for a tombstone."""

    key: str
    version: int
    spec: dict[str, Any] | None


class Heartbeat(msgspec.Struct, frozen=True, tag='h'):
    """Announce that a box is live, and describe its view and the age of the view.

    `digest` covers the whole view. `contact_age_s` is the time since the last contact with the
    platform, by the sender or by another box; `None` if there was none. `recent` maps keys of
    objects that the sender applied lately to their versions, `members` are some boxes that it heard
    from lately, and `crashes` is a digest of its crash evidence.
    """

    sender: MemberInfo
    digest: int
    contact_age_s: float | None
    ready: bool
    recent: dict[str, int]
    members: list[MemberInfo]
    crashes: str = ''


class Push(msgspec.Struct, frozen=True, tag='p'):
    """Carry objects that the sender has just applied, or that the receiver lacks."""

    sender: str
    entries: list[Entry]


class BucketDigests(msgspec.Struct, frozen=True, tag='d'):
    """Start a comparison of two views; `buckets` holds the digest of each bucket."""

    sender: MemberInfo
    ready: bool
    buckets: list[int]


class BucketVersions(msgspec.Struct, frozen=True, tag='v'):
    """List the versions that the sender holds in some buckets."""

    sender: MemberInfo
    buckets: list[int]
    versions: dict[str, int]


class Want(msgspec.Struct, frozen=True, tag='w'):
    """Request objects by key."""

    sender: MemberInfo
    keys: list[str]


ENCODER = msgspec.msgpack.Encoder()


def encode(message: msgspec.Struct) -> bytes:
    """Encode a message."""
    return ENCODER.encode(message)


class MessageDecoder:
    """Decode messages of the types that have a handler."""

    def __init__(self, *, types: Iterable[type[msgspec.Struct]]) -> None:
        message_type = functools.reduce(operator.or_, types)
        self.decoder = msgspec.msgpack.Decoder(message_type)

    def decode(self, data: bytes) -> msgspec.Struct:
        """Decode a message; raise `BadMessage` if that fails."""
        try:
            message: msgspec.Struct = self.decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise BadMessage(str(error)) from error
        return message
