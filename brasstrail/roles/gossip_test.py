"""Tests of who is told by gossip, without sockets."""

import types
import unittest

from brasstrail.protocol import codec, messages
from brasstrail.roles import gossip

REGIONS = ("a", "b")
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


class RegionTest(unittest.TestCase):
    """Gateways of two regions, all of which must hear of each change."""

    def setUp(self):
        self.network = []
        self.members = {}
        peers = [
            gossip.Peer(f"{region}{number}", f"{region}{number}:1", region)
            for region in REGIONS
            for number in range(SIZE)
        ]
        for peer in peers:
            node = types.SimpleNamespace(region=peer.region)
            hub = types.SimpleNamespace(settings=types.SimpleNamespace(node=node))
            made = gossip.Gossip(hub, Listener(peer.name))
            made.transport = Wire(self.network, (peer.name, 1))
            made.set_peers([other for other in peers if other is not peer])
            self.members[peer.name, 1] = made

    def deliver(self, dead=()):
        """Deliver all datagrams, but those from and to gateways that are dead."""
        crossed = 0
        while self.network:
            source, target, payload = self.network.pop(0)
            crossed += source[0][0] != target[0][0]
            if target not in dead:
                self.members[target].datagram_received(payload, source)
        return crossed

    def tell(self, name):
        """Send one gateway's state to both groups."""
        told = self.members[name, 1]
        told.send(told.near)
        told.send(told.far)

    def test_every_gateway_hears_and_one_datagram_crosses(self):
        self.tell("a0")
        crossed = self.deliver()
        self.assertEqual(crossed, 1)
        for (name, _), member in self.members.items():
            expected = [] if name == "a0" else ["a0"]
            self.assertEqual(member.gateway.heard, expected)

    def test_a_relay_that_is_dead_costs_one_datagram_of_several(self):
        dead = ("b2", 1)
        for _ in range(SIZE):
            self.tell("a0")
            self.deliver([dead])
        for (name, _), member in self.members.items():
            if name.startswith("b") and name != "b2":
                self.assertEqual(len(member.gateway.heard), SIZE - 1)

    def test_nothing_is_passed_on_twice(self):
        self.tell("a0")
        sent = 0
        while self.network:
            source, target, payload = self.network.pop(0)
            sent += 1
            self.members[target].datagram_received(payload, source)
        self.assertEqual(sent, 2 * SIZE - 1)

    def test_strangers_are_not_heard(self):
        state = messages.GatewayState("a1", 1, 1, (), ())
        payload = codec.encode_packed(codec.MESSAGE, state)
        member = self.members["a0", 1]
        member.datagram_received(payload, ("c0", 1))
        self.assertEqual(member.gateway.heard, [])

    def test_what_a_gateway_sends_does_not_grow_with_their_number(self):
        near, far = gossip.Near(), gossip.Far()
        near.addresses = tuple(range(1000))
        far.regions = {"b": tuple(range(1000))}
        for members in (near, far):
            rate = len(members.addresses) / members.gather_s
            self.assertLessEqual(rate, gossip.MAX_DATAGRAMS_A_SECOND)


if __name__ == "__main__":
    unittest.main()
