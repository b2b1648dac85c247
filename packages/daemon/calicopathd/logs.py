"""Set up structured logging."""

from __future__ import annotations

import logging
import sys

import structlog


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
