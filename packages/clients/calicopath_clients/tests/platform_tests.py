"""Test the adapter to the object API against the stand-in and with lost responses."""

from __future__ import annotations

import asyncio
from typing import Any

import testtools

from calicopath_clients.platform import HttpBoxList, HttpObjectStore
from calicopath_clients.sessions import new_session
from calicopath_core.store.base import StoreUnavailable, VersionConflict, WriteUnknown
from standins.platform import PlatformStandIn
from testkit.servers import serve_app, serve_script


class Objects(testtools.TestCase):
    def test_updates_are_conditional_and_watches_see_them(self) -> None:
        async def scenario() -> None:
            platform = PlatformStandIn()
            async with serve_app(platform.app()) as url, new_session() as session:
                store = HttpObjectStore(url=url, session=session)
                self.assertIsNone(await store.get('config/a'))
                watch = store.watch('config/')
                event = asyncio.ensure_future(anext(watch))
                while not platform.watchers:
                    await asyncio.sleep(0)
                first = await store.put('config/a', {'n': 1}, 0)
                self.assertEqual(first, await event)
                self.assertEqual([first], await store.list('config/'))
                with self.assertRaises(VersionConflict):
                    await store.put('config/a', {'n': 2}, 0)
                second = await store.put('config/a', {'n': 2}, first.version)
                self.assertGreater(second.version, first.version)

        asyncio.run(scenario())

    def test_an_object_is_not_replaced_by_its_number_of_an_earlier_era(self) -> None:
        async def scenario() -> None:
            platform = PlatformStandIn()
            async with serve_app(platform.app()) as url, new_session() as session:
                store = HttpObjectStore(url=url, session=session)
                await session.post(f'{url}/admin/copy')
                lost = await store.put('config/a', {'n': 1}, 0)
                await session.post(f'{url}/admin/restore')
                again = await store.put('config/a', {'n': 2}, 0)
                self.assertGreater(again.version, lost.version)
                with self.assertRaises(VersionConflict):
                    await store.put('config/a', {'n': 3}, lost.version)
                await store.put('config/a', {'n': 3}, again.version)

        asyncio.run(scenario())

    def test_a_write_whose_answer_is_lost_is_unknown_and_took_effect(self) -> None:
        async def scenario() -> None:
            platform = PlatformStandIn()
            async with serve_app(platform.app()) as url, new_session() as session:
                store = HttpObjectStore(url=url, session=session)
                platform.faults.lose_answers = 1
                with self.assertRaises(WriteUnknown):
                    await store.put('config/a', {'n': 1}, 0)
                self.assertIsNotNone(await store.get('config/a'))

        asyncio.run(scenario())

    def test_a_platform_that_is_down_cannot_be_read_and_its_writes_are_unknown(self) -> None:
        async def scenario() -> None:
            platform = PlatformStandIn()
            async with serve_app(platform.app()) as url, new_session() as session:
                store = HttpObjectStore(url=url, session=session)
                platform.faults.down = True
                with self.assertRaises(StoreUnavailable):
                    await store.get('config/a')
                with self.assertRaises(StoreUnavailable):
                    await HttpBoxList(url=url, session=session).boxes()
                with self.assertRaises(WriteUnknown):
                    await store.put('config/a', {}, 0)
                self.assertEqual({}, platform.objects)

        asyncio.run(scenario())

    def test_requests_to_a_platform_that_does_not_answer_time_out(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await reader.read()

        async def scenario() -> None:
            async with serve_script(script) as url, new_session() as session:
                store = HttpObjectStore(url=url, session=session, timeout_s=0.05)
                with self.assertRaises(WriteUnknown):
                    await store.put('config/a', {}, 0)
                with self.assertRaises(StoreUnavailable):
                    await store.get('config/a')

        asyncio.run(scenario())
