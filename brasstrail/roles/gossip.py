"""What gateways tell one another, in datagrams that may be lost.

Each gateway sends its state when that has changed, a little later so that changes
travel together, and every second in any case. Gateways of other regions are told
less often: the way to them is long, and its bytes are charged. Nobody answers. A
datagram that is late or comes twice changes nothing.
"""

import asyncio
import dataclasses

from brasstrail.core import clock, errors
from brasstrail.protocol import codec, messages

# Longer than the time between two events of one request, short against the length
# of a generation.
NEAR_GATHER_S = 0.02
# About three times the way between regions.
FAR_GATHER_S = 0.1
# What workspaces have spent is covered by a slack of several seconds' worth.
SPENT_INTERVAL_MS = 250
KEEPALIVE_MS = 1000
MAX_DATAGRAM_BYTES = 60_000


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another gateway; `is_near` says that it is of the same region."""

    name: str
    address: str
    is_near: bool


class Group:
    """Gateways that are told at the same times."""

    def __init__(self, gather_s):
        self.gather_s = gather_s
        self.addresses = ()
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
        self.near = Group(NEAR_GATHER_S)
        self.far = Group(FAR_GATHER_S)
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
        self.near.addresses = tuple(
            socket_address(each) for each in peers if each.is_near
        )
        self.far.addresses = tuple(
            socket_address(each) for each in peers if not each.is_near
        )

    def send_soon(self):
        """Send the state once changes have been gathered."""
        for group in (self.near, self.far):
            if group.addresses and not group.is_due:
                group.is_due = True
                self.hub.loop.call_later(group.gather_s, self.send, group)

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
        for address in group.addresses:
            self.transport.sendto(payload, address)
            self.datagrams += 1

    def datagram_received(self, payload, address):
        """Take a peer's state unless a later one has come."""
        if address not in self.near.addresses + self.far.addresses:
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
        self.gateway.take_state(message)


def socket_address(peer):
    """Return a peer's address as a socket wants it."""
    host, _, port = peer.address.rpartition(":")
    return host, int(port)
