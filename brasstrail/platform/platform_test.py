"""Tests of the adapter: decoding, rejected input, and where its names are used."""

import pathlib
import re
import tomllib
import unittest

import orjson
from tornado import httputil

import brasstrail
from brasstrail.coordination import pool
from brasstrail.core import catalog, errors, servers
from brasstrail.platform import announcements, documents, headers
from brasstrail.protocol import codec, messages
from brasstrail.roles import columns

ROOT = pathlib.Path(brasstrail.__file__).parent
PLATFORM_NAMES = re.compile(
    "X-(Attempt-Id|Expected-Instance|Tenant-Id|Server-Signature|Server-Load|Kv-"
    "|Pin-Ms|Prefix-Hash|Token-Usage|Model-Id|Not-Executed|Length-Hint|Deadline-Ms)"
    "|path_prefix|uncached_tokens|kv_capacity|cold_remaining_ms|heartbeat_addr"
    "|itl_goal_ms|api_keys|max_attempts|v1.readyz|/v1/instances|/v1/configuration"
)


def make_document(**changes):
    """Return a valid document with some fields replaced."""
    document = {
        "version": 3,
        "routes": [
            {
                "name": "r",
                "host": "Some.example",
                "path_prefix": "/a/",
                "type": "streaming",
                "timeout_ms": 5000,
                "goal_ms": 1000,
                "priority": 0,
                "split": [{"service": "s", "weight": 9}, {"service": "t", "weight": 1}],
                "max_attempts": 2,
                "resumable": True,
                "itl_goal_ms": 400,
            }
        ],
        "services": [
            {"name": "s", "max_conns": 9, "runtime": {"slots": 4, "kv_capacity": 9}},
            {"name": "t", "max_conns": 9},
        ],
        "limits": {"max_header_bytes": 1, "idle_timeout_ms": 15000},
        "tenants": [
            {
                "name": "w",
                "api_keys": ["k"],
                "priority": 1,
                "unit": "token_count",
                "rate_per_s": 10,
                "burst": 20,
                "uncached_tokens": 5,
            }
        ],
    }
    document.update(changes)
    return document


def make_route(**changes):
    """Return the valid document's route with some fields replaced."""
    return {**make_document()["routes"][0], **changes}


INVALID_DOCUMENTS = {
    "truncated JSON": orjson.dumps(make_document())[:-5],
    "not an object": b"[]",
    "no version": orjson.dumps(make_document(version="3")),
    "a boolean as version": orjson.dumps(make_document(version=True)),
    "unknown service": orjson.dumps(
        make_document(routes=[make_route(split=[{"service": "x", "weight": 1}])])
    ),
    "same host and prefix": orjson.dumps(
        make_document(routes=[make_route(), make_route()])
    ),
    "same host in other case": orjson.dumps(
        make_document(routes=[make_route(), make_route(host="some.EXAMPLE")])
    ),
    "no weight": orjson.dumps(
        make_document(routes=[make_route(split=[{"service": "s", "weight": 0}])])
    ),
    "no time-out": orjson.dumps(make_document(routes=[make_route(timeout_ms=0)])),
    "shared key": orjson.dumps(
        make_document(
            tenants=[{"name": "w", "api_keys": ["k"]}, {"name": "v", "api_keys": ["k"]}]
        )
    ),
    "no routes": orjson.dumps(make_document(routes=None)),
    "no services": orjson.dumps(make_document(services=None)),
    "a version that is too large": orjson.dumps(make_document(version=2**63)),
    "routes are not a list": orjson.dumps(make_document(routes={"a": 1})),
    "a number that is too large": orjson.dumps(
        make_document(routes=[make_route(priority=1e300)])
    ),
    "a large number of slots": orjson.dumps(
        make_document(services=[{"name": "s", "runtime": {"slots": 1e300}}])
    ),
    "a route that is nested deeply": orjson.dumps(make_document()).replace(
        b'"name":"r"', b'"name":"r","more":' + b"[" * 500 + b"]" * 500
    ),
    "unknown type": orjson.dumps(make_document(routes=[make_route(type="x")])),
}


class DocumentTest(unittest.TestCase):
    """The configuration document of the operators."""

    def test_decodes_a_valid_document(self):
        decoded = documents.decode(orjson.dumps(make_document()))
        route = decoded.find_route("some.example", "/a/b")
        self.assertEqual((decoded.version, route.tier, route.max_servers), (3, 1, 2))
        self.assertTrue(route.is_repeatable)
        self.assertEqual(decoded.services_by_name["s"].engine.slots, 4)
        self.assertIsNone(decoded.services_by_name["t"].engine)
        access = decoded.workspaces_by_key["k"]
        self.assertEqual((access.workspace, access.tier), ("w", 2))
        self.assertIs(access.allotment.unit, catalog.AllotmentUnit.TOKENS)

    def test_rejects_invalid_documents_with_a_typed_error(self):
        for name, body in INVALID_DOCUMENTS.items():
            with self.subTest(name), self.assertRaises(errors.InvalidChange):
                documents.decode(body)

    def test_routes_by_longest_prefix_and_splits_by_weight(self):
        routes = [make_route(), make_route(name="long", path_prefix="/a/b/")]
        decoded = documents.decode(orjson.dumps(make_document(routes=routes)))
        self.assertEqual(decoded.find_route("some.example", "/a/b/c").name, "long")
        self.assertIsNone(decoded.find_route("some.example", "/ab"))
        route = decoded.find_route("some.example", "/a/")
        chosen = [catalog.choose_service(route, step / 100) for step in range(100)]
        self.assertEqual(chosen.count("t"), 10)


