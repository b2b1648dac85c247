"""Split a stream of server-sent events so that only complete events are forwarded."""

from __future__ import annotations

SEPARATORS = (b'\n\n', b'\r\n\r\n')
MAX_SEPARATOR_BYTES = max(len(separator) for separator in SEPARATORS)
MAX_EVENT_BYTES = 1024 * 1024
"""Longest event that is buffered; a longer one is treated as an invalid stream."""


class EventSplitter:
    """Turn chunks of bytes into complete events and keep the identifier of the last one."""

    def __init__(self) -> None:
        self.buffer = b''
        self.last_event_id: str | None = None
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of all events that are now complete.

        Raise `ValueError` if an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        # What was kept holds no separator, only perhaps the beginning of one.
        start = max(0, len(self.buffer) - MAX_SEPARATOR_BYTES)
        self.buffer += data
        found = ((self.buffer.rfind(sep, start), len(sep)) for sep in SEPARATORS)
        end = max(at + length if at >= 0 else 0 for at, length in found)
        if end == 0:
            if len(self.buffer) > MAX_EVENT_BYTES:
                raise ValueError('an event is larger than 1 MiB')
            return b''
        complete, self.buffer = self.buffer[:end], self.buffer[end:]
        for line in complete.splitlines():
            if line.startswith(b'id:'):
                self.last_event_id = line[3:].strip().decode('latin-1')
                self.count += 1
        return complete
