"""Judge the answers that are underway as replicas fall silent or leave without notice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.soak.records import STREAM_KINDS
from tools.soak.schedule import FaultKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tools.soak.records import RequestRecord

CUT_STATUSES = frozenset({0, 502})
"""What a caller sees of an answer that was given up: no head, or the word that it failed."""


def find_lost_answers(
    records: Iterable[RequestRecord], only: FaultKind | None, deadline_s: float
) -> list[str]:
    """Check that answers which may have begun are whole, unless their deadline has passed.

    This is judged only where replicas fall silent or leave and nothing else goes wrong.
    """
    if only is not FaultKind.UNDERWAY:
        return []
    return [
        f'{record.call_id}: {describe(record)} after {record.ended_at - record.started_at:.2f} s'
        for record in records
        if record.ended_at - record.started_at < deadline_s and is_lost(record)
    ]


def is_lost(record: RequestRecord) -> bool:
    """Tell whether a request was accepted and its answer is not whole."""
    if record.status == 200:
        return not record.is_complete
    return record.status in CUT_STATUSES


def describe(record: RequestRecord) -> str:
    """Return what the caller saw of an answer that is not whole."""
    if record.status == 200 and record.kind in STREAM_KINDS:
        return f'cut after {len(record.event_ids)} events'
    return f'ended with {record.status or "no head"}'
