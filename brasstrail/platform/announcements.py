"""Decodes what the platform's servers say of themselves.

Names that mislead: `zone` is a data centre; `state` is what the server wants of
callers, and `phase` is something else (how an engine divides its work), which
is not read here; `version` is that of the server's software.
"""

import orjson

from brasstrail.core import errors, servers

PHASES_BY_STATE = {
    "ready": servers.ServerPhase.READY,
    "draining": servers.ServerPhase.LEAVING,
}
REMEDY = "Send the fields that the platform's page names."


def decode(identity, body):
    """Return the announcement in a call; raise `errors.BadRequest`."""
    json_object = parse_json_object(body)
    phase = PHASES_BY_STATE.get(json_object.get("state"))
    if phase is None:
        raise errors.BadRequest("An announcement has an unknown state.", REMEDY)
    address = get_string(json_object, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise errors.BadRequest("An announcement has no address.", REMEDY)
    return servers.Announcement(
        identity,
        get_string(json_object, "service"),
        address,
        get_string(json_object, "zone"),
        phase,
        get_non_negative_integer(json_object, "born"),
        get_non_negative_integer(json_object, "sequence"),
        max(1, get_non_negative_integer(json_object, "slots")),
        max(0.0, get_number(json_object, "cold_remaining_ms")),
    )


def decode_withdrawal(body):
    """Return the start that a server's last word speaks of, or None."""
    if not body:
        return None
    json_object = parse_json_object(body)
    if "born" not in json_object:
        return None
    return get_non_negative_integer(json_object, "born")


def parse_json_object(body):
    """Return the object in a body."""
    try:
        json_object = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BadRequest("An announcement is no JSON.", REMEDY) from error
    if not isinstance(json_object, dict):
        raise errors.BadRequest("An announcement is no object.", REMEDY)
    return json_object


def get_string(json_object, name):
    """Return a word that is not empty."""
    value = json_object.get(name)
    if not isinstance(value, str) or not value:
        raise errors.BadRequest(f"An announcement has no {name}.", REMEDY)
    return value


def get_non_negative_integer(json_object, name):
    """Return a whole number that is not negative."""
    value = json_object.get(name)
    if type(value) is not int or value < 0:
        raise errors.BadRequest(f"An announcement has no whole {name}.", REMEDY)
    return value


def get_number(json_object, name):
    """Return a number; one that is not given is 0."""
    value = json_object.get(name, 0)
    if type(value) not in (int, float):
        raise errors.BadRequest(f"An announcement has no number {name}.", REMEDY)
    return value
