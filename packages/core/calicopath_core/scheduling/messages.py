"""Define what boxes and schedulers send each other.

Messages are one-way; an answer is a message too. Times are spans in seconds, never points in time,
since boxes' clocks differ.
"""

from __future__ import annotations

import msgspec

# msgspec reads these annotations when the program runs.
from calicopath_core.fleet.contact import StoreContact
from calicopath_core.scheduling.fairness import UsualRate
from calicopath_core.scheduling.groups import GroupCount

ROUTE_PRIORITIES = 10
"""How jobs rank: so many priorities of routes within each priority of a workspace, 0 first."""


class PhaseWork(msgspec.Struct, frozen=True, array_like=True):
    """Describe one phase of a job and how many pieces it has."""

    service: str
    needs: tuple[int, ...]
    result_bytes: int
    pieces: int


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """Name one part of a prompt and its length in tokens."""

    id: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True, array_like=True):
    """Describe what an engine reads and makes, in tokens."""

    model: str
    parts: tuple[PromptPart, ...]
    tokens_in: int
    tokens_out: int


class PlaceJob(msgspec.Struct, frozen=True, tag='pl'):
    """Ask a scheduler to run a job's stages and to choose its engine.

    `job` is unique to one attempt of one request; `reply_to` is the asking box's peer address.
    `exclude` are engines not to choose; `resumed` says that one failed the request midway,
    `asked_before` that an earlier scheduler had let the job in and fell silent; `missed` is its
    address, to which the job must not be handed over. `beyond` says that an earlier scheduler found
    the job beyond its workspace's allowance. `content` names what the request asks. `backoffs` are
    the engines that want nothing from the asking box, for how many seconds yet; `may_have_run` says
    that a refusal would come too late for the caller to ask elsewhere.
    `objective_s` and `deadline_s` are what is left of them when the message is sent.
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

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that the job needs: those of its stages, then its engine's."""
        return (*(phase.service for phase in self.phases), self.service)


class Placed(msgspec.Struct, frozen=True, tag='ok'):
    """Answer with the engine chosen and the handles that it must fetch.

    `scheduler` is the address of the box that chose, which may have taken the job over; `permit`
    says that it has counted the call towards the engine's limit.
    """

    job: str
    replica: str
    inputs: tuple[str, ...]
    cost_s: float
    scheduler: str
    permit: bool = False


class StageResult(msgspec.Struct, frozen=True, array_like=True):
    """Describe a result that was made already; `freed` says that all its readers have it."""

    phase: int
    index: int
    handle: str
    producer: str
    failure_domain: str
    size: int
    freed: bool


class AdoptJob(msgspec.Struct, frozen=True, tag='ad'):
    """Hand a job to the next scheduler with what is made of it; it has waited for `waited_s`."""

    place: PlaceJob
    results: tuple[StageResult, ...]
    waited_s: float


class Progress(msgspec.Struct, frozen=True, tag='pr'):
    """Tell a job's box what was made of it, and the phases whose results were given up.

    The box hands that to another scheduler if this one falls silent.
    """

    job: str
    results: tuple[StageResult, ...]
    freed: tuple[int, ...]


class HandedOver(msgspec.Struct, frozen=True, tag='ho'):
    """Tell a job's box which scheduler goes on with it: that is the one to wait for, or to miss."""

    job: str
    scheduler: str


class EngineLoads(msgspec.Struct, frozen=True, tag='el'):
    """Tell the next scheduler the seconds of work that wait at engines, by replica."""

    sender: str
    loads: dict[str, float]


class LearnedEstimates(msgspec.Struct, frozen=True, tag='ln'):
    """Tell the next scheduler what this one has learned.

    `taken` is what workspaces usually ask, `bias` corrects the estimate of stages, and
    `first_events_s` is what engines take to a first event by the size of the prompt.
    """

    sender: str
    taken: tuple[UsualRate, ...]
    bias: float
    first_events_s: dict[int, float]


class Rejected(msgspec.Struct, frozen=True, tag='no'):
    """Answer that a job will not be placed, why, and when to come back."""

    job: str
    reason: str
    retry_after_s: float


class RunStarted(msgspec.Struct, frozen=True, tag='st'):
    """Tell the scheduler that the engine has read the prompt: its first event came."""

    job: str
    sender: str


class RunEnded(msgspec.Struct, frozen=True, tag='en'):
    """Tell the scheduler that a job is over; `failed` blames the engine.

    `turned_away` says that the engine would not take it.
    """

    job: str
    sender: str
    failed: bool
    turned_away: bool = False


class BackoffNotice(msgspec.Struct, frozen=True, tag='bo'):
    """Tell the scheduler which engines want nothing from a box, for how many seconds yet."""

    address: str
    backoffs: dict[str, float]


class Presence(msgspec.Struct, frozen=True):
    """Say that a box is alive, how the store answers it, whether it leaves, how many groups are.

    `crashes` is a digest of what it knows of requests under which replicas have ended, `replicas`
    one of which replicas it has heard leave, `limits` one of those that name limits.
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
    """Tell of the sender and ask the receiver to tell of itself.

    `unanswered` says that earlier pings were not: the receiver's connection may have gone silent.
    """

    unanswered: bool = False


class Pong(Presence, frozen=True, tag='yo'):
    """Answer a ping."""


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
