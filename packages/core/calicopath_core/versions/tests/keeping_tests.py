"""Test which version the store shows for streams that no box remembers."""

from __future__ import annotations

import asyncio

import testtools

from calicopath_core.clock import Clock
from calicopath_core.exceptions import CalicopathError
from calicopath_core.versions.declaring import MAX_WAIT_S
from calicopath_core.versions.directory import FoundVersion
from calicopath_core.versions.keeping import (
    ANY_SERVICE,
    MAX_STORED,
    SETTLE_S,
    UNKNOWN_VERSIONS,
    VERSION_TTL_S,
    StoredStreams,
    StreamKeeper,
    Versions,
    newest,
)
from calicopath_core.versions.ledger import StreamLedger, stream_key
from calicopath_core.versions.messages import BegunStreams
from calicopath_core.versions.store import StreamStore


class ManualClock(Clock):
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        """Return the time that the test has set."""
        return self.now

    def wall(self) -> float:
        """Return the same time."""
        return self.now


class MemoryStore(StreamStore):
    """Hold one object of versions and the records of each group."""

    def __init__(self) -> None:
        self.versions: Versions = {}
        self.revision: int | None = None
        self.groups: dict[int, tuple[BegunStreams, ...]] = {}
        self.down = False
        self.reads = 0

    def check(self) -> None:
        """Raise the error of an unreachable store if it is down."""
        if self.down:
            raise CalicopathError('down')

    async def read_streams(self) -> StoredStreams:
        """Return what is stored."""
        self.check()
        self.reads += 1
        groups = tuple(item for group in self.groups.values() for item in group)
        return StoredStreams(self.versions, self.revision, groups)

    async def write_versions(self, versions: Versions, revision: int | None) -> int | None:
        """Replace the versions if the revision fits."""
        self.check()
        if revision != self.revision:
            return None
        self.versions, self.revision = versions, (revision or 0) + 1
        return self.revision

    async def write_streams(self, group: int, groups: tuple[BegunStreams, ...]) -> None:
        """Replace the records of a group."""
        self.check()
        self.groups[group] = groups


class KeeperCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.listed: Versions = {'engine': frozenset({'v1'})}
        self.declared: list[Versions | None] = []
        self.failures: list[Exception] = []

    def new_keeper(self) -> StreamKeeper:
        """Return the keeper of a box that has just become the scheduler, with a stream."""
        ledger = StreamLedger()
        ledger.put('known', 'engine', 'v1', self.clock.now)
        keeper = StreamKeeper(
            clock=self.clock,
            ledger=ledger,
            store=self.store,
            group=lambda: 0,
            is_due=lambda: True,
            listed=lambda: self.listed,
            era=lambda: 0,
            on_declared=self.declared.append,
            on_failed=self.failures.append,
        )
        keeper.records_changed = True
        return keeper

    def steps(self, keeper: StreamKeeper, count: int = 2) -> None:
        """Let time pass so that the keeper is due, and run its steps."""
        asyncio.run(keeper.step())
        for _ in range(count):
            self.clock.now += SETTLE_S
            asyncio.run(keeper.step())

    def resolve(self, keeper: StreamKeeper, key: str) -> FoundVersion | None:
        """Return what the keeper finds for a stream."""
        return asyncio.run(keeper.resolve('engine', key))


class Unreadable(KeeperCase):
    def test_no_version_is_the_only_one_until_unreadable_declarations_expire(self) -> None:
        for service in (ANY_SERVICE, 'engine'):
            self.store.versions, self.store.revision = {service: UNKNOWN_VERSIONS}, 1
            self.listed = {'engine': frozenset({'v2'})}
            self.steps(self.new_keeper())
            successor = self.new_keeper()
            self.steps(successor)
            self.assertIsNone(self.resolve(successor, 'unknown'))
            self.assertIn('v2', self.store.versions['engine'])
            self.clock.now += VERSION_TTL_S
            self.steps(successor)
            self.assertEqual({'engine': frozenset({'v2'})}, self.store.versions)
            found = self.resolve(successor, 'unknown')
            self.assertEqual('v2', found.version if found else None)


