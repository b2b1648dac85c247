"""Define the messages between boxes and schedulers.

Messages are one-way; an answer is a message too. Times are durations in seconds, never points in
time, because the clocks of boxes differ.
"""

from __future__ import annotations

import msgspec

# msgspec evaluates the annotations at run time, so these imports can't be type-checking only.
from calicopath_core.fleet.contact import StoreContact
from calicopath_core.scheduling.groups import GroupCount
from calicopath_core.scheduling.reservations import OpenReservation
from calicopath_core.scheduling.shares import UsualRate

ROUTE_PRIORITIES = 10
"""Number of route priorities within each priority of a workspace; 0 is the most urgent."""

VERSION_GONE = 'version-gone'
"""Reason of the rejection of a stream that no engine of its software version can continue."""


class PhaseWork(msgspec.Struct, frozen=True, array_like=True):
    """Describe one phase of a job and how many pieces it has."""

    service: str
    needs: tuple[int, ...]
    result_bytes: int
    pieces: int


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """Identify one part of a prompt and its length in tokens."""

    id: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True, array_like=True):
    """Describe the input and output of an engine, in tokens."""

    model: str
    parts: tuple[PromptPart, ...]
    tokens_in: int
    tokens_out: int


class PlaceJob(msgspec.Struct, frozen=True, tag='pl'):
    """Ask a scheduler to run a job's stages and to choose its engine.

    `job` is unique to one attempt of one request; `reply_to` is the peer address of the requesting
    box. `exclude` lists engines that must not be chosen. `resumed` says that an engine failed the
    request midway, `asked_before` that a scheduler has sent progress of the job or handed it over,
    or that the job goes to another scheduler than before; `silent_scheduler` is the address of the
    scheduler that fell silent or sent the box elsewhere, to which the job must not be handed over.
    `is_over_allowance` says that an earlier scheduler found the job over its workspace's allowance.
    `content` is the request's fingerprint. `backoffs` holds the engines that back off the
    requesting box, with the seconds left; `may_have_run` says that a rejection would come too late
    for the caller to try another box. `version` is the software version that began the stream and
    at which alone it may go on, `None` for a new stream. `objective_s` and `deadline_s` are the
    seconds left when the message is sent.
    """

    job: str
    reply_to: str
    failure_domain: str = msgspec.field(name='zone')
    call_id: str
    piece_key: str
    priority: int
    objective_s: float
    deadline_s: float
    service: str
    phases: tuple[PhaseWork, ...]
    prompt: Prompt
    exclude: tuple[str, ...] = ()
    resumed: bool = False
    asked_before: bool = False
    silent_scheduler: str = msgspec.field(name='missed', default='')
    workspace: str = ''
    is_over_allowance: bool = msgspec.field(name='beyond', default=False)
    content: str = ''
    backoffs: dict[str, float] = {}
    may_have_run: bool = False
    version: str | None = None

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that the job needs: those of its stages, then its engine's."""
        return (*(phase.service for phase in self.phases), self.service)


class Placed(msgspec.Struct, frozen=True, tag='ok'):
    """Answer with the chosen engine and the handles of the results that it must fetch.

    `scheduler` is the address of the box that chose the engine, which may have taken the job over;
    `permit` says that it has counted the call towards the engine's limit.
    """

    job: str
    replica: str
    inputs: tuple[str, ...]
    cost_s: float
    scheduler: str
    permit: bool = False


class StageResult(msgspec.Struct, frozen=True, array_like=True):
    """Describe a result of a stage; `freed` says that all its readers have fetched it."""

    phase: int
    index: int
    handle: str
    producer: str
    failure_domain: str
    size: int
    freed: bool


class AdoptJob(msgspec.Struct, frozen=True, tag='ad'):
    """Hand a job with its results to the next scheduler, after it has waited for `waited_s`."""

    place: PlaceJob
    results: tuple[StageResult, ...]
    waited_s: float


class Progress(msgspec.Struct, frozen=True, tag='pr'):
    """Report new results of a job to its box, and the phases whose results were freed.

    The box passes them to another scheduler if this one falls silent. Without results it only
    acknowledges that the job was admitted.
    """

    job: str
    results: tuple[StageResult, ...]
    freed: tuple[int, ...]


