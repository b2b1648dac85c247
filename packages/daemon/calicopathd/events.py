"""Number every event that the daemon logs; `docs/user-guide/log-events.md` lists them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    import structlog


class Event(NamedTuple):
    """Describe one kind of log line: 1xx lifecycle, 2xx requests, 3xx state, 4xx endpoints,
    5xx to 8xx the same of a gateway box: lifecycle, exchanges, scheduling, what it follows.
    """

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
PLATFORM_UNREACHABLE = Event(
    306, 'warning', 'platform unreached', 'The configuration could not be read at the start yet.'
)
PLATFORM_BACK = Event(305, 'info', 'platform back', 'The platform answers again.')

ENDPOINT_EJECTED = Event(401, 'warning', 'endpoint ejected', 'Calls stay away for a while.')

GATEWAY_STARTED = Event(501, 'info', 'gateway started', 'The box listens; it is not ready yet.')
GATEWAY_READY = Event(502, 'info', 'gateway ready', 'Callers are served.')
GATEWAY_NOT_READY = Event(503, 'warning', 'gateway not ready', 'Callers should go elsewhere.')
GATEWAY_LEAVING = Event(504, 'info', 'gateway leaving', 'A stop was asked for; readiness is off.')
GATEWAY_STOPPED = Event(505, 'info', 'gateway stopped', 'The process exits.')
GATEWAY_RELOADED = Event(506, 'info', 'gateway reloaded', 'The settings were read again.')
REGISTER_FAILED = Event(507, 'warning', 'register failed', "The box's own record was not written.")
GATEWAY_REFUSING = Event(508, 'info', 'gateway refusing', 'What still waits is refused as not run.')

RELOAD_FAILED = Event(
    509, 'error', 'reload failed', 'The settings file is unsound; the old hold on.'
)
GATEWAY_LOADED = Event(
    510, 'info', 'gateway loaded', 'Settings and modules are read; the box listens nowhere yet.'
)
LOOP_FAULT = Event(
    511, 'error', 'loop fault', 'A fault reached the event loop, since nothing awaited it.'
)
EXCHANGE_ENDED = Event(601, 'info', 'exchange ended', 'An exchange has its one final answer.')
EXCHANGE_REFUSED = Event(602, 'info', 'exchange refused', 'A request has no route, key or view.')
EXCHANGE_BAD = Event(603, 'info', 'exchange bad', 'A request could not be read.')
ATTEMPT_FAILED = Event(604, 'warning', 'attempt failed', 'A replica gave no whole answer.')

REPLICA_CRASHED_DURING_REQUEST = Event(
    605, 'warning', 'replica ended under request', 'A replica that ran the request has ended.'
)
REQUEST_BLOCKED = Event(
    606, 'error', 'request blocked', 'Too many replicas ended under it; it is not sent on.'
)
REQUEST_UNBLOCKED = Event(607, 'info', 'request let go', 'A blocked request is sent on again.')
BLOCKED_REQUESTS_UNAVAILABLE = Event(
    608, 'warning', 'blocked unkept', 'Blocked requests were not read from or written to the store.'
)
REPLICA_LEAVING = Event(
    609, 'info', 'replica leaving', 'It has said in an answer that it gets no new work.'
)
REPLICA_BACKOFF = Event(
    610, 'info', 'replica backoff', 'A replica asked this box to send it nothing for a while.'
)
REPLICA_SKIPPED = Event(
    611, 'info', 'replica passed over', 'It was chosen for a request, and must not get it.'
)
BACKOFF_ENDED = Event(612, 'info', 'backoff ended', 'A replica may be called again from here.')
REPLICA_LIMIT = Event(
    613, 'info', 'replica limit', 'A replica names how much it takes from all boxes together.'
)
PERMIT_AWAITED = Event(
    615, 'info', 'permit awaited', 'Only replicas that name limits could serve a request.'
)
LIMIT_ENDED = Event(614, 'info', 'limit ended', 'A replica names no limit any more.')

REPLICA_REPLACED = Event(
    616, 'info', 'replica over', 'Another replica answers at its address; it is called no more.'
)

JOB_PLACED = Event(701, 'info', 'job placed', 'An engine was chosen for a request.')
JOB_REJECTED = Event(702, 'warning', 'job rejected', 'A request will not be placed.')
STAGE_CALLED = Event(703, 'info', 'stage called', "A call to a stage's replica is done.")
STAGE_FAILED = Event(704, 'warning', 'stage failed', 'A call to a stage brought not every result.')
FREE_FAILED = Event(705, 'warning', 'free failed', 'Results were not given up; they run out.')
SCHEDULER_CHANGED = Event(706, 'warning', 'scheduler changed', 'Another box schedules now.')
REPORT_FAILED = Event(708, 'warning', 'report failed', 'A replica did not tell its room.')
PEER_MESSAGE_BAD = Event(707, 'warning', 'peer message bad', 'A message could not be decoded.')
JOB_HANDED_OVER = Event(709, 'info', 'job handed over', 'The next scheduler goes on with a job.')

RELAYS_UNAVAILABLE = Event(711, 'warning', 'relays unread', 'Relays were not read or written down.')
GROUP_CHANGED = Event(710, 'info', 'group changed', 'Another group of boxes decides for this one.')
DEPLOYMENT_APPLIED = Event(801, 'info', 'deployment applied', 'A newer version is in force.')
REPLICA_DROPPED = Event(802, 'info', 'replica dropped', 'A removal that was doubted is taken in.')
FEED_LOST = Event(803, 'warning', 'feed lost', 'The store stopped answering for a kind.')
FEED_BACK = Event(804, 'info', 'feed back', 'The store answers again for a kind.')
HISTORY_LOST = Event(805, 'warning', 'history lost', 'A kind is read anew as a whole.')
SOURCE_CHANGED = Event(807, 'info', 'source changed', 'The store is heard another way now.')
FAILURE_DOMAIN_TAKEN_OUT = Event(
    808, 'warning', 'zone taken out', 'Its replicas get no new work from here.'
)
FAILURE_DOMAIN_BACK = Event(
    809, 'info', 'zone given back', 'Its replicas get new work again.'
)
LISTING_DROPPED = Event(
    810, 'warning', 'listing dropped', 'A list older than what is held was not taken in.'
)
STORE_ERA_CHANGED = Event(
    811, 'warning', 'store era', 'The store counts its revisions anew: it is back from a copy.'
)
REPLICA_DRAINING = Event(
    812, 'info', 'replica draining', 'Its entry says that it gets no new work.'
)
DRAINING_REVOKED = Event(
    813, 'warning', 'draining taken back', 'An entry says ready again; the replica drains on.'
)
KIND_RESTORED = Event(
    814, 'warning', 'kind restored', 'A kind is read from a copy; what is known goes on holding.'
)
OBJECT_BAD = Event(806, 'error', 'object bad', 'An object of the store could not be understood.')


def emit(log: structlog.stdlib.BoundLogger, event: Event, **fields: Any) -> None:
    """Log an event with its number."""
    getattr(log, event.level)(event.name, event_number=event.number, **fields)


def all_events() -> list[Event]:
    """Return every event, by number."""
    catalogue = [value for value in globals().values() if isinstance(value, Event)]
    return sorted(catalogue)
