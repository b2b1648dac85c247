"""Assemble the web application, which runs in the daemon's single process."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import structlog
from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.server.protocols.http_protocol import HttpProtocol

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

STATUS_INTERNAL_ERROR = 500
STATUS_TOO_LARGE = 413
STATUS_HEAD_TOO_LARGE = 431

SANIC_PROBLEMS = {
    400: ('malformed request', 'the request is not sound HTTP'),
    404: ('unknown path', 'nothing is served at this path'),
    405: ('method not allowed', 'this path is not served by this method'),
    408: ('request timeout', 'the request did not come whole in time'),
    STATUS_TOO_LARGE: ('body too large', 'the body is larger than this box takes'),
    417: ('expectation failed', 'the Expect header asks for what is not offered'),
    STATUS_HEAD_TOO_LARGE: ('head too large', 'the headers are larger than this box takes'),
    503: ('overloaded', 'the box could not answer in time'),
}
"""Title and detail by status for errors that Sanic finds; the title also names the problem type."""

DEFAULT_PROBLEM = ('request not served', 'the request could not be served')

STATUS_LINE = b'HTTP/1.1 '
END_OF_HEAD = b'\r\n\r\n'
END_OF_LINE = b'\r\n'
EMPTY_ALT_SVC_HEADER = b'\r\nalt-svc: \r\n'
RESPONSE_TIMEOUT_S = 900
IDLE_TIMEOUT_S = 30
LISTEN_BACKLOG = 1024


class CallerProtocol(HttpProtocol):
    """Send responses without the empty `alt-svc` header that Sanic adds."""

    async def send(self, data: bytes) -> None:
        """Send bytes; those that begin with a status line have the empty header removed."""
        if data.startswith(STATUS_LINE):
            head, end, body = data.partition(END_OF_HEAD)
            data = (head + END_OF_LINE).replace(EMPTY_ALT_SVC_HEADER, END_OF_LINE)[:-2] + end + body
        await super().send(data)


def new_app(box: Box, name: str, *, optimise: bool) -> Sanic:
    """Return the web application of a box.

    With `optimise`, Sanic rewrites its own classes to leave out unused hooks, which works for only
    one application per process.
    """
    app = Sanic(name, configure_logging=False)
    app.config.REQUEST_MAX_SIZE = box.settings.max_body_bytes
    app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
    app.config.REQUEST_TIMEOUT = IDLE_TIMEOUT_S
    app.config.KEEP_ALIVE_TIMEOUT = IDLE_TIMEOUT_S
    app.config.MOTD = False
    app.config.TOUCHUP = optimise
    app.blueprint(caller_routes(box))
    app.blueprint(operation_routes(box))
    app.error_handler.add(BadRequest, answer_bad_request)
    app.error_handler.add(SanicException, answer_sanic_error)
    app.error_handler.add(Exception, answer_internal_error)
    return app


def answer_bad_request(request: Request, error: BadRequest) -> HTTPResponse:
    """Log a bad request and answer it with its problem."""
    events.emit(log, events.REQUEST_BAD, title=error.title, detail=error.detail)
    return plain_problem(error.status, error.title, error.detail)


def answer_sanic_error(request: Request, error: SanicException) -> HTTPResponse:
    """Answer an error that Sanic found: an unknown route, an oversized or malformed request."""
    status = sanic_error_status(request, error)
    title, detail = SANIC_PROBLEMS.get(status, DEFAULT_PROBLEM)
    events.emit(log, events.REQUEST_BAD, title=title, detail=str(error))
    return plain_problem(status, title, detail)


def sanic_error_status(request: Request, error: SanicException) -> int:
    """Return the HTTP status for an error that Sanic found.

    Sanic reports an oversized head with the status of an oversized body, but before it has parsed
    any header of the request.
    """
    if error.status_code == STATUS_TOO_LARGE and not request.headers:
        return STATUS_HEAD_TOO_LARGE
    return int(error.status_code)


def answer_internal_error(request: Request, error: Exception) -> HTTPResponse:
    """Answer an internal error of the daemon; the request may have run."""
    events.emit(log, events.REQUEST_FAULT, exc_info=error)
    detail = 'see the log of the box'
    return plain_problem(STATUS_INTERNAL_ERROR, 'internal fault', detail, outcome=OUTCOME_FAILED)


def bind_listener(address: Address) -> socket.socket:
    """Return a non-blocking listening socket; raise `StartError` if the address is unavailable."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address.host, address.port))
    except OSError as error:
        listener.close()
        raise StartError(f'cannot listen on {address}: {error.strerror}') from error
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener
