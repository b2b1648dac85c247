"""Number every event that the daemon logs; `docs/user-guide/log-events.md` lists them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    import structlog


class Event(NamedTuple):
    """Describe one kind of log line: 1xx lifecycle, 2xx requests, 3xx state, 4xx endpoints."""

    number: int
    level: str
    name: str
    doc: str


STARTED = Event(101, 'info', 'daemon started', 'The daemon listens; it is not ready yet.')
READY = Event(102, 'info', 'daemon ready', 'The view is whole and callers are served.')
LEAVING = Event(103, 'info', 'daemon leaving', 'A stop was asked for; readiness is off.')
REFUSING = Event(104, 'info', 'daemon refusing', 'New requests are refused as not run.')
STOPPED = Event(105, 'info', 'daemon stopped', 'Every request has ended; the process exits.')
NOT_READY = Event(106, 'warning', 'daemon not ready', 'The view is no longer confirmed.')
TASK_FAILED = Event(107, 'error', 'task failed', 'A background task ended by a fault and restarts.')

REQUEST_ENDED = Event(201, 'info', 'request ended', 'A request has its one final outcome.')
REQUEST_BAD = Event(202, 'info', 'request bad', 'A request could not be understood.')
REQUEST_FAULT = Event(203, 'error', 'request fault', 'A fault of the daemon ended a request.')
STREAM_BROKEN = Event(204, 'warning', 'stream broken', 'A stream ended before the whole answer.')

VIEW_SYNCED = Event(301, 'info', 'view synced', 'The configuration was read whole.')
VIEW_CHANGED = Event(302, 'info', 'view changed', 'A newer object is in force on this box.')
VIEW_PROBLEM = Event(303, 'warning', 'view problem', 'An object in force cannot be used.')
PLATFORM_LOST = Event(304, 'warning', 'platform lost', 'The platform has not answered of late.')
PLATFORM_BACK = Event(305, 'info', 'platform back', 'The platform answers again.')

ENDPOINT_EJECTED = Event(401, 'warning', 'endpoint ejected', 'Calls stay away for a while.')


def emit(log: structlog.stdlib.BoundLogger, event: Event, **fields: Any) -> None:
    """Log an event with its number."""
    getattr(log, event.level)(event.name, event_number=event.number, **fields)


def all_events() -> list[Event]:
    """Return every event, by number."""
    found = [value for value in globals().values() if isinstance(value, Event)]
    return sorted(found)
