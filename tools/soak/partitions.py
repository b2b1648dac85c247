"""Judge whether boxes that were partitioned from all replicas served their callers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from tools.soak.schedule import FaultKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tools.soak.records import RequestRecord
    from tools.soak.schedule import Step

CONTACT_TIME_S = 3.0
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50
"""As the users' rule says: from 3 s after the start of a partition, two thirds as often as at the
other boxes, or no more failures than this number and this share."""

UNDISTURBING = (FaultKind.BOX_PARTITION, FaultKind.RELOAD_BOX, FaultKind.CONFIG_CHANGE)
"""Steps beside which the rule is checked."""

MAX_REASONS = 4
"""Kinds of failures that a problem names."""


class BoxPeriod(NamedTuple):
    """Hold a time in which a box was partitioned from all replicas, or disturbed otherwise."""

    box: int
    started_at: float
    ended_at: float


def find_unserved_callers(
    records: Iterable[RequestRecord],
    periods: list[BoxPeriod],
    disturbed: list[BoxPeriod],
    steps: list[Step],
    boxes: int,
) -> list[str]:
    """Check that callers of partitioned boxes are served as often as the rule says.

    Boxes do not count while they are killed, paused or stopped, which is in `disturbed`, nor while
    another fault or a drawn word of a replica touches them, and for some seconds after that: scarce
    capacity falls unevenly on the boxes. Times do not count in which faults overlap so that none of
    the `boxes` reaches the replicas.
    """
    cut: list[RequestRecord] = []
    others: list[RequestRecord] = []
    for record in records:
        if record.crash_path or is_disturbed(record, disturbed, steps):
            continue
        during = [item for item in periods if overlaps(item, record)]
        # Both sides are compared over the same time: other faults come and go meanwhile.
        settled = [item for item in during if item.started_at + CONTACT_TIME_S <= record.started_at]
        if any(item.box == record.box for item in settled):
            if has_sound_box(record.started_at, boxes, [*periods, *disturbed]):
                cut.append(record)
        elif settled and all(item.box != record.box for item in during):
            others.append(record)
    if not cut or not others:
        return []
    failed = sum(not is_served(record) for record in cut)
    if failed <= MAX_FAILED + MAX_FAILED_SHARE * len(cut):
        return []
    share = sum(map(is_served, cut)) / len(cut)
    share_elsewhere = sum(map(is_served, others)) / len(others)
    if share >= MIN_SERVED_RATIO * share_elsewhere:
        return []
    reasons = Counter(
        (record.kind.value, record.status, record.body[:40].decode('latin-1'))
        for record in cut
        if not is_served(record)
    )
    return [
        f'partitioned boxes served {share:.2f} of {len(cut)} requests, '
        f'the others {share_elsewhere:.2f} of {len(others)}; '
        f'the most failures: {reasons.most_common(MAX_REASONS)}'
    ]


def has_sound_box(at: float, boxes: int, troubles: list[BoxPeriod]) -> bool:
    """Tell whether some box has been without trouble for some seconds."""
    troubled = {
        item.box for item in troubles if item.started_at <= at <= item.ended_at + CONTACT_TIME_S
    }
    return len(troubled) < boxes


def overlaps(period: BoxPeriod, record: RequestRecord) -> bool:
    """Tell whether a request began in a partition's time."""
    return period.started_at <= record.started_at <= period.ended_at


def is_served(record: RequestRecord) -> bool:
    """Tell whether a request was answered whole, by a replica or with the right denial."""
    return record.is_complete and record.status in (200, 404)


def is_disturbed(
    record: RequestRecord, disturbed: Iterable[BoxPeriod], steps: Iterable[Step]
) -> bool:
    """Tell whether anything but partitions was drawn around the request, or touched its box."""
    others = [step for step in steps if step.kind not in UNDISTURBING]
    return any(
        item.box == record.box
        and item.started_at <= record.ended_at
        and item.ended_at + CONTACT_TIME_S >= record.started_at
        for item in disturbed
    ) or any(
        step.at_s <= record.ended_at and step.end_s + CONTACT_TIME_S >= record.started_at
        for step in others
    )
