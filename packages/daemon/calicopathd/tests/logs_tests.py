"""Test that exceptions are logged without reading source files.

A plain file read on the event loop, while the threads of the peers' sockets run, could crash the
process with a segmentation fault: 1 in about 10,000 reads in the users' process environment, none
of 5.7 million outside it, none before the sockets were open and none of the positional reads. A
traceback with source lines reads a file for every module in it.
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
    """Raise the exception to be logged."""
    raise ValueError('no such thing')


def recurse(depth: int) -> None:
    """Call `fail` at the given recursion depth."""
    if not depth:
        fail()
    recurse(depth - 1)


class Failures(testtools.TestCase):
    def test_only_the_innermost_of_many_frames_are_logged(self) -> None:
        try:
            recurse(200)
        except ValueError as error:
            lines = exception_lines((ValueError, error, error.__traceback__))
        self.assertLessEqual(len(lines), 1 + MAX_LOGGED_FRAMES)
        self.assertTrue(lines[1].endswith(' in fail'))

    def test_a_failure_logs_its_frames_innermost_first_and_reads_no_file(self) -> None:
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
        summary, innermost, outermost = line['exception']
        self.assertEqual('ValueError: no such thing', summary)
        self.assertIn('logs_tests.py:', innermost)
        self.assertTrue(innermost.endswith(' in fail'))
        self.assertIn('innermost_first', outermost)
