"""Tests of the soak's checks: each reports its own violation and no other."""

import unittest

from brasstrail.fakes import fleetcalls
from brasstrail.tools import soakcheck

GATEWAY = "g0"
SERVER = "i-900-1"


def make_reply(identity="1", route="look", **changes):
    """Return a complete, successful reply, with attributes set from `changes`."""
    reply = fleetcalls.Reply(identity, route, "key-steady", GATEWAY, 100.0, 101.0)
    reply.status = 200
    reply.is_complete = reply.is_sent = True
    reply.body = f"{identity} done by {SERVER}".encode()
    for name, value in changes.items():
        setattr(reply, name, value)
    return reply


def make_stream(*numbers, count=3, identity="1", version="v1", **changes):
    """Return a reply that holds the numbered events of a stream of `count` events."""
    body = b"".join(
        f"id: {number}\ndata: {identity} {number}/{count} {version}\n\n".encode()
        for number in numbers
    )
    return make_reply(identity, "tale", body=body, events=count, **changes)


def make_start_record(
    identity="1", at=100.1, server=SERVER, workspace="steady", has_key=False
):
    """Return the journal record of the start of a run."""
    return {
        "event": "start",
        "at": at,
        "server": server,
        "id": identity,
        "workspace": workspace,
        "after": 0,
        "has_key": has_key,
    }


def make_end_record(identity="1", at=100.5, server=SERVER, whole=True):
    """Return the journal record of the end of a run."""
    return {"event": "end", "at": at, "server": server, "id": identity, "whole": whole}


