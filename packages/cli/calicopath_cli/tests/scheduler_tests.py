"""Test the command that shows what waits at schedulers, with answers as boxes send them."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
from typing import Any

import testtools
from aiohttp import web

from calicopath_cli.commands.scheduler import box_table, rows_of, scheduler, section_tables
from calicopath_cli.utils.output import OutputFormat
from testkit.servers import serve_app

FIGURES = {'decision_lag_ms': 0, 'undecided': 0, 'jobs': 0, 'to_hand_over': 0, 'unanswered': 0}
IDLE: dict[str, Any] = {
    'scheduling': False,
    'scheduler': 'b2:7',
    'figures': FIGURES,
    'jobs': [],
    'pieces': [],
    'rejections': [],
    'shares': [],
}
JOBS = {'priority': 1, 'over_allowance': True, 'resumed': False, 'in_time': 30, 'late': 4}
BUSY = IDLE | {
    'scheduling': True,
    'figures': FIGURES | {'decision_lag_ms': 310, 'undecided': 25, 'jobs': 34},
    'jobs': [JOBS],
    'pieces': [{'service': 'look', 'in_time': 180, 'started': 12, 'ready': 90}],
    'rejections': [{'reason': 'overloaded', 'count': 7}],
    'shares': [{'workspace': 'hire', 'usual': 0.5, 'recent': 1.25, 'allowed': 0.75, 'over': True}],
}
LEAVING = IDLE | {'figures': FIGURES | {'jobs': 40, 'to_hand_over': 20}}
ANSWERS: dict[str, dict[str, Any] | None] = {
    'b0': IDLE,
    'b1': None,
    'b2': BUSY,
    'b3': LEAVING,
}


class Rows(testtools.TestCase):
    def test_boxes_that_schedule_come_first_and_silent_ones_are_shown(self) -> None:
        """Guards against a scheduler that is missed among many boxes, or a silent box left out."""
        found = [(row.box, row.scheduling) for row in rows_of(ANSWERS)]
        self.assertEqual(
            [('b2', 'yes'), ('b3', 'handing over'), ('b1', 'no answer'), ('b0', 'no')], found
        )

    def test_each_box_has_its_figures_and_a_silent_one_has_none(self) -> None:
        table = box_table(rows_of(ANSWERS))
        columns = ('decision lag ms', 'undecided', 'jobs', 'to hand over', 'unanswered')
        self.assertEqual(('box', 'scheduling', 'scheduler', *columns), table.headers)
        self.assertEqual(('b2', 'yes', 'b2:7', '310', '25', '34', '0', '0'), table.rows[0])
        self.assertEqual(('b1', 'no answer', '', '', '', '', '', ''), table.rows[2])

    def test_figures_that_only_some_boxes_send_are_empty_for_the_others(self) -> None:
        """Guards against a command that fails while boxes of two builds run."""
        newer = IDLE | {'figures': FIGURES | {'reservations': 3}}
        table = box_table(rows_of({'b0': IDLE, 'b1': newer}))
        self.assertEqual('reservations', table.headers[-1])
        self.assertEqual(['', '3'], [row[-1] for row in table.rows])

    def test_lists_have_a_table_each_and_empty_ones_have_none(self) -> None:
        tables = section_tables(rows_of(ANSWERS))
        self.assertEqual(
            [
                [('b2', '1', 'yes', 'no', '30', '4')],
                [('b2', 'look', '180', '12', '90')],
                [('b2', 'overloaded', '7')],
                [('b2', 'hire', '0.500', '1.250', '0.750', 'yes')],
            ],
            [table.rows for table in tables],
        )
        self.assertEqual([], section_tables(rows_of({'b0': IDLE, 'b1': None})))


class Command(testtools.TestCase):
    def run_command(self, output: OutputFormat) -> str:
        """Return what the command prints."""

        async def scenario() -> str:
            printed = io.StringIO()
            listed: list[dict[str, str]] = []
            async with contextlib.AsyncExitStack() as stack:
                for name, answer in ANSWERS.items():
                    url = await stack.enter_async_context(serve_app(box(answer, listed)))
                    listed.append({'box': name, 'address': url.removeprefix('http://')})
                with contextlib.redirect_stdout(printed):
                    await scheduler(listed[0]['address'], output)
            return printed.getvalue()

        return asyncio.run(scenario())

    def test_json_holds_the_answer_of_each_box(self) -> None:
        rows = json.loads(self.run_command(OutputFormat.JSON))
        self.assertEqual(ANSWERS, {row['box']: row['answer'] for row in rows})

    def test_the_text_names_each_table(self) -> None:
        printed = self.run_command(OutputFormat.TEXT)
        self.assertIn('\njobs without an engine\nbox', printed)
        self.assertIn('\nworkspaces, in seconds of stage work per second\nbox', printed)


def box(answer: dict[str, Any] | None, listed: list[dict[str, str]]) -> web.Application:
    """Return a box with this scheduling state, or one that answers 503 if it is `None`.

    `listed` holds the boxes that it lists.
    """

    async def state(request: web.Request) -> web.Response:
        if answer is None:
            raise web.HTTPServiceUnavailable
        return web.json_response(answer)

    async def boxes(request: web.Request) -> web.Response:
        return web.json_response(listed)

    app = web.Application()
    app.router.add_get('/scheduler', state)
    app.router.add_get('/boxes', boxes)
    return app
