"""Exchange of state between gateways, in datagrams that may be lost.

Each gateway sends its state after a change, with a short delay that batches changes,
and at least once a second. Datagrams are not acknowledged. Late and duplicate
datagrams are ignored.

A gateway sends directly to all gateways of its own data centre. For each other data
centre of its region, and for each other region, it sends to one gateway, selected in
rotation, which relays the datagram to the gateways near it. Links between data
centres have high latency and low bandwidth, and traffic on them is charged by the
byte. A failed relay loses one datagram of several, and each datagram holds the whole
state. The batch delay grows with the number of gateways, so that the rate at which a
gateway sends and receives datagrams does not.

Most states tell only which requests run where, and a newer one of the same gateway
makes them obsolete. Such a state is kept undecoded until it is needed. Load and
spending are sent as columns (see `columns`) once all other gateways have told that
they read them.
"""

import dataclasses
import itertools
import random

from brasstrail.core import clock, errors
from brasstrail.protocol import codec, messages
from brasstrail.transport import datagrams

# Longer than the time between two events of one request, but short compared with the
# duration of a generation.
OWN_REGION_BATCH_DELAY_S = 0.02
# About three times the network delay between regions.
OTHER_REGIONS_BATCH_DELAY_S = 0.1
# Maximum rates at which a gateway receives the states of its own region, to whose
# servers most of its requests go, and those of the other regions.
OWN_REGION_DATAGRAMS_PER_SECOND = 200
OTHER_REGIONS_DATAGRAMS_PER_SECOND = 100
# Allotment usage is sent less often than the rest of the state: the allotment slack
# covers several seconds of usage.
SPENT_INTERVAL_MS = 250
# New crashes of servers are in the next state. All of the last second are sent again
# at this interval, so that a lost datagram does not matter.
CRASHES_INTERVAL_MS = 500
KEEPALIVE_MS = 1000
MAX_DATAGRAM_BYTES = 60_000
# Fields of a state that must not be lost to a newer state.
NEWS_FIELDS = ("spent", "workspaces", "crashes", "limits", "departures")


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another gateway, its data centre and its region."""

    name: str
    address: str
    data_centre: str
    region: str


class RelayCandidates:
    """Gateways grouped by location; one per location is selected in rotation."""

    def __init__(self):
        self.by_location = {}
        self.rotation = random.randrange(1000)

    def add(self, location, address):
        """Add the address of a gateway at a location."""
        self.by_location.setdefault(location, []).append(address)

    @property
    def addresses(self):
        """The addresses of all gateways in all locations."""
        return tuple(itertools.chain(*self.by_location.values()))

    def next_relays(self):
        """Return one address per location; each call selects the next one."""
        self.rotation += 1
        return tuple(
            addresses[self.rotation % len(addresses)]
            for addresses in self.by_location.values()
        )


class Topology:
    """The other gateways, by their network distance from this one.

    Parameters
    ----------
    node : `settings.Node` of the process.
    peers : `Peer`s.

    Attributes
    ----------
    local_addresses : the addresses in the same data centre.
    data_centres : `RelayCandidates` by data centre, for the others of the region.
    regions : `RelayCandidates` by region, for the other regions.
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
        """Return the addresses to send to in order to reach the own region."""
        return (*self.local_addresses, *self.data_centres.next_relays())

    def other_region_targets(self):
        """Return the addresses to send to in order to reach the other regions."""
        return self.regions.next_relays()

    def own_region_batch_delay_s(self):
        """Return the batch delay for the own region, in seconds."""
        count = len(self.local_addresses) + len(self.data_centres.addresses)
        return max(OWN_REGION_BATCH_DELAY_S, count / OWN_REGION_DATAGRAMS_PER_SECOND)

    def other_regions_batch_delay_s(self):
        """Return the batch delay for the other regions, in seconds."""
        count = len(self.regions.addresses)
        return max(
            OTHER_REGIONS_BATCH_DELAY_S, count / OTHER_REGIONS_DATAGRAMS_PER_SECOND
        )

    def relay_targets(self, source):
        """Return where to relay a datagram, or None if its source is unknown."""
        if source in self.local_addresses:
            return ()
        if source in self.data_centres.addresses:
            return self.local_addresses
        if source in self.regions.addresses:
            return self.own_region_targets()
        return None


