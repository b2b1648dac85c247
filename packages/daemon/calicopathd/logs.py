"""Configure structured logging."""

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
    """Configure logging to standard error, as JSON or as text for a terminal."""
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
    # Sanic logs requests through the standard library; the daemon logs its own event for each.
    for name in ('sanic.root', 'sanic.access', 'sanic.error', 'sanic.server'):
        logging.getLogger(name).setLevel(logging.CRITICAL)


MAX_PENDING_LINES = 2000
"""Lines kept for a slow reader; further lines are dropped and counted."""


class BoundedWriter:
    """Write lines to a file descriptor without blocking when its reader is slow."""

    def __init__(self, *, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: bytes) -> None:
        """Write a line, or queue it while the reader is slow; drop it if the queue is full."""
        if len(self.pending) >= MAX_PENDING_LINES:
            self.dropped_lines += 1
            return
        self.pending.append(message + b'\n')
        self.flush()

    debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self.pending:
            line = self.pending[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the descriptor, so the failure cannot be logged either.
                self.dropped_lines += len(self.pending)
                self.pending.clear()
                return
            if written < len(line):
                self.pending[0] = line[written:]
                return
            self.pending.popleft()


def set_up_bounded_logs(*, box: str) -> BoundedWriter:
    """Configure JSON logging to standard output; a slow reader loses lines and never blocks."""
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
"""Frames logged for one exception, about 2 KB; a recursion can have a thousand."""


def exception_lines(exc_info: ExcInfo) -> list[str]:
    """Return an exception's type and message, then its frames, innermost first.

    Source lines are omitted: reading them blocks the event loop, and plain file reads while the
    threads of the peers' sockets run have crashed processes.
    """
    kind, error, trace = exc_info
    frames = [
        f'{frame.f_code.co_filename}:{line} in {frame.f_code.co_name}'
        for frame, line in traceback.walk_tb(trace)
    ]
    return [f'{kind.__name__}: {error}', *reversed(frames[-MAX_LOGGED_FRAMES:])]


def encode_line(line: object, **_: object) -> bytes:
    """Return a log line as JSON; values of unknown types are written with `str`."""
    return msgspec.json.encode(line, enc_hook=str)
