"""Decoding of bodies in chunks, many chunks at a time.

Tornado reads each chunk on its own, so that a body in tiny chunks would occupy the
event loop for seconds.
"""

import re

from tornado import httputil

MAX_SIZE_LINE_BYTES = 64
SIZE_LINE = re.compile(rb"[0-9a-fA-F]+")


class ChunkDecoder:
    """Decodes a body in chunks, without extensions and trailers.

    Attributes
    ----------
    is_done : whether the last chunk was decoded.
    rest : the bytes that are not decoded yet; at the end, those that follow the body.
    left : how many bytes of the present chunk are missing, with its line end.
    chunks : how many chunks were begun.
    """

    def __init__(self):
        self.is_done = False
        self.rest = b""
        self.left = 0
        self.chunks = 0

    def feed(self, received):
        """Return the content in some received bytes.

        Raises `httputil.HTTPInputError` if the bytes are no chunks.

        >>> decoder = ChunkDecoder()
        >>> decoder.feed(b"3\\r\\nab"), decoder.feed(b"c\\r\\n0\\r\\n\\r\\nnext")
        (b'ab', b'c')
        >>> decoder.is_done, decoder.rest
        (True, b'next')
        """
        data, at, parts = self.rest + received, 0, []
        while not self.is_done:
            if self.left:
                content = data[at : at + self.left - 2] if self.left > 2 else b""
                parts.append(content)
                at += len(content)
                self.left -= len(content)
                if self.left > 2 or len(data) - at < 2:
                    break
                check_line_end(data[at : at + 2])
                at, self.left = at + 2, 0
            end = data.find(b"\r\n", at, at + MAX_SIZE_LINE_BYTES)
            if end < 0:
                if len(data) - at >= MAX_SIZE_LINE_BYTES:
                    raise httputil.HTTPInputError("invalid chunk size")
                break
            line = data[at:end]
            if SIZE_LINE.fullmatch(line) is None:
                raise httputil.HTTPInputError("invalid chunk size")
            self.left = int(line, 16) + 2
            if self.left == 2:
                if len(data) - end < 4:
                    self.left = 0
                    break
                check_line_end(data[end + 2 : end + 4])
                self.is_done = True
                end += 2
            else:
                self.chunks += 1
            at = end + 2
        self.rest = data[at:]
        return b"".join(parts)


def check_line_end(received):
    """Raise `httputil.HTTPInputError` unless these two bytes end a line."""
    if received != b"\r\n":
        raise httputil.HTTPInputError("improperly terminated chunk")
