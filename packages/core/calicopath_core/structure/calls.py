"""Define stage and generation calls, their identifiers, inputs and outputs."""

from __future__ import annotations

from typing import Any, NamedTuple, NotRequired, TypedDict


class CallId(NamedTuple):
    """Identify one attempt at one stage of one request; the answer must repeat it."""

    request: str
    stage: str
    attempt: int

    def __str__(self) -> str:
        """Return the form that is sent on the wire."""
        return f'{self.request}/{self.stage}/{self.attempt}'


class StageInput(TypedDict):
    """Hold the results of earlier stages, the input of the next one."""

    text: str
    vector: NotRequired[list[float]]
    documents: NotRequired[list[str]]
    output: NotRequired[str]
    results: NotRequired[dict[str, Any]]


class StageOutput(TypedDict, total=False):
    """Hold what one stage adds to the input of the next."""

    vector: list[float]
    documents: list[str]
    output: str
    result: Any


class StageCall(NamedTuple):
    """Define a call that runs one stage; `timeout_s` is how long the caller waits."""

    id: CallId
    params: dict[str, Any]
    input: StageInput
    timeout_s: float
    priority: int
    idempotency_key: str | None = None


class GenerationCall(NamedTuple):
    """Define a call that generates tokens, from `offset` on.

    Earlier tokens were delivered by another replica; `prefix` holds their bytes.
    """

    id: CallId
    params: dict[str, Any]
    input: StageInput
    timeout_s: float
    priority: int
    offset: int = 0
    prefix: bytes = b''


class Token(NamedTuple):
    """Hold one generated token; `offset` counts tokens from the start of the answer.

    A token may end inside a multi-byte character.
    """

    call: str
    offset: int
    data: bytes


class GenerationEnd(NamedTuple):
    """Mark the end of a generation; `total` counts all tokens of the answer."""

    call: str
    total: int
