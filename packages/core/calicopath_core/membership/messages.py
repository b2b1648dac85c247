"""Define what boxes send each other, and encode it.

Messages are one-way; an answer is a message too. A lost one is never waited for.
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
    """Carry what a box has seen and another may lack; each kind of news has its own message.

    `whole` says that this is all the sender shares: a box that knows more of it answers with that.
    """

    sender: str
    whole: bool


class MemberInfo(msgspec.Struct, frozen=True, array_like=True):
    """Describe a box to another; `beat` grows with every heartbeat that the box itself sends.

    `started_ms` is the box's own start, in milliseconds since 1970: a box that was restarted under
    its old name starts its beats again.
    """

    name: str
    failure_domain: str
    address: str
    started_ms: int
    heartbeat_number: int
    leaving: bool


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Carry one object of the configuration; `spec` is empty for a tombstone."""

    key: str
    version: int
    spec: dict[str, Any] | None


class Heartbeat(msgspec.Struct, frozen=True, tag='h'):
    """Say that a box is alive, what it holds and how fresh that is.

    `contact_age_s` is the time since the platform was last heard of, by the sender itself or
    through others. `recent` are the versions of objects that it took in lately, `members` a few
    boxes that it has heard of lately, `crashes` a digest of what it knows of requests under which
    endpoints have ended.
    """

    sender: MemberInfo
    digest: int
    contact_age_s: float | None
    ready: bool
    recent: dict[str, int]
    members: list[MemberInfo]
    crashes: str = ''


class Push(msgspec.Struct, frozen=True, tag='p'):
    """Carry objects that the sender has newly taken in, or that the receiver lacks."""

    sender: str
    entries: list[Entry]


class BucketDigests(msgspec.Struct, frozen=True, tag='d'):
    """Compare what two boxes hold, bucket by bucket; `buckets` has one digest each."""

    sender: MemberInfo
    ready: bool
    buckets: list[int]


class BucketVersions(msgspec.Struct, frozen=True, tag='v'):
    """List the versions that the sender holds in the buckets named."""

    sender: MemberInfo
    buckets: list[int]
    versions: dict[str, int]


class Want(msgspec.Struct, frozen=True, tag='w'):
    """Ask for objects."""

    sender: MemberInfo
    keys: list[str]


ENCODER = msgspec.msgpack.Encoder()


def encode(message: msgspec.Struct) -> bytes:
    """Return the bytes of a message."""
    return ENCODER.encode(message)


class MessageDecoder:
    """Decode messages of the types that somebody handles."""

    def __init__(self, *, types: Iterable[type[msgspec.Struct]]) -> None:
        message_type = functools.reduce(operator.or_, types)
        self.decoder = msgspec.msgpack.Decoder(message_type)

    def decode(self, data: bytes) -> msgspec.Struct:
        """Return the message in some bytes; raise `BadMessage`."""
        try:
            message: msgspec.Struct = self.decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise BadMessage(str(error)) from error
        return message
