"""Test that a valid settings file is applied, and an invalid one is logged once."""

from __future__ import annotations

import itertools
import os
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from unittest import mock

import testtools

from calicopathd import events
from calicopathd.exceptions import SettingsError
from calicopathd.gateway import reloading
from calicopathd.gateway.reloading import SettingsFile
from testkit.gateway import settings
from testkit.gateway_world import RETRY_BUDGET_TERMS
from testkit.virtual import VirtualClock, run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopathd.gateway.settings import GatewaySettings

WIDER = RETRY_BUDGET_TERMS._replace(slack=RETRY_BUDGET_TERMS.slack + 7)


class Files(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.contents = {'old': settings('box-1', 'a')}
        self.contents['new'] = self.contents['old']._replace(retry_budget=WIDER)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'node.toml'
        self.versions = itertools.count(1)
        self.write('old')
        self.emitted = self.patch_events()

    def patch_events(self) -> mock.Mock:
        """Replace `events.emit` by a mock and return it."""
        found = mock.Mock()
        patcher = mock.patch('calicopathd.events.emit', found)
        patcher.start()
        self.addCleanup(patcher.stop)
        return found

    def write(self, text: str) -> None:
        """Replace the file, and give it a new modification time."""
        self.path.write_text(text)
        # Without this, files written within one tick of the file system's clock look the same.
        modified_ns = next(self.versions)
        os.utime(self.path, ns=(modified_ns, modified_ns))

    def read(self, path: Path) -> GatewaySettings:
        """Return the settings that the file's text names; raise `SettingsError` if unknown."""
        text = path.read_text()
        if text not in self.contents:
            raise SettingsError(f'{text!r} is not whole')
        return self.contents[text]

    def file(self) -> SettingsFile:
        """Return the settings file of a box that has just started."""
        found = SettingsFile(
            path=self.path,
            read=self.read,
            settings=self.contents['old'],
            clock=VirtualClock(),
        )
        return found

    def play(self, work: Callable[[], None]) -> None:
        """Run a test in virtual time."""

        async def scenario() -> None:
            work()

        run_virtual(scenario())

    def test_sound_settings_are_in_force_with_another_digest(self) -> None:
        def work() -> None:
            file = self.file()
            before = file.state.digest
            self.write('new')
            self.assertTrue(file.has_changed())
            found = file.reload()
            assert found is not None
            self.assertEqual(WIDER, found.retry_budget)
            self.assertNotEqual(before, file.state.digest)
            self.assertEqual('', file.state.problem)
            self.assertFalse(file.has_changed())

        self.play(work)

    def test_a_half_written_file_leaves_the_old_in_force_and_is_told_once(self) -> None:
        def work() -> None:
            file = self.file()
            before = file.state.digest
            self.write('ne')
            for _ in range(3):
                self.assertIsNone(file.reload())
            self.assertEqual(before, file.state.digest)
            self.assertIn('not whole', file.state.problem)
            logged = [call.args[1] for call in self.emitted.call_args_list]
            self.assertEqual([events.RELOAD_FAILED], logged)

        self.play(work)

    def test_a_file_that_is_whole_later_is_taken_in_without_a_signal(self) -> None:
        def work() -> None:
            file = self.file()
            self.write('ne')
            self.assertTrue(file.has_changed())
            file.reload()
            self.write('new')
            self.assertTrue(file.has_changed())
            self.assertIsNotNone(file.reload())
            self.assertEqual('', file.state.problem)

        self.play(work)

    def test_a_file_that_is_gone_changes_nothing_in_force(self) -> None:
        def work() -> None:
            file = self.file()
            self.path.unlink()
            self.assertTrue(file.has_changed())
            self.assertFalse(file.has_changed())
            self.assertEqual(self.contents['old'], file.settings)

        self.play(work)

    def test_boxes_with_like_settings_have_the_same_digest(self) -> None:
        digests = {reloading.digest_of(settings(name, 'a')) for name in ('box-1', 'box-2')}
        self.assertEqual(1, len(digests))
