"""What gateways tell one another, in datagrams that may be lost.

Each gateway sends its whole state when that has changed, a little later so that
changes travel together, and every second in any case. Nobody answers. A datagram
that is late or comes twice changes nothing.
"""

import asyncio

from brasstrail.core import clock, errors
from brasstrail.protocol import codec, messages

# Longer than the time between two events of one request, short against the length
# of a generation.
GATHER_S = 0.02
KEEPALIVE_MS = 1000
MAX_DATAGRAM_BYTES = 60_000


class Gossip(asyncio.DatagramProtocol):
    """Sends this gateway's state and receives that of the others.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    gateway : gives `state(number)` and takes `take_state(message)`.
    """

    def __init__(self, hub, gateway):
        self.hub = hub
        self.gateway = gateway
        self.transport = None
        self.peers = ()
        self.heard = {}
        self.number = 0
        self.sent_ms = 0
        self.is_due = False
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

    def set_peers(self, addresses):
        """Take the addresses of the other gateways."""
        peers = []
        for address in addresses:
            host, _, port = address.rpartition(":")
            peers.append((host, int(port)))
        self.peers = tuple(peers)

    def send_soon(self):
        """Send the state once changes have been gathered."""
        if not self.is_due:
            self.is_due = True
            self.hub.loop.call_later(GATHER_S, self.send)

    def tick(self):
        """Send the state where nothing was sent for a while."""
        if clock.now_ms() - self.sent_ms >= KEEPALIVE_MS:
            self.send()

    def send(self):
        """Send the state to all peers."""
        self.is_due = False
        self.sent_ms = clock.now_ms()
        if self.transport is None or self.transport.is_closing():
            return
        self.number += 1
        payload = codec.encode(codec.MESSAGE, self.gateway.state(self.number))
        if len(payload) > MAX_DATAGRAM_BYTES:
            self.hub.log.error("gossip: The state is too large.", bytes=len(payload))
            return
        for peer in self.peers:
            self.transport.sendto(payload, peer)
            self.datagrams += 1

    def datagram_received(self, payload, address):
        """Take a peer's state unless a later one has come."""
        if address not in self.peers:
            return
        try:
            message = codec.decode(codec.MESSAGE, payload)
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
