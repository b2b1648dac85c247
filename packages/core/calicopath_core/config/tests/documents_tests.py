"""Test that the documents of configuration files are validated together."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from calicopath_core.config.documents import RawDocument, check_documents, read_files
from calicopath_core.config.parsers import parse_endpoint, parse_pipeline, parse_template
from calicopath_core.config.plans import resolve_plan
from testkit.processes import ROOT
from testkit.world import ANSWER_STAGES, TEMPLATES, config_updates, new_fleet, pipeline_spec

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=10,
)


def problems_of(*documents: Any) -> list[str]:
    """Return the problems of documents that are added to a valid configuration."""
    in_force = {update.key: update.spec for update in config_updates(new_fleet()) if update.spec}
    raw = [RawDocument('file.yaml', item) for item in documents]
    result = check_documents(raw, in_force)
    return [str(item) for item in result.failure()] if isinstance(result, Failure) else []


class CheckedTogether(testtools.TestCase):
    def test_the_examples_are_valid(self) -> None:
        for example in ('ravi-canal-hire', 'pokana-coop'):
            raw = read_files([ROOT / 'examples' / example / 'config']).unwrap()
            self.assertIsInstance(check_documents(raw), Success)

    def test_every_error_is_reported_at_once_with_file_and_path(self) -> None:
        pipeline = pipeline_spec('answer')
        pipeline.update(deadline_ms=20, colour='red', parameters={'unknown': 1})
        bad_endpoint = {'kind': 'endpoint', 'name': 'X!', 'service': 's', 'stage': 'oven'}
        found = '\n'.join(problems_of(pipeline, bad_endpoint))
        self.assertIn('file.yaml: colour: is not a known key', found)
        self.assertIn('file.yaml: name: must be a name', found)
        self.assertIn('file.yaml: stage: must be one of encoder', found)
        self.assertIn('file.yaml: address: is missing', found)
        self.assertIn('file.yaml: concurrency: is missing', found)

    def test_a_deadline_below_what_the_stages_need_is_an_error(self) -> None:
        found = problems_of({**pipeline_spec('answer'), 'deadline_ms': 20})
        self.assertEqual(["file.yaml: deadline_ms: 20 is below the stages' 330"], found)

    def test_unknown_and_missing_and_wrongly_typed_parameters_are_errors(self) -> None:
        stage = {'name': 's', 'kind': 'encoder', 'service': 'encoders', 'expected_ms': 5}
        template = {
            'kind': 'template',
            'name': 'typed',
            'parameters': {'count': {'type': 'integer'}, 'word': {'type': 'string'}},
            'stages': [{**stage, 'params': {'n': '${count}', 'w': '${word}'}}],
        }
        pipeline = {**pipeline_spec('answer'), 'name': 'p', 'template': 'typed'}
        pipeline['parameters'] = {'count': 'three', 'other': 1}
        found = '\n'.join(problems_of(template, pipeline))
        self.assertIn('parameters.count: must be of type integer', found)
        self.assertIn('parameters.word: is missing', found)
        self.assertIn('parameters.other: template', found)

    def test_unknown_stages_and_services_without_endpoints_are_errors(self) -> None:
        stage = {'name': 's', 'kind': 'encoder', 'service': 'nowhere', 'expected_ms': 5}
        template = {'kind': 'template', 'name': 'lost', 'stages': [stage]}
        pipeline = {**pipeline_spec('answer'), 'name': 'p', 'template': 'lost'}
        self.assertIn("'nowhere', and there are none", problems_of(template, pipeline)[0])

    def test_a_reference_to_an_undeclared_parameter_is_an_error(self) -> None:
        stage = {'name': 's', 'kind': 'encoder', 'service': 'encoders', 'expected_ms': 5}
        template = {'kind': 'template', 'name': 't', 'stages': [{**stage, 'params': {'a': '${b}'}}]}
        self.assertIn("unknown parameter 'b'", problems_of(template)[0])

    def test_a_template_change_that_breaks_a_pipeline_in_force_is_an_error(self) -> None:
        slow = [{**stage, 'expected_ms': 900} for stage in ANSWER_STAGES]
        found = problems_of({**TEMPLATES['answer'], 'stages': slow})
        self.assertIn('deadline_ms', found[0])

    def test_broken_yaml_and_missing_files_are_reported_together(self) -> None:
        folder = Path(tempfile.mkdtemp())
        broken = folder / 'broken.yaml'
        broken.write_text('kind: [')
        result = read_files([broken, folder / 'missing.yaml'])
        self.assertEqual(2, len(result.failure()))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(JSON_VALUES)
    def test_no_document_whatever_it_holds_makes_a_parser_fail(self, data: Any) -> None:
        for parser in (parse_template, parse_pipeline, parse_endpoint):
            self.assertIsInstance(parser(data, 'x'), Failure)


class Plans(testtools.TestCase):
    def test_a_reference_alone_keeps_its_type_and_one_within_text_becomes_text(self) -> None:
        stage = {'name': 's', 'kind': 'encoder', 'service': 'encoders', 'expected_ms': 5}
        template = {
            'kind': 'template',
            'name': 'answer',
            'parameters': {'k': {'type': 'integer', 'default': 3}},
            'stages': [{**stage, 'params': {'k': '${k}', 'label': 'top ${k}'}}],
        }
        spec = parse_pipeline(pipeline_spec('answer'), 'p').unwrap()
        plan = resolve_plan(spec, parse_template(template, 't').unwrap(), 'p').unwrap()
        self.assertEqual({'k': 3, 'label': 'top 3'}, plan.stages[0].params)

    def test_the_digest_tells_plans_apart_and_is_the_same_on_every_box(self) -> None:
        template = parse_template(TEMPLATES['answer'], 't').unwrap()
        one = parse_pipeline(pipeline_spec('answer'), 'p').unwrap()
        other = parse_pipeline({**pipeline_spec('answer'), 'priority': 6}, 'p').unwrap()
        digests = [resolve_plan(spec, template, 'p').unwrap().digest for spec in (one, one, other)]
        self.assertEqual(digests[0], digests[1])
        self.assertNotEqual(digests[0], digests[2])
