"""Split a stream of server-sent events, so that only whole events are passed on."""

from __future__ import annotations

SEPARATORS = (b'\n\n', b'\r\n\r\n')
MAX_EVENT_BYTES = 1024 * 1024
"""An event that grows beyond this is no event."""


class EventSplitter:
    """Take bytes in and give whole events out; remembers the identifier of the last one."""

    def __init__(self) -> None:
        self.buffer = b''
        self.last_event_id: str | None = None
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are now whole."""
        self.buffer += data
        end = max(
            self.buffer.rfind(sep) + len(sep) if sep in self.buffer else 0 for sep in SEPARATORS
        )
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
