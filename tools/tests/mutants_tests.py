"""Test that the catalogue of mutants fits the code as it is; `make mutants` runs them."""

from __future__ import annotations

import testtools

from testkit.processes import ROOT
from tools.mutants.catalogue import MUTANTS


class Catalogue(testtools.TestCase):
    def test_what_a_mutant_changes_is_there_once_and_its_test_exists(self) -> None:
        for mutant in MUTANTS:
            found = (ROOT / mutant.file).read_text().count(mutant.old)
            self.assertEqual(1, found, f'{mutant.file}: {mutant.old!r}')
            path, _, name = mutant.test.partition('::')
            text = (ROOT / path).read_text()
            self.assertIn(name.split('::')[0], text, mutant.test)
