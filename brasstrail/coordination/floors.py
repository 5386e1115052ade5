"""Floors: leases during which agents start no request of a lower tier.

An entry raises a floor before it refuses a request for lack of capacity. The floor
is held when every connected agent of the service has confirmed it. The entry
relies on the floor for `LEASE_MARGIN_MS` less than the lease, counted from the
time of its request, so that it stops relying on the floor before the lease of any
agent ends.
"""

import dataclasses
import itertools

from brasstrail.protocol import messages

# How long an agent holds a floor from the time at which the request reaches it.
LEASE_MS = 1000
LEASE_MARGIN_MS = 200
# For this time, a requested floor is not requested again.
RENEW_INTERVAL_MS = 500


@dataclasses.dataclass
class Floor:
    """A floor that this entry raised for a service.

    Requests of a lower tier than `tier` are blocked. `sent_ms` is the time of the
    request to the agents. `unconfirmed_agents` are the agents that have not confirmed
    yet that they hold it.
    """

    floor_id: str
    tier: int
    sent_ms: int
    unconfirmed_agents: set
    held: bool = False


class FloorManager:
    """The floors that one entry raises, at most one per service.

    Parameters
    ----------
    name : the entry's name.

    Attributes
    ----------
    by_service : `Floor` by service.
    """

    def __init__(self, name):
        self.name = name
        self.by_service = {}
        self.floor_numbers = itertools.count(1)

    def raise_floor(self, service, tier, agents, now_ms):
        """Return the messages that request a floor, with their agents.

        The list is empty if, less than `RENEW_INTERVAL_MS` ago, the entry
        requested a floor that is not held yet or that blocks at least the same tiers.
        """
        current = self.by_service.get(service)
        if current is not None and now_ms - current.sent_ms < RENEW_INTERVAL_MS:
            if current.tier <= tier or not current.held:
                return []
        number = f"{self.name}.floor.{next(self.floor_numbers)}"
        self.by_service[service] = Floor(number, tier, now_ms, set(agents))
        message = messages.RaiseFloor(number, service, tier, LEASE_MS)
        return [(agent, message) for agent in sorted(agents)]

    def add_agent(self, service, agent):
        """Return the messages that request a service's floor from one more agent.

        The floor counts as held again when this agent has confirmed it.
        """
        floor = self.by_service.get(service)
        if floor is None:
            return []
        floor.held = False
        floor.unconfirmed_agents.add(agent)
        message = messages.RaiseFloor(floor.floor_id, service, floor.tier, LEASE_MS)
        return [(agent, message)]

    def record_held(self, floor_id, agent):
        """Record that an agent holds a floor."""
        for floor in self.by_service.values():
            if floor.floor_id == floor_id:
                floor.unconfirmed_agents.discard(agent)

    def remove_agent(self, agent):
        """Remove an agent that left; its confirmation is no longer needed."""
        for floor in self.by_service.values():
            floor.unconfirmed_agents.discard(agent)

    def update(self, now_ms, is_connected):
        """Remove expired floors; return the services whose floor is newly held.

        Confirmations of disconnected agents are not required.
        """
        newly_held = []
        for service, floor in list(self.by_service.items()):
            if now_ms - floor.sent_ms > LEASE_MS:
                del self.by_service[service]
                continue
            floor.unconfirmed_agents = {
                agent for agent in floor.unconfirmed_agents if is_connected(agent)
            }
            if not floor.held and not floor.unconfirmed_agents:
                floor.held = True
                newly_held.append(service)
        return newly_held

    def is_held(self, service, tier, now_ms):
        """Return whether no agent can start a request below `tier` now."""
        floor = self.by_service.get(service)
        if floor is None or not floor.held or floor.tier > tier:
            return False
        return now_ms <= floor.sent_ms + LEASE_MS - LEASE_MARGIN_MS
