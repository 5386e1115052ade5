"""Tests of the soak's judgement: each check sees its violation, and nothing else."""

import unittest

from brasstrail.fakes import fleetcalls
from brasstrail.tools import soakcheck

GATEWAY = "g0"
SERVER = "i-900-1"


def make_reply(identity="1", route="look", **changes):
    """Return a whole, good reply."""
    reply = fleetcalls.Reply(identity, route, "key-steady", GATEWAY, 100.0, 101.0)
    reply.status = 200
    reply.is_complete = reply.is_sent = True
    reply.body = f"{identity} done by {SERVER}".encode()
    for name, value in changes.items():
        setattr(reply, name, value)
    return reply


def make_stream(*numbers, count=3, identity="1", **changes):
    """Return a reply with these events of a stream."""
    body = b"".join(
        f"id: {number}\ndata: {identity} {number}/{count}\n\n".encode()
        for number in numbers
    )
    return make_reply(identity, "tale", body=body, events=count, **changes)


def start(identity="1", at=100.1, server=SERVER, workspace="steady", has_key=False):
    """Return the record of a run's start."""
    return {
        "event": "start",
        "at": at,
        "server": server,
        "id": identity,
        "workspace": workspace,
        "after": 0,
        "has_key": has_key,
    }


def end(identity="1", at=100.5, server=SERVER, whole=True):
    """Return the record of a run's end."""
    return {"event": "end", "at": at, "server": server, "id": identity, "whole": whole}


