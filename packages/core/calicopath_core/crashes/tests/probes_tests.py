"""Test that a refused connection counts as a crash only if this box reaches another replica."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import mock

from calicopath_core.backends.base import ProbeResult
from calicopath_core.crashes.probes import (
    ENTRY_POLL_S,
    EndpointCrashProbe,
    ReplicaCrashProbe,
)
from calicopath_core.fleet.replicas import Replica, ReplicaTable
from calicopath_core.structure.endpoints import Endpoint
from testkit.cases import VirtualCase

if TYPE_CHECKING:
    from collections.abc import Callable


def replica(name: str) -> Replica:
    """Return a replica."""
    return Replica(name, 'desk', f'{name}:1', 'north', 4, False)


class Ports:
    """Refuse connections at some addresses, and accept them at all others."""

    def __init__(self, *, refused: set[str]) -> None:
        self.refused = refused

    async def probe(self, target: Replica | Endpoint, watch_s: float) -> ProbeResult:
        return ProbeResult.REFUSED if target.address in self.refused else ProbeResult.OPEN


class Crashes(VirtualCase):
    def has_crashed(self, *, refused: set[str], names: str = 'abc') -> bool:
        """Return whether `a` counts as crashed, at once or after a while."""
        table = ReplicaTable()
        for name in names:
            table.put(replica(name))
        probe = ReplicaCrashProbe(
            prober=mock.Mock(probe=Ports(refused=refused).probe),
            replicas=table,
            replica=replica('a'),
        )

        async def check() -> bool:
            at_once = await probe.has_crashed()
            confirmed = await probe.confirm_crash()
            self.assertEqual(at_once, confirmed)
            return confirmed

        return self.run_virtual(check())

    def test_a_replica_that_alone_refuses_has_crashed(self) -> None:
        self.assertTrue(self.has_crashed(refused={'a:1'}))
        self.assertTrue(self.has_crashed(refused={'a:1', 'b:1'}))

    def test_a_box_that_all_replicas_refuse_is_partitioned(self) -> None:
        self.assertFalse(self.has_crashed(refused={'a:1', 'b:1', 'c:1'}))

    def test_a_single_replica_that_refuses_has_crashed(self) -> None:
        self.assertTrue(self.has_crashed(refused={'a:1'}, names='a'))

    def test_a_replica_whose_entry_goes_has_crashed_although_all_refuse(self) -> None:
        table = ReplicaTable()
        probe = ReplicaCrashProbe(
            prober=mock.Mock(probe=Ports(refused={'a:1', 'b:1'}).probe),
            replicas=table,
            replica=replica('a'),
        )
        table.put(replica('a'))
        table.put(replica('b'))

        async def check() -> bool:
            table.remove('a', ENTRY_POLL_S)
            return await probe.confirm_crash()

        self.assertTrue(self.run_virtual(check()))


class EndpointCrashes(VirtualCase):
    def check(self, refused: set[str], verdict: Callable[[bool], None]) -> None:
        """Pass to `verdict` whether endpoint `a`, beside `b`, counts as crashed."""
        a, b = (mock.Mock(spec=Endpoint, address=f'{name}:1') for name in 'ab')
        a.name = 'a'
        probe = EndpointCrashProbe(
            prober=mock.Mock(probe=Ports(refused=refused).probe), endpoint=a, others=[a, b]
        )
        verdict(self.run_virtual(probe.has_crashed()))
        verdict(self.run_virtual(probe.confirm_crash()))

    def test_an_endpoint_that_alone_refuses_has_crashed(self) -> None:
        self.check({'a:1'}, self.assertTrue)

    def test_a_box_that_all_endpoints_refuse_is_partitioned(self) -> None:
        self.check({'a:1', 'b:1'}, self.assertFalse)
