"""Test that a box's view never reverts to an older version."""

from __future__ import annotations

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from calicopath_core.store.view import ConfigView, ViewUpdate
from calicopath_core.structure.endpoints import EndpointState
from calicopath_core.structure.keys import endpoint_key, pipeline_key
from testkit.naive import NaiveView
from testkit.world import config_updates, endpoint_spec, new_fleet

HISTORY = [
    ViewUpdate('config/endpoints/a', version, None if version % 3 == 0 else {'v': version})
    for version in range(1, 7)
]


class Versions(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.sampled_from(HISTORY), min_size=1, max_size=20))
    def test_the_newest_object_wins_in_whatever_order_and_however_often_they_come(
        self, events: list[ViewUpdate]
    ) -> None:
        view = ConfigView()
        view.apply_all(events)
        newest = max(events, key=lambda event: event.version)
        self.assertEqual(newest.version, view.version(newest.key))
        self.assertEqual(newest.spec, view.entries[newest.key].spec)

    def test_an_old_copy_does_not_bring_a_deleted_object_back(self) -> None:
        view, naive = ConfigView(), NaiveView()
        fleet = new_fleet()
        key = endpoint_key('desk-0')
        spec = endpoint_spec(fleet['desk-0'].endpoint)
        events = [ViewUpdate(key, 1, spec), ViewUpdate(key, 2, None), ViewUpdate(key, 1, spec)]
        for event in events:
            view.apply(event)
            naive.apply(event)
        self.assertNotIn(key, view.endpoints)
        self.assertIn(key, naive.specs)

    def test_digests_are_equal_exactly_when_the_versions_held_are(self) -> None:
        updates = config_updates(new_fleet())
        one, other = ConfigView(), ConfigView()
        one.apply_all(updates)
        random.Random(3).shuffle(updates)
        other.apply_all(updates)
        self.assertEqual(one.digest, other.digest)
        other.apply(ViewUpdate(updates[0].key, 2, None))
        self.assertNotEqual(one.digest, other.digest)

    def test_listeners_hear_once_of_a_batch_and_only_of_newer_objects(self) -> None:
        view = ConfigView()
        heard: list[list[ViewUpdate]] = []
        view.listeners.append(heard.append)
        view.apply_all(HISTORY)
        view.apply_all(HISTORY)
        self.assertEqual([6], [len(batch) for batch in heard])


class PlansInForce(testtools.TestCase):
    def test_a_pipeline_follows_its_template_and_a_plan_handed_out_stays_as_it_is(self) -> None:
        view = ConfigView()
        view.apply_all(config_updates(new_fleet()))
        before = view.plan('towpath', 'answer')
        assert before is not None
        plan = before.unwrap()
        spec = dict(view.entries['config/templates/answer'].spec or {})
        view.apply(ViewUpdate('config/templates/answer', 9, {**spec, 'stages': spec['stages'][:1]}))
        after = view.plan('towpath', 'answer')
        assert after is not None
        self.assertEqual(4, len(plan.stages))
        self.assertEqual(1, len(after.unwrap().stages))

    def test_a_pipeline_whose_template_is_gone_has_a_problem_instead_of_a_plan(self) -> None:
        view = ConfigView()
        view.apply_all(config_updates(new_fleet()))
        view.apply(ViewUpdate('config/templates/answer', 9, None))
        result = view.plan('towpath', 'answer')
        assert result is not None
        self.assertIn('unknown template', str(result.failure()[0]))

    def test_unknown_and_deleted_pipelines_have_no_plan(self) -> None:
        view = ConfigView()
        view.apply_all(config_updates(new_fleet()))
        view.apply(ViewUpdate(pipeline_key('towpath', 'act'), 9, None))
        self.assertIsNone(view.plan('towpath', 'act'))
        self.assertTrue(view.knows_workspace('towpath'))
        self.assertFalse(view.knows_workspace('nowhere'))

    def test_an_object_that_does_not_parse_counts_as_absent_and_is_named(self) -> None:
        view = ConfigView()
        key = endpoint_key('a')
        view.apply(ViewUpdate(key, 1, {'kind': 'endpoint', 'name': 'a'}))
        self.assertNotIn(key, view.endpoints)
        self.assertTrue(view.problems[key])


class DrainedEndpoints(testtools.TestCase):
    def test_a_drain_is_seen_in_the_typed_endpoint(self) -> None:
        view = ConfigView()
        fleet = new_fleet()
        view.apply_all(config_updates(fleet))
        key = endpoint_key('desk-0')
        spec = {**endpoint_spec(fleet['desk-0'].endpoint), 'state': 'draining'}
        view.apply(ViewUpdate(key, 5, spec))
        self.assertIs(EndpointState.DRAINING, view.endpoints[key].state)
