"""Fake callers that take broken streams up at other boxes, as the users' callers do."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testkit.gateway_world import EVENTS, exchange

if TYPE_CHECKING:
    from testkit.gateway import GatewayFleet
    from testkit.gateway_replicas import FakeSink

MAX_ATTEMPTS = 3
REFUSED_RETRY_S = 0.3


class ResumingCaller:
    """Stream one answer over several attempts, each at a box of its own."""

    def __init__(self, *, fleet: GatewayFleet, number: int, route: str = 'draft') -> None:
        self.fleet = fleet
        self.number = number
        self.route = route
        self.attempts: list[tuple[str, FakeSink]] = []

    @property
    def last_event_id(self) -> int:
        """Return the identifier of the last event received over all attempts, 0 for none."""
        return max((max(sink.event_ids, default=0) for _, sink in self.attempts), default=0)

    @property
    def first_attempt_with_events(self) -> str | None:
        """Return the identifier of the attempt that received the first event."""
        return next((call_id for call_id, sink in self.attempts if sink.event_ids), None)

    @property
    def versions(self) -> set[str]:
        """Return the versions whose events were received over all attempts."""
        return {version for _, sink in self.attempts for version in sink.versions}

    @property
    def is_complete(self) -> bool:
        """Tell whether every event has been received once."""
        received = [item for _, sink in self.attempts for item in sink.event_ids]
        return received == list(range(1, EVENTS + 1))

    def send(self, box: str, **changes: object) -> FakeSink:
        """Send the request to a box, from after the last event received so far."""
        call_id = f'{self.route}-{self.number}-{len(self.attempts)}'
        now = asyncio.get_running_loop().time()
        fields: dict[str, object] = {'call_id': call_id, 'piece_counts': ()}
        if self.last_event_id:
            fields['last_event_id'] = str(self.last_event_id)
            fields['resumed_call_id'] = self.first_attempt_with_events
        sink = self.fleet.serve(box, exchange(self.number, self.route, now, **(fields | changes)))
        self.attempts.append((call_id, sink))
        return sink

    async def resume(self, *boxes: str) -> None:
        """Send the rest of the request to one box after another until it is complete."""
        for box in boxes[:MAX_ATTEMPTS]:
            sink = self.send(box)
            await self.fleet.settle()
            if self.is_complete or sink.state != 'refused':
                return
            await asyncio.sleep(sink.retry_after_s or REFUSED_RETRY_S)
