"""Test how a feed handles answers from several eras of the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

from calicopath_core.clock import LoopClock
from calicopath_core.fleet.availability import StoreAvailability
from calicopath_core.fleet.feed import FeedObserver, RecordFeed
from calicopath_core.fleet.positions import Position
from calicopath_core.fleet.store import (
    Change,
    Changes,
    FleetStore,
    HistoryLost,
    Listing,
    RecordKind,
    StoreAnswerTooLarge,
)
from testkit.cases import VirtualCase
from testkit.gateway_world import replicas

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.fleet.store import Record

ONE, TWO = replicas()[:2]
PAUSE_S = 0.5


async def back_off(kind: RecordKind, failures: int) -> None:
    """Wait as a box does after a failed store call."""
    await asyncio.sleep(PAUSE_S)


class Feeding(VirtualCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = mock.create_autospec(FleetStore, instance=True)
        self.policy = mock.Mock(
            may_read=lambda kind: True,
            uses_relay=lambda: False,
            watch_wait_s=lambda kind: 1.0,
            wait_for_relays=mock.AsyncMock(),
            back_off=back_off,
        )
        self.handler = mock.Mock()
        self.feed = RecordFeed(
            store=self.store,
            kind=RecordKind.REPLICA,
            clock=LoopClock(),
            observer=mock.create_autospec(FeedObserver, instance=True),
            handler=self.handler,
            policy=self.policy,
            availability=StoreAvailability(
                heartbeat_s=1.2, on_disrupted=lambda until: self.handler.on_disrupted()
            ),
        )

    def run_feed(self, for_s: float) -> None:
        """Run the feed for some seconds."""

        async def scenario() -> None:
            task = asyncio.create_task(self.feed.run())
            await asyncio.sleep(for_s)
            task.cancel()

        self.run_virtual(scenario())

    def set_listings(self, *found: Listing) -> None:
        """Set the store's successive lists; the last one is repeated."""
        left = list(found)
        self.store.list.side_effect = lambda kind: left.pop(0) if len(left) > 1 else left[0]

    def set_watches(self, answer: Callable[[int], Changes]) -> None:
        """Have the store answer watches after a short delay, by the revision watched from."""

        async def watch(kind: RecordKind, revision: int, wait_s: float) -> Changes:
            await asyncio.sleep(0.01)
            return answer(revision)

        self.store.watch.side_effect = watch

    def names(self) -> set[str]:
        """Return the names of the records that the feed holds."""
        return set(self.feed.records)

    def test_a_list_of_a_later_era_is_taken_in_at_any_revision(self) -> None:
        self.feed.apply_listing(listing(1, 50, ONE))
        self.feed.apply_listing(listing(2, 40, TWO))
        self.assertEqual({TWO.id}, self.names())

    def test_a_list_of_an_earlier_era_is_not(self) -> None:
        self.feed.apply_listing(listing(2, 40, TWO))
        self.feed.apply_listing(listing(1, 50, ONE))
        self.assertEqual({TWO.id}, self.names())

    def test_a_watch_answered_in_a_later_era_has_everything_read_anew(self) -> None:
        self.set_listings(listing(1, 50, ONE), listing(2, 60, TWO))
        self.set_watches(lambda revision: Changes((), Position(2, 60)))
        self.run_feed(1.0)
        self.assertEqual({TWO.id}, self.names())
        self.assertEqual(2, self.store.list.call_count)

    def test_a_watch_answered_in_an_earlier_era_is_a_failure_that_is_waited_out(self) -> None:
        self.set_listings(listing(2, 40, ONE))
        gone = (Change(ONE.id, None),)
        self.set_watches(lambda revision: Changes(gone, Position(1, 70)))
        self.run_feed(4 * PAUSE_S)
        self.assertEqual({ONE.id}, self.names())
        self.assertLess(self.store.watch.call_count, 6)

    # A watch whose answer was too large was made again for ever, with the same answer.
    def test_changes_that_are_too_many_for_an_answer_are_read_as_a_list(self) -> None:
        self.set_listings(listing(1, 50, ONE), listing(1, 60, TWO))

        def answer(revision: int) -> Changes:
            if revision == 50:
                raise StoreAnswerTooLarge('too large')
            return Changes((), Position(1, revision))

        self.set_watches(answer)
        self.run_feed(PAUSE_S)
        self.assertEqual({TWO.id}, self.names())

    def test_an_update_that_begins_in_another_era_is_left_out(self) -> None:
        self.feed.apply_listing(listing(1, 50, ONE))
        self.feed.apply_update(Position(1, 50), Position(2, 60), [Change(ONE.id, None)])
        self.assertEqual({ONE.id}, self.names())
        self.feed.apply_update(None, Position(2, 60), [Change(TWO.id, TWO)])
        self.assertEqual({TWO.id}, self.names())

    def test_history_that_is_lost_again_and_again_is_asked_for_with_pauses(self) -> None:
        self.set_listings(listing(1, 50, ONE))

        def lost(revision: int) -> Changes:
            raise HistoryLost('servers')

        self.set_watches(lost)
        self.run_feed(10 * PAUSE_S)
        self.assertLess(self.store.list.call_count, 14)


def listing(era: int, revision: int, *records: Record) -> Listing:
    """Return a list at a position."""
    return Listing({item.id: item for item in records}, Position(era, revision))  # type: ignore[union-attr]
