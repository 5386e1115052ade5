"""Retries as the backend servers count them, and the check of the users' budget.

A retry is an arrival beyond the first one of a request at any server, also one that the
server rejects. The budget is that of all gateways together.
"""

import bisect
import collections

from brasstrail.fakes import fleetcalls
from brasstrail.settings import settings
from brasstrail.tools import soakcheck


def service_of(route):
    """Return the service of a route."""
    return fleetcalls.ROUTES[route][2]


def find_retries(observations):
    """Return the times of the retries by service, in order."""
    routes = {reply.identity: reply.route for reply in observations.replies}
    seen = set()
    retries = collections.defaultdict(list)
    for record in sorted(observations.records, key=lambda each: each["at"]):
        if record["event"] != "arrived" or record["id"] not in routes:
            continue
        if record["id"] in seen:
            retries[service_of(routes[record["id"]])].append(record["at"])
        seen.add(record["id"])
    return retries


def allowed_retries(times, begin_at, budget):
    """Return how many retries a window allows, from the times of the requests.

    The requests of the window, of the one before it or of the one half a window before
    it count, whichever are most.
    """
    length_s = budget.retry_window_s
    requests = max(
        bisect.bisect_right(times, at + length_s) - bisect.bisect_left(times, at)
        for at in (begin_at, begin_at - length_s / 2, begin_at - length_s)
    )
    return budget.retry_ratio * requests + budget.retry_slack


def largest_window(observations, service):
    """Return (retries, allowed) of the window that exceeds its budget by most."""
    budget = settings.GatewayRole()
    sent = sorted(
        reply.sent_at
        for reply in observations.replies
        if service_of(reply.route) == service
    )
    times = find_retries(observations)[service]
    windows = [
        (
            bisect.bisect_right(times, at + budget.retry_window_s) - index,
            allowed_retries(sent, at, budget),
        )
        for index, at in enumerate(times)
    ]
    return max(windows, key=lambda each: each[0] - each[1], default=(0, 0.0))


@soakcheck.check("retries stay within their budget")
def find_exceeded_budgets(observations):
    """Find services that got more retries in a window than their budget allows."""
    for service in (fleetcalls.PLAIN_SERVICE, fleetcalls.ENGINE_SERVICE):
        retries, allowed = largest_window(observations, service)
        if retries > allowed:
            yield service, retries, round(allowed, 1)


def describe_use(observations):
    """Return the windows that exceed their budgets by most, or use it most, as text."""
    windows = [
        largest_window(observations, service)
        for service in (fleetcalls.PLAIN_SERVICE, fleetcalls.ENGINE_SERVICE)
    ]
    used = ", ".join(f"{retries} of {allowed:.0f}" for retries, allowed in windows)
    return f"retries {used}"
