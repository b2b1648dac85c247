"""Test the callers' HTTP interface over real connections."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, NamedTuple

import testtools

from calicopath_core.store.view import ViewUpdate
from testkit.callers import new_idempotency_key, read_events
from testkit.daemon import BoxStandIns, running_box
from testkit.world import uuid7

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from calicopathd.box.runner import BoxRunner

PATH = '/v1/workspaces/towpath/pipelines/'


class Answer(NamedTuple):
    """Hold the response to a request."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> dict[str, Any]:
        """Return the body as JSON."""
        found: dict[str, Any] = json.loads(self.body)
        return found


async def post_request(around: BoxStandIns, path: str, body: Any, key: str | None = None) -> Answer:
    """Post a request body, as JSON unless it is bytes."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = {'Idempotency-Key': key} if key else {}
    async with around.session.post(around.url + path, data=data, headers=headers) as answer:
        return Answer(answer.status, dict(answer.headers), await answer.read())


class CallersCase(testtools.TestCase):
    def with_box(
        self, work: Callable[[BoxRunner, BoxStandIns], Awaitable[None]], **flags: str
    ) -> None:
        """Run `work` against a running box that has these settings."""

        async def scenario() -> None:
            async with running_box(**flags) as (runner, around):
                await work(runner, around)

        asyncio.run(scenario())


class Answers(CallersCase):
    def test_an_answer_in_one_piece_has_stages_and_digest(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            answer = await post_request(around, PATH + 'answer/requests', {'input': 'ਕਿੱਥੇ? پھاٹک'})
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.json['output'].startswith('ਕਿੱਥੇ? پھاٹک —'))
            self.assertEqual(4, len(answer.json['stages']))
            plan = runner.box.view.plan('towpath', 'answer')
            assert plan is not None
            self.assertEqual(plan.unwrap().digest, answer.json['config_digest'])

        self.with_box(work)

    def test_a_stream_ends_with_the_whole_answer(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            body = {'input': 'Напомняне 🚤', 'stream': True}
            answer = await post_request(around, PATH + 'answer/requests', body)
            self.assertEqual('text/event-stream', answer.headers['Content-Type'])
            text, final = read_events(answer.body.decode())
            self.assertEqual(text, final['output'])

        self.with_box(work)

    def test_a_stream_that_cannot_be_resumed_ends_marked_as_broken(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            runner.box.executor.context.retry_budget.tokens = 0
            around.engine.cut_after = 3
            body = {'input': 'Where may we moor?', 'stream': True}
            answer = await post_request(around, PATH + 'answer/requests', body)
            text, final = read_events(answer.body.decode())
            self.assertTrue('Where may we moor?'.startswith(text))
            self.assertEqual('failed-may-have-run', final['outcome'])
            self.assertIn(b'event: broken', answer.body)

        self.with_box(work)

    def test_a_repeated_request_is_answered_from_the_store(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            key = new_idempotency_key()
            first = await post_request(around, PATH + 'act/requests', {'input': 'charge'}, key)
            await asyncio.gather(*runner.box.executor.background_tasks)
            again = await post_request(around, PATH + 'act/requests', {'input': 'charge'}, key)
            other = await post_request(around, PATH + 'act/requests', {'input': 'charge more'}, key)
            self.assertEqual([200, 200, 422], [first.status, again.status, other.status])
            self.assertTrue(again.json['replayed'])
            self.assertEqual(1, around.service.run_counts[key])

        self.with_box(work)


class BadInput(CallersCase):
    def test_each_kind_of_bad_request_has_its_status_and_the_box_keeps_serving(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            good = {'input': 'x'}
            cases: list[tuple[str, Any, int]] = [
                ('/v1/workspaces/nowhere/pipelines/answer/requests', good, 404),
                (PATH + 'nothing/requests', good, 404),
                ('/v1/else', good, 404),
                (PATH + 'answer/requests', b'{"input": ', 400),
                (PATH + 'answer/requests', b'\xff\xfe', 400),
                (PATH + 'answer/requests', [], 400),
                (PATH + 'answer/requests', {'input': ''}, 400),
                (PATH + 'answer/requests', {'input': 'x', 'colour': 'red'}, 400),
                (PATH + 'answer/requests', {'input': 'x', 'priority': 99}, 400),
                (PATH + 'answer/requests', {'input': 'x', 'deadline_ms': 10**9}, 400),
                (PATH + 'answer/requests', {'input': 'x', 'deadline_ms': 0}, 504),
                (PATH + 'answer/requests', {'input': 'x', 'deadline_ms': -5}, 504),
                (PATH + 'answer/requests', {'input': 'x', 'deadline_ms': 50}, 422),
                (PATH + 'answer/requests', b'x' * 5000, 413),
                (PATH + 'act/requests', good, 400),
            ]
            for path, body, status in cases:
                answer = await post_request(around, path, body)
                self.assertEqual(status, answer.status, str(body)[:40])
                self.assertEqual('application/problem+json', answer.headers['Content-Type'])
                self.assertEqual('refused-not-run', answer.json['outcome'])
            long_key = await post_request(around, PATH + 'act/requests', good, 'k' * 100)
            self.assertEqual(400, long_key.status)
            self.assertEqual({}, around.engine.answer_digests)
            answer = await post_request(around, PATH + 'answer/requests', good)
            self.assertEqual(200, answer.status)

        self.with_box(work, max_body_bytes='4096')

    def test_a_field_given_twice_is_refused_and_named(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            body = b'{"input": "moor here?", "input": "or there?"}'
            answer = await post_request(around, PATH + 'answer/requests', body)
            self.assertEqual(400, answer.status)
            self.assertEqual('urn:calicopath:problem:repeated-field', answer.json['type'])
            self.assertIn('input', answer.json['detail'])

        self.with_box(work)

    def test_oversized_headers_and_oversized_bodies_have_different_problem_types(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            path = f'{around.url}{PATH}answer/requests'
            large = {'X-Large': 'x' * 30_000}
            async with around.session.post(path, json={'input': 'x'}, headers=large) as answer:
                found = await answer.json(content_type=None)
            self.assertEqual(431, answer.status)
            self.assertEqual('urn:calicopath:problem:head-too-large', found['type'])
            body = await post_request(around, PATH + 'answer/requests', b'x' * 5000)
            self.assertEqual('urn:calicopath:problem:body-too-large', body.json['type'])

        self.with_box(work, max_body_bytes='4096')

    def test_problems_are_named_in_plain_words_and_no_header_is_empty(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            unknown = await post_request(around, '/v1/else', {'input': 'x'})
            self.assertEqual('urn:calicopath:problem:unknown-path', unknown.json['type'])
            answer = await post_request(around, PATH + 'answer/requests', {'input': 'x'})
            for found in (unknown, answer):
                self.assertNotIn('', found.headers.values())

        self.with_box(work)

    def test_a_refusal_names_no_internal_address_and_has_a_retry_time(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            for name, entry in list(runner.box.view.entries.items()):
                if name.startswith('config/endpoints/') and entry.spec is not None:
                    spec = entry.spec | {'address': 'http://127.0.0.1:9'}
                    runner.box.view.apply(ViewUpdate(name, entry.version + 1, spec))
            answer = await post_request(around, PATH + 'answer/requests', {'input': 'x'})
            self.assertEqual(503, answer.status)
            self.assertEqual('refused-not-run', answer.json['outcome'])
            for inner in ('127.0.0.1', 'Error', '('):
                self.assertNotIn(inner, answer.json['detail'])
            self.assertIn('Retry-After', answer.headers)

        self.with_box(work)

    def test_a_refusal_has_a_retry_time(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            around.platform.faults.down = True
            answer = await post_request(
                around, PATH + 'act/requests', {'input': 'x'}, new_idempotency_key()
            )
            self.assertEqual(503, answer.status)
            self.assertEqual('2', answer.headers['Retry-After'])
            self.assertEqual('refused-not-run', answer.json['outcome'])

        self.with_box(work)

    def test_a_pipeline_whose_template_is_gone_is_refused_as_not_run(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            runner.box.view.apply(ViewUpdate('config/templates/answer', 999, None))
            answer = await post_request(around, PATH + 'answer/requests', {'input': 'x'})
            self.assertEqual(503, answer.status)
            self.assertEqual('configuration invalid', answer.json['title'])
            self.assertEqual('refused-not-run', answer.json['outcome'])

        self.with_box(work)

    def test_an_internal_error_is_not_reported_as_a_refusal(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            runner.box.executor = None  # type: ignore[assignment]
            answer = await post_request(around, PATH + 'answer/requests', {'input': 'x'})
            self.assertEqual(500, answer.status)
            self.assertEqual('failed-may-have-run', answer.json['outcome'])

        self.with_box(work)

    def test_a_key_made_long_ago_is_accepted_while_no_newer_claim_was_deleted(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            key = uuid7(1_700_000_000.0)
            answer = await post_request(around, PATH + 'act/requests', {'input': 'x'}, key)
            self.assertEqual(200, answer.status)

        self.with_box(work)


class Identifiers(CallersCase):
    def test_boxes_with_the_same_seed_never_share_an_identifier(self) -> None:
        found: list[str] = []

        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            found.extend(runner.box.new_id() for _ in range(100))

        self.with_box(work, seed='7')
        self.with_box(work, seed='7')
        self.assertEqual(200, len(set(found)))


class Operations(CallersCase):
    def test_a_leaving_box_is_not_ready_and_refuses_as_not_run(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            await runner.leave()
            async with around.session.get(around.url + '/readyz') as answer:
                self.assertEqual(503, answer.status)
            refused = await post_request(around, PATH + 'answer/requests', {'input': 'x'})
            self.assertEqual(503, refused.status)
            self.assertEqual('refused-not-run', refused.json['outcome'])

        self.with_box(work)

    def test_an_isolated_box_takes_no_new_requests(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            box = runner.box
            box.gossip.members.expects_others = True
            self.assertTrue(box.may_serve())
            box.gossip.contact_at = box.clock.monotonic() - 100
            self.assertFalse(box.may_serve())
            box.gossip.members.expects_others = False
            self.assertTrue(box.may_serve())

        self.with_box(work)

    def test_metrics_health_status_and_versions_are_served(self) -> None:
        async def work(runner: BoxRunner, around: BoxStandIns) -> None:
            await post_request(around, PATH + 'answer/requests', {'input': 'x'})
            async with around.session.get(around.url + '/metrics') as answer:
                text = await answer.text()
            self.assertIn('calicopath_requests_total', text)
            self.assertIn('calicopath_first_token_seconds', text)
            for path in ('/healthz', '/readyz', '/admin/v1/status', '/admin/v1/versions'):
                async with around.session.get(around.url + path) as answer:
                    self.assertEqual(200, answer.status)
            path = '/admin/v1/config/config/templates/answer'
            async with around.session.get(around.url + path) as answer:
                found = await answer.json()
            self.assertEqual('config/templates/answer', found['key'])
            self.assertGreater(found['version'], 0)

        self.with_box(work)
