"""Test the commands for configuration against the stand-in of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
from typing import TYPE_CHECKING

import testtools
from typer.testing import CliRunner

from calicopath_cli.__main__ import app
from calicopath_cli.commands import apply, audit, endpoints, objects, status
from calicopath_cli.exceptions import (
    ChangeConflict,
    ChangeUnsettled,
    CommandError,
    InvalidInput,
    NotInForce,
)
from calicopath_cli.utils.operator import Options
from calicopath_cli.utils.output import OutputFormat
from calicopath_core.structure.endpoints import EndpointState
from calicopath_core.structure.keys import endpoint_key, pipeline_key, template_key
from standins.platform import PlatformStandIn
from testkit.processes import ROOT
from testkit.servers import serve_app

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CONFIG = ROOT / 'examples/ravi-canal-hire/config'


class Commands(testtools.TestCase):
    def run_steps(
        self,
        *steps: Callable[[Options], Awaitable[None]],
        platform: PlatformStandIn | None = None,
        who: str = 'asma',
    ) -> str:
        """Run commands one after another and return what they print."""

        async def scenario() -> str:
            printed = io.StringIO()
            async with serve_app((platform or PlatformStandIn()).app()) as url:
                options = Options(url, who, OutputFormat.JSON)
                with contextlib.redirect_stdout(printed):
                    for step in steps:
                        await step(options)
            return printed.getvalue()

        return asyncio.run(scenario())

    def apply(self, options: Options) -> Awaitable[None]:
        """Apply the example configuration."""
        return apply.apply(options, [CONFIG], None)

    def test_applying_twice_changes_nothing_the_second_time(self) -> None:
        platform = PlatformStandIn()
        self.run_steps(self.apply, platform=platform)
        printed = self.run_steps(self.apply, platform=platform)
        self.assertEqual({'accepted': [], 'unchanged': 21}, json.loads(printed))

    def test_wrong_files_change_nothing(self) -> None:
        platform = PlatformStandIn()
        with self.assertRaises(InvalidInput):
            self.run_steps(
                lambda options: apply.apply(options, [CONFIG / 'pipelines.yaml'], None),
                platform=platform,
            )
        self.assertEqual({}, platform.objects)

    def test_a_drain_is_a_change_with_its_record(self) -> None:
        platform = PlatformStandIn()
        self.run_steps(
            self.apply,
            lambda options: endpoints.set_state(
                options, 'drafting-1', EndpointState.DRAINING, None
            ),
            platform=platform,
        )
        printed = self.run_steps(
            lambda options: audit.audit(options, 'endpoints/drafting-1', 50), platform=platform
        )
        records = json.loads(printed)
        self.assertEqual(['apply', 'drain'], [record['action'] for record in records])
        self.assertEqual(records[0]['after'], records[1]['before'])
        self.assertEqual('draining', records[1]['after']['state'])
        self.assertEqual('asma', records[1]['who'])

    def test_a_deleted_object_stays_as_a_tombstone_and_can_come_back(self) -> None:
        platform = PlatformStandIn()
        key = pipeline_key('towpath', 'answer')
        self.run_steps(
            self.apply,
            lambda options: objects.delete_object(options, key, None),
            platform=platform,
        )
        self.assertIsNone(platform.objects[key]['value']['spec'])
        self.run_steps(self.apply, platform=platform)
        self.assertEqual(3, platform.objects[key]['value']['change']['sequence'])

    def test_a_template_in_use_cannot_be_deleted(self) -> None:
        with self.assertRaises(InvalidInput):
            self.run_steps(
                self.apply,
                lambda options: objects.delete_object(options, template_key('deposit'), None),
            )

    def test_an_endpoint_that_exists_cannot_be_added_again_but_a_stopped_one_can(self) -> None:
        platform = PlatformStandIn()
        self.run_steps(self.apply, platform=platform)
        spec = dict(platform.objects[endpoint_key('drafting-1')]['value']['spec'], state='active')
        add: Callable[[Options], Awaitable[None]] = lambda options: endpoints.add_endpoint(  # noqa: E731
            options, spec, None
        )
        with self.assertRaises(InvalidInput):
            self.run_steps(add, platform=platform)
        self.run_steps(
            lambda options: endpoints.set_state(options, 'drafting-1', EndpointState.STOPPED, None),
            add,
            platform=platform,
        )
        state = platform.objects[endpoint_key('drafting-1')]['value']['spec']['state']
        self.assertEqual('active', state)

    def test_a_lost_answer_is_settled_and_recorded_once(self) -> None:
        platform = PlatformStandIn()
        platform.faults.lose_answers = 1
        self.run_steps(self.apply, platform=platform)
        printed = self.run_steps(lambda options: audit.audit(options, '', 100), platform=platform)
        self.assertEqual(21, len(json.loads(printed)))

    def test_a_platform_that_is_down_is_named_in_the_error(self) -> None:
        platform = PlatformStandIn()
        platform.faults.down = True
        with self.assertRaises(Exception) as raised:
            self.run_steps(self.apply, platform=platform)
        self.assertIn('object API', str(raised.exception))

    def test_a_change_is_not_called_in_force_where_no_box_is_listed(self) -> None:
        with self.assertRaises(NotInForce):
            self.run_steps(lambda options: apply.apply(options, [CONFIG], 0.0))

    def test_a_change_not_in_force_on_a_silent_box_is_reported_so(self) -> None:
        platform = PlatformStandIn()
        platform.boxes['box-1'] = {
            'name': 'box-1',
            'failure_domain': 'lahore-a',
            'address': '127.0.0.1:1',
            'peer_address': '127.0.0.1:1',
            'leaving': False,
        }
        with self.assertRaises(NotInForce) as raised:
            self.run_steps(
                self.apply,
                lambda options: endpoints.set_state(
                    options, 'drafting-1', EndpointState.DRAINING, 0.0
                ),
                platform=platform,
            )
        self.assertIn('0 of 1 boxes; no answer from box-1', str(raised.exception))
        printed = self.run_steps(lambda options: status.status(options, 1), platform=platform)
        change = json.loads(printed)['changes'][0]
        self.assertEqual(
            (endpoint_key('drafting-1'), 0, 1), (change['key'], change['in_force'], change['boxes'])
        )


class ExitCodes(testtools.TestCase):
    def test_each_kind_of_error_has_its_own(self) -> None:
        kinds = (CommandError, InvalidInput, ChangeConflict, ChangeUnsettled, NotInForce)
        self.assertEqual([1, 2, 3, 4, 5], [kind.exit_code for kind in kinds])

    def test_help_of_every_command_works(self) -> None:
        for command in ([], ['apply'], ['endpoint', 'drain'], ['status'], ['audit']):
            result = CliRunner().invoke(app, [*command, '--help'])
            self.assertEqual(0, result.exit_code)

    def test_check_needs_no_platform_and_lists_every_problem(self) -> None:
        result = CliRunner().invoke(app, ['check', str(CONFIG)])
        self.assertEqual(0, result.exit_code)
        result = CliRunner().invoke(app, ['check', str(CONFIG / 'pipelines.yaml')])
        assert isinstance(result.exception, InvalidInput)
        self.assertEqual(5, len(str(result.exception).splitlines()))
