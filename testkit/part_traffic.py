"""Send requests whose prompts share parts, some of which crash the engines that answer them."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.scheduling.messages import Prompt, PromptPart
from testkit.crashing import CRASH_AFTER_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from testkit.crashing_fleet import CrashingFleet
    from testkit.gateway_replicas import FakeSink

CONTACT_S = 3.0
"""Time in which a box must hear what another one knows, in seconds (`contactMs`)."""

FATAL_CRASHES = 5
"""Crashes under one part after which its requests must not be sent any more."""

HEAD = 'head'
"""First part of every prompt."""

PART_TOKENS = 200


class SentRequest(NamedTuple):
    """Hold a request that was sent to a box; `sent_at` is in seconds of the event loop."""

    call_id: str
    parts: tuple[str, ...]
    sent_at: float
    sink: FakeSink

    @property
    def is_served(self) -> bool:
        """Return whether the answer began."""
        return self.sink.status == 200

    @property
    def is_blocked(self) -> bool:
        """Return whether the request was refused because requests like it crash replicas."""
        return self.sink.reason == 'crashes-replicas'


class PartTraffic:
    """Send requests to boxes in turn; no two have the same path, body or last part."""

    def __init__(self, *, fleet: CrashingFleet, seed: int = 1) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.numbers = itertools.count(1)
        self.route = 'chat'
        self.sent: list[SentRequest] = []

    async def send(self, middle: Sequence[tuple[str, ...]], *, rate: float, for_s: float) -> None:
        """Send requests for some seconds; each prompt has one of `middle` after the head."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + for_s
        while loop.time() < ends_at:
            self.send_one((HEAD, *self.rng.choice(middle)))
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) / rate)

    async def send_later(
        self, delay_s: float, middle: Sequence[tuple[str, ...]], *, rate: float, for_s: float
    ) -> None:
        """Send requests for some seconds, starting after `delay_s`."""
        await asyncio.sleep(delay_s)
        await self.send(middle, rate=rate, for_s=for_s)

    def send_one(self, parts: tuple[str, ...]) -> SentRequest:
        """Send one request with some parts before its own one."""
        number = next(self.numbers)
        all_parts = (*parts, f'own-{number}')
        prompt = Prompt(
            'm',
            tuple(PromptPart(part, PART_TOKENS) for part in all_parts),
            PART_TOKENS * len(all_parts),
            number,
        )
        box = self.rng.choice(sorted(self.fleet.boxes))
        sink = self.fleet.send_request(
            box,
            f'/{self.route}/{number}',
            call_id=f'part-{number}',
            body=b'%d' % number,
            prompt=prompt,
        )
        sent = SentRequest(f'part-{number}', all_parts, asyncio.get_running_loop().time(), sink)
        self.sent.append(sent)
        return sent

    def crash_times(self, part: str) -> list[float]:
        """Return the times of the crashes under one part, in order."""
        ids = {sent.call_id for sent in self.with_part(part)}
        crashes = self.fleet.replicas.crashes
        return sorted(item.at + CRASH_AFTER_S for item in crashes if item.call_id in ids)

    def with_part(self, part: str) -> list[SentRequest]:
        """Return the requests whose prompts have a part."""
        return [sent for sent in self.sent if part in sent.parts]

    def late_sends(self, part: str) -> int:
        """Return the sends to engines later than the contact time after the fifth crash."""
        times = self.crash_times(part)
        if len(times) < FATAL_CRASHES:
            return 0
        late_at = times[FATAL_CRASHES - 1] + CONTACT_S
        ids = {sent.call_id for sent in self.with_part(part)}
        arrivals = self.fleet.replicas.arrivals
        return sum(item.call_id in ids and item.at > late_at for item in arrivals)

    def sound_after(self, parts: set[str], at: float) -> list[SentRequest]:
        """Return the requests without crashing parts that were sent after a time."""
        return [
            sent for sent in self.sent if sent.sent_at > at and not parts.intersection(sent.parts)
        ]

    def verdict_due_at(self, part: str) -> float:
        """Return when sound requests must be served again: two contact times after the crashes."""
        times = self.crash_times(part)[:FATAL_CRASHES]
        return times[-1] + 2 * CONTACT_S if times else 0.0


def served_ratio(requests: list[SentRequest]) -> float:
    """Return the share of requests whose answers began."""
    return sum(sent.is_served for sent in requests) / max(1, len(requests))
