"""Tests of which gateways receive gossip datagrams, without sockets."""

import types
import unittest
from unittest import mock

from brasstrail.protocol import codec, messages
from brasstrail.roles import gossip

DATA_CENTRES = ("ax", "ay", "bx", "by")
GATEWAYS_PER_DATA_CENTRE = 5


def call(callback, *arguments):
    """Call a function, as `hub.Hub.run_callback` does."""
    callback(*arguments)


class FakeTransport:
    """A datagram transport that appends datagrams to a shared queue."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def is_closing(self):
        return False

    def sendto(self, payload, address):
        self.network.append((self.address, address, payload))


class FakeGateway:
    """A gateway that records whose state it receives."""

    def __init__(self, name):
        self.name = name
        self.received = []
        self.dispatches = 0
        self.crashes_since_ms = []

    def apply_peer_state(self, message):
        self.received.append(message.name)

    def apply_peer_start(self, name):
        """Do nothing."""

    def apply_peer_message(self, message, name):
        """Do nothing."""

    def dispatch_waiting(self):
        self.dispatches += 1

    def state(self, number, with_spent, crashes_since_ms):
        self.crashes_since_ms.append(crashes_since_ms)
        return messages.GatewayState(self.name, 1, number, (), ())


class RelayTest(unittest.TestCase):
    """Two regions of two data centres; each change must reach all gateways."""

    def setUp(self):
        self.network = []
        self.members = {}
        self.peers = [
            gossip.Peer(
                f"{centre_name}{number}",
                f"{centre_name}{number}:1",
                centre_name,
                centre_name[0],
            )
            for centre_name in DATA_CENTRES
            for number in range(GATEWAYS_PER_DATA_CENTRE)
        ]
        for peer in self.peers:
            node = types.SimpleNamespace(
                region=peer.region, data_centre=peer.data_centre
            )
            hub = types.SimpleNamespace(
                settings=types.SimpleNamespace(node=node), run_callback=call
            )
            instance = gossip.Gossip(hub, FakeGateway(peer.name))
            instance.transport = FakeTransport(self.network, (peer.name, 1))
            instance.set_peers([other for other in self.peers if other is not peer])
            self.members[peer.name, 1] = instance

    def deliver(self, unreachable=()):
        """Deliver all datagrams; return (source, target) pairs."""
        sent = []
        while self.network:
            source, target, payload = self.network.pop(0)
            sent.append((source[0], target[0]))
            if target not in unreachable:
                self.members[target].datagram_received(payload, source)
        for member in self.members.values():
            member.apply_all_pending()
        return sent

    def send_state(self, name):
        """Send the state of one gateway to its own and to the other regions."""
        sender = self.members[name, 1]
        sender.send(sender.own_region)
        sender.send(sender.other_regions)

    def test_each_gateway_receives_state_once_with_few_crossings(self):
        self.send_state("ax0")
        sent = self.deliver()
        self.assertEqual(len(sent), len(self.members) - 1)
        between_regions = [pair for pair in sent if pair[0][0] != pair[1][0]]
        between_data_centres = [pair for pair in sent if pair[0][:2] != pair[1][:2]]
        self.assertEqual(len(between_regions), 1)
        self.assertEqual(len(between_data_centres), 3)
        for (name, _), member in self.members.items():
            expected = [] if name == "ax0" else ["ax0"]
            self.assertEqual(member.gateway.received, expected)

    def test_failed_relay_loses_few_datagrams(self):
        unreachable = [("bx2", 1)]
        for _ in range(GATEWAYS_PER_DATA_CENTRE * GATEWAYS_PER_DATA_CENTRE):
            self.send_state("ax0")
            self.deliver(unreachable)
        for (name, _), member in self.members.items():
            if name != "ax0" and (name, 1) not in unreachable:
                received_count = len(member.gateway.received)
                self.assertGreaterEqual(
                    received_count,
                    GATEWAYS_PER_DATA_CENTRE
                    * GATEWAYS_PER_DATA_CENTRE
                    * (GATEWAYS_PER_DATA_CENTRE - 2)
                    / GATEWAYS_PER_DATA_CENTRE,
                )

    def test_relays_are_selected_in_rotation(self):
        candidates = self.members["ax0", 1].topology.data_centres
        selected = {candidates.next_relays() for _ in range(GATEWAYS_PER_DATA_CENTRE)}
        self.assertEqual(selected, {(address,) for address in candidates.addresses})

    def receive(self, number, *news):
        """Let one gateway receive a state of another one in its data centre."""
        spent = tuple(messages.Spent(each, 1.0) for each in news)
        state = messages.GatewayState("ax1", 1, number, (), spent)
        payload = codec.encode_packed(codec.MESSAGE, state)
        member = self.members["ax0", 1]
        member.datagram_received(payload, ("ax1", 1))
        return member

    def test_states_that_newer_ones_replace_are_not_decoded(self):
        for number in range(1, 20):
            member = self.receive(number)
        self.assertEqual(member.gateway.received, [])
        member.apply_all_pending()
        self.assertEqual(member.gateway.received, ["ax1"])

    def test_states_of_a_batch_lead_to_one_dispatch(self):
        """Guards against a comparison of all servers for each state of a fleet."""
        for number in range(1, 20):
            member = self.receive(number)
        self.assertEqual(member.gateway.dispatches, 0)
        member.end_batch()
        member.end_batch()
        self.assertEqual(member.gateway.dispatches, 1)

    def test_new_crashes_are_sent_at_once_and_all_at_intervals(self):
        member = self.members["ax0", 1]
        now_ms = 10_000
        with mock.patch.object(gossip.clock, "now_ms", lambda: now_ms):
            for elapsed_ms in (0, 100, 100, 300, 100):
                now_ms += elapsed_ms
                member.send(member.own_region)
        expected = [None, 10_000, 10_100, None, 10_500]
        self.assertEqual(member.gateway.crashes_since_ms, expected)

    def test_news_are_not_lost_to_a_newer_state(self):
        """Guards against spending and crashes that a kept state never tells."""
        self.receive(1)
        member = self.receive(2, "workspace")
        self.assertEqual(member.gateway.received, ["ax1"])
        self.assertEqual(member.pending, {})
        self.receive(1)
        self.assertEqual(member.pending, {})

    def test_datagrams_from_unknown_sources_are_ignored(self):
        state = messages.GatewayState("ax1", 1, 1, (), ())
        payload = codec.encode_packed(codec.MESSAGE, state)
        member = self.members["ax0", 1]
        member.datagram_received(payload, ("c0", 1))
        self.assertEqual(member.gateway.received, [])

    def test_datagrams_that_cannot_be_decoded_are_ignored(self):
        member = self.members["ax0", 1]
        member.hub.log = mock.Mock()
        for payload in (b"", b"\xff" * 40, bytes(64)):
            member.datagram_received(payload, ("ax1", 1))
        self.assertEqual(member.gateway.received, [])
        self.assertEqual(member.pending, {})

    def test_states_with_a_damaged_byte_raise_nothing(self):
        """Guards against the rest of a batch that is lost with one bad datagram."""
        spent = (messages.Spent("workspace", 1.0),)
        state = messages.GatewayState("ax1", 1, 1, (), spent)
        payload = codec.encode_packed(codec.MESSAGE, state)
        member = self.members["ax0", 1]
        member.hub.log = mock.Mock()
        for position in range(len(payload)):
            for value in (0x00, 0x01, 0x7F, 0xFF):
                damaged = bytearray(payload)
                damaged[position] = value
                member.datagram_received(bytes(damaged), ("ax1", 1))
                member.apply_all_pending()

    def test_receive_rate_does_not_grow_with_gateway_count(self):
        node = types.SimpleNamespace(region="a", data_centre="ax")
        for region in ("a", "b"):
            peers = [
                gossip.Peer(f"g{number}", f"g{number}:1", f"{region}y", region)
                for number in range(2000)
            ]
            topology = gossip.Topology(node, peers)
            batch_delay_s, max_rate = (
                (
                    topology.own_region_batch_delay_s(),
                    gossip.OWN_REGION_DATAGRAMS_PER_SECOND,
                )
                if region == "a"
                else (
                    topology.other_regions_batch_delay_s(),
                    gossip.OTHER_REGIONS_DATAGRAMS_PER_SECOND,
                )
            )
            rate = len(peers) / batch_delay_s
            self.assertLessEqual(round(rate), max_rate)


if __name__ == "__main__":
    unittest.main()