class CheckTest(unittest.TestCase):
    """One case per check."""

    def setUp(self):
        self.observations = soakcheck.Observations(final_version=0)

    def violated_guarantees(self):
        """Return the names of the violated guarantees."""
        return {
            guarantee for guarantee, _ in soakcheck.find_violations(self.observations)
        }

    def test_run_without_violation(self):
        self.observations.replies = [make_reply(), make_stream(1, 2, 3, identity="2")]
        self.observations.records = [
            make_start_record(),
            make_end_record(),
            make_start_record("2"),
            make_end_record("2"),
        ]
        self.assertEqual(self.violated_guarantees(), set())

    def test_non_idempotent_request_run_twice(self):
        self.observations.replies = [make_reply(route="act")]
        self.observations.records = [
            make_start_record(),
            make_start_record(at=100.2, server="i-901-1"),
        ]
        self.assertEqual(
            self.violated_guarantees(), {"nothing runs more often than it may"}
        )

    def test_stream_resumed_while_earlier_run_continues(self):
        self.observations.replies = [make_stream(1, 2, 3)]
        self.observations.records = [
            make_start_record(at=100.0),
            make_start_record(at=100.2, server="i-901-1"),
            make_end_record(at=100.9),
        ]
        expected = {"a stream goes on only where it is not running"}
        self.assertEqual(self.violated_guarantees(), expected)
        self.observations.faults = [soakcheck.Fault("server-900", 99.0, 100.5)]
        self.assertEqual(self.violated_guarantees(), set())

    def test_refusal_of_executed_request(self):
        self.observations.replies = [make_reply(status=503, retry_after="1")]
        self.observations.records = [make_start_record()]
        self.assertEqual(self.violated_guarantees(), {"a refusal is true"})

    def test_refusal_without_retry_after(self):
        self.observations.replies = [make_reply(status=429)]
        self.assertEqual(
            self.violated_guarantees(), {"a refusal says when to come back"}
        )

    def test_answer_of_another_request(self):
        self.observations.replies = [make_reply(body=b"2 done by x")]
        self.assertEqual(
            self.violated_guarantees(), {"an answer belongs to its request"}
        )

    def test_missing_repeated_foreign_or_truncated_events(self):
        expected = {"events come once, in order, to the last"}
        for reply in (
            make_stream(1, 3),
            make_stream(1, 1, 2, 3),
            make_stream(1, 2),
            make_stream(1, 2, 3, identity="2"),
        ):
            reply.identity = "1"
            self.observations.replies = [reply]
            self.assertEqual(self.violated_guarantees(), expected)

    def test_stream_with_a_part_of_another_answer(self):
        expected = {"a stream holds nothing but its events"}
        for stray in (b"HTTP/1.1 500 Failed\r\n", b""):
            reply = make_stream(1, 2, is_complete=False, stray=stray)
            if not stray:
                reply.body += b"no rest of this stream"
            self.observations.replies = [reply]
            self.assertEqual(self.violated_guarantees(), expected)

    def test_stream_with_comments_holds_nothing_else(self):
        """A server may send comments; a gateway passes them on, and no other bytes."""
        for comments, is_allowed in (
            (b": x\n\n: x\n: x\n\n", True),
            (b": x\n\nHTTP/1.1 500 Failed\r\n", False),
            (b"no comment: x\n\n", False),
        ):
            reply = make_stream(1, 2, is_complete=False)
            reply.body += comments
            self.observations.replies = [reply]
            expected = (
                set() if is_allowed else {"a stream holds nothing but its events"}
            )
            self.assertEqual(self.violated_guarantees(), expected)

    def test_lost_request(self):
        expected = {"what was read is answered"}
        lost = make_reply(status=0, is_complete=False)
        self.observations.replies = [lost]
        self.assertEqual(self.violated_guarantees(), expected)
        self.observations.faults = [soakcheck.Fault(GATEWAY, 100.5, 102.0)]
        self.assertEqual(self.violated_guarantees(), set())

    def test_request_lost_at_planned_stop(self):
        expected = {"what was read is answered"}
        self.observations.faults = [soakcheck.Fault(GATEWAY, 100.3, 102.0, False)]
        self.observations.replies = [
            make_reply(status=0, is_complete=False, ended_at=100.4)
        ]
        self.assertEqual(self.violated_guarantees(), set())
        self.observations.replies = [
            make_reply(status=0, is_complete=False, ended_at=100.6)
        ]
        self.assertEqual(self.violated_guarantees(), expected)
        self.observations.replies = [
            make_reply(status=0, is_complete=False, ended_at=100.4)
        ]
        self.observations.records = [make_start_record()]
        self.assertEqual(self.violated_guarantees(), expected)

    def test_stream_completed_by_server_but_not_delivered(self):
        self.observations.replies = [make_stream(1, 2, is_complete=False)]
        self.observations.records = [make_start_record(), make_end_record(whole=False)]
        self.assertEqual(self.violated_guarantees(), set())
        self.observations.records = [make_start_record(), make_end_record()]
        self.assertEqual(self.violated_guarantees(), {"what was read is answered"})

    def set_documents(self, *documents):
        """Record documents given as (version, keys, sent_at, acknowledged_at)."""
        self.observations.documents = [
            soakcheck.SentDocument(version, frozenset(keys), sent_at, acknowledged_at)
            for version, keys, sent_at, acknowledged_at in documents
        ]
        self.observations.final_version = max(
            each.version for each in self.observations.documents
        )

    def test_run_with_removed_key(self):
        self.set_documents((1, ["a"], 10.0, 11.0), (2, [], 20.0, 21.0))
        self.observations.replies = [make_reply(key="a", sent_at=25.9)]
        self.observations.records = [make_start_record()]
        self.assertEqual(self.violated_guarantees(), set())
        self.observations.replies = [make_reply(key="a", sent_at=26.1)]
        self.assertEqual(self.violated_guarantees(), {"a removed key is dead"})

    def test_refusal_of_key_in_force(self):
        self.set_documents((1, ["a"], 10.0, 11.0))
        self.observations.replies = [make_reply(key="a", sent_at=13.9, status=401)]
        self.assertEqual(self.violated_guarantees(), set())
        self.observations.replies = [make_reply(key="a", sent_at=14.1, status=401)]
        self.assertEqual(self.violated_guarantees(), {"a key in force is let in"})

    def test_key_forwarded_to_server(self):
        self.observations.records = [make_start_record(has_key=True)]
        expected = {"the server sees the workspace, not the key"}
        self.assertEqual(self.violated_guarantees(), expected)

    def test_allotment_overrun(self):
        self.observations.allotment = ("small", 1.0, 2.0, 0.0)
        self.observations.records = [
            make_start_record(str(number), 100.0 + 0.1 * number, workspace="small")
            for number in range(11)
        ]
        self.assertEqual(self.violated_guarantees(), set())
        self.observations.records.append(
            make_start_record("12", 107.0, workspace="small")
        )
        self.assertEqual(self.violated_guarantees(), {"an allotment is kept"})

    def test_run_after_server_leave(self):
        leaving = {"event": "leaving", "at": 97.0, "server": SERVER}
        self.observations.replies = [make_reply()]
        self.observations.records = [leaving, make_start_record(at=99.9)]
        self.assertEqual(self.violated_guarantees(), set())
        self.observations.records = [leaving, make_start_record(at=100.1)]
        self.assertEqual(
            self.violated_guarantees(), {"a leaving server gets nothing more"}
        )

    def test_lost_document(self):
        expected = {"an acknowledged document stays"}
        self.set_documents((1, [], 10.0, 11.0), (2, [], 12.0, 13.0))
        self.observations.reads = [soakcheck.Read(12.5, 1)]
        self.assertEqual(self.violated_guarantees(), set())
        self.observations.reads = [soakcheck.Read(13.5, 1)]
        self.assertEqual(self.violated_guarantees(), expected)
        self.observations.reads = []
        self.observations.final_version = None
        self.assertEqual(self.violated_guarantees(), expected)

    def test_failed_recovery(self):
        self.observations.final_replies = [make_reply() for _ in range(17)]
        self.observations.final_replies.extend(make_reply(status=503) for _ in range(3))
        self.assertEqual(
            self.violated_guarantees(), {"all is well soon after the faults"}
        )

    def test_repeats_of_a_request_that_ended_three_servers(self):
        expected = {"a request that ends its servers is held back"}
        for number in range(8):
            at = 100.0 + number
            server = f"i-{900 + number}-1"
            self.observations.replies.append(
                make_reply(str(number), status=502, fatal="f")
            )
            start = make_start_record(str(number), at, server)
            self.observations.records.extend([start, {**start, "event": "ended"}])
        self.assertEqual(self.violated_guarantees(), set())
        late = (106.1, 106.2, 106.3, 106.4)
        for number, at in enumerate(late, 8):
            self.observations.replies.append(
                make_reply(str(number), status=502, fatal="f")
            )
            self.observations.records.append(make_start_record(str(number), at))
            found = self.violated_guarantees()
            self.assertEqual(found, expected if number - 8 >= 2 else set())
        self.observations.faults = [soakcheck.Fault(GATEWAY, 101.0, 102.0)]
        self.assertEqual(self.violated_guarantees(), expected)
        self.observations.faults = [soakcheck.Fault(GATEWAY, 106.25, 107.0)]
        self.assertEqual(self.violated_guarantees(), set())

    def test_harmless_requests_refused_as_suspect(self):
        refusal = b'{"error":{"code":"suspect_request","ran":"not_run"}}'
        replies = [make_reply(str(number)) for number in range(500)]
        for reply in replies[:6]:
            reply.status, reply.retry_after, reply.body = 503, "9", refusal
        self.observations.replies = replies
        self.assertEqual(self.violated_guarantees(), set())
        replies[6].status, replies[6].retry_after = 503, "9"
        replies[6].body = refusal
        self.assertEqual(
            self.violated_guarantees(), {"other requests are not held back"}
        )


if __name__ == "__main__":
    unittest.main()
