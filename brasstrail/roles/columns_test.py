"""Tests of the two forms of load and spending, also between two versions."""

import unittest

from brasstrail.coordination import pool, waits
from brasstrail.core import errors
from brasstrail.fakes import memory
from brasstrail.protocol import codec, messages
from brasstrail.roles import columns, crashes_test, gossip

SHARES = {"a": pool.LoadShare(1, 20, 300), "b": pool.LoadShare(4, 0, 60)}


def transfer(state):
    """Return a state as its receiver decodes it."""
    payload = codec.encode_packed(codec.MESSAGE, state)
    return codec.decode_packed(codec.MESSAGE, payload)


def make_state(**fields):
    """Return a state with some load."""
    return messages.GatewayState("g", 1, 1, **{"shares": (), "spent": (), **fields})


class FormTest(unittest.TestCase):
    """Records and columns hold the same."""

    def test_both_forms_are_read(self):
        for shares in ({}, SHARES):
            for as_columns in (False, True):
                with self.subTest(shares=shares, as_columns=as_columns):
                    state = make_state(**columns.load_fields(shares, as_columns))
                    self.assertEqual(columns.read_load(transfer(state)), shares)

    def test_both_forms_of_spending_are_read(self):
        for spent in ({}, {"w1": 2.5, "w2": 0.0}):
            for as_columns in (False, True):
                with self.subTest(spent=spent, as_columns=as_columns):
                    state = make_state(**columns.spending_fields(spent, as_columns))
                    self.assertEqual(columns.read_spending(transfer(state)), spent)

    def test_waits_are_read_and_bounded(self):
        rows = {("s", (1, 2)): waits.Row(3, 4, waits.Need(1.5, 0.25))}
        for each in ({}, rows):
            state = transfer(make_state(**columns.wait_fields(each)))
            self.assertEqual(columns.read_waits(state), each)
        self.assertIsNone(columns.read_waits(transfer(make_state())))
        many = {("s", (1, number)): waits.Row() for number in range(100)}
        state = transfer(make_state(**columns.wait_fields(many)))
        self.assertEqual(len(columns.read_waits(state)), waits.MAX_ROWS)
        with self.assertRaises(errors.BadRequest):
            columns.read_waits(make_state(tells_waits=True, wait_services=("s",)))

    def test_columns_of_different_lengths_are_an_error(self):
        state = make_state(identities=("a", "b"), running=(1,), workspaces=("w",))
        for read in (columns.read_load, columns.read_spending):
            with self.assertRaises(errors.BadRequest):
                read(transfer(state))

    def test_amount_that_is_no_number_is_an_error(self):
        for amount in (float("nan"), float("inf"), -float("inf")):
            for as_columns in (False, True):
                fields = columns.spending_fields({"w": amount}, as_columns)
                with self.assertRaises(errors.BadRequest):
                    columns.read_spending(transfer(make_state(**fields)))


class MixedVersionsTest(unittest.IsolatedAsyncioTestCase):
    """Three gateways, one of which may be of a version that reads records only."""

    async def asyncSetUp(self):
        self.platform = memory.Platform(crashes_test.DOCUMENT, 3)
        self.platform.add_servers("s", 1)
        self.first = self.platform.gateways["g0"]
        work = pool.Work("w", "s", (1, 1), 0, 1000, 5000, 100, 10)
        self.first.pool.add_running("s-0", work)

    def exchange(self):
        """Let all gateways send their states, and apply them."""
        self.platform.exchange()
        for gateway in self.platform.gateways.values():
            gateway.gossip.apply_all_pending()

    def known_running(self):
        """Return how many requests the others know to run at the server."""
        return [
            self.platform.gateways[name].pool.servers["s-0"].others.running
            for name in ("g1", "g2")
        ]

    async def test_columns_are_sent_once_all_others_read_them(self):
        self.assertEqual(len(self.first.state(1, False, None).shares), 1)
        self.exchange()
        self.assertEqual(self.first.state(1, False, None).shares, ())
        self.assertEqual(self.first.state(1, False, None).identities, ("s-0",))
        self.first.allotments.spent["w"] = 7.0
        self.assertEqual(self.first.state(1, True, None).workspaces, ("w",))
        self.exchange()
        self.assertEqual(self.known_running(), [1, 1])
        known = self.platform.gateways["g1"].allotments.peers["g0"]
        self.assertEqual(known.spent, {"w": 7.0})

    async def test_records_are_sent_while_one_gateway_reads_no_columns(self):
        """Guards against a gateway that seems idle to those of the version before."""
        self.exchange()
        restarted = messages.GatewayState("g1", 10**15, 1, (), ())
        payload = codec.encode_packed(codec.MESSAGE, restarted)
        self.first.gossip.datagram_received(payload, ("g1", 1))
        self.first.gossip.apply_all_pending()
        state = self.first.state(1, False, None)
        self.assertEqual([each.identity for each in state.shares], ["s-0"])
        self.assertEqual(state.identities, ())

    async def test_records_are_sent_to_a_gateway_that_was_not_heard_of(self):
        self.exchange()
        self.first.gossip.set_peers(
            [
                *self.first.gossip.peers.values(),
                gossip.Peer("g3", "g3:1", "east", "one"),
            ]
        )
        self.assertFalse(self.first.gossip.all_read_columns)

    async def test_state_with_columns_of_different_lengths_is_ignored(self):
        """Guards against a gateway that hears nothing more after a bad datagram."""
        self.exchange()
        bad = messages.GatewayState("g1", 10**15, 1, (), (), running=(1,))
        payload = codec.encode_packed(codec.MESSAGE, bad)
        self.first.gossip.datagram_received(payload, ("g1", 1))
        self.first.gossip.apply_all_pending()
        events = [line["event"] for line in self.platform.lines]
        self.assertIn("gossip: A datagram could not be decoded.", events)


if __name__ == "__main__":
    unittest.main()
