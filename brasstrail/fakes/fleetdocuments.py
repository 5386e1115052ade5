"""Routes of the platform's configuration documents, and ways to make one invalid."""

from brasstrail.fakes import fleetcalls


def make_route(name, services, timeout_ms):
    """Return the JSON object of a public route that is split evenly among services."""
    return {
        "name": name,
        "host": fleetcalls.HOST,
        "path_prefix": f"/{name}/",
        "type": "idempotent",
        "timeout_ms": timeout_ms,
        "goal_ms": 1000,
        "priority": 1,
        "split": [{"service": each, "weight": 1} for each in services],
        "max_attempts": 2,
        "public": True,
    }


def set_timeout(route, timeout_ms):
    """Change the time-out of a route."""
    route["timeout_ms"] = timeout_ms


# Functions that make a document invalid, by name. Its last route is a `make_route`.
INVALID = {}


def invalid(name):
    """Return a decorator that registers a function which makes a document invalid."""

    def register(function):
        INVALID[name] = function
        return function

    return register


@invalid("unknown service")
def name_unknown_service(document):
    document["routes"][-1]["split"] = [{"service": "nowhere", "weight": 1}]


@invalid("same host and prefix")
def repeat_place(document):
    document["routes"].append({**document["routes"][-1], "name": "again"})


@invalid("weights of 0")
def clear_weights(document):
    for split in document["routes"][-1]["split"]:
        split["weight"] = 0


@invalid("time-out of 0")
def clear_timeout(document):
    document["routes"][-1]["timeout_ms"] = 0


@invalid("shared key")
def share_key(document):
    document["tenants"].append({"name": "other", "api_keys": ["key-steady"]})


@invalid("no routes")
def leave_routes_out(document):
    del document["routes"]