class AnnouncementTest(unittest.TestCase):
    """Valid announcements of servers, and malformed ones."""

    VALID = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "east",
        "slots": 4,
        "state": "draining",
        "sequence": 2,
        "born": 7,
        "cold_remaining_ms": 1.5,
        "version": "v1.2",
        "phase": "mixed",
    }

    def test_decodes_a_valid_announcement(self):
        found = announcements.decode("i", orjson.dumps(self.VALID))
        self.assertIs(found.phase, servers.ServerPhase.LEAVING)
        self.assertEqual(found.sort_key, (7, 2))
        self.assertEqual((found.version, found.software), ("v1.2", "v1.2"))

    def test_start_without_a_version_is_equal_to_itself_only(self):
        rest = {key: each for key, each in self.VALID.items() if key != "version"}
        found = announcements.decode("i", orjson.dumps(rest))
        other = announcements.decode("j", orjson.dumps(rest))
        self.assertEqual(found.version, "")
        self.assertNotEqual(found.software, other.software)

    def test_rejects_malformed_announcements(self):
        cases = [b"", b"\xff", b"[]", b"{}"]
        for name, value in (
            ("service", 3),
            ("address", "nowhere"),
            ("state", "asleep"),
            ("slots", "4"),
            ("sequence", 1.5),
            ("born", None),
            ("cold_remaining_ms", "x"),
            ("version", 1),
        ):
            cases.append(orjson.dumps({**self.VALID, name: value}))
        for name in ("service", "address", "state", "sequence", "born", "zone"):
            remaining = {key: value for key, value in self.VALID.items() if key != name}
            cases.append(orjson.dumps(remaining))
        for body in cases:
            with self.subTest(body), self.assertRaises(errors.BadRequest):
                announcements.decode("i", body)


