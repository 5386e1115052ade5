"""Tests of how an agent judges the end of a plain service's answer."""

import asyncio
import types
import unittest

from brasstrail.core import data
from brasstrail.fakes import scripted
from brasstrail.protocol import commands, messages
from brasstrail.roles import daemon, plainrun
from brasstrail.settings import settings

FRAMINGS = ("length", "chunks", "connection")
STREAM = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
INSIDE_LAST_EVENT = len(STREAM) - 4


class Agent:
    """What a run needs of its agent; records messages and commands."""

    def __init__(self, address):
        self.client = plainrun.runs.backend.make_client()
        self.server = types.SimpleNamespace(url=f"http://{address}")
        self.settings = settings.AgentRole("s", "plain")
        self.hub = types.SimpleNamespace(
            loop=asyncio.get_running_loop(), name="a", spawn=lambda coroutine: None
        )
        self.attachment = self
        self.sent = []
        self.commands = []

    def send(self, message):
        """Record a message to the entry."""
        self.sent.append(message)

    async def propose(self, command, timeout_s):
        """Record a command."""
        self.commands.append(command)

    def mark_down(self):
        """Do nothing."""

    def handle_run_end(self, run, fault):
        """Do nothing."""


class AnswerEndTest(unittest.IsolatedAsyncioTestCase):
    """Answers of each framing that are whole, cut short or reset."""

    async def run_request(self, step, key=""):
        """Run a request at a server with one step; return the `Agent`."""
        daemon.configure_http()
        server = scripted.ScriptedServer(step)
        await server.start()
        self.addCleanup(server.close)
        agent = Agent(server.address)
        work = data.Work("r", "s", "c", "w", 1, 0, 0, 0)
        start = messages.Start(
            "d", 1, work, 0, "POST", "/x", (), b"", 10**6, key, "", "f"
        )
        await plainrun.PlainRun(agent, agent, start).run()
        return agent

    async def test_stream_that_ends_inside_an_event_is_a_fault(self):
        """Guards against a broken stream that an entry passes on as complete."""
        for framing in FRAMINGS:
            with self.subTest(framing):
                agent = await self.run_request(
                    scripted.framed(STREAM, framing, cut_at=INSIDE_LAST_EVENT)
                )
                self.assertIsInstance(agent.sent[-1], messages.Fault)
                self.assertIsInstance(agent.commands[-1], commands.Suspect)

    async def test_keyed_stream_that_ends_inside_an_event_is_in_doubt(self):
        for framing in FRAMINGS:
            with self.subTest(framing):
                step = scripted.framed(STREAM, framing, cut_at=INSIDE_LAST_EVENT)
                agent = await self.run_request(step, "key")
                self.assertIsInstance(agent.sent[-1], messages.Fault)
                self.assertIsInstance(agent.commands[0], commands.Doubt)

    async def test_reset_answer_is_a_fault(self):
        for framing in FRAMINGS:
            for content_type in ("text/plain", "text/event-stream"):
                with self.subTest(framing=framing, content_type=content_type):
                    step = scripted.framed(
                        STREAM, framing, "reset", 20, content_type=content_type
                    )
                    agent = await self.run_request(step)
                    self.assertIsInstance(agent.sent[-1], messages.Fault)

    async def test_answer_that_ends_within_its_head_is_a_fault(self):
        """Guards against an answer that is passed on as complete and empty."""
        for content_type in ("text/plain", "text/event-stream"):
            for sent in scripted.cut_heads(content_type):
                for key in ("", "key"):
                    with self.subTest(sent[-24:], key=key):
                        step = scripted.send_and_close(sent)
                        agent = await self.run_request(step, key)
                        self.assertIsInstance(agent.sent[-1], messages.Fault)
                        kinds = [type(each) for each in agent.sent]
                        self.assertNotIn(messages.Head, kinds)

    async def test_unreadable_head_is_a_fault(self):
        for line in (b"HTTP/1.1", b"HTTP/1.1 x", b"HTTP/1.1 99999999999 OK"):
            with self.subTest(line):
                step = scripted.send_and_close(line + b"\r\nA: b\r\n\r\n")
                agent = await self.run_request(step)
                self.assertIsInstance(agent.sent[-1], messages.Fault)

    async def test_whole_answer_is_passed_on(self):
        for framing in FRAMINGS:
            for content_type in ("text/plain", "text/event-stream"):
                for key in ("", "key"):
                    step = scripted.framed(STREAM, framing, content_type=content_type)
                    agent = await self.run_request(step, key)
                    self.assertIsInstance(agent.sent[-1], messages.Done)
                    parts = [
                        each.payload
                        for each in agent.sent
                        if isinstance(each, messages.Part)
                    ]
                    self.assertEqual(b"".join(parts), STREAM)


if __name__ == "__main__":
    unittest.main()
