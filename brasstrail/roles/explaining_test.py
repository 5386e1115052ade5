"""Tests of questions where a request would go, at a real gateway with two servers."""

import asyncio
import contextlib
import dataclasses
import pickle
import unittest

import orjson
from click import testing
from tornado import httpclient

from brasstrail.coordination import zones
from brasstrail.core import errors
from brasstrail.fakes import scripted
from brasstrail.roles import daemon, explaining, gateway_test
from brasstrail.settings import settings
from brasstrail.tools import cli

QUESTION = {"host": "h", "path": "/safe/x", "key": "k", "input_tokens": 100}
LIMIT = {"rate_per_s": 1.0, "burst": 20.0}
LIMITED_DOCUMENT = {
    **gateway_test.DOCUMENT,
    "version": 2,
    "tenants": [{"name": "w", "api_keys": ["k"], **LIMIT}],
}


class MetricsPort(daemon.Daemon):
    """The metrics port of a daemon without the rest of it."""

    def __init__(self, role, listening):
        self.settings = listening
        self.gateway = role
        self.hub = role.hub
        self.metrics = role.metrics
        self.stack = contextlib.ExitStack()


class ExplainTest(gateway_test.GatewayCase):
    """The answers agree with what the gateway does, and change nothing."""

    def ask(self, **changes):
        question = explaining.read_question(orjson.dumps({**QUESTION, **changes}))
        return explaining.explain(self.gateway, question)

    def state(self):
        """Return all state that a decision may change, as bytes to compare."""
        gateway = self.gateway
        parts = (gateway.pool, gateway.allotments, gateway.budget)
        counters = sorted(gateway.metrics.counters.items())
        return pickle.dumps([[vars(each) for each in parts], counters, self.lines])

    async def test_answer_names_the_server_and_nothing_is_sent(self):
        """Guards against a question that is charged, counted or sent."""
        servers = await self.serve([scripted.reply()], [])
        self.gateway.pool.zones = zones.Zones(
            self.settings.node, {}, settings.LinkCost(0.2, 1.0)
        )
        # The first question fills cached properties of the servers.
        self.ask()
        before = self.state()
        answer = self.ask()
        self.assertEqual(self.state(), before)
        self.assertEqual(self.gateway.pool.waiting, {})
        self.assertEqual((answer["route"], answer["workspace"]["name"]), ("safe", "w"))
        (service,) = answer["services"]
        self.assertEqual((service["decision"], service["server"]), ("send", "i0"))
        self.assertEqual(
            [row["distance"] for row in service["servers"]],
            ["data_centre", "other_region"],
        )
        status, _, _ = await self.call("safe")
        self.assertEqual(status, 200)
        self.assertEqual(self.last_request_line()["servers"], "i0")
        self.assertEqual(len(servers[1].requests), 0)

    async def test_refusals_have_status_reason_and_retry_after(self):
        for changes, status, reason in (
            ({"path": "/nowhere/"}, 404, "no_route"),
            ({"key": "other"}, 401, "unknown_key"),
        ):
            refusal = self.ask(**changes)["refusal"]
            self.assertEqual((refusal["status"], refusal["reason"]), (status, reason))
        self.gateway.lease.started_ms = -(10**9)
        (service,) = self.ask(key="", workspace="w")["services"]
        self.assertEqual(service["decision"], "refuse")
        self.assertEqual(service["refusal"]["status"], 503)
        self.assertGreater(service["refusal"]["retry_after_s"], 0)

    async def test_bad_questions_get_typed_errors(self):
        """Guards against unbounded input at the metrics port."""
        cases = (
            (b"{", errors.BadRequest),
            (b"[]", errors.BadRequest),
            (b'{"host": "h"}', errors.BadRequest),
            (orjson.dumps({**QUESTION, "input_tokens": -1}), errors.BadRequest),
            (orjson.dumps({**QUESTION, "other": 1}), errors.BadRequest),
            (orjson.dumps({**QUESTION, "path": "x" * 5000}), errors.BadRequest),
            (b" " * 20_000, errors.TooLarge),
        )
        for body, kind in cases:
            with self.subTest(body=body[:40]), self.assertRaises(kind):
                explaining.read_question(body)
        with self.assertRaises(errors.UnknownWorkspace):
            self.ask(key="", workspace="nobody")

    async def test_allotment_is_shown_and_not_charged(self):
        """Guards against questions that use up what callers may send."""
        self.put_document(LIMITED_DOCUMENT)
        allotments = self.gateway.allotments
        allotments.buckets["w"].level = 5.0
        allotments.trial_since_ms = None
        self.ask()
        before = self.state()
        standings = [self.ask()["workspace"] for _ in range(20)]
        self.assertEqual(self.state(), before)
        self.assertTrue(all(5.0 <= each["left"] < 6.0 for each in standings))
        allotments.buckets["w"].level = 0.0
        refusal = self.ask()["refusal"]
        self.assertEqual((refusal["status"], refusal["reason"]), (429, "allotment"))
        self.assertGreater(refusal["retry_after_s"], 0)

    async def test_command_asks_the_metrics_port(self):
        await self.serve([])
        port = gateway_test.PORTS.allocate()
        listening = dataclasses.replace(
            self.settings, metrics=settings.MetricsPage(port)
        )
        served = MetricsPort(self.gateway, listening)
        self.addCleanup(served.stack.close)
        served.serve_metrics()
        url = f"http://127.0.0.1:{port}"
        arguments = ["explain", "--gateway", url, "--host", "h", "--path", "/safe/x"]
        for options, expected in (
            (["--key", "k"], "decision     send"),
            (["--workspace", "nobody"], "unknown_workspace"),
            (["--key", "k", "--input-tokens", "-5"], "bad_request"),
            ([], "401 unknown_key"),
        ):
            with self.subTest(options=options):
                result = await asyncio.to_thread(
                    testing.CliRunner().invoke, cli.main, arguments + options
                )
                self.assertIn(expected, result.output)
        fetch = httpclient.AsyncHTTPClient().fetch
        for path, status in (("metrics", 200), ("explain", 400), ("other", 404)):
            reply = await fetch(f"{url}/{path}", raise_error=False)
            self.assertEqual(reply.code, status)
        result = testing.CliRunner().invoke(cli.main, ["explain", "--gateway", url])
        self.assertEqual(result.exit_code, 2)


if __name__ == "__main__":
    unittest.main()
