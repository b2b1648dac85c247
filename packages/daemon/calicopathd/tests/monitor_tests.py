"""Test what a daemon logs while it cannot reach the platform at startup."""

from __future__ import annotations

from typing import Any
from unittest import mock

import testtools

from calicopathd import events
from calicopathd.box.monitor import Monitor


class Start(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.box: Any = mock.Mock()
        self.box.settings.platform = 'http://127.0.0.1:9'
        self.box.view.entries = {}
        self.box.is_synced.return_value = False
        self.box.feed.last_error = ''
        self.emitted = mock.Mock()
        patcher = mock.patch('calicopathd.events.emit', self.emitted)
        patcher.start()
        self.addCleanup(patcher.stop)

    def emitted_events(self) -> list[events.Event]:
        """Return the events emitted so far."""
        return [call.args[1] for call in self.emitted.call_args_list]

    def test_an_unreachable_platform_is_logged_at_once_and_only_once(self) -> None:
        monitor = Monitor(box=self.box)
        monitor.check_sync()
        self.assertEqual([], self.emitted_events())
        self.box.feed.last_error = 'connection refused'
        for _ in range(3):
            monitor.check_sync()
        self.assertEqual([events.PLATFORM_UNREACHABLE], self.emitted_events())
        fields = self.emitted.call_args.kwargs
        self.assertEqual('http://127.0.0.1:9', fields['platform'])
        self.assertEqual('connection refused', fields['error'])

    def test_the_first_sync_is_logged_once(self) -> None:
        monitor = Monitor(box=self.box)
        self.box.feed.last_error = 'connection refused'
        monitor.check_sync()
        self.box.is_synced.return_value = True
        for _ in range(3):
            monitor.check_sync()
        self.assertEqual([events.PLATFORM_UNREACHABLE, events.VIEW_SYNCED], self.emitted_events())
