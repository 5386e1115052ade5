"""Placement policies: the order in which servers are considered for a request.

Each policy is a class registered under its name. `rank` takes a `data.Work`, the
usable `servers.ServerView`s and a `random.Random`, and returns the views in order
of preference. A policy whose `pushes` is true sends the request immediately to
the first server, without an offer; these policies serve as baselines for
comparison.
"""

import itertools

POLICIES = {}


def policy(name):
    """Return a class decorator that registers a policy under a name."""

    def register(policy_class):
        POLICIES[name] = policy_class
        policy_class.name = name
        return policy_class

    return register


@policy("granted")
class EarliestCompletion:
    """Offer to the server with the earliest expected completion.

    The request is sent when a server grants capacity.
    """

    pushes = False

    def rank(self, work, views, random):
        """Return the views sorted by the expected completion of the request."""
        return sorted(views, key=lambda view: view.estimate(work).total_ms)


@policy("round_robin")
class RoundRobin:
    """Push to each server in turn."""

    pushes = True

    def __init__(self):
        self.turns = itertools.count()

    def rank(self, work, views, random):
        """Return the views in rotation, starting with the next server."""
        ordered = sorted(views, key=lambda view: view.agent)
        turn = next(self.turns) % len(ordered)
        return ordered[turn:] + ordered[:turn]


@policy("least_outstanding")
class LeastOutstanding:
    """Push to the server that reports the fewest requests."""

    pushes = True

    def rank(self, work, views, random):
        """Return the views sorted by the reported number of running requests."""
        return sorted(views, key=lambda view: (view.state.running, view.agent))


@policy("power_of_two")
class PowerOfTwo:
    """Push to the less loaded of two servers drawn at random."""

    pushes = True

    def rank(self, work, views, random):
        """Return two views drawn at random, the less loaded first."""
        sampled = random.sample(list(views), min(2, len(views)))
        return sorted(sampled, key=lambda view: view.load())
