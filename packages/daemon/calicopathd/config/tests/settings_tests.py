"""Test that settings are validated together and documented from their schema."""

from __future__ import annotations

import testtools

from calicopathd.config.reference import option_docs, reference_table
from calicopathd.config.settings import Settings, SettingSource, load_settings
from calicopathd.exceptions import SettingsError
from testkit.processes import ROOT

REQUIRED = {
    'CALICOPATH_BOX': 'box-1',
    'CALICOPATH_FAILURE_DOMAIN': 'lahore-a',
    'CALICOPATH_PLATFORM': 'http://127.0.0.1:7000',
}


class Loading(testtools.TestCase):
    def test_flags_override_the_environment_and_both_override_defaults(self) -> None:
        source = SettingSource({'box': 'box-2'}, {**REQUIRED, 'CALICOPATH_RELIST_S': '5'})
        settings = load_settings(source)
        self.assertEqual('box-2', settings.box)
        self.assertEqual(5.0, settings.relist_s)
        self.assertEqual('127.0.0.1:8080', str(settings.listen))

    def test_every_problem_is_reported_in_one_error(self) -> None:
        environment = {
            'CALICOPATH_BOX': 'Box One',
            'CALICOPATH_PLATFORM': 'platform:7000',
            'CALICOPATH_LISTEN': '127.0.0.1',
            'CALICOPATH_BOXES': 'many',
            'CALICOPATH_RELIST_S': '0',
            'CALICOPATH_OBJECTIVE': 'fun',
            'CALICOPATH_COLOUR': 'red',
        }
        error = self.assertRaises(SettingsError, load_settings, SettingSource({}, environment))
        self.assertEqual(8, len(str(error).splitlines()))


class Reference(testtools.TestCase):
    def test_every_setting_has_a_doc_string(self) -> None:
        self.assertEqual([], [item.name for item in option_docs(Settings) if not item.doc])

    def test_the_reference_page_contains_the_table_of_the_schema(self) -> None:
        page = (ROOT / 'docs/user-guide/settings.md').read_text()
        self.assertIn(reference_table(Settings), page)
