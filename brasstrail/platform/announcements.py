"""Decodes the announcements of the platform's backend servers.

Some of the platform's names are misleading:

- `zone` is the data centre.
- `state` says whether the server accepts new requests. It is decoded into
  `servers.Announcement.phase`.
- `phase` is unrelated to that: it says how an engine divides its work, and is
  ignored here.
- `version` is the version of the server's software.
- `born` is the time at which the server started.
- `cold_remaining_ms` is how much longer the server is slow after its start.
"""

import orjson

from brasstrail.core import errors, servers

PHASES_BY_STATE = {
    "ready": servers.ServerPhase.READY,
    "draining": servers.ServerPhase.LEAVING,
}
REMEDY = "Send the fields that the platform's page names."


def decode(identity, body):
    """Return the `servers.Announcement` in a request body.

    `identity` identifies the server. Raises `errors.BadRequest` if the body is
    malformed, or if a value in it cannot be passed on or used.
    """
    json_object = parse_json_object(body)
    phase = PHASES_BY_STATE.get(json_object.get("state"))
    if phase is None:
        raise errors.BadRequest("An announcement has an unknown state.", REMEDY)
    announcement = servers.Announcement(
        identity,
        get_string(json_object, "service"),
        get_string(json_object, "address"),
        get_string(json_object, "zone"),
        phase,
        get_non_negative_integer(json_object, "born"),
        get_non_negative_integer(json_object, "sequence"),
        max(1, get_non_negative_integer(json_object, "slots")),
        max(0.0, float(get_number(json_object, "cold_remaining_ms"))),
        get_optional_string(json_object, "version"),
    )
    servers.check_announcement(announcement)
    return announcement


def decode_withdrawal(identity, body):
    """Return the `servers.Announcement` of a server that has ended.

    Its start is None if the body is empty or does not state when the server started.
    Raises `errors.BadRequest` as `decode` does.
    """
    json_object = parse_json_object(body) if body else {}
    born_ms = None
    if "born" in json_object:
        born_ms = get_non_negative_integer(json_object, "born")
    announcement = servers.make_end(identity, born_ms)
    servers.check_announcement(announcement)
    return announcement


def parse_json_object(body):
    """Return the JSON object in a body; raise `errors.BadRequest` if there is none."""
    try:
        json_object = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BadRequest("An announcement is no JSON.", REMEDY) from error
    if not isinstance(json_object, dict):
        raise errors.BadRequest("An announcement is no object.", REMEDY)
    return json_object


def get_string(json_object, name):
    """Return the non-empty string in a field; raise `errors.BadRequest` otherwise."""
    value = json_object.get(name)
    if not isinstance(value, str) or not value:
        raise errors.BadRequest(f"An announcement has no {name}.", REMEDY)
    return value


def get_optional_string(json_object, name):
    """Return the string in a field, or "" if the field is missing.

    Raises `errors.BadRequest` if the value is not a string.
    """
    value = json_object.get(name, "")
    if not isinstance(value, str):
        raise errors.BadRequest(f"An announcement has no text {name}.", REMEDY)
    return value


def get_non_negative_integer(json_object, name):
    """Return the integer of at least 0 in a field.

    Raises `errors.BadRequest` if there is none.
    """
    value = json_object.get(name)
    if type(value) is not int or value < 0:
        raise errors.BadRequest(f"An announcement has no whole {name}.", REMEDY)
    return value


def get_number(json_object, name):
    """Return the number in a field, or 0 if the field is missing.

    Raises `errors.BadRequest` if the value is not a number.
    """
    value = json_object.get(name, 0)
    if type(value) not in (int, float):
        raise errors.BadRequest(f"An announcement has no number {name}.", REMEDY)
    return value
