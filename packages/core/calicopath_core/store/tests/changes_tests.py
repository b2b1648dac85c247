"""Test that changes are conditional, survive lost answers and are recorded exactly once."""

from __future__ import annotations

import asyncio
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Result, Success

from calicopath_core.store.changes import (
    Accepted,
    ChangeError,
    ChangeWriter,
    Conflict,
    NotAccepted,
    Unconfirmed,
    read_audit_trail,
)
from calicopath_core.store.records import Change, ChangeAction
from testkit.cases import VirtualCase
from testkit.fake_store import FakeStore, StoreState, WriteOutcome
from testkit.virtual import VirtualClock, run_virtual

KEY = 'config/endpoints/a'
FATES = st.sampled_from(list(WriteOutcome))


def change(number: int, who: str = 'asma') -> Change:
    """Return a change whose content is its number."""
    return Change(f'change-{who}-{number}', KEY, {'n': number}, who, ChangeAction.APPLY)


def new_writer(state: StoreState) -> ChangeWriter:
    """Return a writer with its own client of the store."""
    return ChangeWriter(store=FakeStore(state=state), clock=VirtualClock(), retry_timeout_s=2.0)


def link(writer: ChangeWriter) -> FakeStore:
    """Return the store client of a writer, to set its faults."""
    assert isinstance(writer.store, FakeStore)
    return writer.store


class OneOperator(VirtualCase):
    def test_a_change_carries_its_record_with_before_and_after(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            writer = new_writer(state)
            await writer.make(change(1))
            await writer.make(change(2))
            records = await read_audit_trail(writer.store, 'config/')
            self.assertEqual([1, 2], [item['sequence'] for item in records])
            self.assertEqual({'n': 1}, records[1]['before'])
            self.assertEqual({'n': 2}, records[1]['after'])
            self.assertEqual('asma', records[1]['who'])

        self.run_virtual(scenario())

    def test_a_lost_answer_is_settled_by_reading_back_and_not_written_again(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            writer = new_writer(state)
            fates = iter([WriteOutcome.LOST_AFTER])
            link(writer).write_outcome = lambda key: next(fates, WriteOutcome.DONE)
            result = await writer.make(change(1))
            self.assertIsInstance(result, Success)
            self.assertEqual(1, state.objects[KEY].version)
            self.assertEqual(1, len(await read_audit_trail(writer.store, 'config/')))

        self.run_virtual(scenario())

    def test_a_lost_answer_followed_by_another_operators_change_is_still_accepted(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            writer, other = new_writer(state), new_writer(state)
            fates = iter([WriteOutcome.LOST_AFTER])
            link(writer).write_outcome = lambda key: next(fates, WriteOutcome.DONE)
            task = asyncio.create_task(writer.make(change(1)))
            await asyncio.sleep(0.05)
            await other.make(change(2, 'vera'))
            self.assertIsInstance(await task, Success)
            records = await read_audit_trail(writer.store, 'config/')
            self.assertEqual(['change-asma-1', 'change-vera-2'], [item['id'] for item in records])

        self.run_virtual(scenario())

    def test_an_unreachable_store_is_said_to_have_accepted_nothing(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            writer = new_writer(state)
            state.down = True
            self.assertIsInstance((await writer.make(change(1))).failure(), NotAccepted)

        self.run_virtual(scenario())

    def test_a_write_whose_fate_stays_unknown_is_reported_as_unsettled(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            writer = new_writer(state)

            def fate(key: str) -> WriteOutcome:
                state.down = True
                return WriteOutcome.LOST_AFTER

            link(writer).write_outcome = fate
            self.assertIsInstance((await writer.make(change(1))).failure(), Unconfirmed)

        self.run_virtual(scenario())


class TwoOperators(VirtualCase):
    def test_the_second_of_two_racing_operators_sees_both_sides(self) -> None:
        async def scenario() -> tuple[Result[Accepted, ChangeError], ...]:
            state = StoreState()
            writers = [new_writer(state), new_writer(state)]
            return await asyncio.gather(
                writers[0].make(change(1, 'asma'), 0), writers[1].make(change(2, 'vera'), 0)
            )

        first, second = self.run_virtual(scenario())
        self.assertIsInstance(first, Success)
        conflict = second.failure()
        assert isinstance(conflict, Conflict)
        self.assertEqual({'n': 2}, conflict.wanted)
        self.assertEqual({'n': 1}, conflict.found)

    def test_a_change_on_a_version_that_has_passed_is_refused_before_any_write(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            writer = new_writer(state)
            await writer.make(change(1))
            writes = state.counts['write']
            result = await writer.make(change(2), expected_version=0)
            self.assertIsInstance(result.failure(), Conflict)
            self.assertEqual(writes, state.counts['write'])

        self.run_virtual(scenario())


class AuditHistories(VirtualCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(
            st.tuples(st.integers(0, 1), st.floats(0, 0.02), st.floats(0, 3), FATES, FATES),
            min_size=1,
            max_size=6,
        )
    )
    def test_each_accepted_change_has_one_record_whatever_dies_between_two_calls(
        self, steps: list[tuple[int, float, float, WriteOutcome, WriteOutcome]]
    ) -> None:
        async def scenario() -> None:
            state = StoreState()
            accepted: list[str] = []
            versions: dict[int, str] = {}
            tasks: list[asyncio.Task[Any]] = []
            watch_accepted(state, versions)
            for number, (who, pause_s, killed_after_s, one, two) in enumerate(steps):
                writer = new_writer(state)
                fates = iter([one, two])
                link(writer).write_outcome = lambda key, fates=fates: next(fates, WriteOutcome.DONE)  # type: ignore[misc]
                task = asyncio.create_task(writer.make(change(number, f'op{who}')))
                asyncio.get_running_loop().call_later(killed_after_s, task.cancel)
                tasks.append(task)
                await asyncio.sleep(pause_s)
            await asyncio.sleep(10)
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(result, Success):
                    accepted.append(result.unwrap().change_id)
            records = await read_audit_trail(FakeStore(state=state), 'config/')
            recorded = [item['id'] for item in records]
            self.assertEqual(sorted(versions.values()), sorted(recorded))
            self.assertEqual([], [item for item in accepted if item not in recorded])

        run_virtual(scenario())


def watch_accepted(state: StoreState, versions: dict[int, str]) -> None:
    """Record the ID of every change that the store accepts, by version."""
    write = state.write

    def noted(key: str, value: dict[str, Any], expected: int) -> Any:
        stored = write(key, value, expected)
        if key == KEY:
            versions[stored.version] = value['change']['id']
        return stored

    state.write = noted  # type: ignore[method-assign]
