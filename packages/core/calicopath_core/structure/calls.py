"""Identify stage calls and carry what goes into and comes out of them."""

from __future__ import annotations

from typing import Any, NamedTuple, NotRequired, TypedDict


class CallId(NamedTuple):
    """Identify one attempt at one stage of one request; answers must carry it back."""

    request: str
    stage: str
    attempt: int

    def __str__(self) -> str:
        """Return the form that goes over the wire."""
        return f'{self.request}/{self.stage}/{self.attempt}'


class StageInput(TypedDict):
    """Carry what earlier stages produced to the next one."""

    text: str
    vector: NotRequired[list[float]]
    documents: NotRequired[list[str]]
    output: NotRequired[str]
    results: NotRequired[dict[str, Any]]


class StageOutput(TypedDict, total=False):
    """Carry what one stage adds to the input of the next."""

    vector: list[float]
    documents: list[str]
    output: str
    result: Any


class StageCall(NamedTuple):
    """Ask an endpoint to run one stage; `timeout_s` is what the caller will wait."""

    id: CallId
    params: dict[str, Any]
    input: StageInput
    timeout_s: float
    priority: int
    idempotency_key: str | None = None


class GenerationCall(NamedTuple):
    """Ask an engine for tokens; those before `offset` were delivered by another replica.

    `prefix` holds the bytes of these earlier tokens.
    """

    id: CallId
    params: dict[str, Any]
    input: StageInput
    timeout_s: float
    priority: int
    offset: int = 0
    prefix: bytes = b''


class Token(NamedTuple):
    """Carry one generated token; `offset` counts tokens from the start of the answer.

    A token's bytes need not end at the end of a character.
    """

    call: str
    offset: int
    data: bytes


class GenerationEnd(NamedTuple):
    """Mark the end of a generation that produced `total` tokens, from the first on."""

    call: str
    total: int
