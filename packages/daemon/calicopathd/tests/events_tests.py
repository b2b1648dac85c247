"""Test that the code and the catalogue of log events agree."""

from __future__ import annotations

import re

import testtools

from calicopathd.events import Event, all_events
from testkit.processes import ROOT

CATALOGUE = ROOT / 'docs/user-guide/log-events.md'
DAEMON = ROOT / 'packages/daemon/calicopathd'


def catalogue_row(event: Event) -> str:
    """Return the row of an event on the catalogue page."""
    return f'| {event.number} | {event.level} | {event.name} | {event.doc} |'


class Catalogue(testtools.TestCase):
    def test_numbers_and_names_are_used_once(self) -> None:
        events = all_events()
        self.assertEqual(len(events), len({event.number for event in events}))
        self.assertEqual(len(events), len({event.name for event in events}))

    def test_the_page_lists_exactly_the_events_of_the_code(self) -> None:
        rows = [line for line in CATALOGUE.read_text().splitlines() if re.match(r'\| \d', line)]
        self.assertEqual([catalogue_row(event) for event in all_events()], rows)

    def test_every_event_is_logged_somewhere(self) -> None:
        text = '\n'.join(
            path.read_text() for path in DAEMON.rglob('*.py') if path.name != 'events.py'
        )
        source = (DAEMON / 'events.py').read_text()
        names = re.findall(r'^([A-Z_]+) = Event\(', source, re.MULTILINE)
        self.assertEqual([], [name for name in names if f'events.{name}' not in text])

    def test_nothing_is_logged_without_a_number(self) -> None:
        loose = [
            str(path)
            for path in DAEMON.rglob('*.py')
            if path.name != 'events.py'
            and re.search(r'\blog\.(info|warning|error)\(', path.read_text())
        ]
        self.assertEqual([], loose)
