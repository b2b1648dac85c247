"""Set up structured logging."""

from __future__ import annotations

import logging
import os
import sys
import traceback
from collections import deque
from typing import TYPE_CHECKING

import msgspec
import structlog

if TYPE_CHECKING:
    from structlog.typing import ExcInfo


def set_up_logs(*, level: str, json: bool, box: str) -> None:
    """Write log lines to standard error, as JSON or for a terminal."""
    renderer: structlog.typing.Processor = structlog.dev.ConsoleRenderer(colors=False)
    if json:
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level)),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(box=box)
    # Sanic logs by the standard library; what it says of single requests is ours to say.
    for name in ('sanic.root', 'sanic.access', 'sanic.error', 'sanic.server'):
        logging.getLogger(name).setLevel(logging.CRITICAL)


MAX_PENDING_LINES = 2000
"""Lines that wait for a reader that is slow; what comes after that is dropped and counted."""


class BoundedWriter:
    """Write lines to a descriptor without ever waiting for its reader."""

    def __init__(self, *, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: bytes) -> None:
        """Write a line, or keep it while the reader is slow."""
        if len(self.pending) >= MAX_PENDING_LINES:
            self.dropped_lines += 1
            return
        self.pending.append(message + b'\n')
        self.flush()

    debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Write what waits as far as the reader takes it."""
        while self.pending:
            line = self.pending[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self.dropped_lines += len(self.pending)
                self.pending.clear()
                return
            if written < len(line):
                self.pending[0] = line[written:]
                return
            self.pending.popleft()


def set_up_bounded_logs(*, box: str) -> BoundedWriter:
    """Write log lines as JSON to standard output; a slow reader costs lines, never time."""
    writer = BoundedWriter(descriptor=sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.ExceptionRenderer(exception_lines),
            structlog.processors.JSONRenderer(serializer=encode_line),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *args: writer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(box=box)
    return writer


MAX_LOGGED_FRAMES = 20
"""Frames told of one failure: 2 KB, where a recursion has a thousand."""


def exception_lines(exc_info: ExcInfo) -> list[str]:
    """Return what an error says and the frames that it passed, the innermost first.

    The lines of the sources are left out: to read them blocks the loop, and a plain read of a file
    beside the threads of the peers' sockets has ended processes.
    """
    kind, error, trace = exc_info
    frames = [
        f'{frame.f_code.co_filename}:{line} in {frame.f_code.co_name}'
        for frame, line in traceback.walk_tb(trace)
    ]
    return [f'{kind.__name__}: {error}', *reversed(frames[-MAX_LOGGED_FRAMES:])]


def encode_line(line: object, **_: object) -> bytes:
    """Return a log line as JSON."""
    return msgspec.json.encode(line, enc_hook=str)
