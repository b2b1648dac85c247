"""Test that the clock includes the time in which the machine was suspended."""

from __future__ import annotations

import asyncio

from calicopath_core.clock import CHECK_INTERVAL_S, MIN_SUSPENSION_S, SuspensionClock
from calicopath_core.fleet.contact import UNKNOWN
from calicopath_core.scheduling.election import SILENCE_TIMEOUT_S, BoxAddress, Election
from calicopath_core.scheduling.messages import Pong
from testkit.cases import VirtualCase

OWN = BoxAddress('own', 'own:7', 'north', 'l', 2)
OTHER = BoxAddress('other', 'other:7', 'north', 'l', 1)


class Suspension(VirtualCase):
    def test_suspended_time_counts_at_once(self) -> None:
        async def scenario() -> None:
            lead = [5.0]
            clock = SuspensionClock(lead_s=lambda: lead[0])
            for suspended_s in (0.3, 2.0, 20.0):
                before = clock.monotonic()
                lead[0] += suspended_s
                await asyncio.sleep(CHECK_INTERVAL_S)
                self.assertAlmostEqual(before + suspended_s + CHECK_INTERVAL_S, clock.monotonic())

        self.run_virtual(scenario())

    def test_the_time_between_two_readings_is_no_suspension_and_nothing_goes_back(self) -> None:
        async def scenario() -> None:
            lead = [5.0]
            clock = SuspensionClock(lead_s=lambda: lead[0])
            for noise_s in (MIN_SUSPENSION_S / 2, -MIN_SUSPENSION_S, 0.0, 0.01):
                lead[0] = 5.0 + noise_s
                await asyncio.sleep(CHECK_INTERVAL_S)
                clock.monotonic()
                self.assertEqual(0.0, clock.suspended_s)
            for lead[0] in (6.0, 5.0):
                await asyncio.sleep(CHECK_INTERVAL_S)
                clock.monotonic()
                self.assertEqual(1.0, clock.suspended_s)

        self.run_virtual(scenario())

    def test_a_box_that_was_suspended_takes_the_others_for_silent_until_it_hears_them(self) -> None:
        async def scenario() -> None:
            lead = [0.0]
            clock = SuspensionClock(lead_s=lambda: lead[0])
            election = Election(own=OWN)
            election.on_listed([OWN, OTHER], clock.monotonic())
            election.on_pong(pong(), clock.monotonic())
            self.assertEqual(OTHER, election.scheduler(clock.monotonic()))
            lead[0] += 3 * SILENCE_TIMEOUT_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.assertFalse(election.is_alive('other:7', clock.monotonic()))
            election.on_pong(pong(), clock.monotonic())
            self.assertTrue(election.is_alive('other:7', clock.monotonic()))

        self.run_virtual(scenario())

    def test_the_machines_own_clocks_show_no_suspension_now(self) -> None:
        async def scenario() -> None:
            clock = SuspensionClock()
            await asyncio.sleep(CHECK_INTERVAL_S)
            clock.monotonic()
            self.assertEqual(0.0, clock.suspended_s)

        self.run_virtual(scenario())


def pong() -> Pong:
    """Return a heartbeat of the other box."""
    return Pong(
        box='other',
        address='other:7',
        config_version=1,
        contact=UNKNOWN,
        leaving=False,
        sequence=1,
    )
