"""Answers of unknown length to callers, whose end depends on their version of HTTP.

A caller of HTTP/1.1 receives such an answer in chunks, and knows by the last chunk that
it is complete. For a caller of HTTP/1.0 the answer ends with its connection.
"""

from brasstrail.transport import sockets


def is_chunked(connection):
    """Return whether answers of unknown length are sent in chunks on a connection."""
    # The connection has no public attribute that holds its request's start line.
    return connection._request_start_line.version == "HTTP/1.1"


def begin_answer(connection):
    """Prepare a connection for an answer of unknown length."""
    if not is_chunked(connection):
        # Makes Tornado close the connection once the answer is written.
        connection._disconnect_on_finish = True


def cut_answer(connection):
    """Close a connection within an answer of unknown length that has begun.

    Only a reset tells a caller of HTTP/1.0 that the answer is incomplete.
    """
    stream = connection.stream
    if stream is None or stream.closed():
        return
    if not is_chunked(connection):
        sockets.reset_on_close(stream.socket)
    connection.close()
