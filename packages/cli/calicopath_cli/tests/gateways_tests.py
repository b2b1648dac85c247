"""Test the command that shows the state of gateway boxes, against simulated boxes."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
from typing import Any

import testtools
from aiohttp import web

from calicopath_cli.commands.gateways import gateways
from calicopath_cli.exceptions import CommandError
from calicopath_cli.utils.output import OutputFormat
from testkit.servers import serve_app

STATE = {
    'failure_domain': 'a',
    'ready': True,
    'settings': 'new',
    'settings_since': 200.0,
    'problem': '',
    'configuration': 7,
    'configuration_since': 100.0,
    'taken_out': [{'failure_domain': 'b', 'since': 300.0, 'revision': 9}],
    'taken_out_revision': 12,
}
CHANGES: dict[str, dict[str, Any] | None] = {
    'fresh': {},
    'old-settings': {'settings': 'old', 'settings_since': 50.0},
    'unsound': {'problem': 'graceS: missing'},
    'old-config': {'configuration': 5},
    'not-told': {'taken_out': [], 'taken_out_revision': 8},
    'silent': None,
}


class Gateways(testtools.TestCase):
    def run_command(self, output: OutputFormat) -> str:
        """Return what the command prints for boxes in different states."""

        async def scenario() -> str:
            printed = io.StringIO()
            listed: list[dict[str, str]] = []
            async with contextlib.AsyncExitStack() as stack:
                for name, changes in CHANGES.items():
                    url = await stack.enter_async_context(serve_app(box(name, changes, listed)))
                    listed.append({'box': name, 'address': url.removeprefix('http://')})
                with contextlib.redirect_stdout(printed):
                    await gateways(listed[0]['address'], output)
            return printed.getvalue()

        return asyncio.run(scenario())

    def test_boxes_that_are_behind_come_first_and_say_in_what(self) -> None:
        rows = json.loads(self.run_command(OutputFormat.JSON))
        found = {row['box']: row['behind'] for row in rows}
        self.assertEqual('', found.pop('fresh'))
        self.assertEqual('fresh', rows[-1]['box'])
        self.assertEqual(
            {
                'old-settings': 'settings',
                'unsound': 'settings',
                'old-config': 'configuration',
                'not-told': 'failure domains taken out',
                'silent': 'no answer',
            },
            found,
        )

    def test_the_table_shows_times_and_problems(self) -> None:
        table = self.run_command(OutputFormat.TEXT)
        self.assertIn('1970-01-01 00:03:20', table)
        self.assertIn('graceS: missing', table)
        self.assertIn('b since 1970-01-01 00:05:00 (r9)', table)

    def test_an_address_where_no_box_answers_is_an_error(self) -> None:
        work = gateways('127.0.0.1:9', OutputFormat.TEXT)
        self.assertRaises(CommandError, asyncio.run, work)


def box(name: str, changes: dict[str, Any] | None, listed: list[dict[str, str]]) -> web.Application:
    """Return a box with changes to the usual state, or one that answers 503 if they are `None`.

    `listed` holds the boxes that it lists.
    """

    async def state(request: web.Request) -> web.Response:
        if changes is None:
            raise web.HTTPServiceUnavailable
        return web.json_response({'box': name, **STATE, **changes})

    async def boxes(request: web.Request) -> web.Response:
        return web.json_response(listed)

    app = web.Application()
    app.router.add_get('/state', state)
    app.router.add_get('/boxes', boxes)
    return app