class HeaderTest(unittest.TestCase):
    """The heads of requests and answers."""

    def make_call(self, **header_values):
        http_headers = httputil.HTTPHeaders()
        for name, value in header_values.items():
            http_headers[name.replace("_", "-")] = value
        start_line = httputil.RequestStartLine("POST", "/a/b?c=1", "HTTP/1.1")
        return headers.read_call(start_line, http_headers)

    def test_replaces_reserved_headers_of_the_caller(self):
        reserved = (
            "X-Tenant-Id",
            "X-Kv-Reservation",
            "X-Pin-Ms",
            "X-Kv-Backup",
            "Kv-From",
            "X-Expected-Instance",
            "X-Deadline-Ms",
        )
        call = self.make_call(**{name.replace("-", "_"): "1" for name in reserved})
        self.assertEqual(call.headers, ())
        sent = headers.server_headers(call, "i", "w", 500.7, "")
        self.assertEqual(sent["X-Expected-Instance"], "i")
        self.assertEqual(sent["X-Tenant-Id"], "w")
        self.assertEqual(sent["X-Deadline-Ms"], "500")

    def test_reads_the_api_key_and_does_not_forward_it(self):
        call = self.make_call(Authorization="Token secret", X_Model_Id="m")
        self.assertEqual(call.key, "secret")
        sent = headers.server_headers(call, "i", "w", 1, "")
        self.assertNotIn("Authorization", sent)
        self.assertEqual(sent["X-Model-Id"], "m")

    def test_no_server_is_shown_a_key_whatever_is_known_of_it(self):
        """Guards against a key that is passed on as its workspace is not known."""
        for value in (
            "Token secret",
            "token secret",
            "TOKEN   secret",
            "Token\tsecret",
            "Basic abc, Token secret",
        ):
            http_headers = httputil.HTTPHeaders()
            http_headers.add("Authorization", "Basic abc")
            http_headers.add("authorization", value)
            start_line = httputil.RequestStartLine("GET", "/a/", "HTTP/1.1")
            call = headers.read_call(start_line, http_headers)
            for workspace in (None, "w"):
                sent = headers.server_headers(call, "i", workspace, 1, "")
                self.assertNotIn("secret", str(list(sent.get_all())))

    def test_forwards_credentials_that_are_no_key_where_none_is_needed(self):
        call = self.make_call(Authorization="Basic abc")
        sent = headers.server_headers(call, "i", None, 1, "")
        self.assertEqual(sent["Authorization"], "Basic abc")
        self.assertNotIn("Authorization", headers.server_headers(call, "i", "w", 1, ""))

    def test_reserved_headers_with_underscores_are_not_forwarded(self):
        http_headers = httputil.HTTPHeaders()
        http_headers.add("X_Tenant_Id", "other")
        http_headers.add("X-Expected_Instance", "other")
        start_line = httputil.RequestStartLine("GET", "/a/", "HTTP/1.1")
        self.assertEqual(headers.read_call(start_line, http_headers).headers, ())

    def test_does_not_forward_hop_by_hop_headers(self):
        call = self.make_call(
            Connection="close, x-mine", X_Mine="1", TE="x", X_Other="2"
        )
        self.assertEqual(call.headers, (("X-Other", "2"),))

    def test_forwards_end_to_end_headers_listed_in_connection(self):
        call = self.make_call(
            Connection="x-attempt-id, x-token-usage", X_Attempt_Id="7"
        )
        self.assertIn(("X-Attempt-Id", "7"), call.headers)

    def test_reads_the_size_and_parts_of_a_prompt(self):
        call = self.make_call(
            X_Token_Usage="1460,80", X_Prefix_Hash="a:800,b:410", X_Length_Hint="50"
        )
        self.assertEqual(call.prompt.input_tokens, 1460)
        self.assertEqual(call.prompt.expected_output_tokens, 50)
        self.assertEqual([part.tokens for part in call.prompt.parts], [800, 410])

    def test_reads_which_stream_a_call_takes_up(self):
        call = self.make_call(Last_Event_Id="4", Resumes="9c41")
        self.assertEqual((call.resume_after, call.resumes), ("4", "9c41"))

    def test_odd_counts_are_read_or_left_out(self):
        """Guards against counts that end a request, or the state sent to gateways."""
        for odd in ("²", "9" * 5000, "1_0", "٣", "-1", "1e9"):
            call = self.make_call(
                X_Token_Usage=f"{odd},80", X_Prefix_Hash=f"a:{odd},b:{odd}"
            )
            tokens = call.prompt.input_tokens if call.prompt else 0
            self.assertIn(tokens, (0, headers.MAX_COUNT))
            start_line = httputil.ResponseStartLine("HTTP/1.1", 200, "x")
            answer = {"X-Server-Load": f"{odd},1,1", "Keep-Alive": f"timeout={odd}"}
            head = headers.read_answer(start_line, httputil.HTTPHeaders(answer))
            self.assertIn(head.keep_alive_timeout_s, (None, headers.MAX_COUNT))

    def test_malformed_load_reports_are_ignored_and_figures_bounded(self):
        """Guards against a server that gets all requests, or none, by an odd figure."""
        odd = (
            "",
            "1",
            "1,2",
            "1,2,3,",
            "1,2,3,0",
            "1,2,3,-5",
            "1,2,3,nan",
            "1,2,3,inf",
        )
        for value in (*odd, "1,2,3,1e9", "1,2,3,²", "1,2,3,4,5", "x,2,3,100"):
            self.assertIsNone(headers.parse_load_report(value), value)
        for value, factor in (
            ("1,2,3", None),
            ("1, 2, 3, 62.5", 0.625),
            ("1,2,3,1", headers.MIN_HOST_FACTOR),
            ("1,2,3," + "9" * 9, headers.MAX_HOST_FACTOR),
        ):
            self.assertEqual(headers.parse_load_report(value).host_factor, factor)

    def test_state_with_the_largest_requests_can_be_sent(self):
        call = self.make_call(X_Token_Usage="9" * 30 + "," + "9" * 30)
        share = pool.LoadShare(
            10**6, 10**6 * call.prompt.input_tokens, 10**6 * headers.MAX_COUNT
        )
        fields = columns.load_fields({"i": share}, as_columns=True)
        state = messages.GatewayState("g", 1, 1, spent=(), **fields)
        codec.encode_packed(codec.MESSAGE, state)

    def test_rejects_a_deadline_that_is_not_a_number(self):
        with self.assertRaises(errors.BadRequest):
            self.make_call(X_Deadline_Ms="soon")

    def test_recognizes_answers_to_requests_that_did_not_run(self):
        for status, http_headers, not_run in (
            (503, {"X-Not-Executed": "1"}, True),
            (503, {}, False),
            (421, {}, True),
            (500, {}, False),
        ):
            start_line = httputil.ResponseStartLine("HTTP/1.1", status, "x")
            head = headers.read_answer(start_line, httputil.HTTPHeaders(http_headers))
            self.assertEqual(head.is_not_run, not_run)


class BoundaryTest(unittest.TestCase):
    """The platform's names are used only in the adapter, its fakes and tests."""

    def test_platform_names_occur_only_in_the_adapter(self):
        found = []
        for path in ROOT.rglob("*.py"):
            if ROOT / "platform" in path.parents or path.name.endswith("_test.py"):
                continue
            if "fakes" in path.parts:
                continue
            for match in PLATFORM_NAMES.finditer(path.read_text()):
                found.append((str(path), match.group()))
        self.assertEqual(found, [])

    def test_requirements_file_matches_the_project_dependencies(self):
        project = tomllib.loads((ROOT.parent / "pyproject.toml").read_text())
        listed = [
            line
            for line in (ROOT.parent / "requirements.txt").read_text().splitlines()
            if line and not line.startswith("#")
        ]
        self.assertEqual(listed, project["project"]["dependencies"])


if __name__ == "__main__":
    unittest.main()
