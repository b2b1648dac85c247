"""Test requests that end the replicas which run them, coming again and again at any box.

Some requests ended each engine that began to run them. Callers sent them again, with the same path,
key and body and another identifier, to whichever box they reached. Every box counted the engines of
one try only and began at nothing with the next: nineteen and twenty-four engines ended under two
such requests, with eight and thirteen sends after the third engine had ended and every box could
have known for three seconds. Whatever else ran on those engines broke with them, followed to the
same next engine and broke there again.

The lines that settled it: within 0.2 ms two boxes wrote `"replica":"i-...","failure":"broken",
"error":"the connection was lost: None"` for different requests at one engine, and the alerts told
that the engine did not answer from then on. On a day without such requests 1,245 digests of method,
target, workspace and body stood for 1,252 requests, and the seven that came twice were repeats.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.crashes.messages import Evidence
from calicopath_core.crashes.suspects import BLOCK_S, keys_of
from calicopath_core.scheduling.messages import Prompt, PromptPart
from testkit.cases import VirtualCase
from testkit.crashing_fleet import CrashingFleet

if TYPE_CHECKING:
    from testkit.gateway_replicas import FakeSink

CONTACT_S = 3.0
"""How long after the third end a request must not be sent on any more, but for what follows."""

MOST_LATE = 3
"""Sends later than that which the users' rules allow."""

POISON = '/chat/poison'


