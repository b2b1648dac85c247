"""Test how boxes share and look up which version began a stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.clock import LoopClock
from calicopath_core.scheduling.election import BoxAddress
from calicopath_core.versions.directory import (
    COPIES,
    GATHER_S,
    MAX_QUERIES,
    QUERY_TIMEOUT_S,
    FoundVersion,
    VersionDirectory,
    choose_holders,
)
from calicopath_core.versions.ledger import StreamLedger, stream_key
from calicopath_core.versions.messages import StreamNews, VersionAnswer, VersionQuery
from testkit.cases import VirtualCase

if TYPE_CHECKING:
    import msgspec


class DirectoryCase(VirtualCase):
    def new_directory(self) -> VersionDirectory:
        """Return the directory of a box whose scheduler is another one and never answers."""
        self.sent: list[tuple[str, msgspec.Struct]] = []

        async def resolve(service: str, key: str) -> FoundVersion | None:
            return None

        directory = VersionDirectory(
            clock=LoopClock(),
            ledger=StreamLedger(),
            own_address='own',
            scheduler_address=lambda: 'scheduler',
            send=lambda address, message: self.sent.append((address, message)),
            resolve=resolve,
        )
        directory.holders = ['copy-1', 'copy-2']
        return directory

    def messages(self, kind: type[msgspec.Struct]) -> list[str]:
        """Return where messages of a type went."""
        return [address for address, message in self.sent if isinstance(message, kind)]


class Lookups(DirectoryCase):
    def test_a_lookup_that_nobody_answers_ends(self) -> None:
        async def scenario() -> None:
            directory = self.new_directory()
            loop = asyncio.get_running_loop()
            for left_s in (8.0, 0.3, 0.0):
                self.sent.clear()
                started_at = loop.time()
                self.assertIsNone(await directory.find('engine', 'hire', 'a', left_s))
                self.assertLessEqual(len(self.messages(VersionQuery)), MAX_QUERIES)
                took_s = loop.time() - started_at
                self.assertAlmostEqual(min(left_s, MAX_QUERIES * QUERY_TIMEOUT_S), took_s, places=3)

        self.run_virtual(scenario())

    def test_own_streams_need_no_query(self) -> None:
        async def scenario() -> None:
            directory = self.new_directory()
            directory.on_begun('engine', 'hire', 'a', 'v1')
            found = await directory.find('engine', 'hire', 'a', 8.0)
            self.assertEqual(FoundVersion('v1', 'own'), found)
            self.assertEqual([], self.sent)

        self.run_virtual(scenario())

    def test_a_new_scheduler_does_not_deny_a_record_before_the_others_have_sent_theirs(
        self,
    ) -> None:
        async def scenario() -> None:
            directory = self.new_directory()
            directory.on_scheduler_changed('own')
            key = stream_key('engine', 'hire', 'a')
            query = VersionQuery(number=1, reply_to='asker', service='engine', key=key)
            directory.on_query(query)
            await asyncio.sleep(0.01)
            self.assertEqual([], self.messages(VersionAnswer))
            await asyncio.sleep(GATHER_S)
            directory.on_query(query)
            await asyncio.sleep(0.01)
            self.assertEqual(['asker'], self.messages(VersionAnswer))

        self.run_virtual(scenario())

    def test_a_box_that_has_just_started_denies_no_record(self) -> None:
        async def scenario() -> None:
            directory = self.new_directory()
            directory.repeat_if_due()
            key = stream_key('engine', 'hire', 'a')
            query = VersionQuery(number=1, reply_to='own', service='engine', key=key)
            directory.on_query(query)
            await asyncio.sleep(0.01)
            self.assertEqual([], self.messages(VersionAnswer))

        self.run_virtual(scenario())


class News(DirectoryCase):
    def test_streams_that_begin_together_go_in_one_message_to_each_holder(self) -> None:
        async def scenario() -> None:
            directory = self.new_directory()
            for number in range(5):
                directory.on_begun('engine', 'hire', str(number), 'v1')
            await asyncio.sleep(0.1)
            self.assertEqual(['copy-1', 'copy-2', 'scheduler'], sorted(self.messages(StreamNews)))

        self.run_virtual(scenario())

    def test_a_stream_answered_whole_at_once_is_not_reported(self) -> None:
        async def scenario() -> None:
            directory = self.new_directory()
            directory.on_begun('engine', 'hire', 'a', 'v1')
            directory.on_answered('engine', 'hire', 'a')
            await asyncio.sleep(0.1)
            self.assertEqual([], self.sent)
            self.assertEqual({}, dict(directory.ledger.records))

        self.run_virtual(scenario())

    def test_a_new_scheduler_gets_the_copies_of_other_boxes_too(self) -> None:
        async def scenario() -> None:
            directory = self.new_directory()
            other = self.new_directory()
            other.on_begun('engine', 'hire', 'a', 'v1')
            directory.on_news(StreamNews(begun=other.ledger.groups(0.0)))
            directory.on_scheduler_changed('next')
            self.assertEqual(['next'], self.messages(StreamNews))

        self.run_virtual(scenario())


class Holders(VirtualCase):
    def test_each_box_has_copies_at_other_boxes_of_other_failure_domains(self) -> None:
        boxes = [
            BoxAddress(f'box-{number}', f'box-{number}:1', 'abc'[number % 3], 'x')
            for number in range(9)
        ]
        by_address = {box.address: box for box in boxes}
        for box in boxes:
            holders = [by_address[address] for address in choose_holders(box, boxes)]
            self.assertEqual(COPIES, len(holders))
            self.assertNotIn(box.failure_domain, [item.failure_domain for item in holders])
        used = {address for box in boxes for address in choose_holders(box, boxes)}
        self.assertGreater(len(used), len(boxes) / 2)
