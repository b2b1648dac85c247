"""Define the messages with which boxes share which version began which stream."""

from __future__ import annotations

import msgspec


class BegunStreams(msgspec.Struct, frozen=True, array_like=True):
    """Hold the keys of the streams of a service that a software version began."""

    service: str
    version: str
    keys: tuple[str, ...]


class StreamNews(msgspec.Struct, frozen=True, tag='svn'):
    """Report streams that have begun, and those that were answered whole since."""

    begun: tuple[BegunStreams, ...]
    answered: tuple[str, ...] = ()


class VersionQuery(msgspec.Struct, frozen=True, tag='svq'):
    """Ask the scheduler which version began a stream; `number` is unique to the sender."""

    number: int
    reply_to: str
    service: str
    key: str


class VersionAnswer(msgspec.Struct, frozen=True, tag='sva'):
    """Answer a query; `version` is `None` if nothing shows which one began the stream.

    `source` names what shows it: `peers`, `store` or `only-version`.
    """

    number: int
    version: str | None
    source: str = ''


VERSION_MESSAGES = (StreamNews, VersionQuery, VersionAnswer)
