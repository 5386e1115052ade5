"""What gateways tell one another, in datagrams that may be lost.

Each gateway sends its state when that has changed, a little later so that changes
travel together, and every second in any case. Nobody answers. A datagram that is
late or comes twice changes nothing.

The gateways of the own data centre are all told. Of each other data centre of the
region, and of each other region, one is told, in turn, and passes the datagram on to
those around it: the ways between are long, narrow and charged by the byte. A relay
that is gone costs one datagram of several, and each holds the whole state. The more
gateways there are, the longer changes are gathered, so that what a gateway sends and
reads does not grow with their number.
"""

import asyncio
import dataclasses
import itertools
import random

from brasstrail.core import clock, errors
from brasstrail.protocol import codec, messages

# Longer than the time between two events of one request, short against the length
# of a generation.
OWN_REGION_BATCH_DELAY_S = 0.02
# About three times the way between regions.
OTHER_REGIONS_BATCH_DELAY_S = 0.1
# What a gateway reads of others at most: by the slopes in docs/CAPACITY.md about 0.07
# of a core where fifty servers are known.
MAX_DATAGRAMS_PER_SECOND = 600
# What workspaces have spent is covered by a slack of several seconds' worth.
SPENT_INTERVAL_MS = 250
KEEPALIVE_MS = 1000
MAX_DATAGRAM_BYTES = 60_000


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another gateway, its data centre and its region."""

    name: str
    address: str
    data_centre: str
    region: str


class RelayCandidates:
    """Gateways by place, of which one a place is told in turn."""

    def __init__(self):
        self.by_location = {}
        self.rotation = random.randrange(1000)

    def add(self, location, address):
        """Add a gateway."""
        self.by_location.setdefault(location, []).append(address)

    @property
    def addresses(self):
        """All addresses of these gateways."""
        return tuple(itertools.chain(*self.by_location.values()))

    def next_relays(self):
        """Return one address of each place, another one each time."""
        self.rotation += 1
        return tuple(
            addresses[self.rotation % len(addresses)]
            for addresses in self.by_location.values()
        )


class Topology:
    """The other gateways, as one of them sees them.

    Parameters
    ----------
    node : `settings.Node` of the process.
    peers : `Peer`s.

    Attributes
    ----------
    mates : the addresses in the own data centre.
    centres : `Places` of the other data centres of the own region.
    regions : `Places` of the other regions.
    """

    def __init__(self, node, peers):
        local_addresses = []
        self.data_centres = RelayCandidates()
        self.regions = RelayCandidates()
        for peer in peers:
            address = socket_address(peer)
            if peer.region != node.region:
                self.regions.add(peer.region, address)
            elif peer.data_centre != node.data_centre:
                self.data_centres.add(peer.data_centre, address)
            else:
                local_addresses.append(address)
        self.local_addresses = tuple(local_addresses)

    def own_region_targets(self):
        """Return where a datagram goes to reach the own region."""
        return (*self.local_addresses, *self.data_centres.next_relays())

    def other_region_targets(self):
        """Return where a datagram goes to reach the other regions."""
        return self.regions.next_relays()

    def own_region_batch_delay_s(self):
        """Return how long changes are gathered for the own region."""
        count = len(self.local_addresses) + len(self.data_centres.addresses)
        return max(OWN_REGION_BATCH_DELAY_S, count / MAX_DATAGRAMS_PER_SECOND)

    def other_regions_batch_delay_s(self):
        """Return how long changes are gathered for the other regions."""
        count = len(self.regions.addresses)
        return max(OTHER_REGIONS_BATCH_DELAY_S, count / MAX_DATAGRAMS_PER_SECOND)

    def relay_targets(self, source):
        """Return to whom a datagram is passed on; None for a stranger's."""
        if source in self.local_addresses:
            return ()
        if source in self.data_centres.addresses:
            return self.local_addresses
        if source in self.regions.addresses:
            return self.own_region_targets()
        return None


class TargetGroup:
    """Gateways that are told at the same times.

    Parameters
    ----------
    targets, gather_s : methods of the present map that tell where a datagram goes
        and how long changes are gathered.
    """

    def __init__(self, targets, batch_delay_s):
        self.targets = targets
        self.batch_delay_s = batch_delay_s
        self.is_scheduled = False
        self.last_sent_ms = 0
        self.last_spent_ms = 0


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
        self.topology = Topology(hub.settings.node, ())
        self.own_region = TargetGroup(
            lambda: self.topology.own_region_targets(),
            lambda: self.topology.own_region_batch_delay_s(),
        )
        self.other_regions = TargetGroup(
            lambda: self.topology.other_region_targets(),
            lambda: self.topology.other_regions_batch_delay_s(),
        )
        self.latest_received = {}
        self.number = 0
        self.datagrams_sent = 0

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
        self.topology = Topology(self.hub.settings.node, peers)

    def send_soon(self):
        """Send the state once changes have been gathered."""
        for group in (self.own_region, self.other_regions):
            if not group.is_scheduled:
                group.is_scheduled = True
                self.hub.loop.call_later(group.batch_delay_s(), self.send, group)

    def tick(self):
        """Send the state where nothing was sent for a while."""
        for group in (self.own_region, self.other_regions):
            if clock.now_ms() - group.last_sent_ms >= KEEPALIVE_MS:
                self.send(group)

    def send(self, group):
        """Send the state to a group."""
        group.is_scheduled = False
        now_ms = clock.now_ms()
        group.last_sent_ms = now_ms
        if self.transport is None or self.transport.is_closing():
            return
        self.number += 1
        with_spent = now_ms - group.last_spent_ms >= SPENT_INTERVAL_MS
        if with_spent:
            group.last_spent_ms = now_ms
        state = self.gateway.state(self.number, with_spent)
        payload = codec.encode_packed(codec.MESSAGE, state)
        if len(payload) > MAX_DATAGRAM_BYTES:
            self.hub.log.error("gossip: The state is too large.", bytes=len(payload))
            return
        self.send_to(group.targets(), payload)

    def send_to(self, addresses, payload):
        """Send a datagram to several gateways."""
        for address in addresses:
            self.transport.sendto(payload, address)
            self.datagrams_sent += 1

    def datagram_received(self, payload, address):
        """Take a peer's state unless a later one has come."""
        targets = self.topology.relay_targets(address)
        if targets is None:
            return
        try:
            message = codec.decode_packed(codec.MESSAGE, payload)
        except errors.BadRequest as error:
            self.hub.log.warning("gossip: A datagram is unreadable.", reason=str(error))
            return
        if not isinstance(message, messages.GatewayState):
            return
        order = message.incarnation, message.number
        if order <= self.latest_received.get(message.name, (0, 0)):
            return
        self.latest_received[message.name] = order
        self.send_to(targets, payload)
        self.gateway.apply_peer_state(message)


def socket_address(peer):
    """Return a peer's address as a socket wants it."""
    host, _, port = peer.address.rpartition(":")
    return host, int(port)
