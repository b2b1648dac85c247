"""Assemble the web server, which runs inside the daemon's one process."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import structlog
from sanic import Request, Sanic
from sanic.exceptions import SanicException

from calicopathd import events
from calicopathd.exceptions import BadRequest, StartError
from calicopathd.http.callers import caller_routes
from calicopathd.http.operations import operation_routes
from calicopathd.http.problems import OUTCOME_FAILED, plain_problem

if TYPE_CHECKING:
    from sanic.response import HTTPResponse

    from calicopathd.box.box import Box
    from calicopathd.config.options import Address

log = structlog.get_logger(__name__)

STATUS_FAULT = 500
LONGEST_REQUEST_S = 900
KEEP_ALIVE_S = 30
BACKLOG = 1024


def new_app(box: Box, name: str, *, optimise: bool) -> Sanic:
    """Return the web application of a box.

    To optimise, the library rewrites its own classes to leave out hooks that nobody uses. That
    works for one application a process.
    """
    app = Sanic(name, configure_logging=False)
    app.config.REQUEST_MAX_SIZE = box.settings.max_body_bytes
    app.config.RESPONSE_TIMEOUT = LONGEST_REQUEST_S
    app.config.REQUEST_TIMEOUT = KEEP_ALIVE_S
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_S
    app.config.MOTD = False
    app.config.TOUCHUP = optimise
    app.blueprint(caller_routes(box))
    app.blueprint(operation_routes(box))
    app.error_handler.add(BadRequest, answer_bad_request)
    app.error_handler.add(SanicException, answer_library_error)
    app.error_handler.add(Exception, answer_fault)
    return app


def answer_bad_request(request: Request, error: BadRequest) -> HTTPResponse:
    """Answer a request that cannot be understood."""
    events.emit(log, events.REQUEST_BAD, title=error.title, detail=error.detail)
    return plain_problem(error.status, error.title, error.detail)


def answer_library_error(request: Request, error: SanicException) -> HTTPResponse:
    """Answer what the library found wrong: unknown routes, oversized or broken requests."""
    title = type(error).__name__
    events.emit(log, events.REQUEST_BAD, title=title, detail=str(error))
    return plain_problem(error.status_code, title, str(error))


def answer_fault(request: Request, error: Exception) -> HTTPResponse:
    """Answer a fault of our own: the request may have run."""
    events.emit(log, events.REQUEST_FAULT, exc_info=error)
    detail = 'see the log of the box'
    return plain_problem(STATUS_FAULT, 'internal fault', detail, outcome=OUTCOME_FAILED)


def bind(address: Address) -> socket.socket:
    """Return a listening socket; raise `StartError`."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    found = socket.socket(family, socket.SOCK_STREAM)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        found.bind((address.host, address.port))
    except OSError as error:
        found.close()
        raise StartError(f'cannot listen on {address}: {error.strerror}') from error
    found.listen(BACKLOG)
    found.setblocking(False)
    return found
