"""Stateful fuzz tests of sessions over in-memory connections."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from brasstrail.core import errors
from brasstrail.protocol import session
from brasstrail.tools import fuzzing
from brasstrail.transport import frames

STEP_MS = 100


class OneWayConnection:
    """One direction of a connection: bytes in order, until it is replaced."""

    def __init__(self):
        self.bytes = bytearray()
        self.decoder = frames.Decoder()
        self.silent = False

    def write(self, written_frames):
        """Write frames; a silent connection loses them."""
        if self.silent:
            return
        for frame in written_frames:
            self.bytes += frames.encode(frame)

    def read(self, amount):
        """Read up to `amount` bytes; return the frames that they complete."""
        chunk = bytes(self.bytes[:amount])
        del self.bytes[:amount]
        return self.decoder.feed(chunk)


class Endpoint:
    """A session, the payloads it sent and delivered, and its outgoing connection."""

    def __init__(self):
        self.session = session.Session()
        self.sent = []
        self.delivered = []
        self.connection = OneWayConnection()


class SessionMachine(RuleBasedStateMachine):
    """Two endpoints whose connections are replaced, silent, slow or split anywhere."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.endpoints = [Endpoint(), Endpoint()]
        self.connect()

    def connect(self):
        """Open a new connection, as both endpoints do after a handshake."""
        left, right = self.endpoints
        for endpoint in self.endpoints:
            endpoint.session.disconnect()
            endpoint.connection = OneWayConnection()
        left.session.connect(right.session.received, self.now_ms)
        right.session.connect(left.session.received, self.now_ms)

    def flush(self):
        for endpoint in self.endpoints:
            endpoint.connection.write(endpoint.session.take_outgoing())

    def transfer(self, number, amount):
        """Transfer bytes from one endpoint to the other."""
        source, target = self.endpoints[number], self.endpoints[1 - number]
        for frame in source.connection.read(amount):
            delivered = target.session.receive(frame, self.now_ms)
            target.delivered.extend(delivered)

    @rule(number=st.integers(0, 1), payload=st.binary(max_size=30))
    def send(self, number, payload):
        self.endpoints[number].session.send(payload)
        self.endpoints[number].sent.append(payload)
        self.flush()

    @rule(number=st.integers(0, 1), amount=st.integers(1, 200))
    def transfer_bytes(self, number, amount):
        self.transfer(number, amount)
        self.flush()

    @rule(number=st.integers(0, 1))
    def drop_further_writes(self, number):
        self.endpoints[number].connection.silent = True

    @rule()
    def replace_connection(self):
        self.connect()
        self.flush()

    @rule(number=st.integers(0, 1))
    def disconnect_one_endpoint(self, number):
        self.endpoints[number].session.disconnect()

    @rule(steps=st.integers(1, 20))
    def wait(self, steps):
        for _ in range(steps):
            self.now_ms += STEP_MS
            self.step()

    def step(self):
        """Tick both sessions, and reconnect as their owners would."""
        for endpoint in self.endpoints:
            endpoint.session.tick(self.now_ms)
        self.flush()
        sessions = [endpoint.session for endpoint in self.endpoints]
        if any(
            endpoint_session.is_timed_out(self.now_ms) or not endpoint_session.connected
            for endpoint_session in sessions
        ):
            self.connect()
            self.flush()

    @invariant()
    def delivered_is_a_prefix_of_sent(self):
        for number in (0, 1):
            sent = self.endpoints[number].sent
            delivered = self.endpoints[1 - number].delivered
            assert delivered == sent[: len(delivered)]

    def teardown(self):
        """Check that all messages arrive within the required 2 s after faults stop."""
        deadline_ms = self.now_ms + 2000
        while self.now_ms < deadline_ms:
            self.now_ms += STEP_MS
            self.step()
            for number in (0, 1):
                self.transfer(number, 1 << 20)
            self.flush()
        for number in (0, 1):
            assert self.endpoints[1 - number].delivered == self.endpoints[number].sent
        for endpoint in self.endpoints:
            assert endpoint.session.unacked_bytes == 0


SessionFuzzTest = SessionMachine.TestCase
SessionFuzzTest.settings = settings(
    fuzzing.SETTINGS, max_examples=150, stateful_step_count=40
)


class SessionTest(unittest.TestCase):
    """Cases checked individually, in addition to the fuzz test."""

    def test_unanswered_pings_time_out_despite_incoming_pings(self):
        local = session.Session()
        local.connect(0, 0)
        local.tick(0)
        for number in range(1, 6):
            local.receive(frames.Frame(frames.Kind.PING, number), 300 * number)
        self.assertTrue(local.is_timed_out(session.PING_TIMEOUT_MS + 1))

    # Guards against a connection that is closed because its pings wait behind what it
    # transmits, so that all of that is sent again and never arrives.
    def test_pings_may_wait_behind_what_was_sent_before(self):
        local = session.Session()
        local.connect(0, 0)
        local.send(bytes(200_000))
        local.tick(0)
        self.assertFalse(local.is_timed_out(session.PING_TIMEOUT_MS + 1))
        self.assertTrue(local.is_timed_out(session.PING_TIMEOUT_MS + 1001))

    def test_time_for_what_was_sent_is_bounded(self):
        local = session.Session()
        local.connect(0, 0)
        local.send(bytes(10_000_000))
        local.tick(0)
        longest_ms = session.PING_TIMEOUT_MS + session.MAX_TRANSMISSION_MS
        self.assertTrue(local.is_timed_out(longest_ms + 1))

    def test_connection_on_which_parts_of_a_message_arrive_is_not_silent(self):
        local = session.Session()
        local.connect(0, 0)
        local.tick(0)
        local.record_part(1000)
        self.assertFalse(local.is_timed_out(session.PING_TIMEOUT_MS + 1))
        self.assertTrue(local.is_timed_out(1001 + session.PING_TIMEOUT_MS))

    def test_late_pong_counts_from_when_its_ping_was_sent(self):
        local = session.Session()
        local.connect(0, 0)
        local.tick(0)
        late_ms = session.PING_TIMEOUT_MS + 100
        local.receive(frames.Frame(frames.Kind.PONG, 1), late_ms)
        self.assertTrue(local.is_timed_out(late_ms))

    def test_repeated_message_is_delivered_once(self):
        local = session.Session()
        first = frames.Frame(frames.Kind.DATA, 1, b"x")
        self.assertEqual(local.receive(first, 0), [b"x"])
        self.assertEqual(local.receive(first, 0), [])

    def test_unacknowledged_bytes_are_bounded(self):
        local = session.Session(max_unacked_bytes=10)
        local.send(b"12345")
        with self.assertRaises(errors.Overloaded):
            local.send(b"123456")

    def test_gap_in_message_numbers_raises(self):
        local = session.Session()
        with self.assertRaises(errors.BadRequest):
            local.receive(frames.Frame(frames.Kind.DATA, 2, b""), 0)

    def test_bytes_that_are_no_frame_raise(self):
        with self.assertRaises(errors.BadRequest):
            frames.Decoder().feed(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")


if __name__ == "__main__":
    unittest.main()
