"""Test how crashes during a request are counted, and how the evidence of boxes is merged."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import cast
from unittest import mock

from calicopath_core.crashes.ledger import (
    MAX_SUSPECTS,
    CrashLedger,
    CrashObserver,
)
from calicopath_core.crashes.messages import CrashNews, Evidence
from calicopath_core.crashes.sharing import CrashSharing
from calicopath_core.crashes.suspects import (
    BLOCK_S,
    CRASH_RETENTION_S,
    MAX_CRASHES,
    SAME_CRASH_S,
    SIMULTANEOUS_S,
    SURVIVAL_RETENTION_S,
    Crash,
    SuspectKey,
    new_crash_id,
    replica_of,
)
from calicopath_core.membership.sharing import REPEAT_S
from testkit.cases import VirtualCase
from testkit.ledgers import new_ledger

KEY = SuspectKey('c.b', 'engine')
APART_S = 2 * SIMULTANEOUS_S
RUN_S = 5.0


async def add_crashes(ledger: CrashLedger, *replicas: str, key: SuspectKey = KEY) -> None:
    """Record a crash of each replica during a request, far enough apart to count separately."""
    for replica in replicas:
        now = ledger.clock.monotonic()
        ledger.on_crash(key, new_crash_id(replica, ledger.clock.wall()), Crash(now, now - RUN_S))
        await asyncio.sleep(APART_S)


def crash_now(ledger: CrashLedger) -> Crash:
    """Return a crash at the current time."""
    return Crash(ledger.clock.monotonic(), ledger.clock.monotonic() - RUN_S)


class Counting(VirtualCase):
    def test_three_ends_block_and_two_do_not(self) -> None:
        async def scenario() -> None:
            ledger = new_ledger()
            await add_crashes(ledger, 'r1', 'r2')
            self.assertIsNone(ledger.blocked_s('c.b', ['engine']))
            await add_crashes(ledger, 'r3')
            self.assertAlmostEqual(BLOCK_S, ledger.blocked_s('c.b', ['engine']) or 0, delta=1)

        self.run_virtual(scenario())

    def test_one_end_seen_by_several_boxes_counts_once(self) -> None:
        async def scenario() -> None:
            ledger = new_ledger()
            await add_crashes(ledger, 'r1', 'r1', 'r1')
            crash_id = next(iter(ledger.suspects[KEY].crashes))
            for number in range(5):
                ledger.merge(
                    [Evidence('c.b', 'engine', {crash_id: (number / 1000, 1.0)}, None)],
                    f'b{number}',
                )
            self.assertIsNone(ledger.blocked_s('c.b', ['engine']))

        self.run_virtual(scenario())

    def test_a_replica_that_comes_back_under_its_name_and_ends_again_counts_again(self) -> None:
        async def scenario() -> None:
            ledger = new_ledger()
            for _ in range(2):
                await add_crashes(ledger, 'r1')
                await asyncio.sleep(SAME_CRASH_S)
            self.assertIsNone(ledger.blocked_s('c.b', ['engine']))
            await add_crashes(ledger, 'r1')
            self.assertIsNotNone(ledger.blocked_s('c.b', ['engine']))

        self.run_virtual(scenario())

    def test_an_end_that_a_box_notices_late_counts_once(self) -> None:
        async def scenario() -> None:
            ledger = new_ledger()
            ages = {
                'r1@100': (2.5, 9.0),
                'r1@101': (1.9, 9.0),
                'r2@101': (1.4, 9.0),
                'r2@102': (0.6, 9.0),
            }
            ledger.merge([Evidence('c.b', 'engine', ages, None)], 'b')
            self.assertIsNone(ledger.blocked_s('c.b', ['engine']))

        self.run_virtual(scenario())

    def test_ends_at_one_moment_count_once(self) -> None:
        async def scenario() -> None:
            ledger = new_ledger()
            for number in range(6):
                ledger.on_crash(KEY, f'r{number}', crash_now(ledger))
            self.assertIsNone(ledger.blocked_s('c.b', ['engine']))

        self.run_virtual(scenario())

    def test_a_run_that_began_after_an_end_is_another_event_however_soon(self) -> None:
        async def scenario() -> None:
            ledger = new_ledger()
            for number in range(3):
                now = ledger.clock.monotonic()
                await asyncio.sleep(SIMULTANEOUS_S / 4)
                ledger.on_crash(KEY, f'r{number}', Crash(ledger.clock.monotonic(), now + 1e-6))
            self.assertIsNotNone(ledger.blocked_s('c.b', ['engine']))

        self.run_virtual(scenario())

    def test_a_run_that_survives_clears_what_came_before_it(self) -> None:
        async def scenario() -> None:
            ledger = new_ledger()
            await add_crashes(ledger, 'r1', 'r2')
            self.assertTrue(ledger.on_survived(KEY))
            await asyncio.sleep(APART_S)
            await add_crashes(ledger, 'r3', 'r4')
            self.assertIsNone(ledger.blocked_s('c.b', ['engine']))
            await add_crashes(ledger, 'r5')
            self.assertIsNotNone(ledger.blocked_s('c.b', ['engine']))

        self.run_virtual(scenario())

    def test_what_ends_one_service_blocks_requests_that_need_it(self) -> None:
        async def scenario() -> None:
            ledger = new_ledger()
            await add_crashes(ledger, 'r1', 'r2', 'r3')
            self.assertIsNone(ledger.blocked_s('c.b', ['desk']))
            self.assertIsNotNone(ledger.blocked_s('c.b', ['look', 'engine']))
            self.assertIsNone(ledger.blocked_s('other', ['engine']))

        self.run_virtual(scenario())

    def test_it_is_let_go_after_a_while_and_blocked_for_longer_by_the_next_end(self) -> None:
        async def scenario() -> None:
            observer = mock.Mock(spec=CrashObserver)
            ledger = new_ledger(observer)
            await add_crashes(ledger, 'r1', 'r2', 'r3')
            await asyncio.sleep(BLOCK_S)
            ledger.expire()
            self.assertIsNone(ledger.blocked_s('c.b', ['engine']))
            observer.on_unblocked.assert_called_once_with(KEY, 'time')
            await add_crashes(ledger, 'r4')
            self.assertAlmostEqual(2 * BLOCK_S, ledger.blocked_s('c.b', ['engine']) or 0, delta=1)

        self.run_virtual(scenario())

    def test_memory_is_bounded_and_what_is_blocked_goes_last(self) -> None:
        async def scenario() -> None:
            ledger = new_ledger()
            await add_crashes(ledger, 'r1', 'r2', 'r3')
            for number in range(2 * MAX_SUSPECTS):
                ledger.on_crash(SuspectKey(f'c{number}.b', 'engine'), 'r9', crash_now(ledger))
            self.assertEqual(MAX_SUSPECTS, len(ledger.suspects))
            self.assertIsNotNone(ledger.blocked_s('c.b', ['engine']))
            for number in range(3 * MAX_CRASHES):
                ledger.on_crash(KEY, f's{number}', crash_now(ledger))
            self.assertEqual(MAX_CRASHES, len(ledger.suspects[KEY].crashes))
            await asyncio.sleep(CRASH_RETENTION_S + SURVIVAL_RETENTION_S)
            ledger.expire()
            self.assertEqual({}, ledger.suspects)

        self.run_virtual(scenario())


class Joining(VirtualCase):
    def test_any_order_and_any_repeats_lead_to_the_same(self) -> None:
        async def scenario() -> None:
            news = [
                Evidence('c.b', 'engine', {'r1': (9.0, 9.5)}, None),
                Evidence('c.b', 'engine', {'r2': (7.0, 9.5)}, 8.0),
                Evidence('c.b', 'engine', {'r3': (5.0, 9.5), 'r4': (3.0, 9.5)}, None),
                Evidence('d.b', 'engine', {'r1': (9.0, 9.5), 'r2': (7.0, 9.5)}, 6.0),
            ]
            rng = random.Random(1)
            digests, verdicts = set(), set()
            for order in itertools.permutations(news):
                ledger = new_ledger()
                ledger.merge([*order, *rng.choices(news, k=3)], 'b')
                digests.add(ledger.digest())
                verdicts.add(tuple(sorted(ledger.blocked)))
            self.assertEqual(1, len(digests))
            self.assertEqual({(KEY,)}, verdicts)

        self.run_virtual(scenario())

    def test_the_first_end_is_no_news_for_all_and_the_second_is(self) -> None:
        async def scenario() -> None:
            ledger = new_ledger()
            await add_crashes(ledger, 'r1')
            self.assertEqual('', ledger.digest())
            await add_crashes(ledger, 'r2')
            self.assertNotEqual('', ledger.digest())

        self.run_virtual(scenario())


class Sharing(VirtualCase):
    def pair(self) -> tuple[CrashSharing, CrashSharing, list[tuple[str, CrashNews]]]:
        """Return a box, its hub, and the list of messages that they send."""
        sent: list[tuple[str, CrashNews]] = []
        boxes = []
        for name in ('a', 'b'):
            ledger = new_ledger()
            boxes.append(
                CrashSharing(
                    clock=ledger.clock,
                    ledger=ledger,
                    own_address=name,
                    hubs=lambda: ['b'],
                    send=lambda address, message: sent.append(
                        (address, cast('CrashNews', message))
                    ),
                )
            )
        return boxes[0], boxes[1], sent

    def test_own_news_are_repeated_for_a_while_in_case_they_were_lost(self) -> None:
        async def scenario() -> None:
            box, hub, sent = self.pair()
            box.ledger.on_crash(KEY, 'r1', crash_now(box.ledger))
            box.report([KEY])
            sent.clear()
            await asyncio.sleep(0.4)
            box.notify_hubs()
            hub.on_news(sent[0][1])
            sent.clear()
            self.assertEqual({'r1'}, set(hub.ledger.suspects[KEY].crashes))
            await asyncio.sleep(REPEAT_S)
            box.notify_hubs()
            self.assertEqual([], sent)

        self.run_virtual(scenario())

    def test_two_that_know_different_things_know_both_after_one_ping(self) -> None:
        async def scenario() -> None:
            box, hub, sent = self.pair()
            other = SuspectKey('d.b', 'engine')
            await add_crashes(box.ledger, 'r1', 'r2', 'r3')
            await add_crashes(hub.ledger, 'r4', 'r5', 'r6', key=other)
            hub.on_digest('a', box.ledger.digest())
            box.on_news(sent.pop()[1])
            hub.on_news(sent.pop()[1])
            self.assertEqual({KEY, other}, set(box.ledger.blocked))
            self.assertEqual(box.ledger.digest(), hub.ledger.digest())
            hub.on_digest('a', box.ledger.digest())
            self.assertEqual([], sent)

        self.run_virtual(scenario())

    def test_a_box_that_learns_the_stored_requests_sends_them_to_all_boxes_that_asked(self) -> None:
        # Guards against a relay that receives the stored blocks and sends `complete=True` to its
        # subscribers before it has merged the evidence: they would become ready without the
        # evidence and dispatch blocked requests.
        async def scenario() -> None:
            first, relay, sent = self.pair()
            await add_crashes(first.ledger, 'r1', 'r2', 'r3')
            relay.complete = False
            relay.waiting_boxes = lambda: ['subscriber']
            relay.on_news(first.full_news(whole=True))
            self.assertTrue(relay.complete)
            ((address, news),) = sent
            self.assertEqual(('subscriber', True), (address, news.complete))
            told = [set(map(replica_of, item.crash_ages_s)) for item in news.evidence]
            self.assertEqual([{'r1', 'r2', 'r3'}], told)

        self.run_virtual(scenario())

    def test_full_news_is_sent_to_one_box_a_few_times_a_second_at_most(self) -> None:
        async def scenario() -> None:
            _, hub, sent = self.pair()
            await add_crashes(hub.ledger, 'r1', 'r2')
            for _ in range(10):
                hub.on_digest('a', '')
                await asyncio.sleep(0.1)
            self.assertLessEqual(len(sent), 3)

        self.run_virtual(scenario())
