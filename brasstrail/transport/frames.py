"""Frames: the unit of transmission on a connection between processes.

A frame consists of a length, a kind, a number and a payload. The length is the
number of bytes that follow it. `Decoder` splits received bytes into frames.
"""

import dataclasses
import enum
import struct

from brasstrail.core import errors

HEADER = struct.Struct("!IBQ")
HEADER_AFTER_LENGTH_BYTES = HEADER.size - 4
MAX_PAYLOAD_BYTES = 32 * 1024 * 1024


class Kind(enum.IntEnum):
    """The kinds of frames."""

    HANDSHAKE = 1
    DATA = 2
    ACK = 3
    PING = 4
    PONG = 5


KINDS_BY_VALUE = {int(kind): kind for kind in Kind}


@dataclasses.dataclass(frozen=True)
class Frame:
    """One frame; `number` depends on the kind.

    It is the number of a message (`DATA`), of the last message received (`ACK`), or
    of a ping (`PING` and `PONG`).
    """

    kind: Kind
    number: int
    payload: bytes = b""


def encode(frame):
    """Return the encoded bytes of a frame."""
    length = HEADER_AFTER_LENGTH_BYTES + len(frame.payload)
    return HEADER.pack(length, frame.kind, frame.number) + frame.payload


class Decoder:
    """Splits a stream of bytes into frames.

    Parameters
    ----------
    max_payload_bytes : frames with a larger payload raise `errors.BadRequest`.
    """

    def __init__(self, max_payload_bytes=MAX_PAYLOAD_BYTES):
        self.max_payload_bytes = max_payload_bytes
        self.buffer = bytearray()

    def feed(self, chunk):
        """Return the frames that `chunk` completes.

        Raises `errors.BadRequest` if the bytes are not frames. The connection
        cannot be used after that.
        """
        self.buffer += chunk
        frames = []
        offset = 0
        while len(self.buffer) - offset >= HEADER.size:
            length, kind, number = HEADER.unpack_from(self.buffer, offset)
            self.check_header(length, kind)
            end = offset + 4 + length
            if end > len(self.buffer):
                break
            payload = bytes(self.buffer[offset + HEADER.size : end])
            frames.append(Frame(KINDS_BY_VALUE[kind], number, payload))
            offset = end
        del self.buffer[:offset]
        return frames

    def check_header(self, length, kind):
        """Raise `errors.BadRequest` for an unknown kind or an invalid length."""
        payload_bytes = length - HEADER_AFTER_LENGTH_BYTES
        if kind in KINDS_BY_VALUE and 0 <= payload_bytes <= self.max_payload_bytes:
            return
        raise errors.BadRequest(
            "The bytes on this port are not frames of this protocol.",
            "Connect only processes of the same cluster to a peer port.",
        )
