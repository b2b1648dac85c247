"""Test which paths to a replica a box tries, and in which order."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, cast
from unittest import mock

from calicopath_clients.http1.connectors import Connector, FallbackConnector
from calicopath_clients.http1.tunnels import TunnelUnavailable
from calicopath_core.fleet.forwarders import Forwarders
from calicopath_core.fleet.reachability import ReplicaReachability
from calicopath_core.scheduling.election import BoxAddress
from testkit.cases import VirtualCase
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from calicopath_clients.http1.connections import Connection

HANG_S = 60.0
OPEN_S = 0.002


class ScriptedPaths(Connector):
    """Open connections directly and through boxes, each as its script says; record attempts."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.scripts: dict[str, str] = {}
        self.attempts: list[str] = []
        self.opened: list[mock.Mock] = []
        self.reachability = ReplicaReachability(clock=self.clock, observer=mock.Mock())
        forwarders = Forwarders(
            clock=self.clock,
            rng=random.Random(1),
            failure_domain='north',
            boxes=lambda: [
                BoxAddress('b', 'near', 'north', '1'),
                BoxAddress('c', 'far', 'south', '1'),
                BoxAddress('d', 'far-2', 'south', '1'),
            ],
            address_of=lambda box: box.address,
        )
        self.connector = FallbackConnector(
            direct=self,
            reachability=self.reachability,
            forwarders=forwarders,
            tunnel=lambda forwarder, address: self.attempt(forwarder),
        )

    async def open(self, address: str) -> Connection:
        return await self.attempt('direct')

    async def attempt(self, path: str) -> Connection:
        self.attempts.append(path)
        script = self.scripts.get(path, 'open')
        if script == 'hang':
            await asyncio.sleep(HANG_S)
        await asyncio.sleep(OPEN_S)
        if script == 'refuse':
            raise ConnectionRefusedError(path)
        if script == 'unavailable':
            raise TunnelUnavailable(path)
        connection = mock.Mock(path=path)
        self.opened.append(connection)
        return cast('Connection', connection)

    async def open_path(self, address: str) -> str:
        """Open a connection and return its path."""
        connection = await self.connector.open(address)
        return str(cast('mock.Mock', connection).path)


class Paths(VirtualCase):
    def run_paths(self, steps: Callable[[ScriptedPaths], Awaitable[None]]) -> None:
        async def scenario() -> None:
            await steps(ScriptedPaths())

        self.run_virtual(scenario())

    def test_a_replica_that_accepts_is_reached_directly_only(self) -> None:
        async def work(paths: ScriptedPaths) -> None:
            self.assertEqual('direct', await paths.open_path('r'))
            self.assertEqual(['direct'], paths.attempts)

        self.run_paths(work)

    def test_a_refused_connection_is_forwarded_at_once(self) -> None:
        async def work(paths: ScriptedPaths) -> None:
            paths.scripts['direct'] = 'refuse'
            self.assertEqual('near', await paths.open_path('r'))
            self.assertLess(paths.clock.monotonic(), 0.05)

        self.run_paths(work)

    def test_a_hanging_connection_is_forwarded_while_it_hangs(self) -> None:
        async def work(paths: ScriptedPaths) -> None:
            paths.scripts['direct'] = 'hang'
            self.assertEqual('near', await paths.open_path('r'))
            self.assertLess(paths.clock.monotonic(), 0.2)

        self.run_paths(work)

    def test_a_replica_that_is_down_is_refused_after_one_other_box_agrees(self) -> None:
        async def work(paths: ScriptedPaths) -> None:
            paths.scripts.update({'direct': 'refuse', 'near': 'refuse'})
            with self.assertRaises(ConnectionRefusedError):
                await paths.open_path('r')
            self.assertEqual(['direct', 'near'], paths.attempts)

        self.run_paths(work)

    def test_a_partitioned_box_asks_others_first_and_rechecks_its_own_path(self) -> None:
        async def work(paths: ScriptedPaths) -> None:
            paths.scripts['direct'] = 'hang'
            for address in 'rst':
                await paths.open_path(address)
            await asyncio.sleep(OPEN_S)
            self.assertTrue(paths.reachability.is_partitioned)
            await paths.open_path('r')
            paths.attempts.clear()
            await paths.open_path('r')
            self.assertEqual(['near'], paths.attempts)
            paths.scripts.clear()
            await asyncio.sleep(1.0)
            self.assertEqual('direct', await paths.open_path('r'))
            self.assertFalse(paths.reachability.is_partitioned)

        self.run_paths(work)

    def test_a_recheck_that_hangs_delays_no_connection(self) -> None:
        async def work(paths: ScriptedPaths) -> None:
            paths.scripts['direct'] = 'hang'
            for address in 'rst':
                paths.reachability.on_silent(address)
            started_at = paths.clock.monotonic()
            self.assertEqual('near', await paths.open_path('r'))
            self.assertIn('direct', paths.attempts)
            self.assertLess(paths.clock.monotonic() - started_at, 0.05)

        self.run_paths(work)

    def test_boxes_that_reach_nothing_either_fail_the_attempt_soon(self) -> None:
        async def work(paths: ScriptedPaths) -> None:
            for path in ('near', 'far', 'far-2'):
                paths.scripts[path] = 'unavailable'
            paths.scripts['direct'] = 'refuse'
            with self.assertRaises(OSError):
                await paths.open_path('r')
            self.assertLess(paths.clock.monotonic(), 0.05)

        self.run_paths(work)

    def test_a_box_that_does_not_forward_is_passed_over_at_once(self) -> None:
        async def work(paths: ScriptedPaths) -> None:
            paths.scripts.update({'direct': 'refuse', 'near': 'unavailable'})
            self.assertEqual('far', (await paths.open_path('r'))[:3])
            paths.attempts.clear()
            await paths.open_path('r')
            self.assertNotIn('near', paths.attempts)

        self.run_paths(work)

    def test_a_second_connection_of_the_race_is_closed(self) -> None:
        async def work(paths: ScriptedPaths) -> None:
            for address in 'rst':
                paths.reachability.on_silent(address)
            await paths.open_path('r')
            await asyncio.sleep(1.0)
            closed = [item.path for item in paths.opened if item.abort.called]
            self.assertEqual(len(paths.opened) - 1, len(closed))

        self.run_paths(work)
