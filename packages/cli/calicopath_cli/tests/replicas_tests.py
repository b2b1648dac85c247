"""Test the command that shows excluded replicas, against simulated boxes."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
from typing import Any

import testtools
from aiohttp import web

from calicopath_cli.commands.replicas import replicas
from calicopath_cli.utils.output import OutputFormat
from testkit.servers import serve_app

LEAVING = {
    'replica': 'r1',
    'service': 'engine',
    'bar': 'leaving',
    'source': 'own',
    'since': 200.0,
    'until': 0.0,
}
BACKOFF = LEAVING | {'replica': 'r2', 'bar': 'backoff', 'since': 300.0, 'until': 303.0}
DRAINING = LEAVING | {'replica': 'r3', 'bar': 'draining', 'source': 'store', 'since': 0.0}
ANSWERS: tuple[list[dict[str, Any]] | None, ...] = (
    [LEAVING, BACKOFF],
    [LEAVING | {'source': 'box-1:7', 'since': 201.0}, DRAINING],
    None,
)


def box(items: list[dict[str, Any]] | None, listed: list[dict[str, str]]) -> web.Application:
    """Return a box that excludes the replicas in `items`, or answers 503 if they are `None`.

    `listed` holds the boxes that it lists.
    """
    app = web.Application()

    async def boxes(request: web.Request) -> web.Response:
        return web.json_response(listed)

    async def list_replicas(request: web.Request) -> web.Response:
        if items is None:
            raise web.HTTPServiceUnavailable
        return web.json_response(items)

    app.router.add_get('/boxes', boxes)
    app.router.add_get('/replicas', list_replicas)
    return app


class Replicas(testtools.TestCase):
    def run_command(self, output: OutputFormat) -> str:
        """Return what the command prints."""

        async def scenario() -> str:
            printed = io.StringIO()
            listed: list[dict[str, str]] = []
            async with contextlib.AsyncExitStack() as stack:
                for number, items in enumerate(ANSWERS):
                    url = await stack.enter_async_context(serve_app(box(items, listed)))
                    listed.append({'box': f'b{number}', 'address': url.removeprefix('http://')})
                with contextlib.redirect_stdout(printed):
                    await replicas(listed[0]['address'], output)
            return printed.getvalue()

        return asyncio.run(scenario())

    def test_each_exclusion_has_a_row_with_its_first_source_and_number_of_boxes(self) -> None:
        rows = json.loads(self.run_command(OutputFormat.JSON))
        shown = [(row['replica'], row['bar'], row['source'], row['boxes']) for row in rows]
        self.assertEqual(
            [
                ('r1', 'leaving', 'own', 2),
                ('r2', 'backoff', 'own', 1),
                ('r3', 'draining', 'store', 1),
            ],
            shown,
        )
        self.assertEqual({2}, {row['asked'] for row in rows})

    def test_unknown_times_are_empty_in_the_table(self) -> None:
        lines = self.run_command(OutputFormat.TEXT).splitlines()
        self.assertIn('1970-01-01 00:05:03', lines[2])
        self.assertNotIn('1970', lines[3])