class TargetGroup:
    """Gateways that receive the state at the same times.

    Parameters
    ----------
    targets, batch_delay_s : functions that return the target addresses and the batch
        delay in seconds from the current topology.
    """

    def __init__(self, targets, batch_delay_s):
        self.targets = targets
        self.batch_delay_s = batch_delay_s
        self.is_scheduled = False
        self.last_sent_ms = 0
        self.last_spent_ms = 0
        self.last_crashes_ms = 0


class Gossip:
    """Sends this gateway's state and receives that of the others.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    gateway : provides `state(number, with_spent, crashes_since_ms)` and receives
        `apply_peer_state(message)`, `apply_peer_start(name)` when a gateway is new or
        has started again, `apply_peer_message(message, name)` for all others, and
        `dispatch_waiting()` after a batch of datagrams with states.

    Attributes
    ----------
    transport : `datagrams.DatagramSocket`, or None before it is opened.
    peers : `Peer` of the other gateways by name.
    has_states : whether the present batch of datagrams has had a state.
    pending : the newest state that is not applied yet, as `codec.Opened`, by gateway.
    column_readers : the names of the gateways that read the columns of a state.
    latest_received : the highest (incarnation, number) received, by gateway name.
    number : the sequence number of the state that was last sent.
    """

    def __init__(self, hub, gateway):
        self.hub = hub
        self.gateway = gateway
        self.transport = None
        self.peers = {}
        self.topology = Topology(hub.settings.node, ())
        self.own_region = TargetGroup(
            lambda: self.topology.own_region_targets(),
            lambda: self.topology.own_region_batch_delay_s(),
        )
        self.other_regions = TargetGroup(
            lambda: self.topology.other_region_targets(),
            lambda: self.topology.other_regions_batch_delay_s(),
        )
        self.has_states = False
        self.pending = {}
        self.column_readers = set()
        self.latest_received = {}
        self.number = 0
        self.datagrams_sent = 0

    def open(self):
        """Open the socket."""
        node = self.hub.settings.node
        self.transport = datagrams.DatagramSocket(
            self.hub.loop,
            (node.address, node.peer_port),
            self.datagram_received,
            self.end_batch,
        )

    def close(self):
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def set_peers(self, peers):
        """Replace the list of the other gateways."""
        self.peers = {peer.name: peer for peer in peers}
        self.column_readers &= self.peers.keys()
        self.topology = Topology(self.hub.settings.node, peers)

    @property
    def all_read_columns(self):
        """Whether all other gateways have told that they read columns."""
        return self.peers.keys() <= self.column_readers

    @property
    def datagrams_unsent(self):
        """How many datagrams the operating system did not take."""
        return self.transport.unsent if self.transport is not None else 0

    def send_soon(self):
        """Schedule the state to be sent after the batch delay."""
        for group in (self.own_region, self.other_regions):
            if not group.is_scheduled:
                group.is_scheduled = True
                self.hub.loop.call_later(group.batch_delay_s(), self.send, group)

    def tick(self):
        """Send the state to each group that was sent nothing for `KEEPALIVE_MS`."""
        for group in (self.own_region, self.other_regions):
            if clock.now_ms() - group.last_sent_ms >= KEEPALIVE_MS:
                self.send(group)

    def send(self, group):
        """Send the state to a group."""
        group.is_scheduled = False
        now_ms = clock.now_ms()
        last_sent_ms, group.last_sent_ms = group.last_sent_ms, now_ms
        if self.transport is None or self.transport.is_closing():
            return
        self.number += 1
        with_spent = now_ms - group.last_spent_ms >= SPENT_INTERVAL_MS
        if with_spent:
            group.last_spent_ms = now_ms
        crashes_since_ms = last_sent_ms
        if now_ms - group.last_crashes_ms >= CRASHES_INTERVAL_MS:
            group.last_crashes_ms = now_ms
            crashes_since_ms = None
        state = self.gateway.state(self.number, with_spent, crashes_since_ms)
        payload = codec.encode_packed(codec.MESSAGE, state)
        if len(payload) > MAX_DATAGRAM_BYTES:
            self.hub.log.error("gossip: The state is too large.", bytes=len(payload))
            return
        self.send_to(group.targets(), payload)

    def send_all(self):
        """Send the whole state to all groups at once."""
        for group in (self.own_region, self.other_regions):
            group.last_spent_ms -= SPENT_INTERVAL_MS
            group.last_crashes_ms -= CRASHES_INTERVAL_MS
            self.send(group)

    def read_waiting(self):
        """Read the datagrams that have arrived and wait to be read."""
        if self.transport is not None:
            self.transport.read_waiting()

    def send_message(self, names, message):
        """Send a message to some of the other gateways, in a datagram each."""
        payload = codec.encode_packed(codec.MESSAGE, message)
        self.send_to([socket_address(self.peers[name]) for name in names], payload)

    def names_at(self, address):
        """Return the names of the gateways at an address."""
        return [
            name for name, peer in self.peers.items() if socket_address(peer) == address
        ]

    def send_to(self, addresses, payload):
        """Send a datagram to several addresses."""
        for address in addresses:
            self.transport.sendto(payload, address)
            self.datagrams_sent += 1

    def datagram_received(self, payload, address):
        """Handle a datagram; an error in it is logged and ends nothing else."""
        self.hub.run_callback(self.handle_datagram, payload, address)

    def handle_datagram(self, payload, address):
        """Apply and relay a peer's state unless a newer one was received."""
        targets = self.topology.relay_targets(address)
        if targets is None:
            return
        try:
            opened = codec.open_packed(codec.MESSAGE, payload)
            if opened.holds(messages.GatewayState):
                self.receive_state(opened, payload, targets)
                return
            message = opened.load()
        except errors.BadRequest as error:
            self.log_undecoded(error)
            return
        for name in self.names_at(address):
            self.gateway.apply_peer_message(message, name)

    def receive_state(self, opened, payload, targets):
        """Relay a peer's state, and apply it or keep it, unless it is old."""
        name = opened.read("name")
        order = opened.read("incarnation"), opened.read("number")
        latest = self.latest_received.get(name, (0, 0))
        if order <= latest:
            return
        self.latest_received[name] = order
        self.send_to(targets, payload)
        self.pending[name] = opened
        if order[0] != latest[0]:
            self.gateway.apply_peer_start(name)
        if any(len(opened.read(field)) for field in NEWS_FIELDS):
            self.apply_pending(name)
        self.has_states = True

    def end_batch(self):
        """Dispatch waiting requests once for all states of a batch of datagrams."""
        if self.has_states:
            self.has_states = False
            self.gateway.dispatch_waiting()

    def apply_all_pending(self):
        """Apply all states that were kept."""
        for name in list(self.pending):
            self.apply_pending(name)

    def apply_pending(self, name):
        """Apply the state of a peer that was kept, if it was."""
        opened = self.pending.pop(name, None)
        if opened is not None:
            self.hub.run_callback(self.apply_state, name, opened)

    def apply_state(self, name, opened):
        """Apply the state of a peer; one that cannot be decoded is logged."""
        try:
            message = opened.load()
            self.gateway.apply_peer_state(message)
        except errors.BadRequest as error:
            self.log_undecoded(error)
            return
        if message.reads_columns:
            self.column_readers.add(name)
        else:
            self.column_readers.discard(name)

    def log_undecoded(self, error):
        """Log that a datagram was ignored."""
        self.hub.log.warning(
            "gossip: A datagram could not be decoded.", reason=str(error)
        )


def socket_address(peer):
    """Return a peer's address as a (host, port) pair."""
    host, _, port = peer.address.rpartition(":")
    return host, int(port)
