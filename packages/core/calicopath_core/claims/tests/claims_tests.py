"""Test that a key is granted once under faults of the store and of boxes."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from calicopath_core.claims.keys import InvalidKey, parse_key
from calicopath_core.claims.registry import Granted, Taken
from calicopath_core.claims.tests.claim_case import group_value, key, link, new_registry
from calicopath_core.store.base import StoreUnavailable
from testkit.cases import VirtualCase
from testkit.fake_store import StoreState, WriteOutcome
from testkit.virtual import WALL_START_S, run_virtual
from testkit.world import uuid7

DAY_S = 24 * 3600.0
FATES = st.sampled_from(list(WriteOutcome))


class Keys(VirtualCase):
    def test_only_uuids_of_version_seven_are_taken(self) -> None:
        for text in ('', 'deposit-1', '6ba7b810-9dad-41d1-80b4-00c04fd430c8'):
            with self.assertRaises(InvalidKey):
                parse_key('w', 'p', text, WALL_START_S)

    def test_a_key_made_in_the_far_future_is_not_taken(self) -> None:
        with self.assertRaises(InvalidKey):
            parse_key('w', 'p', uuid7(WALL_START_S + 2 * 3600), WALL_START_S)

    def test_the_time_within_the_key_is_read_from_it(self) -> None:
        self.assertEqual(int(WALL_START_S * 1000), key().time_ms)


class Claiming(VirtualCase):
    def test_the_second_box_finds_the_key_taken_and_later_its_answer(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            one, other = new_registry(state, 'a'), new_registry(state, 'b')
            granted = await one.claim(key(), 'body', 1)
            assert isinstance(granted, Granted)
            taken = await other.claim(key(), 'body', 1)
            assert isinstance(taken, Taken)
            assert taken.claim is not None
            self.assertEqual('started', taken.claim['state'])
            await one.record(granted, {'output': 'x'}, 1)
            again = await other.claim(key(), 'body', 1)
            assert isinstance(again, Taken)
            assert again.claim is not None
            self.assertEqual({'output': 'x'}, again.claim.get('answer'))

        self.run_virtual(scenario())

    def test_a_lost_answer_to_a_claim_is_settled_by_reading_back(self) -> None:
        async def scenario() -> None:
            for fate in (WriteOutcome.LOST_AFTER, WriteOutcome.LOST_BEFORE, WriteOutcome.LATE):
                state = StoreState()
                registry = new_registry(state)
                fates = iter([fate])
                link(registry).write_outcome = lambda key, fates=fates: next(
                    fates, WriteOutcome.DONE
                )  # type: ignore[misc]
                self.assertIsInstance(await registry.claim(key(), 'body', 2), Granted)

        self.run_virtual(scenario())

    def test_a_released_key_can_be_claimed_again_and_only_by_its_nonce_released(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            registry = new_registry(state)
            granted = await registry.claim(key(), 'body', 1)
            assert isinstance(granted, Granted)
            await registry.release(Granted(key(), 'somebody else'), 1)
            self.assertIsInstance(await registry.claim(key(), 'body', 1), Taken)
            await registry.release(granted, 1)
            self.assertIsInstance(await registry.claim(key(), 'body', 1), Granted)

        self.run_virtual(scenario())

    def test_a_claim_that_a_copy_of_the_store_lacks_is_not_granted_again(self) -> None:
        async def scenario(others: int) -> None:
            state = StoreState()
            one, other = new_registry(state, 'a'), new_registry(state, 'b')
            await one.claim(key(1), 'body', 1)
            copy = state.snapshot()
            granted = await one.claim(key(2), 'body', 1)
            assert isinstance(granted, Granted)
            state.restore(copy)
            for number in range(others):
                # Writes that do not include the lost claim reuse the version numbers.
                await other.claim(key(10 + number), 'body', 1)
            self.assertIsInstance(await one.claim(key(2), 'body', 1), Taken)
            self.assertIsInstance(await other.claim(key(2), 'body', 1), Taken)
            await one.record(granted, {'output': 'x'}, 1)
            again = await other.claim(key(2), 'body', 1)
            assert isinstance(again, Taken)
            assert again.claim is not None
            self.assertEqual({'output': 'x'}, again.claim.get('answer'))

        for others in range(4):
            self.run_virtual(scenario(others))

    def test_a_write_does_not_replace_what_has_its_number_in_a_later_era(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            copy = state.snapshot()
            one, other = new_registry(state, 'a'), new_registry(state, 'b')
            await one.claim(key(1), 'body', 1)
            state.restore(copy)
            self.assertIsInstance(await other.claim(key(2), 'body', 1), Granted)
            await one.claim(key(3), 'body', 1)
            self.assertIsInstance(await one.claim(key(2), 'body', 1), Taken)
            self.assertEqual(3, len(group_value(state, key())['claims']))

        self.run_virtual(scenario())

    def test_a_store_that_is_down_refuses_at_once(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            registry = new_registry(state)
            state.down = True
            with self.assertRaises(StoreUnavailable):
                await registry.claim(key(), 'body', 5)
            self.assertLess(asyncio.get_running_loop().time(), 0.1)

        self.run_virtual(scenario())

    def test_a_claim_given_up_on_that_lands_later_is_given_back(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            registry = new_registry(state)

            def fate(key: str) -> WriteOutcome:
                state.down = True
                return WriteOutcome.LOST_AFTER

            link(registry).write_outcome = fate
            with self.assertRaises(StoreUnavailable):
                await registry.claim(key(), 'body', 0.5)
            self.assertTrue(group_value(state, key())['claims'])
            link(registry).write_outcome = lambda key: WriteOutcome.DONE
            state.down = False
            await asyncio.sleep(1)
            self.assertFalse(group_value(state, key())['claims'])

        self.run_virtual(scenario())

    def test_an_answer_too_large_to_keep_is_marked_only(self) -> None:
        async def scenario() -> None:
            registry = new_registry(StoreState())
            granted = await registry.claim(key(), 'body', 1)
            assert isinstance(granted, Granted)
            await registry.record(granted, {'output': 'x' * 10_000}, 1)
            taken = await registry.claim(key(), 'body', 1)
            assert isinstance(taken, Taken)
            assert taken.claim is not None
            self.assertIsNone(taken.claim.get('answer'))
            self.assertEqual('answered', taken.claim['state'])

        self.run_virtual(scenario())


class Batching(VirtualCase):
    def test_claims_that_wait_together_share_one_update(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            registry = new_registry(state)
            results = await asyncio.gather(
                *(registry.claim(key(number), 'body', 5) for number in range(200))
            )
            self.assertTrue(all(isinstance(item, Granted) for item in results))
            self.assertLess(state.counts['write'], 5)

        self.run_virtual(scenario())

    def test_boxes_that_share_a_shard_all_get_their_claims(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            boxes = [new_registry(state, name) for name in 'abcdefgh']
            results = await asyncio.gather(
                *(
                    box.claim(key(20 * index + number), 'body', 5)
                    for index, box in enumerate(boxes)
                    for number in range(20)
                )
            )
            self.assertTrue(all(isinstance(item, Granted) for item in results))

        self.run_virtual(scenario())


class Pruning(VirtualCase):
    def test_a_key_dropped_by_age_still_counts_as_claimed(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            registry = new_registry(state, retention_s=DAY_S)
            await registry.claim(key(1), 'body', 1)
            later_s = WALL_START_S + DAY_S
            await registry.claim(key(2, later_s), 'body', 1)
            await asyncio.sleep(1)
            self.assertEqual({}, group_value(state, key(1))['claims'])
            self.assertEqual(Taken(None), await registry.claim(key(1), 'body', 1))
            self.assertIsInstance(await registry.claim(key(3, later_s), 'body', 1), Granted)

        self.run_virtual(scenario())

    def test_old_groups_without_claims_are_not_written(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            registry = new_registry(state)
            await registry.claim(key(1), 'body', 1)
            await asyncio.sleep(1)
            self.assertEqual(1, len(state.objects))

        self.run_virtual(scenario())

    def test_a_group_that_grows_too_large_drops_its_oldest_claims_safely(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            registry = new_registry(state, max_bytes=4096)
            keys = [key(number, WALL_START_S + number / 4) for number in range(100)]
            for item in keys:
                await registry.claim(item, 'body', 1)
            self.assertLess(len(group_value(state, keys[-1])['claims']), 60)
            for item in keys:
                self.assertIsInstance(await registry.claim(item, 'body', 1), Taken)

        self.run_virtual(scenario())

    def test_a_group_in_use_is_not_written_anew_when_it_is_closed(self) -> None:
        async def scenario() -> None:
            registry = new_registry(StoreState(), retention_s=120)
            first = asyncio.create_task(registry.claim(key(1), 'body', 1))
            later = asyncio.create_task(registry.claim(key(2, WALL_START_S + 120), 'body', 1))
            self.assertIsInstance(await first, Granted)
            self.assertIsInstance(await later, Granted)
            self.assertTrue(await registry.local.flush(1))
            self.assertEqual(0, sum(item.conflicts for item in registry.local.writers.values()))

        self.run_virtual(scenario())

    def test_a_flush_waits_for_the_store_but_not_for_ever(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            registry = new_registry(state)
            granted = await registry.claim(key(1), 'body', 1)
            assert isinstance(granted, Granted)
            state.down = True
            with self.assertRaises(StoreUnavailable):
                await registry.release(granted, 0.1)
            self.assertFalse(await registry.local.flush(1))
            state.down = False
            self.assertTrue(await registry.local.flush(1))
            self.assertEqual({}, group_value(state, key(1))['claims'])

        self.run_virtual(scenario())

    def test_writers_of_past_groups_are_forgotten(self) -> None:
        async def scenario() -> None:
            registry = new_registry(StoreState())
            for number in range(400):
                await registry.claim(key(number, WALL_START_S + 60 * number), 'body', 1)
            self.assertLess(len(registry.local.writers), 150)

        self.run_virtual(scenario())


class ClaimHistories(VirtualCase):
    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.integers(0, 2), st.floats(0, 0.05), FATES),
            min_size=2,
            max_size=10,
        ),
        st.floats(0, 1),
        st.floats(0, 1),
    )
    def test_no_key_is_ever_granted_twice_without_a_release(
        self, steps: list[tuple[int, int, float, WriteOutcome]], down_at: float, down_for: float
    ) -> None:
        async def scenario() -> None:
            state = StoreState()
            boxes = [new_registry(state, name) for name in 'abc']
            grants: list[int] = []
            loop = asyncio.get_running_loop()
            loop.call_later(down_at, setattr, state, 'down', True)
            loop.call_later(down_at + down_for, setattr, state, 'down', False)

            async def attempt(box: int, number: int) -> None:
                try:
                    result = await boxes[box].claim(key(number), 'body', 0.5)
                except StoreUnavailable:
                    return
                if isinstance(result, Granted):
                    grants.append(number)

            tasks = []
            for box, number, pause_s, fate in steps:
                fates = iter([fate])
                link(boxes[box]).write_outcome = lambda key, fates=fates: next(
                    fates, WriteOutcome.DONE
                )  # type: ignore[misc]
                tasks.append(asyncio.create_task(attempt(box, number)))
                await asyncio.sleep(pause_s)
            await asyncio.gather(*tasks)
            await asyncio.sleep(5)
            self.assertEqual(len(set(grants)), len(grants))

        run_virtual(scenario())
