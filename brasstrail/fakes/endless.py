"""Answers of a fake backend server that never end, until the caller closes."""

import asyncio
import random

from brasstrail.fakes import scripted

SIGNED = b"X-Server-Signature: s\r\n"
STREAM = SIGNED + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
PART_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
EVENT_END = b"\n\n"


def make_chunk(part):
    """Return a part of a body as a chunk."""
    return b"%x\r\n%s\r\n" % (len(part), part)


# What is sent once, and what is sent again and again, by name. Each begins with a
# status line, or with a part of one.
ANSWERS = {
    "head without a line end": (b"HTTP/1.1 200 O", b"k"),
    "head of one line": (b"HTTP/1.1 200 OK\r\nX: ", b"x"),
    "head of many lines": (b"HTTP/1.1 200 OK\r\n", b"X: x\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 Early\r\n\r\n"),
    "chunk size": (b"HTTP/1.1 200 OK\r\n" + STREAM + CHUNKED + b"\r\n", b"1"),
    "body without a length": (b"HTTP/1.1 200 OK\r\n" + SIGNED + b"\r\n", b"x"),
    "event": (b"HTTP/1.1 200 OK\r\n" + STREAM + b"\r\nid: 1\ndata: ", b"x"),
    "event in chunks": (
        b"HTTP/1.1 200 OK\r\n" + STREAM + CHUNKED + b"\r\n",
        make_chunk(b"data: x\n"),
    ),
    "event after others": (
        b"HTTP/1.1 200 OK\r\n" + STREAM + b"\r\nid: 1\ndata: x\n\nid: 2\ndata: ",
        b"x",
    ),
    "comments": (b"HTTP/1.1 200 OK\r\n" + STREAM + b"\r\n", b": x\n"),
    "blocks of comments": (b"HTTP/1.1 200 OK\r\n" + STREAM + b"\r\n", b": x\n\n"),
    "body of a failure": (b"HTTP/1.1 500 No\r\n" + SIGNED + b"\r\n", b"x"),
}


class EndlessAnswer:
    """A step of a `scripted.ScriptedServer` whose answer never ends.

    Parameters
    ----------
    name : one of `ANSWERS`.
    pause_s : the time after each repetition; without a pause the repetitions are sent
        as fast as the caller takes them.

    Attributes
    ----------
    sent_bytes : how many bytes the operating system has taken.
    """

    def __init__(self, name, pause_s=0.0):
        self.first, self.repeated = ANSWERS[name]
        self.pause_s = pause_s
        self.sent_bytes = 0

    async def __call__(self, request, writer):
        """Send the answer until the caller closes the connection."""
        writer.write(self.first)
        part = self.repeated
        if not self.pause_s:
            part *= PART_BYTES // len(part)
        while not writer.is_closing():
            writer.write(part)
            await writer.drain()
            self.sent_bytes += len(part)
            await asyncio.sleep(self.pause_s)
        raise ConnectionError("The caller has closed the connection.")


def draw_answer(is_stream):
    """Return what is sent once and again and again, for a drawn kind of answer.

    Those with a whole event are left out: the next server would go on after it.
    """
    names = [
        name
        for name, (first, _) in ANSWERS.items()
        if (is_stream == (STREAM in first) or SIGNED not in first)
        and EVENT_END not in first.partition(HEAD_END)[2]
    ]
    return ANSWERS[random.choice(names)]


def serve(name, pause_s=0.0):
    """Return a server with one endless answer, and the answer."""
    answer = EndlessAnswer(name, pause_s)
    return scripted.ScriptedServer(answer), answer
