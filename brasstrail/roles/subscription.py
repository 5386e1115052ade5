"""A gateway's subscription to control hosts for the document, servers and lease.

The gateway keeps a link to each control host and subscribes to one of them, the
nearest that answers. A confirmed heartbeat renews the gateway's lease.
"""

import itertools
import random

from tornado import ioloop

from brasstrail.core import clock
from brasstrail.protocol import messages

HEARTBEAT_INTERVAL_MS = 400
# If the periodic work is later than this, the process itself was held up, and what has
# arrived meanwhile is read first. That is done only once in a row: a process that is
# always late must find another control host, too.
MAX_TICK_DELAY_MS = 400
# After three heartbeat intervals without a confirmation the gateway switches to
# another control host.
CONFIRMATION_TIMEOUT_MS = 1300
MAX_UNCONFIRMED_HEARTBEATS = 50


class Subscription:
    """Receives updates from control hosts and renews the gateway's lease.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    gateway : receives `apply_document`, `apply_directory` and `apply_gateways`;
        its `lease` is renewed.

    Attributes
    ----------
    links : the links to control hosts, by address.
    active_link : the link to the host that the gateway subscribes to, or None.
    needs_directory : whether the next heartbeat requests all known servers.
    unconfirmed_heartbeats : when each was sent, by number (`clock.boot_ms`).
    last_confirmed_ms : when a heartbeat was last confirmed, or None.
    received_version : the newest document version that was read.
    awaited : (version, time) of the newest confirmed heartbeat whose document is still
        being read and of its sending, or None.
    last_tick_ms : when the periodic work last ran.
    was_held_up : whether it was too late then, and left the choice of a host out.
    """

    def __init__(self, hub, gateway):
        self.hub = hub
        self.log = hub.log
        self.gateway = gateway
        self.links = {}
        self.active_link = None
        self.activated_ms = 0
        self.needs_directory = True
        self.unconfirmed_heartbeats = {}
        self.last_confirmed_ms = None
        self.received_version = 0
        self.awaited = None
        self.last_tick_ms = clock.now_ms()
        self.was_held_up = False
        self.heartbeat_ids = itertools.count(1)
        self.ticker = ioloop.PeriodicCallback(self.tick, HEARTBEAT_INTERVAL_MS)
        hub.handlers.append(self)

    def start(self):
        """Connect to the seed hosts and start sending heartbeats."""
        self.dial(self.hub.settings.cluster.peer_seeds)
        self.ticker.start()

    def close(self):
        """Stop sending heartbeats."""
        self.ticker.stop()

    def dial(self, addresses):
        """Open links to the control hosts that have none yet."""
        for address in addresses:
            if address not in self.links:
                self.links[address] = self.hub.dial(address, self)

    def drop_other_links(self, addresses):
        """Close the links to hosts that are neither control hosts nor seeds."""
        wanted = set(addresses) | set(self.hub.settings.cluster.peer_seeds)
        for address in set(self.links) - wanted:
            link = self.links.pop(address)
            if link is self.active_link:
                self.active_link = None
            self.hub.release_link(link, self)

    # Links.

    def link_up(self, link):
        """Subscribe to a host at once if there is no active link."""
        self.gateway.milestones.reach("first_contact", peer=link.name)
        if self.active_link is None and link in self.links.values():
            self.subscribe(link)

    def link_reset(self, link):
        """Request the full directory again if the active host lost the session."""
        if link is self.active_link:
            self.needs_directory = True

    def link_message(self, link, message):
        """Dispatch a message from a control host to its handler."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)

    # Choice of the control host.

    def tick(self):
        """Send a heartbeat; first switch hosts if the active one does not answer."""
        now_ms = clock.now_ms()
        delay_ms = now_ms - self.last_tick_ms - HEARTBEAT_INTERVAL_MS
        self.last_tick_ms = now_ms
        self.was_held_up = delay_ms > MAX_TICK_DELAY_MS and not self.was_held_up
        if not self.was_held_up and self.has_lost_control_host(now_ms):
            self.switch_control_host()
        if self.active_link is not None:
            self.send_heartbeat()

    def has_lost_control_host(self, now_ms):
        """Return whether the active link is down or its host no longer answers."""
        if self.active_link is None or not self.active_link.connected:
            return True
        if self.active_link.is_receiving:
            return False
        last_active_ms = max(self.activated_ms, self.last_confirmed_ms or 0)
        return now_ms - last_active_ms > CONFIRMATION_TIMEOUT_MS

    def switch_control_host(self):
        """Subscribe to another connected host, preferably in the same data centre."""
        others = [
            link
            for link in self.links.values()
            if link.connected and link is not self.active_link
        ]
        if not others:
            return
        own_data_centre = self.hub.settings.node.data_centre
        random.shuffle(others)
        others.sort(key=lambda link: link.data_centre != own_data_centre)
        self.log.warning(
            "subscription: Lost the control host; switching to another.",
            peer=self.active_link.name if self.active_link else "",
            answer_age_ms=clock.now_ms() - (self.last_confirmed_ms or 0),
        )
        self.subscribe(others[0])

    def subscribe(self, link):
        """Make a host the active one and send it a heartbeat."""
        self.active_link = link
        self.activated_ms = clock.now_ms()
        self.needs_directory = True
        self.log.info("subscription: A control host was selected.", peer=link.name)
        self.send_heartbeat()

    def switch_to_own_data_centre(self):
        """Switch to a connected control host in the gateway's own data centre."""
        own_data_centre = self.hub.settings.node.data_centre
        if self.active_link is None or self.active_link.data_centre == own_data_centre:
            return
        for link in self.links.values():
            if link.connected and link.data_centre == own_data_centre:
                self.subscribe(link)
                return

    def send_heartbeat(self):
        """Send a heartbeat and record when it was sent."""
        number = next(self.heartbeat_ids)
        self.unconfirmed_heartbeats[number] = clock.boot_ms()
        while len(self.unconfirmed_heartbeats) > MAX_UNCONFIRMED_HEARTBEATS:
            del self.unconfirmed_heartbeats[next(iter(self.unconfirmed_heartbeats))]
        self.active_link.send(
            messages.Watch(
                number,
                self.gateway.document_version,
                self.needs_directory,
                self.hub.settings.node.advertised_address,
                self.received_version,
            )
        )

    # Messages from control hosts.

    def handle_current(self, link, current):
        """Renew the lease, counted from when the confirmed heartbeat was sent.

        The lease is not renewed while the gateway holds an older document than the
        control host.
        """
        sent_ms = self.unconfirmed_heartbeats.pop(current.beat_id, None)
        if sent_ms is None:
            return
        is_first = self.last_confirmed_ms is None
        self.last_confirmed_ms = clock.now_ms()
        if is_first:
            self.hub.loop.call_later(1.0, self.switch_to_own_data_centre)
        self.awaited = current.document_version, sent_ms
        self.renew_lease()

    def renew_lease(self):
        """Renew the lease if the document of the confirmed heartbeat is in force."""
        if self.awaited is None or self.awaited[0] > self.gateway.document_version:
            return
        _, sent_ms = self.awaited
        self.awaited = None
        self.gateway.lease.renew(sent_ms)
        self.gateway.on_lease_renewed()

    def handle_document(self, link, document):
        """Apply a document."""
        self.gateway.apply_document(document)

    def report_document(self, version):
        """Report a document that was read at once; there may be a newer one."""
        self.received_version = max(self.received_version, version)
        self.renew_lease()
        if self.active_link is not None:
            self.send_heartbeat()

    def handle_directory(self, link, update):
        """Apply an update of server records."""
        if link is self.active_link:
            self.needs_directory = False
        self.gateway.apply_directory(update)

    def handle_gateways(self, link, update):
        """Apply the list of gateways; keep links to the current control hosts only."""
        if update.control_addresses:
            self.dial(update.control_addresses)
            self.drop_other_links(update.control_addresses)
        self.gateway.apply_gateways(update)

    def handle_rollouts(self, link, update):
        """Apply the records of roll-outs."""
        self.gateway.canary.apply(update)


HANDLERS = {
    messages.Current: Subscription.handle_current,
    messages.Document: Subscription.handle_document,
    messages.Directory: Subscription.handle_directory,
    messages.Gateways: Subscription.handle_gateways,
    messages.Rollouts: Subscription.handle_rollouts,
}
