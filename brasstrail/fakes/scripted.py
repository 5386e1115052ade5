"""A fake backend server with scripted responses on raw TCP connections.

Each request is answered by the next step of the script; the last step is repeated. The
question when the server started is answered without a step. A
step is a coroutine function of the request and the writer. All received requests are
recorded in `ScriptedServer.requests`.
"""

import asyncio
import dataclasses

from brasstrail.transport import sockets

REPORT_PATH = "/v1/report"


@dataclasses.dataclass(frozen=True)
class Request:
    """A received request.

    Header names are in lower case. `connection` is the number of its connection,
    from 1.
    """

    request_line: str
    headers: dict
    body: bytes
    connection: int


class ScriptedServer:
    """A server on a free port of the loopback interface.

    Parameters
    ----------
    steps : the steps of the script, in order.

    Attributes
    ----------
    born_ms : when the server says that it started.
    peer_closed_count : number of connections that ended by a `ConnectionError`, as when
        the peer closes during a step.
    """

    def __init__(self, *steps):
        self.steps = list(steps)
        self.born_ms = 1
        self.requests = []
        self.connection_count = 0
        self.peer_closed_count = 0
        self.server = None
        self.address = ""

    async def start(self):
        """Start to listen."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def report(self):
        """Return the answer that states when the server started."""
        body = b'{"born": %d}' % self.born_ms
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        return head + body

    def close(self):
        """Stop listening; open connections stay open."""
        self.server.close()

    async def serve(self, reader, writer):
        """Answer all requests of one connection."""
        self.connection_count += 1
        number = self.connection_count
        try:
            while True:
                request = await read_request(reader, number)
                if request is None:
                    return
                if request.request_line.startswith(f"GET {REPORT_PATH} "):
                    writer.write(self.report())
                    continue
                self.requests.append(request)
                step = self.steps.pop(0) if len(self.steps) > 1 else self.steps[0]
                await self.answer(step, request, reader, writer)
                if writer.is_closing():
                    return
        except ConnectionError:
            self.peer_closed_count += 1
        except asyncio.CancelledError:
            # The event loop closes at the end of a test while the connection is open.
            return
        finally:
            writer.close()

    async def answer(self, step, request, reader, writer):
        """Run a step; raise `ConnectionError` if the peer closes before it ends."""
        task = asyncio.ensure_future(step(request, writer))
        peer_close_task = asyncio.ensure_future(wait_for_peer_close(reader))
        await asyncio.wait((task, peer_close_task), return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            task.cancel()
            raise ConnectionError("The peer closed the connection during a step.")
        peer_close_task.cancel()
        await task


async def wait_for_peer_close(reader):
    """Wait until the peer has closed its side, without reading any data.

    `at_eof` is false while unread data is buffered, so `_eof` is tested as well.
    """
    while not reader.at_eof() and not reader._eof:
        await asyncio.sleep(0.005)


async def read_request(reader, connection):
    """Return the next request, or None if the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rest = head.decode("latin1").split("\r\n")
    headers = {}
    for item in rest:
        name, _, value = item.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(line, headers, body, connection)


def response_head(request, status, extra_headers):
    """Return a response head with the attempt id of a request.

    Headers with an empty value are left out.
    """
    lines = [f"HTTP/1.1 {status} Some"]
    extra_headers = {
        "X-Attempt-Id": request.headers.get("x-attempt-id", ""),
        **extra_headers,
    }
    lines.extend(f"{name}: {value}" for name, value in extra_headers.items() if value)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def reply(status=200, body=b"whole", signed=True, after=b"", **headers):
    """Return a step that sends a complete response, then the bytes in `after`.

    Underscores in the names of `headers` become hyphens.
    """

    async def step(request, writer):
        response_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        response_headers["Content-Length"] = str(len(body))
        if signed:
            response_headers["X-Server-Signature"] = "s"
        writer.write(response_head(request, status, response_headers) + body + after)
        await writer.drain()

    return step


def send_and_close(sent=b""):
    """Return a step that sends some bytes and closes the connection."""

    async def step(request, writer):
        writer.write(sent)
        await writer.drain()
        writer.close()

    return step


def cut_heads(content_type="text/plain"):
    """Return pieces of an answer that end within its head, with or without a body.

    The answer's length comes last, so that some have all other headers.
    """
    head = (
        b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: 42\r\n"
        b"Content-Type: %s\r\nContent-Length: 800\r\n\r\n" % content_type.encode()
    )
    ends = [index + 2 for index in range(len(head)) if head[index:].startswith(b"\r\n")]
    inside = [1, 9, 13, 20, len(head) - 10, len(head) - 3, len(head) - 1]
    return tuple(head[:end] for end in sorted({*ends[:-1], *inside}))


def reply_without_length(body, is_reset):
    """Return a step whose response has no length and ends when the connection closes.

    With `is_reset` the connection is closed by a TCP reset.
    """

    async def step(request, writer):
        writer.write(response_head(request, 200, {"X-Server-Signature": "s"}) + body)
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            sockets.reset(writer)
        writer.close()

    return step


def stream(events, is_complete=True, pause_s=0.0, partial_event=b""):
    """Return a step that sends an event stream in chunked encoding.

    If `is_complete` is false, the connection closes without the final chunk.
    """

    async def step(request, writer):
        response_headers = {
            "X-Server-Signature": "s",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(response_head(request, 200, response_headers))
        for event in (*events, partial_event):
            if event:
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(pause_s)
        if is_complete:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()

    return step


def framed(body, framing, ending="end", cut_at=None, status=200, **options):
    """Return a step that sends an answer with a given framing.

    Parameters
    ----------
    framing : "length", "chunks" or "connection".
    ending : "end", "reset" or "silent": what follows after the bytes that are sent.
    cut_at : the number of bytes of the body that are sent; all of them if it is None.
        Only an answer that is sent whole is ended according to its framing.
    options : `head_sent`, whether the head is sent; `content_type`; `pause_at` and
        `may_go_on`, the number of bytes after which the step waits for an event;
        `linger_s`, the time from the last bytes to the end.
    """
    is_whole = cut_at is None
    sent = body if is_whole else body[:cut_at]
    pause_at = options.get("pause_at", 0)
    encode, last = {
        "length": (lambda part: part, b""),
        "chunks": (lambda part: b"%x\r\n%s\r\n" % (len(part), part), b"0\r\n\r\n"),
        "connection": (lambda part: part, b""),
    }[framing]

    async def step(request, writer):
        response_headers = {
            "X-Server-Signature": "s",
            "Content-Type": options.get("content_type", "text/event-stream"),
            "Content-Length": str(len(body)) if framing == "length" else "",
            "Transfer-Encoding": "chunked" if framing == "chunks" else "",
        }
        if options.get("head_sent", True):
            writer.write(response_head(request, status, response_headers))
        if pause_at:
            writer.write(encode(sent[:pause_at]))
            await options["may_go_on"].wait()
        if sent[pause_at:]:
            writer.write(encode(sent[pause_at:]))
        if is_whole:
            writer.write(last)
        await writer.drain()
        await asyncio.sleep(options.get("linger_s", 0.0))
        if ending == "silent":
            await asyncio.sleep(60)
        if ending == "reset":
            sockets.reset(writer)
        elif not is_whole or framing == "connection":
            writer.close()

    return step


async def never_answer(request, writer):
    """A step that never answers."""
    await asyncio.sleep(60)
