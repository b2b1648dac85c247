"""Test that the docs name what exists."""

from __future__ import annotations

import re

import testtools

from testkit.processes import ROOT

DOCS = ROOT / 'docs'
TEST_NAME = re.compile(r'`([a-z_]+/[\w/]+_tests\.py)::(\w+)::(\w+)`')
LINK = re.compile(r'\]\(([^)#:]+)\)')


class Promises(testtools.TestCase):
    def test_every_test_that_a_promise_names_exists(self) -> None:
        named = TEST_NAME.findall((DOCS / 'promises.md').read_text())
        self.assertGreater(len(named), 30)
        missing = []
        for path, case, test in named:
            folder = 'platform' if path.startswith('calicopath_platform/') else 'packages'
            source = (ROOT / folder / path).read_text()
            body = source.partition(f'class {case}(')[2].partition('\nclass ')[0]
            if f'def {test}(' not in body:
                missing.append(f'{path}::{case}::{test}')
        self.assertEqual([], missing)

    def test_every_scenario_that_a_promise_names_exists(self) -> None:
        source = (ROOT / 'tools/faults/scenarios.py').read_text()
        text = (DOCS / 'promises.md').read_text()
        named = set(re.findall(r'`(\w+)`(?=[^`]*(?:`\w+`[^`]*)*of\s+`make faults`)', text))
        self.assertGreater(len(named), 3)
        self.assertEqual([], [name for name in named if f'async def {name}(' not in source])


class Pages(testtools.TestCase):
    def test_every_link_between_pages_leads_somewhere(self) -> None:
        broken = [
            f'{page.name}: {link}'
            for page in DOCS.rglob('*.md')
            for link in LINK.findall(page.read_text())
            if not (page.parent / link).exists()
        ]
        self.assertEqual([], broken)

    def test_every_make_command_that_is_named_exists(self) -> None:
        makefile = (ROOT / 'Makefile').read_text()
        pages = [ROOT / 'README.md', *DOCS.rglob('*.md')]
        named = {name for page in pages for name in re.findall(r'`make (\w+)`', page.read_text())}
        self.assertEqual([], [name for name in named if f'\n{name}: ' not in makefile])
