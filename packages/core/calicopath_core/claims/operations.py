"""Define what is kept of claims, and the operations on a group of them.

An operation may be tried many times on newer and newer values, on this box or another, so it gives
the same result when an earlier try of its own turns out to have taken effect.
"""

from __future__ import annotations

import enum
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from calicopath_core.claims.keys import ClaimKey


class ClaimState(enum.StrEnum):
    """Say how far a claim's holder has got, as far as the store knows."""

    STARTED = 'started'
    ANSWERED = 'answered'


class StoredClaim(TypedDict):
    """Hold one claim; `time_ms` is the key's own time, `body` a digest of the request."""

    nonce: str
    body: str
    state: str
    time_ms: int
    answer: NotRequired[dict[str, Any] | None]


class GroupValue(TypedDict):
    """Hold the claims of one group; keys up to `threshold_ms` all count as claimed."""

    threshold_ms: int
    claims: dict[str, StoredClaim]


class OpResult(NamedTuple):
    """Say whether the nonce holds the key, and if not, who does; no claim means dropped by age."""

    granted: bool
    claim: StoredClaim | None = None


class ClaimOp(msgspec.Struct, frozen=True, tag='claim'):
    """Claim a key under a nonce."""

    key: ClaimKey
    nonce: str
    body: str

    def apply(self, value: GroupValue) -> OpResult:
        """Enter the claim unless the key is taken."""
        held = value['claims'].get(str(self.key))
        if held is not None:
            return OpResult(held['nonce'] == self.nonce, held)
        if self.key.time_ms <= value['threshold_ms']:
            return OpResult(False)
        value['claims'][str(self.key)] = StoredClaim(
            nonce=self.nonce,
            body=self.body,
            state=ClaimState.STARTED.value,
            time_ms=self.key.time_ms,
        )
        return OpResult(True)


class RecordOp(msgspec.Struct, frozen=True, tag='record'):
    """Keep an answer under a claim; an empty one says that it was too large to keep."""

    key: ClaimKey
    nonce: str
    answer: dict[str, Any] | None

    def apply(self, value: GroupValue) -> OpResult:
        """Replace the claim by an answered one."""
        held = value['claims'].get(str(self.key))
        if held is None or held['nonce'] != self.nonce:
            return OpResult(False, held)
        value['claims'][str(self.key)] = StoredClaim(
            nonce=self.nonce,
            body=held['body'],
            state=ClaimState.ANSWERED.value,
            time_ms=held['time_ms'],
            answer=self.answer,
        )
        return OpResult(True)


class ReleaseOp(msgspec.Struct, frozen=True, tag='release'):
    """Give a key back whose call provably never started."""

    key: ClaimKey
    nonce: str

    def apply(self, value: GroupValue) -> OpResult:
        """Take the claim out if it is still held under the nonce."""
        held = value['claims'].get(str(self.key))
        if held is None or held['nonce'] != self.nonce:
            return OpResult(False, held)
        del value['claims'][str(self.key)]
        return OpResult(True)


class CloseOp(msgspec.Struct, frozen=True, tag='close'):
    """Drop every claim up to a time; its key and all older ones count as claimed from now on."""

    threshold_ms: int

    def apply(self, value: GroupValue) -> OpResult:
        """Raise the threshold if there is anything to drop."""
        if value['claims']:
            raise_threshold(value, self.threshold_ms)
        return OpResult(True)


Op = ClaimOp | RecordOp | ReleaseOp | CloseOp


def merge_groups(stored: GroupValue, known: GroupValue) -> GroupValue:
    """Return a group in which everything counts as claimed that does in either of two."""
    claims = {**known['claims'], **stored['claims']}
    for key, claim in known['claims'].items():
        if claim['state'] == ClaimState.ANSWERED.value:
            claims[key] = claim
    value = GroupValue(threshold_ms=stored['threshold_ms'], claims=claims)
    raise_threshold(value, known['threshold_ms'])
    return value


def raise_threshold(value: GroupValue, threshold_ms: int) -> None:
    """Drop the claims up to a time and remember that they were there."""
    value['threshold_ms'] = max(value['threshold_ms'], threshold_ms)
    value['claims'] = {
        key: claim
        for key, claim in value['claims'].items()
        if claim['time_ms'] > value['threshold_ms']
    }
