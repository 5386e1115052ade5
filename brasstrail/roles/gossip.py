"""What gateways tell one another, in datagrams that may be lost.

Each gateway sends its state when that has changed, a little later so that changes
travel together, and every second in any case. Nobody answers. A datagram that is
late or comes twice changes nothing.

The gateways of the own region are all told. Of each other region one is told, in
turn, and passes the datagram on to those around it: the way between regions is long
and narrow. A relay that is gone costs one datagram of several, and each holds the
whole state. The more gateways there are, the longer changes are gathered, so that
what a gateway sends does not grow with their number.
"""

import asyncio
import dataclasses
import itertools
import random

from brasstrail.core import clock, errors
from brasstrail.protocol import codec, messages

# Longer than the time between two events of one request, short against the length
# of a generation.
NEAR_GATHER_S = 0.02
# About three times the way between regions.
FAR_GATHER_S = 0.1
# A twentieth of the smallest host's processor, by the cost of a datagram.
MAX_DATAGRAMS_A_SECOND = 600
# What workspaces have spent is covered by a slack of several seconds' worth.
SPENT_INTERVAL_MS = 250
KEEPALIVE_MS = 1000
MAX_DATAGRAM_BYTES = 60_000


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another gateway and its region."""

    name: str
    address: str
    region: str


class Near:
    """The gateways of the own region, all of which are told."""

    def __init__(self):
        self.addresses = ()

    @property
    def gather_s(self):
        """How long changes are gathered."""
        return max(NEAR_GATHER_S, len(self.addresses) / MAX_DATAGRAMS_A_SECOND)

    def next_targets(self):
        """Return where the next datagram goes."""
        return self.addresses


class Far:
    """The gateways of other regions, of which one a region is told in turn."""

    def __init__(self):
        self.regions = {}
        self.turn = random.randrange(1000)

    @property
    def addresses(self):
        """All addresses of these gateways."""
        return tuple(itertools.chain(*self.regions.values()))

    @property
    def gather_s(self):
        """How long changes are gathered: each is passed on to a whole region."""
        return max(FAR_GATHER_S, len(self.addresses) / MAX_DATAGRAMS_A_SECOND)

    def next_targets(self):
        """Return where the next datagram goes."""
        self.turn += 1
        return tuple(
            addresses[self.turn % len(addresses)] for addresses in self.regions.values()
        )


class Group:
    """Gateways that are told at the same times."""

    def __init__(self, members):
        self.members = members
        self.is_due = False
        self.sent_ms = 0
        self.spent_ms = 0


class Gossip(asyncio.DatagramProtocol):
    """Sends this gateway's state and receives that of the others.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    gateway : gives `state(number, with_spent)` and takes `take_state(message)`.
    """

    def __init__(self, hub, gateway):
        self.hub = hub
        self.gateway = gateway
        self.transport = None
        self.near = Group(Near())
        self.far = Group(Far())
        self.heard = {}
        self.number = 0
        self.datagrams = 0

    async def open(self):
        """Begin to listen."""
        node = self.hub.settings.node
        await self.hub.loop.create_datagram_endpoint(
            lambda: self, local_addr=(node.address, node.peer_port)
        )

    def connection_made(self, transport):
        """Keep the socket."""
        self.transport = transport

    def error_received(self, error):
        """A peer is away; the next datagram may reach it."""

    def close(self):
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()

    def set_peers(self, peers):
        """Take the other gateways."""
        own = self.hub.settings.node.region
        regions = {}
        for peer in peers:
            regions.setdefault(peer.region, []).append(socket_address(peer))
        self.near.members.addresses = tuple(regions.pop(own, ()))
        self.far.members.regions = regions

    def send_soon(self):
        """Send the state once changes have been gathered."""
        for group in (self.near, self.far):
            if group.members.addresses and not group.is_due:
                group.is_due = True
                self.hub.loop.call_later(group.members.gather_s, self.send, group)

    def tick(self):
        """Send the state where nothing was sent for a while."""
        for group in (self.near, self.far):
            if clock.now_ms() - group.sent_ms >= KEEPALIVE_MS:
                self.send(group)

    def send(self, group):
        """Send the state to a group."""
        group.is_due = False
        now_ms = clock.now_ms()
        group.sent_ms = now_ms
        if self.transport is None or self.transport.is_closing():
            return
        self.number += 1
        with_spent = now_ms - group.spent_ms >= SPENT_INTERVAL_MS
        if with_spent:
            group.spent_ms = now_ms
        state = self.gateway.state(self.number, with_spent)
        payload = codec.encode_packed(codec.MESSAGE, state)
        if len(payload) > MAX_DATAGRAM_BYTES:
            self.hub.log.error("gossip: The state is too large.", bytes=len(payload))
            return
        self.send_to(group.members.next_targets(), payload)

    def send_to(self, addresses, payload):
        """Send a datagram to several gateways."""
        for address in addresses:
            self.transport.sendto(payload, address)
            self.datagrams += 1

    def datagram_received(self, payload, address):
        """Take a peer's state unless a later one has come."""
        is_far = address in self.far.members.addresses
        if not is_far and address not in self.near.members.addresses:
            return
        try:
            message = codec.decode_packed(codec.MESSAGE, payload)
        except errors.BadRequest as error:
            self.hub.log.warning("gossip: A datagram is unreadable.", reason=str(error))
            return
        if not isinstance(message, messages.GatewayState):
            return
        order = message.incarnation, message.number
        if order <= self.heard.get(message.name, (0, 0)):
            return
        self.heard[message.name] = order
        if is_far:
            self.send_to(self.near.members.addresses, payload)
        self.gateway.take_state(message)


def socket_address(peer):
    """Return a peer's address as a socket wants it."""
    host, _, port = peer.address.rpartition(":")
    return host, int(port)
