"""A gateway's way to the control hosts: document, servers, lease.

The gateway keeps a link to each control host and follows one of them, the
nearest that answers. A beat that is confirmed renews the gateway's lease.
"""

import itertools
import random

from tornado import ioloop

from brasstrail.core import clock
from brasstrail.protocol import messages

BEAT_MS = 400
# A control host that has confirmed nothing for three beats is given up.
PATIENCE_MS = 1300
MAX_SENT_BEATS = 50


class Subscription:
    """What a gateway learns from control hosts.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    gateway : receives `take_document`, `take_directory` and `take_gateways`;
        its lease is renewed.
    """

    def __init__(self, hub, gateway):
        self.hub = hub
        self.log = hub.log
        self.gateway = gateway
        self.links = {}
        self.followed = None
        self.followed_ms = 0
        self.needs_directory = True
        self.sent = {}
        self.answered_ms = None
        self.numbers = itertools.count(1)
        self.ticker = ioloop.PeriodicCallback(self.tick, BEAT_MS)
        hub.handlers.append(self)

    def start(self):
        """Dial the seeds and begin to beat."""
        self.dial(self.hub.settings.cluster.peer_seeds)
        self.ticker.start()

    def close(self):
        """Stop beating."""
        self.ticker.stop()

    def dial(self, addresses):
        """Keep links to these control hosts as well."""
        for address in addresses:
            if address not in self.links:
                self.links[address] = self.hub.dial(address, self)

    def keep_only(self, addresses):
        """Give up the links to hosts that are no control hosts any more."""
        wanted = set(addresses) | set(self.hub.settings.cluster.peer_seeds)
        for address in set(self.links) - wanted:
            link = self.links.pop(address)
            if link is self.followed:
                self.followed = None
            self.hub.release_link(link, self)

    # Links.

    def link_up(self, link):
        """Follow a host at once where none is followed."""
        if self.followed is None and link in self.links.values():
            self.follow(link)

    def link_reset(self, link):
        """Ask for everything again where the host has lost the session."""
        if link is self.followed:
            self.needs_directory = True

    def link_message(self, link, message):
        """Take a message of a control host."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)

    # Following.

    def tick(self):
        """Beat; move on where the followed host confirms nothing."""
        now_ms = clock.now_ms()
        if self.is_lost(now_ms):
            self.move_on()
        if self.followed is not None:
            self.beat()

    def is_lost(self, now_ms):
        """Return whether the followed host no longer answers."""
        if self.followed is None or not self.followed.connected:
            return True
        heard_ms = max(self.followed_ms, self.answered_ms or 0)
        return now_ms - heard_ms > PATIENCE_MS

    def move_on(self):
        """Follow another host that is connected, the nearest first."""
        others = [
            link
            for link in self.links.values()
            if link.connected and link is not self.followed
        ]
        if not others:
            return
        own = self.hub.settings.node.data_centre
        random.shuffle(others)
        others.sort(key=lambda link: link.data_centre != own)
        self.log.warning(
            "subscription: The followed control host is given up.",
            peer=self.followed.name if self.followed else "",
            answer_age_ms=clock.now_ms() - (self.answered_ms or 0),
        )
        self.follow(others[0])

    def follow(self, link):
        """Follow a host."""
        self.followed = link
        self.followed_ms = clock.now_ms()
        self.needs_directory = True
        self.log.info("subscription: A control host is followed.", peer=link.name)
        self.beat()

    def prefer_near(self):
        """Move to the control host of the same data centre when it is up."""
        own = self.hub.settings.node.data_centre
        if self.followed is None or self.followed.data_centre == own:
            return
        for link in self.links.values():
            if link.connected and link.data_centre == own:
                self.follow(link)
                return

    def beat(self):
        """Send a beat."""
        number = next(self.numbers)
        self.sent[number] = clock.boot_ms()
        while len(self.sent) > MAX_SENT_BEATS:
            del self.sent[next(iter(self.sent))]
        self.followed.send(
            messages.Watch(
                number,
                self.gateway.document_version,
                self.needs_directory,
                self.hub.settings.node.dialed_address,
            )
        )

    # What arrives.

    def take_current(self, link, current):
        """Renew the lease from the moment at which the beat was sent."""
        sent_ms = self.sent.pop(current.beat_id, None)
        if sent_ms is None:
            return
        first = self.answered_ms is None
        self.answered_ms = clock.now_ms()
        if current.document_version > self.gateway.document_version:
            return
        self.gateway.lease.renew(sent_ms)
        self.gateway.lease_renewed()
        if first:
            self.hub.loop.call_later(1.0, self.prefer_near)

    def take_document(self, link, document):
        """Pass a document on."""
        self.gateway.take_document(document)

    def take_directory(self, link, update):
        """Pass news of servers on."""
        if link is self.followed:
            self.needs_directory = False
        self.gateway.take_directory(update)

    def take_gateways(self, link, update):
        """Pass news of gateways on; keep links to the present control hosts."""
        if update.control_addresses:
            self.dial(update.control_addresses)
            self.keep_only(update.control_addresses)
        self.gateway.take_gateways(update)


HANDLERS = {
    messages.Current: Subscription.take_current,
    messages.Document: Subscription.take_document,
    messages.Directory: Subscription.take_directory,
    messages.Gateways: Subscription.take_gateways,
}
