"""Hold which software version began each stream that may still be resumed."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.exchanges.content import digest_of
from calicopath_core.versions.messages import BegunStreams

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

RECORD_TTL_S = 30.0
"""How long a record is kept unless its stream is answered whole; longer than any deadline of the
users."""

MAX_RECORDS = 100_000
"""Most records held, about 20 MB. At the design size a scheduling group has 17,000 in 30 s."""


def stream_key(service: str, workspace: str | None, call_id: str) -> str:
    """Return the key of a stream: callers of other workspaces cannot continue it."""
    return digest_of(part.encode() for part in (service, workspace or '', call_id))


class StreamRecord(NamedTuple):
    """Hold the service and version that began a stream; `expires_at` is in monotonic seconds."""

    service: str
    version: str
    expires_at: float


class StreamLedger:
    """Map the keys of streams to the versions that began them.

    The first record of a key stays: the replica that sent the first event decides, whatever its
    entry says later.
    """

    def __init__(self) -> None:
        self.records: OrderedDict[str, StreamRecord] = OrderedDict()

    def put(self, key: str, service: str, version: str, now: float) -> bool:
        """Record a stream, unless it is known; return whether it was new."""
        if key in self.records:
            return False
        self.records[key] = StreamRecord(service, version, now + RECORD_TTL_S)
        while len(self.records) > MAX_RECORDS:
            self.records.popitem(last=False)
        return True

    def merge(self, groups: Iterable[BegunStreams], now: float) -> bool:
        """Record streams that others report; return whether any was new."""
        added = [
            self.put(key, group.service, group.version, now)
            for group in groups
            for key in group.keys
        ]
        return any(added)

    def drop(self, keys: Iterable[str]) -> None:
        """Remove the records of streams that nobody will resume."""
        for key in keys:
            self.records.pop(key, None)

    def find(self, key: str, now: float) -> str | None:
        """Return the version that began a stream, `None` if there is no record."""
        self.expire(now)
        record = self.records.get(key)
        return record.version if record is not None else None

    def expire(self, now: float) -> None:
        """Remove the records that are too old; the oldest come first."""
        while self.records:
            record = next(iter(self.records.values()))
            if record.expires_at > now:
                return
            self.records.popitem(last=False)

    def groups(
        self, now: float, includes: Callable[[str, StreamRecord], bool] = lambda key, record: True
    ) -> tuple[BegunStreams, ...]:
        """Return the records that `includes` accepts, grouped by service and version."""
        self.expire(now)
        found: defaultdict[tuple[str, str], list[str]] = defaultdict(list)
        for key, record in self.records.items():
            if includes(key, record):
                found[record.service, record.version].append(key)
        return tuple(
            BegunStreams(service, version, tuple(keys))
            for (service, version), keys in found.items()
        )
