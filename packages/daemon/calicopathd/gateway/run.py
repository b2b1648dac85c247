"""Run a gateway box from its start to a graceful shutdown."""

from __future__ import annotations

import asyncio
import math
import signal
from typing import TYPE_CHECKING, Any

import structlog

from calicopath_core.fleet.store import FleetStoreError
from calicopathd import events
from calicopathd.box.tasks import keep_running
from calicopathd.gateway.reloading import SETTINGS_CHECK_INTERVAL_S
from calicopathd.gateway.server import HttpServer
from calicopathd.gateway.settings import forward_address

if TYPE_CHECKING:
    from calicopathd.gateway.box import GatewayBox
    from calicopathd.gateway.requests import RequestHandler
    from calicopathd.gateway.state import StateHandler
    from calicopathd.logs import BoundedWriter
    from calicopathd.peers.zmq_transport import ZmqTransport

log = structlog.get_logger(__name__)

TICK_INTERVAL_S = 0.2
LOAD_BALANCER_DELAY_S = 3.0
"""How long the platform's load balancer may keep sending callers to a box that is not ready. It
probes once a second and needs two equal results in a row."""

EXIT_MARGIN_S = 1.0
"""How long before the platform kills it a stopping box abandons the requests in progress."""

REFUSE_MARGIN_S = 0.8
"""How long before its end a stopping box refuses requests that still wait for stages or an engine.
The time lets the refusals reach callers and running streams end."""

FLUSH_MARGIN_S = 0.2
"""How long the last answers of a stopping box may take to reach callers."""

WITHDRAW_TIMEOUT_S = 0.4
"""How long a stopping box waits for the store to remove its record. With `FLUSH_MARGIN_S` it fits
into `EXIT_MARGIN_S`, so that the box ends before it is killed. A record that remains is
overwritten when a box of the same name starts."""


