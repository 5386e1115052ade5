"""Reads the structured lines of many processes and follows one thing in them.

A line is JSON, with anything before its first brace (a collector may put a time and
a host there). Lines are put in order by their own timestamps, which differ between
hosts as their clocks do.
"""

import dataclasses

import orjson

HEAD_FIELDS = ("timestamp", "node", "event", "level")
# How long before a request ended the beliefs about its servers are shown.
CONTEXT_S = 5.0


@dataclasses.dataclass(frozen=True)
class Line:
    """A line of the log; `fields` holds all that is not its head."""

    timestamp: str
    node: str
    event: str
    level: str
    fields: dict


def parse(text):
    """Return the line in a text, or None where it holds none.

    >>> parse('host {"timestamp": "t", "node": "n", "event": "e", "id": "1"}').fields
    {'id': '1'}
    """
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        table = orjson.loads(text[begin:])
    except orjson.JSONDecodeError:
        return None
    if "event" not in table or "timestamp" not in table:
        return None
    head = {name: table.pop(name, "") for name in HEAD_FIELDS}
    return Line(fields=table, **head)


def read(files):
    """Return the lines of open files, in order of time."""
    lines = [line for file in files for line in map(parse, file) if line is not None]
    return sorted(lines, key=lambda line: line.timestamp)


def follow_request(lines, identity):
    """Return what touched a request, and what was believed of its servers.

    Of the servers that it was sent to, the last news before its end is kept, as the
    process that served it had it.
    """
    own = [line for line in lines if line.fields.get("id") == identity]
    if not own:
        return []
    end = own[-1]
    servers = [name for name in end.fields.get("servers", "").split(",") if name]
    beliefs = []
    for server in servers:
        known = [
            line
            for line in lines
            if line.fields.get("server") == server
            and line.node == end.node
            and line.timestamp <= end.timestamp
        ]
        beliefs.extend(known[-1:])
    return sorted([*beliefs, *own], key=lambda line: line.timestamp)


def follow_field(lines, name, value):
    """Return the lines whose field has a value."""
    return [line for line in lines if str(line.fields.get(name)) == value]


def render(line):
    """Return a line for people."""
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if value not in ("", None)
    )
    return f"{line.timestamp} {line.node} {line.event} {fields}"
