"""Serve health checks, metrics and the operators' command line."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from sanic import Blueprint, Request
from sanic.response import HTTPResponse

if TYPE_CHECKING:
    from calicopathd.box.box import Box

STATUS_OK = 200
STATUS_UNAVAILABLE = 503


def json_response(data: Any, status: int = STATUS_OK) -> HTTPResponse:
    """Return a JSON response."""
    return HTTPResponse(msgspec.json.encode(data), status, content_type='application/json')


def operation_routes(box: Box) -> Blueprint:
    """Return the routes for health checks, metrics and operators."""
    routes = Blueprint('operations')

    @routes.get('/healthz')
    async def healthz(request: Request) -> HTTPResponse:
        return json_response({'alive': True})

    @routes.get('/readyz')
    async def readyz(request: Request) -> HTTPResponse:
        ready = box.is_ready()
        return json_response({'ready': ready}, STATUS_OK if ready else STATUS_UNAVAILABLE)

    @routes.get('/metrics')
    async def metrics(request: Request) -> HTTPResponse:
        body, headers = box.metrics.render()
        return HTTPResponse(body, headers=headers)

    @routes.get('/admin/v1/status')
    async def status(request: Request) -> HTTPResponse:
        return json_response(box.status())

    @routes.get('/admin/v1/versions')
    async def versions(request: Request) -> HTTPResponse:
        return json_response({key: entry.version for key, entry in box.view.entries.items()})

    @routes.get('/admin/v1/config/<key:path>')
    async def config(request: Request, key: str) -> HTTPResponse:
        return json_response({'key': key, 'version': box.view.version(key)})

    return routes
