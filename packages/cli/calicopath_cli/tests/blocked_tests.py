"""Test the commands that list and unblock requests, against simulated boxes."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
from typing import Any

import testtools
from aiohttp import web

from calicopath_cli.commands.blocked import blocked, release
from calicopath_cli.exceptions import CommandError
from calicopath_cli.utils.output import OutputFormat
from testkit.servers import serve_app

ITEM = {'content': 'c1', 'service': 'engine', 'since': 200.0, 'until': 900.0, 'replicas': ['r1']}
BLOCKED: dict[str, list[dict[str, Any]] | None] = {
    'one': [ITEM, ITEM | {'content': 'c2', 'since': 300.0}],
    'two': [ITEM | {'since': 100.0, 'until': 950.0}],
    'silent': None,
}


def box(items: list[dict[str, Any]] | None, listed: list[dict[str, str]]) -> web.Application:
    """Return a box that blocks `items`, or answers 503 if they are `None`.

    `listed` holds the boxes that it lists.
    """
    app = web.Application()
    released: list[str] = []

    async def boxes(request: web.Request) -> web.Response:
        return web.json_response(listed)

    async def list_blocked(request: web.Request) -> web.Response:
        if items is None:
            raise web.HTTPServiceUnavailable
        return web.json_response([item for item in items if item['content'] not in released])

    async def release_request(request: web.Request) -> web.Response:
        content = request.query['content']
        found = [item for item in items or () if item['content'] == content]
        released.append(content)
        return web.json_response(
            [{'content': content, 'service': item['service']} for item in found]
        )

    app.router.add_get('/boxes', boxes)
    app.router.add_get('/blocked', list_blocked)
    app.router.add_post('/blocked/release', release_request)
    return app


class Blocked(testtools.TestCase):
    def run_command(self, *released: str) -> str:
        """Unblock the requests named in `released`; return what the commands print."""

        async def scenario() -> str:
            printed = io.StringIO()
            listed: list[dict[str, str]] = []
            async with contextlib.AsyncExitStack() as stack:
                for name, items in BLOCKED.items():
                    url = await stack.enter_async_context(serve_app(box(items, listed)))
                    listed.append({'box': name, 'address': url.removeprefix('http://')})
                with contextlib.redirect_stdout(printed):
                    for content in released:
                        await release(listed[0]['address'], content, 'me')
                    await blocked(listed[0]['address'], OutputFormat.JSON)
            return printed.getvalue()

        return asyncio.run(scenario())

    def test_each_request_has_a_row_and_says_on_how_many_boxes_it_is_blocked(self) -> None:
        rows = json.loads(self.run_command())
        self.assertEqual([('c2', 1, 2), ('c1', 2, 2)], [row_summary(row) for row in rows])
        self.assertEqual((100.0, 950.0), (rows[1]['since'], rows[1]['until']))

    def test_one_is_unblocked_and_one_that_is_not_blocked_is_an_error(self) -> None:
        message, _, rest = self.run_command('c2').partition('\n')
        self.assertEqual('c2 is unblocked: engine', message)
        self.assertEqual([('c1', 2, 2)], [row_summary(row) for row in json.loads(rest)])
        self.assertRaises(CommandError, self.run_command, 'c9')

    def test_where_no_box_answers_it_fails(self) -> None:
        work = blocked('127.0.0.1:9', OutputFormat.JSON)
        self.assertRaises(CommandError, asyncio.run, work)


def row_summary(row: dict[str, Any]) -> tuple[str, int, int]:
    """Return the fields of a row that tests compare."""
    return row['content'], row['boxes'], row['asked']
