"""Test the command that shows software versions."""

from __future__ import annotations

from typing import Any

import testtools

from calicopath_cli.commands.versions import VersionRow, rows_of


def item(version: str, **changes: Any) -> dict[str, Any]:
    """Return what a box reports of a version."""
    fields = {
        'service': 'engine',
        'version': version,
        'replicas': 2,
        'draining': 0,
        'streams': 3,
        'declared': None,
    }
    return fields | changes


class Rows(testtools.TestCase):
    def test_streams_are_summed_and_the_scheduler_says_what_is_declared(self) -> None:
        answers = [
            [item('v1', draining=1), item('v2', streams=0)],
            [item('v1', declared=True), item('v2', declared=False, replicas=1)],
            None,
        ]
        expected = [
            VersionRow('engine', 'v1', 2, 1, 6, True),
            VersionRow('engine', 'v2', 2, 0, 3, False),
        ]
        self.assertEqual(expected, rows_of(answers))

    def test_nothing_is_said_of_declared_versions_without_a_scheduler(self) -> None:
        self.assertIsNone(rows_of([[item('v1')]])[0].declared)