class CheckTest(unittest.TestCase):
    """One case a check."""

    def setUp(self):
        self.seen = soakcheck.Seen(final_version=0)

    def promises(self):
        """Return the promises that are found broken."""
        return {promise for promise, _ in soakcheck.judge(self.seen)}

    def test_a_good_run_breaks_nothing(self):
        self.seen.replies = [make_reply(), make_stream(1, 2, 3, identity="2")]
        self.seen.records = [start(), end(), start("2"), end("2")]
        self.assertEqual(self.promises(), set())

    def test_two_runs_of_what_may_run_once(self):
        self.seen.replies = [make_reply(route="act")]
        self.seen.records = [start(), start(at=100.2, server="i-901-1")]
        self.assertEqual(self.promises(), {"nothing runs more often than it may"})

    def test_a_stream_that_goes_on_twice_at_once(self):
        self.seen.replies = [make_stream(1, 2, 3)]
        self.seen.records = [
            start(at=100.0),
            start(at=100.2, server="i-901-1"),
            end(at=100.9),
        ]
        expected = {"a stream goes on only where it is not running"}
        self.assertEqual(self.promises(), expected)
        self.seen.faults = [soakcheck.Fault("server-900", 99.0, 100.5)]
        self.assertEqual(self.promises(), set())

    def test_a_refusal_of_what_has_run(self):
        self.seen.replies = [make_reply(status=503, retry_after="1")]
        self.seen.records = [start()]
        self.assertEqual(self.promises(), {"a refusal is true"})

    def test_a_refusal_without_a_time(self):
        self.seen.replies = [make_reply(status=429)]
        self.assertEqual(self.promises(), {"a refusal says when to come back"})

    def test_a_foreign_answer(self):
        self.seen.replies = [make_reply(body=b"2 done by x")]
        self.assertEqual(self.promises(), {"an answer belongs to its request"})

    def test_events_missing_twice_foreign_or_cut_short(self):
        expected = {"events come once, in order, to the last"}
        for reply in (
            make_stream(1, 3),
            make_stream(1, 1, 2, 3),
            make_stream(1, 2),
            make_stream(1, 2, 3, identity="2"),
        ):
            reply.identity = "1"
            self.seen.replies = [reply]
            self.assertEqual(self.promises(), expected)

    def test_a_request_that_is_lost(self):
        expected = {"what was read is answered"}
        lost = make_reply(status=0, is_complete=False)
        self.seen.replies = [lost]
        self.assertEqual(self.promises(), expected)
        self.seen.faults = [soakcheck.Fault(GATEWAY, 100.5, 102.0)]
        self.assertEqual(self.promises(), set())
        self.seen.faults = [soakcheck.Fault(GATEWAY, 100.5, 102.0, False)]
        self.assertEqual(self.promises(), set())
        self.seen.records = [start()]
        self.assertEqual(self.promises(), expected)

    def test_a_stream_that_ended_well_and_did_not_arrive(self):
        self.seen.replies = [make_stream(1, 2, is_complete=False)]
        self.seen.records = [start(), end(whole=False)]
        self.assertEqual(self.promises(), set())
        self.seen.records = [start(), end()]
        self.assertEqual(self.promises(), {"what was read is answered"})

    def put_documents(self, *documents):
        """Note documents as (version, keys, sent, acknowledged)."""
        self.seen.documents = [
            soakcheck.Sent(version, frozenset(keys), sent_at, acknowledged_at)
            for version, keys, sent_at, acknowledged_at in documents
        ]
        self.seen.final_version = max(each.version for each in self.seen.documents)

    def test_a_key_that_should_be_dead(self):
        self.put_documents((1, ["a"], 10.0, 11.0), (2, [], 20.0, 21.0))
        self.seen.replies = [make_reply(key="a", sent_at=25.9)]
        self.seen.records = [start()]
        self.assertEqual(self.promises(), set())
        self.seen.replies = [make_reply(key="a", sent_at=26.1)]
        self.assertEqual(self.promises(), {"a removed key is dead"})

    def test_a_key_in_force_that_is_refused(self):
        self.put_documents((1, ["a"], 10.0, 11.0))
        self.seen.replies = [make_reply(key="a", sent_at=13.9, status=401)]
        self.assertEqual(self.promises(), set())
        self.seen.replies = [make_reply(key="a", sent_at=14.1, status=401)]
        self.assertEqual(self.promises(), {"a key in force is let in"})

    def test_a_key_that_a_server_sees(self):
        self.seen.records = [start(has_key=True)]
        expected = {"the server sees the workspace, not the key"}
        self.assertEqual(self.promises(), expected)

    def test_an_allotment_that_is_overrun(self):
        self.seen.allotted = ("small", 1.0, 2.0, 0.0)
        self.seen.records = [
            start(str(number), 100.0 + 0.1 * number, workspace="small")
            for number in range(11)
        ]
        self.assertEqual(self.promises(), set())
        self.seen.records.append(start("12", 107.0, workspace="small"))
        self.assertEqual(self.promises(), {"an allotment is kept"})

    def test_work_for_a_server_that_has_left(self):
        leaving = {"event": "leaving", "at": 97.0, "server": SERVER}
        self.seen.replies = [make_reply()]
        self.seen.records = [leaving, start(at=99.9)]
        self.assertEqual(self.promises(), set())
        self.seen.records = [leaving, start(at=100.1)]
        self.assertEqual(self.promises(), {"a leaving server gets nothing more"})

    def test_a_document_that_is_lost(self):
        expected = {"an acknowledged document stays"}
        self.put_documents((1, [], 10.0, 11.0), (2, [], 12.0, 13.0))
        self.seen.reads = [soakcheck.Read(12.5, 1)]
        self.assertEqual(self.promises(), set())
        self.seen.reads = [soakcheck.Read(13.5, 1)]
        self.assertEqual(self.promises(), expected)
        self.seen.reads = []
        self.seen.final_version = None
        self.assertEqual(self.promises(), expected)

    def test_no_recovery(self):
        self.seen.final = [make_reply() for _ in range(17)]
        self.seen.final.extend(make_reply(status=503) for _ in range(3))
        self.assertEqual(self.promises(), {"all is well soon after the faults"})


if __name__ == "__main__":
    unittest.main()
