"""Exchange messages between boxes and dispatch them to the components of this box."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.crashes.messages import CRASH_MESSAGES, CrashNews
from calicopath_core.fleet.leaving_sharing import LEAVING_MESSAGES
from calicopath_core.fleet.positions import NO_POSITION
from calicopath_core.fleet.relay_messages import (
    RELAY_MESSAGES,
    RelayStatus,
    RelayUpdate,
    Subscribe,
)
from calicopath_core.membership.messages import BadMessage, MessageDecoder, encode
from calicopath_core.permits.messages import PERMIT_MESSAGES
from calicopath_core.permits.sharing import LIMIT_MESSAGES
from calicopath_core.scheduling.election import PING_INTERVAL_S
from calicopath_core.scheduling.messages import (
    MESSAGES,
    AdoptJob,
    BackoffNotice,
    EngineLoads,
    HandedOver,
    LearnedEstimates,
    Ping,
    Placed,
    PlaceJob,
    Pong,
    Progress,
    Rejected,
    RunEnded,
    RunStarted,
)
from calicopath_core.versions.messages import (
    VERSION_MESSAGES,
    StreamNews,
    VersionAnswer,
    VersionQuery,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.clock import Clock
    from calicopath_core.crashes.sharing import CrashSharing
    from calicopath_core.fleet.connection_shares import ConnectionLender, ConnectionShares
    from calicopath_core.fleet.contact import StoreContact
    from calicopath_core.fleet.subscription import Subscription
    from calicopath_core.membership.transport import PeerTransport
    from calicopath_core.scheduling.client import SchedulerClient
    from calicopath_core.scheduling.election import Election
    from calicopath_core.scheduling.inbox import Inbox
    from calicopath_core.scheduling.scheduler import Scheduler
    from calicopathd.gateway.notices import BoxNotices
    from calicopathd.gateway.versions import BoxVersions


class PeerLink:
    """Send messages to boxes and dispatch received ones."""

    def __init__(
        self,
        *,
        transport: PeerTransport,
        election: Election,
        clock: Clock,
        config_version: Callable[[], int],
        contact: Callable[[], StoreContact],
        on_bad_message: Callable[[str], None],
    ) -> None:
        self.transport = transport
        self.election = election
        self.clock = clock
        self.config_version = config_version
        self.contact = contact
        self.on_bad_message = on_bad_message
        self.decoder = MessageDecoder(
            types=(
                *MESSAGES,
                *RELAY_MESSAGES,
                *CRASH_MESSAGES,
                *LEAVING_MESSAGES,
                *LIMIT_MESSAGES,
                *PERMIT_MESSAGES,
                *VERSION_MESSAGES,
            )
        )
        self.scheduler: Scheduler | None = None
        self.client: SchedulerClient | None = None
        self.inbox: Inbox | None = None
        self.subscription: Subscription | None = None
        self.crash_sharing: CrashSharing | None = None
        self.notices: BoxNotices | None = None
        self.versions: BoxVersions | None = None
        self.connections: ConnectionShares | None = None
        self.connection_lender: ConnectionLender | None = None
        self.messages_sent = 0
        transport.listen(self.on_data)

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Send a message; one to this box itself bypasses the network."""
        if address == self.election.own.address:
            asyncio.get_running_loop().call_soon(self.handle, message)
            return
        self.messages_sent += 1
        self.transport.send(address, encode(message))

    def on_data(self, data: bytes) -> None:
        """Decode and handle a received message."""
        try:
            message = self.decoder.decode(data)
        except BadMessage as error:
            self.on_bad_message(str(error))
            return
        self.handle(message)

    def handle(self, message: msgspec.Struct) -> None:
        """Dispatch a message to the component that handles its type."""
        assert self.scheduler is not None
        assert self.client is not None
        assert self.inbox is not None
        assert self.subscription is not None
        assert self.crash_sharing is not None
        assert self.notices is not None
        assert self.versions is not None
        assert self.connections is not None
        assert self.connection_lender is not None
        match message:
            case Ping():
                self.election.on_ping(message, self.clock.monotonic())
                if message.unanswered:
                    self.transport.drop_connection(message.address)
                pong = self.presence(Pong, message.sequence)
                lent = self.connection_lender.lend(message.box, message.connections)
                self.send(message.address, msgspec.structs.replace(pong, connections=lent))
                self.crash_sharing.on_digest(message.address, message.crashes)
                self.notices.on_presence(message)
            case Pong():
                self.election.on_pong(message, self.clock.monotonic())
                if message.address == self.client.scheduler_address:
                    self.connections.on_lent(message.connections, message.sequence)
            case PlaceJob() | AdoptJob():
                self.inbox.on_request(message)
            case EngineLoads():
                self.scheduler.succession.on_engine_loads(message)
            case LearnedEstimates():
                self.scheduler.succession.on_learned(message)
            case Placed():
                self.client.on_placed(message)
            case Progress():
                self.client.on_progress(message)
            case HandedOver():
                self.client.on_handed_over(message)
            case Rejected():
                self.client.on_rejected(message)
            case RunStarted():
                self.scheduler.on_started(message)
            case RunEnded():
                self.inbox.on_withdrawn(message.job)
                self.scheduler.on_ended(message)
            case Subscribe():
                self.subscription.on_subscribe(message)
                if NO_POSITION in message.positions.values():
                    # A starting box waits for the full list of blocked requests before it serves.
                    self.crash_sharing.send_full_news(message.sender)
            case RelayStatus():
                self.subscription.on_status(message)
            case RelayUpdate():
                self.subscription.on_update(message)
            case CrashNews():
                self.crash_sharing.on_news(message)
            case BackoffNotice():
                self.scheduler.on_backoffs(message)
            case StreamNews() | VersionQuery() | VersionAnswer():
                self.versions.handle(message)
            case _:
                self.notices.handle(message)

    def presence(self, kind: type[Ping] | type[Pong], sequence: int) -> Ping | Pong:
        """Return a ping or pong with the state and digests of this box."""
        assert self.crash_sharing is not None
        assert self.notices is not None
        own = self.election.own
        found = kind(
            box=own.name,
            address=own.address,
            config_version=self.config_version(),
            contact=self.contact(),
            leaving=self.election.leaving,
            sequence=sequence,
            groups=self.election.group_count,
            crashes=self.crash_sharing.digest(),
            replicas=self.notices.leaving_sharing.digest(),
            limits=self.notices.limit_sharing.digest(),
        )
        return msgspec.structs.replace(found, acknowledges=True) if kind is Pong else found

    def ping_all(self) -> None:
        """Ping every scheduler candidate, on a new connection if it has stopped answering."""
        self.election.sequence += 1
        now = self.clock.monotonic()
        wanted = self.want_connections()
        ping = msgspec.structs.replace(
            self.presence(Ping, self.election.sequence), connections=wanted
        )
        for candidate in self.election.candidates_to_ping(now):
            address = candidate.box.address
            if candidate.mark_reconnect_if_due(now):
                self.transport.drop_connection(address)
                self.send(address, msgspec.structs.replace(ping, unanswered=True))
            else:
                self.send(address, ping)

    def want_connections(self) -> dict[str, int]:
        """Return the connections that this box asks for; as scheduler it lends them to itself."""
        assert self.client is not None
        assert self.connections is not None
        assert self.connection_lender is not None
        sequence, own = self.election.sequence, self.election.own
        wanted = self.connections.wanted(sequence)
        is_scheduler = self.client.scheduler_address == own.address
        self.connection_lender.on_scheduler(is_own=is_scheduler)
        if is_scheduler:
            lent = self.connection_lender.lend(own.name, wanted)
            self.connections.on_lent(lent, sequence)
        return wanted

    async def run(self) -> None:
        """Ping candidates and notify hubs periodically, until cancelled."""
        assert self.crash_sharing is not None
        assert self.notices is not None
        assert self.versions is not None
        while True:
            self.ping_all()
            self.crash_sharing.notify_hubs()
            self.notices.notify_hubs()
            self.versions.directory.repeat_if_due()
            await asyncio.sleep(PING_INTERVAL_S)
