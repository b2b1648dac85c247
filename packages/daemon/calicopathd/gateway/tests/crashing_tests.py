"""Test that a request which crashes replicas is blocked, to whichever box callers repeat it.

Callers repeat a crashing request with the same path, key and body but another identifier. If each
box counts the crashes of one call only, the request goes on crashing engines: two requests crashed
19 and 24 engines, with 8 and 13 sends more than 3 s after the third crash. Other requests on these
engines fail with them, and fail again on the next engine.

Crash evidence is kept by a fingerprint of the request, as a fingerprint rarely repeats by chance:
without crashing requests, 1,252 requests had 1,245 different ones, and the other seven were
retries by callers.
"""

from __future__ import annotations

import asyncio

from calicopath_core.crashes.messages import Evidence
from calicopath_core.crashes.suspects import keys_of
from calicopath_core.scheduling.election import PING_INTERVAL_S
from calicopath_core.scheduling.messages import Prompt, PromptPart, Rejected
from testkit.crashing_fleet import (
    BLOCKED_WITHIN_S,
    MAX_LATE_SENDS,
    POISON_TARGET,
    CrashingCase,
    CrashingFleet,
)


class Crashing(CrashingCase):
    def check_stopped(self, fleet: CrashingFleet, target: str = POISON_TARGET) -> None:
        """Check that a request is hardly sent any more once it has crashed three replicas."""
        crashes = fleet.replicas.crash_times(target)
        self.assertGreaterEqual(len(crashes), 3)
        late = fleet.replicas.count_arrivals_after(target, crashes[2] + BLOCKED_WITHIN_S)
        self.assertLessEqual(late, MAX_LATE_SENDS, f'{len(crashes)} replicas ended')

    def test_what_ends_engines_is_stopped_at_every_box_whoever_saw_it(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = {POISON_TARGET}
            await asyncio.gather(
                fleet.send_repeatedly(POISON_TARGET, 0.4, 12.0), fleet.load('/chat/', 0.15, 12.0)
            )
            await fleet.settle()
            self.check_stopped(fleet)

        self.run_scenario(work)

    def test_it_is_stopped_where_the_port_closes_after_the_connections(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = {POISON_TARGET}
            fleet.replicas.port_close_delay_s = 0.2
            await fleet.send_repeatedly(POISON_TARGET, 0.5, 12.0)
            await fleet.settle()
            self.check_stopped(fleet)

        self.run_scenario(work)

    def test_it_is_stopped_where_replicas_fall_silent_once_their_entries_lapse(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = {POISON_TARGET}
            fleet.replicas.silent_after_crash = True
            await fleet.send_repeatedly(POISON_TARGET, 3.0, 30.0)
            await fleet.settle()
            self.assertLessEqual(len(fleet.replicas.crash_times(POISON_TARGET)), 6)

        self.run_scenario(work)

    def test_it_is_stopped_where_query_headers_and_identifier_differ_each_time(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            targets = [f'{POISON_TARGET}?page={number}' for number in range(20)]
            fleet.replicas.crashing_targets = set(targets)
            for number, target in enumerate(targets):
                headers = (('X-Trace', str(number)),)
                fleet.send_request(f'box-{number % 4}', target, path=POISON_TARGET, headers=headers)
                await asyncio.sleep(0.5)
            await fleet.settle()
            self.assertLessEqual(len(fleet.replicas.crashes), 4)

        self.run_scenario(work)

    def test_it_is_stopped_where_callers_write_the_time_into_each_body(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = {POISON_TARGET}
            fleet.replicas.event_gap_s = 0.3
            for number in range(20):
                fleet.send_request(
                    f'box-{number % 4}', POISON_TARGET, body=f'time {number // 2}'.encode()
                )
                await asyncio.sleep(0.5)
            await fleet.settle()
            self.check_stopped(fleet)
            self.assertLessEqual(len(fleet.replicas.crashes), 5)

        self.run_scenario(work)

    def test_it_is_stopped_where_path_and_body_differ_and_the_prompt_is_the_same(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.event_gap_s = 0.3
            parts = (PromptPart('shared', 200), PromptPart('own', 77))
            targets = [f'/chat/{number}' for number in range(12)]
            fleet.replicas.crashing_targets = set(targets)
            for number, target in enumerate(targets):
                body = f'time {number}'.encode()
                prompt = Prompt('m', parts, 277, number)
                fleet.send_request(f'box-{number % 4}', target, body=body, prompt=prompt)
                await asyncio.sleep(0.7)
            await fleet.settle()
            self.assertLessEqual(len(fleet.replicas.crashes), 5)

        self.run_scenario(work)

    def test_what_ends_plain_services_is_stopped_too(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = {'/read/poison'}
            await fleet.send_repeatedly('/read/poison', 0.7, 15.0)
            await fleet.settle()
            self.check_stopped(fleet, '/read/poison')

        self.run_scenario(work)

    def test_what_may_run_once_only_is_stopped_too(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = {'/pay/poison'}
            await fleet.send_repeatedly('/pay/poison', 0.7, 15.0)
            await fleet.settle()
            self.check_stopped(fleet, '/pay/poison')

        self.run_scenario(work)

    def test_pieces_that_end_stages_are_stopped_and_spare_those_beside_them(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            for service in ('look', 'rank'):
                for number in range(2, 6):
                    fleet.add_replica(service, number)
            await fleet.start()
            fleet.stages.crashing_targets = {'poison-key'}
            _, sinks = await asyncio.gather(
                fleet.send_repeatedly('/draft/poison', 0.7, 14.0, piece_key='poison-key'),
                fleet.load('/draft/', 0.2, 14.0),
            )
            await fleet.settle()
            self.check_stopped(fleet, 'poison-key')
            self.assertNotIn('crashes-replicas', {sink.reason for sink in sinks})
            await fleet.stop()

        self.run_virtual(scenario())

    def test_what_waits_for_stages_when_it_is_blocked_is_rejected_at_once(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            sinks = [fleet.send_request(box, '/draft/poison', piece_key='k') for box in fleet.boxes]
            await asyncio.sleep(0.1)
            box = fleet.boxes['box-0'].box
            content = next(iter(box.scheduler.jobs.values())).place.content
            ages = {f'gone-{number}@1': (1.0 + number, 9.0) for number in range(3)}
            box.ledger.merge(
                [Evidence(keys_of(content, 'engine').exact.content, 'engine', ages, None)],
                'another',
            )
            await asyncio.sleep(0.06)
            self.assertEqual({'crashes-replicas'}, {sink.reason for sink in sinks})
            self.assertEqual(0, len(fleet.replicas.arrivals))

        self.run_scenario(work)

    # Without the evidence, such a box would send the request if it became the scheduler next.
    def test_a_box_that_passes_a_refusal_on_knows_what_blocks_the_request(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            box, scheduler = fleet.boxes['box-2'].box, fleet.boxes['box-0'].box
            self.assertEqual({scheduler.own.address}, fleet.schedulers())
            await asyncio.sleep(PING_INTERVAL_S / 4)
            sink = fleet.send_request('box-2', POISON_TARGET)
            await asyncio.sleep(0.0)
            content = next(iter(box.client.pending.values())).place.content
            ages = {f'gone-{number}@1': (1.0 + number, 9.0) for number in range(3)}
            scheduler.ledger.merge(
                [Evidence(keys_of(content, 'engine').exact.content, 'engine', ages, None)],
                'another',
            )
            known: list[float | None] = []
            handle_rejected = box.client.on_rejected

            def on_rejected(message: Rejected) -> None:
                known.append(box.ledger.blocked_s(content, ['engine']))
                handle_rejected(message)

            box.client.on_rejected = on_rejected  # type: ignore[method-assign]
            await fleet.settle()
            self.assertEqual((503, 'crashes-replicas'), (sink.status, sink.reason))
            self.assertNotIn(None, known)
            self.assertEqual(1, len(known))

        self.run_scenario(work)

    def test_what_was_placed_is_not_sent_if_its_box_knows_better(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            box = fleet.boxes['box-2'].box
            sink = fleet.send_request('box-2', POISON_TARGET)
            await asyncio.sleep(0.0)
            content = next(iter(box.client.pending.values())).place.content
            ages = {f'gone-{number}@1': (1.0 + number, 9.0) for number in range(3)}
            box.ledger.merge(
                [Evidence(keys_of(content, 'engine').exact.content, 'engine', ages, None)],
                'another',
            )
            await fleet.settle()
            self.assertEqual((503, 'crashes-replicas'), (sink.status, sink.reason))
            self.assertEqual(0, len(fleet.replicas.arrivals))

        self.run_scenario(work)
