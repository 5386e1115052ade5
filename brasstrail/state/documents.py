"""The operators' document: replaced as a whole, the highest version wins.

A version that is not higher than the one held is acknowledged and changes
nothing, whatever its content, so that a change may be sent again at any time.
Documents are kept as operators sent them, compressed.
"""

import zlib

from brasstrail.core import errors
from brasstrail.protocol import commands

COMPRESSION_LEVEL = 6
MAX_DOCUMENT_BYTES = 32 * 1024 * 1024


class LatestDocument:
    """The document of the highest version.

    Parameters
    ----------
    version : the version held; 0 where there is none.
    packed : the document, compressed.
    """

    def __init__(self, version=0, packed=b""):
        self.version = version
        self.packed = packed

    def replace(self, command):
        """Take a document if its version is higher than the one held."""
        if command.version <= self.version:
            return commands.Plain(False)
        self.version = command.version
        self.packed = command.packed
        return commands.Plain(True)


def pack(body):
    """Return a document in the form in which it is kept."""
    return zlib.compress(body, COMPRESSION_LEVEL)


def unpack(packed):
    """Return a document as the operator sent it.

    Raises `errors.BadRequest` where it is damaged or larger than any document.
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
