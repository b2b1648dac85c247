"""Test that a failure is logged without reading the sources that it passed.

A box whose loop stopped to read a file, beside the threads of the peers' sockets, could end by a
segmentation fault: in the users' process environment one of some 10,000 plain reads did, none of
5.7 million outside it, none before the sockets were there and none by position. A traceback with
the lines of the sources reads a file for each module that it passes.
"""

from __future__ import annotations

import json
import linecache
import os
from unittest import mock

import structlog
import testtools

from calicopathd import events
from calicopathd.logs import MAX_LOGGED_FRAMES, exception_lines, set_up_bounded_logs

log = structlog.get_logger(__name__)


def fail() -> None:
    """Raise what is to be logged."""
    raise ValueError('no such thing')


def recurse(depth: int) -> None:
    """Fail deep down."""
    if not depth:
        fail()
    recurse(depth - 1)


class Failures(testtools.TestCase):
    def test_of_many_frames_the_innermost_are_told(self) -> None:
        try:
            recurse(200)
        except ValueError as error:
            told = exception_lines((ValueError, error, error.__traceback__))
        self.assertLessEqual(len(told), 1 + MAX_LOGGED_FRAMES)
        self.assertTrue(told[1].endswith(' in fail'))

    def test_a_failure_tells_its_frames_innermost_first_and_reads_no_file(self) -> None:
        source, sink = os.pipe()
        with mock.patch('sys.stdout') as stdout:
            stdout.fileno.return_value = sink
            set_up_bounded_logs(box='box-1')
        self.addCleanup(structlog.reset_defaults)
        with mock.patch.object(linecache, 'updatecache', side_effect=AssertionError('read')):
            try:
                fail()
            except ValueError as error:
                events.emit(log, events.TASK_FAILED, task='t', exc_info=error)
        line = json.loads(os.read(source, 65536))
        said, innermost, outermost = line['exception']
        self.assertEqual('ValueError: no such thing', said)
        self.assertIn('logs_tests.py:', innermost)
        self.assertTrue(innermost.endswith(' in fail'))
        self.assertIn('innermost_first', outermost)