class GatewayRunner:
    """Run the servers and background tasks of a gateway box in the current event loop."""

    def __init__(
        self,
        *,
        box: GatewayBox,
        transport: ZmqTransport,
        exchange_handler: RequestHandler,
        ready_handler: RequestHandler,
        state_handler: StateHandler,
        log_writer: BoundedWriter,
    ) -> None:
        self.box = box
        self.transport = transport
        self.exchange_server = HttpServer(
            handler=exchange_handler,
            clock=box.clock,
            max_connections=box.settings.max_caller_connections,
        )
        self.ready_server = HttpServer(handler=ready_handler, clock=box.clock)
        self.metrics_server = HttpServer(handler=state_handler, clock=box.clock)
        self.metrics = state_handler.metrics
        self.settings_file = state_handler.settings_file
        self.log_writer = log_writer
        self.stop_requested = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Serve until a stop signal, then shut down gracefully and return."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(on_loop_error)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        await self.start()
        await self.stop_requested.wait()
        await self.shut_down()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.transport.close()
        self.box.forwarding.close()
        # Closing the loop restores the default action of the signal, which ends the process.
        loop.remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        events.emit(log, events.GATEWAY_STOPPED, in_progress=self.exchange_server.in_progress)

    async def start(self) -> None:
        """Start the servers and the background tasks."""
        settings = self.box.settings
        await self.exchange_server.start(*settings.exchange_listen)
        await self.ready_server.start(*settings.ready_listen)
        await self.metrics_server.start(*settings.metrics_listen)
        await self.box.forwarding.start(*forward_address(str(settings.peer_listen)))
        background_tasks = {
            'peers': self.transport.run,
            'pings': self.box.link.run,
            'scheduler': self.box.scheduler.run,
            'client': self.box.client.run,
            'subscription': self.box.subscription.run,
            'ticks': self.run_ticks,
            'settings': self.watch_settings,
            'lag': self.box.measure_lag,
            'blocked requests': self.box.blocked_persister.run,
            'stream records': self.box.versions.keeper.run,
            'register': self.box.store_follower.registration.run,
        }
        for feed in self.box.feeds.values():
            background_tasks[f'feed {feed.kind.value}'] = feed.run
        self.tasks = [asyncio.create_task(keep_running(*item)) for item in background_tasks.items()]
        events.emit(
            log,
            events.GATEWAY_STARTED,
            box=settings.box,
            listen=str(settings.exchange_listen),
            peers=str(settings.peer_listen),
        )

    def reload_settings(self) -> None:
        """Apply the settings that may change at run time; ignore an invalid file."""
        settings = self.settings_file.reload()
        if settings is None:
            return
        self.box.settings = settings
        self.box.executor.context.retry_budgets.set_terms(settings.retry_budget)
        state = self.settings_file.state
        events.emit(log, events.GATEWAY_RELOADED, box=settings.box, digest=state.digest)

    async def watch_settings(self) -> None:
        """Reload the settings file when it changes, until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            if self.settings_file.has_changed():
                self.reload_settings()

    async def run_ticks(self) -> None:
        """Run the box's periodic work and log changes of readiness, until cancelled."""
        was_ready = False
        was_missing: list[str] = []
        while True:
            self.box.tick()
            self.log_writer.flush()
            self.update_gauges()
            ready = self.box.is_ready()
            if ready != was_ready:
                event = events.GATEWAY_READY if ready else events.GATEWAY_NOT_READY
                events.emit(log, event, config=self.box.config_version())
            missing = self.box.missing()
            if missing and missing != was_missing:
                events.emit(log, events.GATEWAY_WAITS, missing=missing)
            was_ready, was_missing = ready, missing
            await asyncio.sleep(TICK_INTERVAL_S)

    def update_gauges(self) -> None:
        """Set the gauges from the state of the box."""
        box = self.box
        age_s = box.contact().age_s
        self.metrics.set_state(
            ready=float(box.is_ready()),
            scheduling=float(box.client.scheduler_address == box.own.address),
            config_version=box.config_version(),
            store_age_seconds=-1.0 if math.isinf(age_s) else age_s,
            replicas=len(box.replicas.replicas),
            connections_forwarded=len(box.forwarding.connections),
            replicas_unreachable=len(box.reachability.failures),
            zones_taken_out=len(box.evacuations.active),
            requests_blocked=len(box.ledger.blocked),
            limits_named=len(box.notices.limits.by_replica),
            permits_waiting=len(box.notices.limit_issuer.waiting),
            permits_unused=box.notices.permits.unused,
            requests_suspected=len(box.ledger.suspects),
            boxes_listed=box.election.box_count(),
            jobs=len(box.scheduler.jobs),
            jobs_undecided=len(box.inbox.queue),
            jobs_to_hand_over=box.scheduler.succession.waiting,
            decision_lag_seconds=box.inbox.lag_s(),
            tenants_over_share=len(box.scheduler.shares.over),
            groups=box.election.groups,
            loop_lag_seconds=box.group_policy.lag.value_s,
            suspended_seconds=box.clock.suspended_s,
            exchanges_in_progress=self.exchange_server.in_progress,
            callers_connected=len(self.exchange_server.connections),
            callers_turned_away=self.exchange_server.rejected_connections,
            peer_messages_sent=box.link.messages_sent,
            peer_messages_dropped=self.transport.dropped_messages,
            hears_store_itself=float(not box.subscription.uses_relay()),
            subscribers=len(box.publisher.subscribers),
            store_calls=sum(feed.calls for feed in box.feeds.values()),
            log_lines_dropped=self.log_writer.dropped_lines,
        )

    async def shut_down(self) -> None:
        """Shut down gracefully: report not ready, stop accepting, then wait for open requests."""
        grace_s = self.box.settings.stop_grace_s - EXIT_MARGIN_S
        started_at = self.box.clock.monotonic()
        self.box.leave()
        self.box.forwarding.leave()
        self.exchange_server.start_closing()
        events.emit(log, events.GATEWAY_LEAVING, in_progress=self.exchange_server.in_progress)
        await asyncio.sleep(min(LOAD_BALANCER_DELAY_S, grace_s / 2))
        # Load balancers send nobody here any more, and what begins now may be cut by the end.
        self.box.refuses_new = True
        self.exchange_server.close_idle()
        remaining_s = grace_s - (self.box.clock.monotonic() - started_at)
        await self.exchange_server.wait_idle(max(0.0, remaining_s - REFUSE_MARGIN_S))
        if self.exchange_server.in_progress:
            events.emit(log, events.GATEWAY_REFUSING, in_progress=self.exchange_server.in_progress)
            self.box.client.reject_waiting()
            self.box.notices.permits.refuse_pending()
        await self.exchange_server.wait_idle(REFUSE_MARGIN_S)
        self.exchange_server.stop_exchanges()
        await self.exchange_server.wait_idle(FLUSH_MARGIN_S)
        remaining_s = grace_s - (self.box.clock.monotonic() - started_at)
        await self.box.forwarding.wait_idle(max(0.0, remaining_s))
        await self.withdraw()

    async def withdraw(self) -> None:
        """Remove the box's own record from the store; log it if that fails or times out."""
        try:
            async with asyncio.timeout(WITHDRAW_TIMEOUT_S):
                await self.box.store.withdraw(self.box.own)
        except (FleetStoreError, TimeoutError) as error:
            events.emit(log, events.REGISTER_FAILED, error=repr(error))


def log_loaded(box: str) -> None:
    """Log that a box has loaded its modules and settings.

    With the later line that it listens, this shows in which phase a start ended that logged no
    error.
    """
    events.emit(log, events.GATEWAY_LOADED, box=box)


def on_loop_error(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception of a callback, or of a task that was never awaited."""
    error = context.get('exception')
    events.emit(log, events.LOOP_FAULT, error=context['message'], exc_info=error)