class Waiting(KeeperCase):
    def test_versions_are_declared_at_once_while_new_streams_wait(self) -> None:
        keeper = self.new_keeper()
        keeper.ledger.records.clear()
        self.assertTrue(keeper.declaration_wait.must_wait(self.clock.now))
        asyncio.run(keeper.step())
        self.assertEqual({'engine': frozenset({'v1'})}, self.store.versions)

    def test_streams_wait_no_longer_than_their_bound_for_a_silent_store(self) -> None:
        wait = self.new_keeper().declaration_wait
        self.assertTrue(wait.must_wait(self.clock.now))
        self.assertTrue(wait.must_wait(self.clock.now + MAX_WAIT_S / 2))
        self.assertFalse(wait.must_wait(self.clock.now + MAX_WAIT_S))

    def test_no_version_is_the_only_one_after_streams_began_without_a_declaration(self) -> None:
        keeper = self.new_keeper()
        keeper.declaration_wait.must_wait(self.clock.now)
        keeper.declaration_wait.give_up()
        self.assertFalse(keeper.declaration_wait.must_wait(self.clock.now))
        self.listed = {'engine': frozenset({'v2'})}
        self.steps(keeper)
        self.assertFalse(keeper.declaration_wait.expired)
        successor = self.new_keeper()
        self.steps(successor)
        self.assertIsNone(self.resolve(successor, 'unknown'))
        self.clock.now += VERSION_TTL_S
        self.steps(successor)
        found = self.resolve(successor, 'unknown')
        self.assertEqual('v2', found.version if found else None)


class Declared(KeeperCase):
    def test_the_only_declared_version_began_every_stream(self) -> None:
        self.steps(self.new_keeper())
        self.assertEqual({'engine': frozenset({'v1'})}, self.store.versions)
        self.assertEqual({}, self.store.groups)
        found = self.resolve(self.new_keeper(), 'unknown')
        self.assertEqual(FoundVersion('v1', 'only-version'), found)

    def test_a_stream_without_a_record_is_not_guessed_among_two_versions(self) -> None:
        self.listed = {'engine': frozenset({'v1', 'v2'})}
        self.steps(self.new_keeper())
        restarted = self.new_keeper()
        self.assertIsNone(self.resolve(restarted, 'unknown'))
        restarted.ledger.records.clear()
        self.assertEqual(FoundVersion('v1', 'store'), self.resolve(self.new_box(), 'known'))

    def new_box(self) -> StreamKeeper:
        """Return the keeper of a box that remembers nothing."""
        keeper = self.new_keeper()
        keeper.ledger.records.clear()
        return keeper

    def test_a_version_whose_replicas_are_gone_is_not_taken_for_another(self) -> None:
        self.listed = {'engine': frozenset({'v1', 'v2'})}
        self.steps(self.new_keeper())
        self.listed = {'engine': frozenset({'v2'})}
        self.assertIsNone(self.resolve(self.new_box(), 'unknown'))

    def test_a_version_ends_only_after_its_streams(self) -> None:
        self.listed = {'engine': frozenset({'v1', 'v2'})}
        keeper = self.new_keeper()
        self.steps(keeper)
        self.listed = {'engine': frozenset({'v2'})}
        self.clock.now += VERSION_TTL_S - 2 * SETTLE_S
        self.steps(keeper, 1)
        self.assertEqual(frozenset({'v1', 'v2'}), self.store.versions['engine'])
        self.clock.now += 2 * SETTLE_S
        self.steps(keeper, 1)
        self.assertEqual(frozenset({'v2'}), self.store.versions['engine'])

    def test_a_box_that_schedules_again_counts_every_declared_version_as_recent(self) -> None:
        keeper = self.new_keeper()
        self.listed = {'engine': frozenset({'v1', 'v2'})}
        self.steps(keeper)
        keeper.is_due = lambda: False
        asyncio.run(keeper.step())
        self.clock.now += 2 * VERSION_TTL_S
        self.listed = {'engine': frozenset({'v2'})}
        keeper.is_due = lambda: True
        self.steps(keeper)
        self.assertEqual(frozenset({'v1', 'v2'}), self.store.versions['engine'])

    def test_versions_that_another_box_declared_meanwhile_are_kept(self) -> None:
        keeper = self.new_keeper()
        self.steps(keeper)
        self.store.versions = {'engine': frozenset({'v1', 'v3'})}
        self.store.revision = 7
        self.listed = {'engine': frozenset({'v1', 'v2'})}
        self.steps(keeper, 3)
        self.assertEqual(frozenset({'v1', 'v2', 'v3'}), self.store.versions['engine'])

    def test_nothing_is_guessed_while_the_store_is_away(self) -> None:
        self.steps(self.new_keeper())
        self.store.down = True
        self.clock.now += 1.0
        self.assertIsNone(self.resolve(self.new_box(), 'unknown'))
        self.assertEqual(1, len(self.failures))

    def test_replicas_without_versions_are_one_version(self) -> None:
        self.listed = {'engine': frozenset({''})}
        self.assertEqual(FoundVersion('', 'only-version'), self.resolve(self.new_box(), 'unknown'))


