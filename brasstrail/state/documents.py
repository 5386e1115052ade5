"""The operators' document, which is replaced as a whole by a higher version.

Its decoded form is `catalog.Catalog`; this module does not read the content. A
document whose version is not higher than the stored one is acknowledged and
changes nothing, whatever its content, so that operators can safely resend a
document at any time. Documents are stored as operators sent them, compressed.
"""

import zlib

from brasstrail.core import errors
from brasstrail.protocol import commands

COMPRESSION_LEVEL = 6
MAX_DOCUMENT_BYTES = 32 * 1024 * 1024


class LatestDocument:
    """The document with the highest version received.

    Parameters
    ----------
    version : the version of the stored document; 0 if there is none.
    packed : the compressed document.
    """

    def __init__(self, version=0, packed=b""):
        self.version = version
        self.packed = packed

    def replace(self, command):
        """Store a document if its version is higher than the stored one."""
        if command.version <= self.version:
            return commands.Plain(False)
        self.version = command.version
        self.packed = command.packed
        return commands.Plain(True)


def pack(body):
    """Return a document in its stored form, compressed."""
    return zlib.compress(body, COMPRESSION_LEVEL)


def unpack(packed):
    """Return a compressed document as the operator sent it.

    Raises `errors.BadRequest` if it is damaged, truncated or decompresses to more
    than `MAX_DOCUMENT_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise errors.BadRequest(
            f"A document cannot be read: {error}.",
            "Run the same version on every host.",
        ) from error
    if not decompressor.eof:
        raise errors.BadRequest(
            "A document is cut short or too large.",
            "Send a smaller document.",
        )
    return body
