"""Decodes what the platform's servers say of themselves.

Names that mislead: `zone` is a data centre; `state` is what the server wants of
callers, and `phase` is something else (how an engine divides its work), which
is not read here; `version` is that of the server's software.
"""

import orjson

from brasstrail.core import errors, servers

PHASES = {
    "ready": servers.ServerPhase.READY,
    "draining": servers.ServerPhase.LEAVING,
}
REMEDY = "Send the fields that the platform's page names."


def decode(identity, body):
    """Return the announcement in a call; raise `errors.BadRequest`."""
    table = read_table(body)
    phase = PHASES.get(table.get("state"))
    if phase is None:
        raise errors.BadRequest("An announcement has an unknown state.", REMEDY)
    address = text(table, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise errors.BadRequest("An announcement has no address.", REMEDY)
    return servers.Announcement(
        identity,
        text(table, "service"),
        address,
        text(table, "zone"),
        phase,
        whole(table, "born"),
        whole(table, "sequence"),
        max(1, whole(table, "slots")),
        max(0.0, number(table, "cold_remaining_ms")),
    )


def decode_withdrawal(body):
    """Return the start that a server's last word speaks of, or None."""
    if not body:
        return None
    table = read_table(body)
    if "born" not in table:
        return None
    return whole(table, "born")


def read_table(body):
    """Return the object in a body."""
    try:
        table = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BadRequest("An announcement is no JSON.", REMEDY) from error
    if not isinstance(table, dict):
        raise errors.BadRequest("An announcement is no object.", REMEDY)
    return table


def text(table, name):
    """Return a word that is not empty."""
    value = table.get(name)
    if not isinstance(value, str) or not value:
        raise errors.BadRequest(f"An announcement has no {name}.", REMEDY)
    return value


def whole(table, name):
    """Return a whole number that is not negative."""
    value = table.get(name)
    if type(value) is not int or value < 0:
        raise errors.BadRequest(f"An announcement has no whole {name}.", REMEDY)
    return value


def number(table, name):
    """Return a number; one that is not given is 0."""
    value = table.get(name, 0)
    if type(value) not in (int, float):
        raise errors.BadRequest(f"An announcement has no number {name}.", REMEDY)
    return value