class HandedOver(msgspec.Struct, frozen=True, tag='ho'):
    """Tell a job's box which scheduler took the job over, and has to answer from now on.

    `resubmit` says that the sender has not taken the job, so the box must submit it to `scheduler`.
    """

    job: str
    scheduler: str
    resubmit: bool = False


class EngineLoads(msgspec.Struct, frozen=True, tag='el'):
    """Tell the next scheduler the seconds of queued work at engines, by replica."""

    sender: str
    loads: dict[str, float]


class LearnedEstimates(msgspec.Struct, frozen=True, tag='ln'):
    """Pass this scheduler's estimates to the next one.

    `usual_rates` is the usual load of workspaces, `bias` the correction factor of stage
    estimates, and `first_events_s` the time of engines to a first event by prompt size.
    `reservations` are those that callers have not used yet, and `prompt_speeds` the time of a
    service's engines per prompt token, in seconds by service.
    """

    sender: str
    usual_rates: tuple[UsualRate, ...] = msgspec.field(name='taken')
    bias: float
    first_events_s: dict[int, float]
    reservations: tuple[OpenReservation, ...] = ()
    prompt_speeds: dict[str, float] = {}


class Rejected(msgspec.Struct, frozen=True, tag='no'):
    """Answer that a job will not be placed, with the reason and when to retry."""

    job: str
    reason: str
    retry_after_s: float


class RunStarted(msgspec.Struct, frozen=True, tag='st'):
    """Tell the scheduler that the engine sent its first event, so it has read the prompt.

    `pace` is the factor on durations that the engine reported in the head of this answer, `None` if
    it reported none.
    """

    job: str
    sender: str
    pace: float | None = None


class RunEnded(msgspec.Struct, frozen=True, tag='en'):
    """Tell the scheduler that a job is over.

    `failed` says that the engine was at fault, `turned_away` that it declined the job. `pace` is
    the factor on durations that the engine reported in the head of an answer without any event, of
    which no `RunStarted` tells.
    """

    job: str
    sender: str
    failed: bool
    turned_away: bool = False
    pace: float | None = None


class BackoffNotice(msgspec.Struct, frozen=True, tag='bo'):
    """Tell the scheduler which engines back off a box, with the seconds left."""

    address: str
    backoffs: dict[str, float]


class Presence(msgspec.Struct, frozen=True):
    """Report that a box is alive, with its store contact, whether it leaves, and its group count.

    `crashes` is a digest of its reports of crashes, `replicas` of the replicas that it knows to be
    leaving, and `limits` of the limits that replicas have advertised.
    """

    box: str
    address: str
    config_version: int
    contact: StoreContact
    leaving: bool
    sequence: int
    groups: GroupCount = GroupCount()
    crashes: str = ''
    replicas: str = ''
    limits: str = ''


class Ping(Presence, frozen=True, tag='hi'):
    """Report the sender's state and ask for the receiver's.

    `unanswered` says that earlier pings got no answer: the receiver's connection may be dead.
    `connections` holds the connections to each replica of a service that the sender wants beyond
    its even share.
    """

    unanswered: bool = False
    connections: dict[str, int] = msgspec.field(name='c', default_factory=dict)


class Pong(Presence, frozen=True, tag='yo', omit_defaults=True):
    """Answer a ping with the sender's own state.

    `acknowledges` says that the sender, as scheduler, answers each request within the time that the
    requesting box waits. Boxes of builds before this field do not. A box that schedules sends a
    pong to every other box five times a second, so defaults are left out. `connections` holds what
    the receiver gets of the connections that it asked for.
    """

    acknowledges: bool = msgspec.field(name='a', default=False)
    connections: dict[str, int] = msgspec.field(name='c', default_factory=dict)


MESSAGES = (
    PlaceJob,
    Placed,
    AdoptJob,
    Progress,
    HandedOver,
    EngineLoads,
    LearnedEstimates,
    Rejected,
    RunStarted,
    RunEnded,
    BackoffNotice,
    Ping,
    Pong,
)
