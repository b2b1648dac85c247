"""Test that gossip spreads crash evidence to every box."""

from __future__ import annotations

import asyncio
import random

from calicopath_core.crashes.guard import CrashGuard
from calicopath_core.crashes.sharing import CrashSharing
from calicopath_core.crashes.suspects import Crash, SuspectKey
from calicopath_core.membership.gossip import PUSH_FANOUT
from testkit.cases import VirtualCase
from testkit.fleet import PeerBox, PeerFleet
from testkit.ledgers import new_ledger

KEY = SuspectKey('c.b', 'drafting')


def guard_of(box: PeerBox) -> CrashGuard:
    """Return a guard that shares crash evidence over a box's gossip, as the daemon sets it up."""
    gossip, rng = box.gossip, random.Random(box.name)
    ledger = new_ledger()
    sharing = CrashSharing(
        clock=ledger.clock,
        ledger=ledger,
        own_address=gossip.members.own.address,
        hubs=lambda: [
            member.info.address
            for member in gossip.members.sample(PUSH_FANOUT, box.clock.monotonic(), rng)
        ],
        send=gossip.send,
        forwards=True,
    )
    gossip.share_crashes(sharing)
    return CrashGuard(ledger=ledger, sharing=sharing)


class Spreading(VirtualCase):
    def check_known(self, *, loss: float, within_s: float) -> None:
        """Check that thirty boxes block a request after three of them each saw one crash."""

        async def scenario() -> None:
            fleet = PeerFleet(count=30, failure_domains=3, loss=loss)
            guards = {name: guard_of(box) for name, box in fleet.boxes.items()}
            await fleet.start()
            for number, name in enumerate(list(guards)[:3]):
                now = guards[name].ledger.clock.monotonic()
                guards[name].record_crash({KEY: f'r{number}@{number}'}, Crash(now, now - 0.1))
                await asyncio.sleep(0.5)
            await asyncio.sleep(within_s)
            blocked = [bool(guard.blocked_s('c.b', ['drafting'])) for guard in guards.values()]
            self.assertEqual([True] * 30, blocked)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_all_know_at_once(self) -> None:
        self.check_known(loss=0.0, within_s=0.2)

    def test_all_know_soon_where_a_third_of_all_messages_is_lost(self) -> None:
        self.check_known(loss=0.33, within_s=3.0)
