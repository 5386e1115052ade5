"""Tests of who is told by gossip, without sockets."""

import types
import unittest

from brasstrail.protocol import codec, messages
from brasstrail.roles import gossip

CENTRES = ("ax", "ay", "bx", "by")
SIZE = 5


class Wire:
    """Takes the place of a socket; datagrams go to the network's queue."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def is_closing(self):
        return False

    def sendto(self, payload, address):
        self.network.append((self.address, address, payload))


class Listener:
    """Takes the place of a gateway and keeps what it hears."""

    def __init__(self, name):
        self.name = name
        self.heard = []

    def take_state(self, message):
        self.heard.append(message.name)

    def state(self, number, with_spent):
        return messages.GatewayState(self.name, 1, number, (), ())


class RelayTest(unittest.TestCase):
    """Two regions of two data centres; all gateways must hear of each change."""

    def setUp(self):
        self.network = []
        self.members = {}
        self.peers = [
            gossip.Peer(f"{centre}{number}", f"{centre}{number}:1", centre, centre[0])
            for centre in CENTRES
            for number in range(SIZE)
        ]
        for peer in self.peers:
            node = types.SimpleNamespace(
                region=peer.region, data_centre=peer.data_centre
            )
            hub = types.SimpleNamespace(settings=types.SimpleNamespace(node=node))
            made = gossip.Gossip(hub, Listener(peer.name))
            made.transport = Wire(self.network, (peer.name, 1))
            made.set_peers([other for other in self.peers if other is not peer])
            self.members[peer.name, 1] = made

    def deliver(self, dead=()):
        """Deliver all datagrams; return (source, target) pairs."""
        sent = []
        while self.network:
            source, target, payload = self.network.pop(0)
            sent.append((source[0], target[0]))
            if target not in dead:
                self.members[target].datagram_received(payload, source)
        return sent

    def tell(self, name):
        """Send one gateway's state to both groups."""
        told = self.members[name, 1]
        told.send(told.near)
        told.send(told.far)

    def test_every_gateway_hears_once_and_little_crosses(self):
        self.tell("ax0")
        sent = self.deliver()
        self.assertEqual(len(sent), len(self.members) - 1)
        between_regions = [pair for pair in sent if pair[0][0] != pair[1][0]]
        between_centres = [pair for pair in sent if pair[0][:2] != pair[1][:2]]
        self.assertEqual(len(between_regions), 1)
        self.assertEqual(len(between_centres), 3)
        for (name, _), member in self.members.items():
            expected = [] if name == "ax0" else ["ax0"]
            self.assertEqual(member.gateway.heard, expected)

    def test_a_relay_that_is_dead_costs_few_datagrams(self):
        dead = [("bx2", 1)]
        for _ in range(SIZE * SIZE):
            self.tell("ax0")
            self.deliver(dead)
        for (name, _), member in self.members.items():
            if name != "ax0" and (name, 1) not in dead:
                heard = len(member.gateway.heard)
                self.assertGreaterEqual(heard, SIZE * SIZE * (SIZE - 2) / SIZE)

    def test_each_gateway_of_a_place_is_told_in_turn(self):
        told = self.members["ax0", 1].map.centres
        turns = {told.next_addresses() for _ in range(SIZE)}
        self.assertEqual(turns, {(address,) for address in told.addresses})

    def test_strangers_are_not_heard(self):
        state = messages.GatewayState("ax1", 1, 1, (), ())
        payload = codec.encode_packed(codec.MESSAGE, state)
        member = self.members["ax0", 1]
        member.datagram_received(payload, ("c0", 1))
        self.assertEqual(member.gateway.heard, [])

    def test_what_a_gateway_reads_does_not_grow_with_their_number(self):
        node = types.SimpleNamespace(region="a", data_centre="ax")
        for region in ("a", "b"):
            peers = [
                gossip.Peer(f"g{number}", f"g{number}:1", f"{region}y", region)
                for number in range(2000)
            ]
            seen = gossip.Map(node, peers)
            gather_s = seen.near_gather_s() if region == "a" else seen.far_gather_s()
            rate = len(peers) / gather_s
            self.assertLessEqual(round(rate), gossip.MAX_DATAGRAMS_A_SECOND)


if __name__ == "__main__":
    unittest.main()
