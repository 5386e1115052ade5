"""Tests of answers to earlier requests that a server writes once more.

Guards against a refusal that counts for a request that it does not name, and against an
answer that reaches another caller.
"""

import asyncio
import unittest

from brasstrail.fakes import scripted
from brasstrail.roles import gateway_test

NOT_RUN_STATUSES = (400, 408, 421, 429, 503)
ANSWER = b"an answer"


def head(status, identity="", more=()):
    """Return the head of an answer with or without an attempt id."""
    lines = [f"HTTP/1.1 {status} Some", *more]
    if identity:
        lines.append(f"X-Attempt-Id: {identity}")
    return "\r\n".join([*lines, "", ""]).encode()


def refusal(status, identity=""):
    """Return a whole refusal of a request that has not run."""
    return head(status, identity, ("X-Not-Executed: 1", "Content-Length: 0"))


def whole_answer(identity=""):
    """Return a whole signed answer."""
    more = ("X-Server-Signature: s", f"Content-Length: {len(ANSWER)}")
    return head(200, identity, more) + ANSWER


def run_after(copy, delay_s=0.0):
    """Return a step that writes a copy of another answer and then its own.

    The server runs the request meanwhile.
    """

    async def step(request, writer):
        writer.write(copy)
        await writer.drain()
        await asyncio.sleep(0.05)
        await scripted.reply()(request, writer)

    return step


class EarlierAnswerCase(gateway_test.GatewayCase):
    """A gateway whose first server answers one request before, on a kept connection."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gateway.lease.started_ms -= 60_000

    async def serve_kept(self, step):
        """Start two servers; the gateway keeps a connection to the first one."""
        first, second = await self.serve([scripted.reply(), step], [scripted.reply()])
        status, *_ = await self.call("unsafe", identity="41")
        self.assertEqual(status, 200)
        return first, second

    def write_request(self, writer, route, **options):
        self.gateway.budget.retries.clear()
        super().write_request(writer, route, **options)


class EarlierRefusalTest(EarlierAnswerCase):
    """A refusal before the answer that the server is working on."""

    async def test_refusal_without_an_id_proves_nothing(self):
        """Guards against a request that runs twice, or is called not run."""
        for status in NOT_RUN_STATUSES:
            with self.subTest(status):
                first, second = await self.serve_kept(run_after(refusal(status)))
                answer, *_ = await self.call("unsafe")
                self.assertNotIn(answer, NOT_RUN_STATUSES)
                self.assertEqual([each.connection for each in first.requests], [1, 1])
                self.assertEqual(second.requests, [])
                self.remove_servers()

    async def test_refusal_without_an_id_on_a_new_connection_proves_nothing(self):
        for status in NOT_RUN_STATUSES:
            with self.subTest(status):
                _, second = await self.serve(
                    [run_after(refusal(status))], [scripted.reply()]
                )
                answer, *_ = await self.call("unsafe")
                self.assertNotIn(answer, NOT_RUN_STATUSES)
                self.assertEqual(second.requests, [])
                self.remove_servers()

    async def test_refusal_with_an_earlier_id_proves_nothing(self):
        for status in NOT_RUN_STATUSES:
            with self.subTest(status):
                copy = refusal(status, "41")
                first, second = await self.serve_kept(run_after(copy))
                answer, *_ = await self.call("unsafe")
                self.assertNotIn(answer, NOT_RUN_STATUSES)
                self.assertEqual(second.requests, [])
                self.remove_servers()

    async def test_refusal_that_names_the_request_allows_another_server(self):
        for status in NOT_RUN_STATUSES:
            with self.subTest(status):
                step = scripted.reply(status, X_Not_Executed="1")
                _, second = await self.serve_kept(step)
                answer, *_ = await self.call("unsafe")
                self.assertEqual(answer, 200)
                self.assertEqual(len(second.requests), 1)
                self.remove_servers()

    async def test_request_that_may_run_twice_is_sent_to_another_server(self):
        _, second = await self.serve_kept(run_after(refusal(503)))
        answer, *_ = await self.call("safe")
        self.assertEqual(answer, 200)
        self.assertEqual(len(second.requests), 1)

    async def test_last_refusal_does_not_call_such_a_request_not_run(self):
        """Guards against a 503 of the gateway's own for a request that is running."""
        await self.serve([run_after(refusal(503))], [run_after(refusal(503))])
        answer, *_ = await self.call("safe")
        self.assertEqual(answer, 502)

    async def test_refusal_says_nothing_of_a_request_without_an_id(self):
        """A request that its caller has not named gets a connection of its own."""
        first, second = await self.serve([scripted.reply()], [scripted.reply()])
        for _ in range(2):
            status, *_ = await self.call("unsafe", identity="")
            self.assertEqual(status, 200)
        self.assertEqual([each.connection for each in first.requests], [1, 2])


class EarlierSuccessTest(EarlierAnswerCase):
    """A second copy of an answer, on a connection that is in use again."""

    async def test_copy_does_not_reach_another_caller(self):
        for identity in ("", "41"):
            for route in ("safe", "unsafe"):
                with self.subTest(route, identity=identity):
                    copy = run_after(whole_answer(identity))
                    await self.serve_kept(copy)
                    _, _, body = await self.call(route)
                    self.assertNotEqual(body, ANSWER)
                    self.remove_servers()

    async def test_copy_of_a_failure_does_not_reach_another_caller(self):
        for identity in ("", "41"):
            with self.subTest(identity=identity):
                copy = whole_answer(identity).replace(b" 200 ", b" 500 ")
                await self.serve_kept(run_after(copy))
                _, _, body = await self.call("unsafe")
                self.assertNotEqual(body, ANSWER)
                self.remove_servers()


if __name__ == "__main__":
    unittest.main()
