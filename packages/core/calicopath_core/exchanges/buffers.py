"""Bound the memory of answers that are held until they are whole.

How long a sound answer may be is stated nowhere, so there is one bound for all answers of a box
together. An answer without end is soon the longest of them, and makes way first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

from calicopath_core.backends.base import AnswerTooLarge

if TYPE_CHECKING:
    from types import TracebackType

DEFAULT_MAX_BYTES = 64 * 1024 * 1024
"""Most bytes of all answers together if the memory of the box is not known."""

MEMORY_SHARE = 0.15
"""Share of a box's memory limit for answers. An answer that is complete takes its size twice more
for a moment, when it is joined and when it is written."""

REPEATABLE_WEIGHT = 2
"""How much longer an answer counts whose request may run again elsewhere."""


class AnswerBuffers:
    """Hold the answers that a box is reading, `max_bytes` of them together."""

    def __init__(self, *, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.open_buffers: list[AnswerBuffer] = []

    @property
    def size(self) -> int:
        """Return the bytes of all answers that are being read."""
        return sum(buffer.size for buffer in self.open_buffers)

    def open(self, *, repeatable: bool) -> AnswerBuffer:
        """Return a buffer for an answer; `repeatable` tells that its request may run again."""
        return AnswerBuffer(buffers=self, repeatable=repeatable)

    def make_room(self) -> None:
        """Drop the longest answers until the others fit."""
        while self.size > self.max_bytes:
            max(self.open_buffers, key=lambda item: item.weighted_size).drop()


class AnswerBuffer:
    """Collect one answer; adding to it raises `AnswerTooLarge` once it was dropped."""

    def __init__(self, *, buffers: AnswerBuffers, repeatable: bool) -> None:
        self.buffers = buffers
        self.repeatable = repeatable
        self.parts: list[bytes] = []
        self.size = 0
        self.is_dropped = False

    def __enter__(self) -> Self:
        self.buffers.open_buffers.append(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.buffers.open_buffers.remove(self)

    @property
    def weighted_size(self) -> int:
        """Return the size by which answers are compared."""
        return self.size * (REPEATABLE_WEIGHT if self.repeatable else 1)

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self.parts.append(data)
        self.size += len(data)
        self.buffers.make_room()
        self.check_kept()

    def take(self) -> bytes:
        """Return the whole answer."""
        self.check_kept()
        return b''.join(self.parts)

    def drop(self) -> None:
        """Forget what was collected."""
        self.is_dropped = True
        self.parts.clear()
        self.size = 0

    def check_kept(self) -> None:
        """Raise `AnswerTooLarge` if the answer was dropped."""
        if self.is_dropped:
            limit = self.buffers.max_bytes
            raise AnswerTooLarge(f'the longest of answers of over {limit} bytes together')
