"""Frame what a forwarding box sends, so that a complete stream differs from a truncated one.

The kernel ends the connections of a process that is killed as if it had closed them. A response
without a length ends with its connection, so the end of a forwarded one must be stated.
"""

from __future__ import annotations

from typing import NamedTuple

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1024 * 1024

END_OF_STREAM = b'\x00\x00\x00\x00'
"""States that the replica closed its connection after the bytes sent so far."""

NO_REUSE = b'\xff\xff\xff\xff'
"""Asks for no further request on this connection, because the forwarding box leaves."""


class BadFrame(ValueError):
    """Report a frame that is longer than allowed."""


def encode_frame(payload: bytes) -> bytes:
    """Return a non-empty payload with its length in front."""
    return len(payload).to_bytes(LENGTH_BYTES, 'big') + payload


class Frame(NamedTuple):
    """Hold a payload, or a marker without one."""

    payload: bytes
    is_end: bool = False
    forbids_reuse: bool = False


MARKERS = {
    END_OF_STREAM: Frame(b'', is_end=True),
    NO_REUSE: Frame(b'', forbids_reuse=True),
}


class FrameDecoder:
    """Split received bytes into payloads and markers."""

    def __init__(self) -> None:
        self.buffer = b''

    def feed(self, data: bytes) -> list[Frame]:
        """Return the complete frames received so far; raise `BadFrame`."""
        data = self.buffer + data
        found: list[Frame] = []
        start = 0
        while len(data) - start >= LENGTH_BYTES:
            prefix = data[start : start + LENGTH_BYTES]
            if prefix in MARKERS:
                found.append(MARKERS[prefix])
                start += LENGTH_BYTES
                continue
            length = int.from_bytes(prefix, 'big')
            if length > MAX_FRAME_BYTES:
                raise BadFrame(f'a frame of {length} bytes; at most {MAX_FRAME_BYTES} are allowed')
            end = start + LENGTH_BYTES + length
            if len(data) < end:
                break
            found.append(Frame(data[start + LENGTH_BYTES : end]))
            start = end
        self.buffer = data[start:]
        return found
