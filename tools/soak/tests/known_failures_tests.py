"""Test which seeds the soak passes over."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools

from tools.soak.known_failures import KnownFailure, read_known_failures


class Listed(testtools.TestCase):
    # A seed that is not listed with these very options must still fail the soak.
    def test_only_seeds_listed_with_the_same_options_are_known(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'KNOWN-RED.txt'
            path.write_text(
                '# python -m tools.soak --seeds 9 --seconds 6 | comment\n'
                'some/tests.py::Case (no seed); python -m tools.soak --seeds 8 --seconds 6 | x\n'
                'python -m tools.soak --seeds 1 --seconds 6 (in CI), 5 of 21 | x\n'
                'python -m tools.soak --only crash-part --seeds 2,4 --seconds 10, 3 of 12 | x\n'
                'python -m tools.soak --seeds 5 | x\n'
            )
            self.assertEqual(
                {
                    KnownFailure(1, 6.0, ''),
                    KnownFailure(2, 10.0, 'crash-part'),
                    KnownFailure(4, 10.0, 'crash-part'),
                    KnownFailure(5, 10.0, ''),
                },
                read_known_failures(path),
            )
