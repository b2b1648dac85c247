"""Test the permits that a box holds."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from calicopath_core.permits.client import PERMIT_TTL_S, PermitClient
from testkit.virtual import VirtualClock, run_virtual

REPLICA = 'endpoint-1'


def new_client() -> PermitClient:
    """Return a client whose requests go nowhere."""
    return PermitClient(
        clock=VirtualClock(),
        own_address='box-1',
        issuer_address=lambda: 'box-2',
        send=lambda address, message: None,
    )


class HeldPermits(TestCase):
    """Guard against a periodic task that fails after a permit was used."""

    def test_expiry_passes_over_replicas_whose_permits_are_used_up(self) -> None:
        """The emptied queue of a replica made `expire` raise `IndexError` in the box's tick."""

        async def scenario() -> None:
            client = new_client()
            client.add_permit(REPLICA)
            self.assertTrue(client.use_permit(REPLICA))
            client.expire()
            self.assertEqual({}, client.granted)
            self.assertEqual(0, client.unused)

        run_virtual(scenario())

    def test_expiry_keeps_valid_permits_and_counts_expired_ones(self) -> None:
        """A permit that expires unused is counted once, and a valid one stays usable."""

        async def scenario() -> None:
            client = new_client()
            client.add_permit('endpoint-2')
            await asyncio.sleep(PERMIT_TTL_S + 0.1)
            client.add_permit(REPLICA)
            client.expire()
            self.assertEqual(1, client.unused)
            self.assertEqual([REPLICA], list(client.granted))
            self.assertTrue(client.use_permit(REPLICA))

        run_virtual(scenario())