class Records(KeeperCase):
    def test_streams_begun_before_a_second_version_are_written(self) -> None:
        keeper = self.new_keeper()
        self.steps(keeper)
        self.assertEqual({}, self.store.groups)
        self.listed = {'engine': frozenset({'v1', 'v2'})}
        self.steps(keeper, 1)
        self.assertEqual((BegunStreams('engine', 'v1', ('known',)),), self.store.groups[0])

    def test_stored_records_outlive_the_next_write(self) -> None:
        self.listed = {'engine': frozenset({'v1', 'v2'})}
        self.steps(self.new_keeper())
        successor = self.new_keeper()
        successor.ledger.records.clear()
        successor.ledger.put('new', 'engine', 'v2', self.clock.now)
        self.steps(successor)
        stored = {item.version: item.keys for item in self.store.groups[0]}
        self.assertEqual({'v1': ('known',), 'v2': ('new',)}, stored)

    def test_a_lost_write_is_repeated(self) -> None:
        self.listed = {'engine': frozenset({'v1', 'v2'})}
        keeper = self.new_keeper()
        self.steps(keeper)
        keeper.ledger.put('new', 'engine', 'v2', self.clock.now)
        keeper.on_new_record()
        self.store.down = True
        self.assertRaises(CalicopathError, asyncio.run, keeper.step())
        self.store.down = False
        asyncio.run(keeper.step())
        self.assertEqual(2, len(self.store.groups[0]))

    def test_the_newest_records_are_kept_if_there_are_too_many(self) -> None:
        keys = tuple(str(number) for number in range(2 * MAX_STORED))
        (kept,) = newest((BegunStreams('engine', 'v1', keys),), MAX_STORED)
        self.assertEqual(keys[-MAX_STORED:], kept.keys)


class Ledger(testtools.TestCase):
    def test_callers_of_other_workspaces_or_services_have_other_streams(self) -> None:
        keys = {
            stream_key('engine', 'hire', 'a'),
            stream_key('engine', 'boats', 'a'),
            stream_key('engine', None, 'a'),
            stream_key('desk', 'hire', 'a'),
        }
        self.assertEqual(4, len(keys))

    def test_the_first_record_of_a_stream_stays(self) -> None:
        ledger = StreamLedger()
        self.assertTrue(ledger.put('a', 'engine', 'v1', 0.0))
        self.assertFalse(ledger.put('a', 'engine', 'v2', 1.0))
        self.assertEqual('v1', ledger.find('a', 2.0))

    def test_records_expire(self) -> None:
        ledger = StreamLedger()
        ledger.put('a', 'engine', 'v1', 0.0)
        self.assertIsNone(ledger.find('a', 31.0))