class Crashing(VirtualCase):
    def check_stopped(self, fleet: CrashingFleet, target: str = POISON) -> None:
        """Check that a request is not sent on once three replicas have ended under it."""
        crashes = fleet.replicas.crashes_under(target)
        self.assertGreaterEqual(len(crashes), 3)
        late = fleet.replicas.sent_after(target, crashes[2] + CONTACT_S)
        self.assertLessEqual(late, MOST_LATE, f'{len(crashes)} replicas ended')

    def test_what_ends_engines_is_stopped_at_every_box_whoever_saw_it(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {POISON}
            await asyncio.gather(fleet.repeat(POISON, 0.4, 12.0), fleet.load('/chat/', 0.15, 12.0))
            await fleet.settle()
            self.check_stopped(fleet)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_it_is_stopped_where_the_port_closes_after_the_connections(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {POISON}
            fleet.replicas.port_closes_s = 0.2
            await fleet.repeat(POISON, 0.5, 12.0)
            await fleet.settle()
            self.check_stopped(fleet)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_it_is_stopped_where_replicas_fall_silent_once_their_entries_lapse(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {POISON}
            fleet.replicas.ends_dark = True
            await fleet.repeat(POISON, 3.0, 30.0)
            await fleet.settle()
            self.assertLessEqual(len(fleet.replicas.crashes_under(POISON)), 6)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_it_is_stopped_where_query_headers_and_identifier_differ_each_time(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            targets = [f'{POISON}?page={number}' for number in range(20)]
            fleet.replicas.crashing = set(targets)
            for number, target in enumerate(targets):
                headers = (('X-Trace', str(number)),)
                fleet.ask(f'box-{number % 4}', target, path=POISON, headers=headers)
                await asyncio.sleep(0.5)
            await fleet.settle()
            self.assertLessEqual(len(fleet.replicas.crashes), 4)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_it_is_stopped_where_callers_write_the_time_into_each_body(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {POISON}
            fleet.replicas.gap_s = 0.3
            for number in range(20):
                fleet.ask(f'box-{number % 4}', POISON, body=f'time {number // 2}'.encode())
                await asyncio.sleep(0.5)
            await fleet.settle()
            self.check_stopped(fleet)
            self.assertLessEqual(len(fleet.replicas.crashes), 5)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_it_is_stopped_where_path_and_body_differ_and_the_prompt_is_the_same(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.gap_s = 0.3
            parts = (PromptPart('shared', 200), PromptPart('own', 77))
            targets = [f'/chat/{number}' for number in range(12)]
            fleet.replicas.crashing = set(targets)
            for number, target in enumerate(targets):
                body = f'time {number}'.encode()
                prompt = Prompt('m', parts, 277, number)
                fleet.ask(f'box-{number % 4}', target, body=body, prompt=prompt)
                await asyncio.sleep(0.7)
            await fleet.settle()
            self.assertLessEqual(len(fleet.replicas.crashes), 5)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_what_ends_plain_services_is_stopped_too(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {'/read/poison'}
            await fleet.repeat('/read/poison', 0.7, 15.0)
            await fleet.settle()
            self.check_stopped(fleet, '/read/poison')
            await fleet.stop()

        self.run_virtual(scenario())

    def test_what_may_run_once_only_is_stopped_too(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {'/pay/poison'}
            await fleet.repeat('/pay/poison', 0.7, 15.0)
            await fleet.settle()
            self.check_stopped(fleet, '/pay/poison')
            await fleet.stop()

        self.run_virtual(scenario())

    def test_pieces_that_end_stages_are_stopped_and_spare_those_beside_them(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            for service in ('look', 'rank'):
                for number in range(2, 6):
                    fleet.add_replica(service, number)
            await fleet.start()
            fleet.stages.crashing = {'poison-key'}
            _, sinks = await asyncio.gather(
                fleet.repeat('/draft/poison', 0.7, 14.0, piece_key='poison-key'),
                fleet.load('/draft/', 0.2, 14.0),
            )
            await fleet.settle()
            self.check_stopped(fleet, 'poison-key')
            self.assertNotIn('crashes-replicas', {sink.reason for sink in sinks})
            await fleet.stop()

        self.run_virtual(scenario())

    def test_what_waits_for_stages_when_it_is_blocked_is_rejected_at_once(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            sinks = [fleet.ask(box, '/draft/poison', piece_key='k') for box in fleet.boxes]
            await asyncio.sleep(0.1)
            box = fleet.boxes['box-0'].box
            content = next(iter(box.scheduler.jobs.values())).place.content
            ages = {f'gone-{number}@1': (1.0 + number, 9.0) for number in range(3)}
            box.ledger.merge(
                [Evidence(keys_of(content, 'engine').own.content, 'engine', ages, None)], 'another'
            )
            await asyncio.sleep(0.06)
            self.assertEqual({'crashes-replicas'}, {sink.reason for sink in sinks})
            self.assertEqual(0, len(fleet.replicas.arrivals))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_what_was_placed_is_not_sent_if_its_box_knows_better(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            box = fleet.boxes['box-2'].box
            sink = fleet.ask('box-2', POISON)
            await asyncio.sleep(0.0)
            content = next(iter(box.client.asked.values())).place.content
            ages = {f'gone-{number}@1': (1.0 + number, 9.0) for number in range(3)}
            box.ledger.merge(
                [Evidence(keys_of(content, 'engine').own.content, 'engine', ages, None)], 'another'
            )
            await fleet.settle()
            self.assertEqual((503, 'crashes-replicas'), (sink.status, sink.reason))
            self.assertEqual(0, len(fleet.replicas.arrivals))
            await fleet.stop()

        self.run_virtual(scenario())


class Answered(VirtualCase):
    """Test what callers get."""

    def test_a_blocked_request_is_refused_at_once_as_not_run_until_it_may_come_back(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {POISON}
            await fleet.repeat(POISON, 0.4, 4.0)
            for box in fleet.boxes:
                begun = asyncio.get_running_loop().time()
                sink = fleet.ask(box, POISON)
                await fleet.served[-1]
                self.assertEqual((503, 'crashes-replicas'), (sink.status, sink.reason))
                self.assertGreater(sink.retry_after_s or 0, BLOCK_S - 10)
                self.assertEqual(begun, asyncio.get_running_loop().time())
            await fleet.stop()

        self.run_virtual(scenario())

    def test_the_try_that_ended_replicas_itself_is_never_called_not_run(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {'/read/poison'}
            sinks = await fleet.repeat('/read/poison', 0.7, 4.0)
            await fleet.settle()
            ran = {item.call_id for item in fleet.replicas.arrivals}
            tries = {f'call-{number}': sink for number, sink in enumerate(sinks, 1)}
            refused = {name for name, sink in tries.items() if sink.status == 503}
            self.assertTrue(ran)
            self.assertEqual(set(), ran & refused)
            self.assertTrue(refused)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_another_body_caller_or_path_is_served(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {POISON}
            await fleet.repeat(POISON, 0.4, 4.0)
            fleet.replicas.crashing = set()
            others = [
                fleet.ask('box-1', POISON, body=b'another'),
                fleet.ask('box-2', POISON, key='key-2'),
                fleet.ask('box-3', f'{POISON}/2'),
            ]
            await fleet.settle()
            self.assertEqual([200, 200, 200], [sink.status for sink in others])
            await fleet.stop()

        self.run_virtual(scenario())

    def test_an_operator_lets_a_request_go_at_every_box(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {POISON}
            await fleet.repeat(POISON, 0.4, 4.0)
            fleet.replicas.crashing = set()
            await asyncio.sleep(4.0)
            blocked = next(iter(fleet.boxes['box-3'].box.ledger.blocked))
            fleet.boxes['box-3'].box.crashes.release(blocked.content, who='me')
            await asyncio.sleep(2.0)
            sinks = [fleet.ask(box, POISON) for box in fleet.boxes]
            await fleet.settle()
            self.assertEqual({200}, {sink.status for sink in sinks})
            self.assertEqual((), fleet.store.blocked)
            await fleet.stop()

        self.run_virtual(scenario())


class Innocent(VirtualCase):
    """Test what must not be blocked."""

    def test_other_bodies_of_a_callers_path_are_served_while_one_of_them_ends_replicas(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing_bodies = {b'poison'}
            sinks, _ = await asyncio.gather(
                self.ask_bodies(fleet, '/chat/all'),
                fleet.repeat('/chat/all', 0.5, 12.0, body=b'poison'),
            )
            await fleet.settle()
            self.assertNotIn('crashes-replicas', {sink.reason for sink in sinks})
            self.assertLessEqual(len(fleet.replicas.crashes), 4)
            await fleet.stop()

        self.run_virtual(scenario())

    async def ask_bodies(self, fleet: CrashingFleet, target: str) -> list[FakeSink]:
        """Ask one path with many bodies."""
        sinks = []
        for number in range(60):
            body = f'body {number}'.encode()
            sinks.append(fleet.ask(f'box-{number % 4}', target, body=body))
            await asyncio.sleep(0.2)
        return sinks

    def test_connections_that_are_reset_while_replicas_live_block_nothing(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.resetting = {'/chat/lost'}
            await fleet.repeat('/chat/lost', 0.4, 6.0)
            fleet.replicas.resetting = set()
            sink = fleet.ask('box-2', '/chat/lost')
            await fleet.settle()
            self.assertEqual('whole', sink.state)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_what_often_runs_beside_the_cause_is_served(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            poisons = {f'{POISON}{number}' for number in range(3)}
            fleet.replicas.crashing = poisons
            sinks, popular, *_ = await asyncio.gather(
                fleet.load('/chat/', 0.1, 12.0),
                fleet.repeat('/chat/popular', 0.1, 12.0),
                *(fleet.repeat(item, 0.5, 12.0) for item in sorted(poisons)),
            )
            await fleet.settle()
            reasons = {sink.reason for sink in [*sinks, *popular]}
            self.assertNotIn('crashes-replicas', reasons)
            self.assertEqual(3, len(fleet.boxes['box-0'].box.ledger.blocked))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_many_replicas_that_end_at_one_moment_block_nothing(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            sinks = [fleet.ask(box, '/chat/popular') for box in fleet.boxes for _ in range(4)]
            await asyncio.sleep(0.1)
            running = {item.replica for item in fleet.replicas.arrivals}
            self.assertGreater(len(running), 3)
            for name in running:
                fleet.replicas.ended_of(fleet.boxes['box-0'].box.replicas.replicas[name]).set()
            await fleet.settle()
            self.assertNotIn('crashes-replicas', {sink.reason for sink in sinks})
            await fleet.stop()

        self.run_virtual(scenario())


class Known(VirtualCase):
    """Test that every box knows, whatever happens to boxes."""

    async def blocked_fleet(self) -> CrashingFleet:
        """Return boxes that have blocked a request."""
        fleet = CrashingFleet()
        await fleet.start()
        fleet.replicas.crashing = {POISON}
        await fleet.repeat(POISON, 0.4, 3.0)
        self.sent = fleet.replicas.sent_after(POISON, 0.0)
        return fleet

    async def check_known(self, fleet: CrashingFleet, *names: str) -> None:
        """Check that boxes do not send the request on."""
        for name in names or fleet.boxes:
            fleet.ask(name, POISON)
        await fleet.settle()
        self.assertEqual(self.sent, fleet.replicas.sent_after(POISON, 0.0))

    def test_a_box_that_starts_hears_of_it_before_it_is_in_touch(self) -> None:
        async def scenario() -> None:
            fleet = await self.blocked_fleet()
            await fleet.add('box-9', 'south').start()
            await asyncio.sleep(2.0)
            await self.check_known(fleet, 'box-9')
            await fleet.stop()

        self.run_virtual(scenario())

    def test_the_scheduler_may_die_between_two_ends(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {POISON}
            fleet.ask('box-3', POISON)
            await asyncio.sleep(1.0)
            fleet.kill('box-0')
            await fleet.repeat(POISON, 0.5, 8.0)
            await fleet.settle()
            self.assertLessEqual(len(fleet.replicas.crashes_under(POISON)), 4)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_box_that_was_cut_off_hears_of_it_when_it_is_back(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.network.blocked = lambda source, target: 'box-3:7' in (source, target)
            fleet.replicas.crashing = {POISON}
            del (cut := dict(fleet.boxes))['box-3']
            whole, fleet.boxes = fleet.boxes, cut
            await fleet.repeat(POISON, 0.4, 4.0)
            fleet.boxes = whole
            fleet.network.blocked = lambda source, target: False
            await asyncio.sleep(CONTACT_S)
            self.sent = fleet.replicas.sent_after(POISON, 0.0)
            await self.check_known(fleet, 'box-3')
            await fleet.stop()

        self.run_virtual(scenario())

    def test_half_of_all_messages_may_be_lost(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.network.loss = 0.5
            fleet.replicas.crashing = {'/read/poison'}
            await fleet.repeat('/read/poison', 0.7, 12.0)
            crashes = fleet.replicas.crashes_under('/read/poison')
            late = fleet.replicas.sent_after('/read/poison', crashes[2] + CONTACT_S)
            self.assertLessEqual(late, MOST_LATE)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_it_is_known_after_every_box_was_killed(self) -> None:
        async def scenario() -> None:
            fleet = await self.blocked_fleet()
            names = list(fleet.boxes)
            for name in names:
                fleet.kill(name)
            for number, name in enumerate(names):
                await fleet.add(name, ('north', 'south')[number % 2]).start()
            await asyncio.sleep(CONTACT_S)
            await self.check_known(fleet)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_it_is_known_while_the_store_is_away(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            for item in fleet.boxes.values():
                item.store.cut = True
            fleet.replicas.crashing = {POISON}
            await fleet.repeat(POISON, 0.4, 3.0)
            self.sent = fleet.replicas.sent_after(POISON, 0.0)
            self.assertLessEqual(self.sent, 4)
            await self.check_known(fleet)
            for item in fleet.boxes.values():
                item.store.cut = False
            await asyncio.sleep(10.0)
            self.assertEqual(1, len(fleet.store.blocked))
            await fleet.stop()

        self.run_virtual(scenario())
