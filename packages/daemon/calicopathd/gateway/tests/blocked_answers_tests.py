"""Test the responses to a request that crashes replicas, and to other requests meanwhile."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.crashes.suspects import BLOCK_S
from testkit.crashing_fleet import POISON_TARGET, CrashingCase, CrashingFleet

if TYPE_CHECKING:
    from testkit.gateway_replicas import FakeSink


class Answered(CrashingCase):
    """Test the responses to a blocked request, and to requests that differ from it."""

    def test_a_blocked_request_is_refused_at_once_as_not_run_until_it_may_come_back(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = {POISON_TARGET}
            await fleet.send_repeatedly(POISON_TARGET, 0.4, 4.0)
            for box in fleet.boxes:
                asked_at = asyncio.get_running_loop().time()
                sink = fleet.send_request(box, POISON_TARGET)
                await fleet.request_tasks[-1]
                self.assertEqual((503, 'crashes-replicas'), (sink.status, sink.reason))
                self.assertGreater(sink.retry_after_s or 0, BLOCK_S - 10)
                self.assertEqual(asked_at, asyncio.get_running_loop().time())

        self.run_scenario(work)

    def test_the_try_that_ended_replicas_itself_is_never_called_not_run(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = {'/read/poison'}
            sinks = await fleet.send_repeatedly('/read/poison', 0.7, 4.0)
            await fleet.settle()
            ran = {item.call_id for item in fleet.replicas.arrivals}
            tries = {f'call-{number}': sink for number, sink in enumerate(sinks, 1)}
            refused = {name for name, sink in tries.items() if sink.status == 503}
            self.assertTrue(ran)
            self.assertEqual(set(), ran & refused)
            self.assertTrue(refused)

        self.run_scenario(work)

    def test_another_body_caller_or_path_is_served(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = {POISON_TARGET}
            await fleet.send_repeatedly(POISON_TARGET, 0.4, 4.0)
            fleet.replicas.crashing_targets = set()
            others = [
                fleet.send_request('box-1', POISON_TARGET, body=b'another'),
                fleet.send_request('box-2', POISON_TARGET, key='key-2'),
                fleet.send_request('box-3', f'{POISON_TARGET}/2'),
            ]
            await fleet.settle()
            self.assertEqual([200, 200, 200], [sink.status for sink in others])

        self.run_scenario(work)

    def test_an_operator_lets_a_request_go_at_every_box(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = {POISON_TARGET}
            await fleet.send_repeatedly(POISON_TARGET, 0.4, 4.0)
            fleet.replicas.crashing_targets = set()
            await asyncio.sleep(4.0)
            blocked = next(iter(fleet.boxes['box-3'].box.ledger.blocked))
            fleet.boxes['box-3'].box.crashes.release(blocked.content, who='me')
            await asyncio.sleep(2.0)
            sinks = [fleet.send_request(box, POISON_TARGET) for box in fleet.boxes]
            await fleet.settle()
            self.assertEqual({200}, {sink.status for sink in sinks})
            self.assertEqual((), fleet.store.blocked)

        self.run_scenario(work)


class Innocent(CrashingCase):
    """Test that requests which do not crash replicas are not blocked."""

    def test_other_bodies_of_a_callers_path_are_served_while_one_of_them_ends_replicas(
        self,
    ) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_bodies = {b'poison'}
            sinks, _ = await asyncio.gather(
                self.ask_bodies(fleet, '/chat/all'),
                fleet.send_repeatedly('/chat/all', 0.5, 12.0, body=b'poison'),
            )
            await fleet.settle()
            self.assertNotIn('crashes-replicas', {sink.reason for sink in sinks})
            self.assertLessEqual(len(fleet.replicas.crashes), 4)

        self.run_scenario(work)

    async def ask_bodies(self, fleet: CrashingFleet, target: str) -> list[FakeSink]:
        """Send requests for one path with many different bodies."""
        sinks = []
        for number in range(60):
            body = f'body {number}'.encode()
            sinks.append(fleet.send_request(f'box-{number % 4}', target, body=body))
            await asyncio.sleep(0.2)
        return sinks

    def test_connections_that_are_reset_while_replicas_live_block_nothing(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.resetting_targets = {'/chat/lost'}
            await fleet.send_repeatedly('/chat/lost', 0.4, 6.0)
            fleet.replicas.resetting_targets = set()
            sink = fleet.send_request('box-2', '/chat/lost')
            await fleet.settle()
            self.assertEqual('whole', sink.state)

        self.run_scenario(work)

    def test_what_often_runs_beside_the_cause_is_served(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            poisons = {f'{POISON_TARGET}{number}' for number in range(3)}
            fleet.replicas.crashing_targets = poisons
            sinks, popular, *_ = await asyncio.gather(
                fleet.load('/chat/', 0.1, 12.0),
                fleet.send_repeatedly('/chat/popular', 0.1, 12.0),
                *(fleet.send_repeatedly(item, 0.5, 12.0) for item in sorted(poisons)),
            )
            await fleet.settle()
            reasons = {sink.reason for sink in [*sinks, *popular]}
            self.assertNotIn('crashes-replicas', reasons)
            self.assertEqual(3, len(fleet.boxes['box-0'].box.ledger.blocked))

        self.run_scenario(work)

    def test_many_replicas_that_end_at_one_moment_block_nothing(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            sinks = [
                fleet.send_request(box, '/chat/popular') for box in fleet.boxes for _ in range(4)
            ]
            await asyncio.sleep(0.1)
            running = {item.replica for item in fleet.replicas.arrivals}
            self.assertGreater(len(running), 3)
            for name in running:
                fleet.replicas.crash_event(fleet.boxes['box-0'].box.replicas.replicas[name]).set()
            await fleet.settle()
            self.assertNotIn('crashes-replicas', {sink.reason for sink in sinks})

        self.run_scenario(work)
