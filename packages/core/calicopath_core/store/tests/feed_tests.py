"""Test that a view stays in sync with the store whatever faults the watch has."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING, Any

from calicopath_core.store.feed import StoreFeed
from calicopath_core.store.records import view_update
from calicopath_core.store.view import ConfigView
from testkit.cases import VirtualCase
from testkit.fake_store import FakeStore, StoreState
from testkit.naive import NaiveView
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from calicopath_core.store.base import StoredObject

KEY = 'config/endpoints/a'
IN_FORCE_S = 3.0
"""Documented limit for a box in contact with the platform: relist interval plus latency."""


def put(state: StoreState, content: int) -> int:
    """Write the next version of the object and return the version."""
    held = state.objects.get(KEY)
    spec = {'spec': {'n': content}, 'change': {}}
    return state.write(KEY, spec, held.version if held else 0).version


@contextlib.asynccontextmanager
async def running_feed(state: StoreState) -> AsyncIterator[tuple[ConfigView, FakeStore, StoreFeed]]:
    """Run a feed in the background and yield it with its view and store."""
    view, store = ConfigView(), FakeStore(state=state)
    feed = StoreFeed(store=store, view=view, clock=VirtualClock())
    task = asyncio.create_task(feed.run())
    await asyncio.sleep(0.1)
    try:
        yield view, store, feed
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class ForeignObjects(VirtualCase):
    def test_an_unreadable_object_does_not_hide_the_others(self) -> None:
        async def scenario() -> None:
            values: list[Any] = [None, 4, 'text', [], {}, {'spec': 4}, {'spec': []}]
            state = StoreState()
            put(state, 1)
            for number, value in enumerate(values):
                state.write(f'config/endpoints/0-{number}', value, 0)
            async with running_feed(state) as (view, _, feed):
                self.assertTrue(feed.synced)
                self.assertEqual({'n': 1}, view.entries[KEY].spec)
                self.assertEqual({}, view.endpoints)
                state.write('config/endpoints/later', values[1], 0)
                put(state, 2)
                await asyncio.sleep(IN_FORCE_S)
                self.assertEqual({'n': 2}, view.entries[KEY].spec)
            for entry in view.entries.values():
                self.assertTrue(entry.spec is None or isinstance(entry.spec, dict))

        self.run_virtual(scenario())


class Restored(VirtualCase):
    def test_a_change_after_the_store_went_back_is_in_force_and_none_before_reverts(self) -> None:
        async def scenario(lost: int) -> None:
            state = StoreState()
            async with running_feed(state) as (view, _, _):
                put(state, 1)
                copy = state.snapshot()
                for content in range(2, 2 + lost):
                    put(state, content)
                await asyncio.sleep(IN_FORCE_S)
                before = view.entries[KEY]
                state.restore(copy)
                await asyncio.sleep(2 * IN_FORCE_S)
                self.assertEqual(before, view.entries[KEY])
                put(state, 99)
                await asyncio.sleep(IN_FORCE_S)
                self.assertEqual({'n': 99}, view.entries[KEY].spec)

        for lost in range(4):
            self.run_virtual(scenario(lost))


class Following(VirtualCase):
    def test_a_change_is_in_force_as_soon_as_its_event_comes(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            async with running_feed(state) as (view, _, _):
                version = put(state, 1)
                await asyncio.sleep(0.01)
                self.assertEqual(version, view.version(KEY))

        self.run_virtual(scenario())

    def test_a_watch_that_goes_silent_is_healed_by_the_next_read_of_everything(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            async with running_feed(state) as (view, store, feed):
                store.deliver = lambda stored: []
                version = put(state, 1)
                await asyncio.sleep(IN_FORCE_S)
                self.assertEqual(version, view.version(KEY))
                self.assertEqual(1, feed.missed_updates)

        self.run_virtual(scenario())

    def test_a_watch_that_ends_is_started_again(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            async with running_feed(state) as (view, _, _):
                state.end_watches()
                await asyncio.sleep(0.6)
                version = put(state, 1)
                await asyncio.sleep(0.01)
                self.assertEqual(version, view.version(KEY))

        self.run_virtual(scenario())

    def test_crossed_and_doubled_events_never_take_the_view_back(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            rng = random.Random(5)
            seen: list[StoredObject] = []

            def shuffled(stored: StoredObject) -> list[StoredObject]:
                seen.append(stored)
                return [rng.choice(seen), stored, rng.choice(seen)]

            async with running_feed(state) as (view, store, _):
                store.deliver = shuffled
                held = 0
                for number in range(50):
                    put(state, number)
                    await asyncio.sleep(0.01)
                    self.assertGreaterEqual(view.version(KEY), held)
                    held = view.version(KEY)
                self.assertEqual(50, held)

        self.run_virtual(scenario())

    def test_the_naive_view_goes_back_on_the_same_events(self) -> None:
        state, naive = StoreState(), NaiveView()
        for number in (2, 1):
            put(state, number)
        newest = view_update(state.objects[KEY])
        naive.apply(newest)
        naive.apply(newest._replace(version=1, spec={'n': 2}))
        self.assertEqual({'n': 2}, naive.specs[KEY])

    def test_after_a_long_outage_everything_missed_comes_into_force(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            async with running_feed(state) as (view, store, _):
                store.cut = True
                state.end_watches()
                for number in range(20):
                    put(state, number)
                await asyncio.sleep(3600)
                self.assertEqual(0, view.version(KEY))
                store.cut = False
                await asyncio.sleep(IN_FORCE_S)
                self.assertEqual(20, view.version(KEY))

        self.run_virtual(scenario())

    def test_a_box_is_not_synced_before_it_has_read_everything_once(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            state.down = True
            async with running_feed(state) as (_, _, feed):
                self.assertFalse(feed.synced)
                state.down = False
                await asyncio.sleep(1)
                self.assertTrue(feed.synced)

        self.run_virtual(scenario())
