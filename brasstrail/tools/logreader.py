"""Reads the structured lines of many processes and follows one thing in them.

A line is JSON, with anything before its first brace (a collector may put a time and
a host there). Lines are put in order by their own timestamps, which differ between
hosts as their clocks do.
"""

import dataclasses

import orjson

HEADER_FIELDS = ("timestamp", "node", "event", "level")
# How long before a request ended the beliefs about its servers are shown.
CONTEXT_S = 5.0


@dataclasses.dataclass(frozen=True)
class LogLine:
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
    json_start = text.find("{")
    if json_start < 0:
        return None
    try:
        log_fields = orjson.loads(text[json_start:])
    except orjson.JSONDecodeError:
        return None
    if "event" not in log_fields or "timestamp" not in log_fields:
        return None
    header = {name: log_fields.pop(name, "") for name in HEADER_FIELDS}
    return LogLine(fields=log_fields, **header)


def read(files):
    """Return the lines of open files, in order of time."""
    lines = [line for file in files for line in map(parse, file) if line is not None]
    return sorted(lines, key=lambda line: line.timestamp)


def find_request_lines(lines, request_id):
    """Return what touched a request, and what was believed of its servers.

    Of the servers that it was sent to, the last news before its end is kept, as the
    process that served it had it.
    """
    request_lines = [line for line in lines if line.fields.get("id") == request_id]
    if not request_lines:
        return []
    last_line = request_lines[-1]
    servers = [name for name in last_line.fields.get("servers", "").split(",") if name]
    server_lines = []
    for server in servers:
        earlier_lines = [
            line
            for line in lines
            if line.fields.get("server") == server
            and line.node == last_line.node
            and line.timestamp <= last_line.timestamp
        ]
        server_lines.extend(earlier_lines[-1:])
    return sorted([*server_lines, *request_lines], key=lambda line: line.timestamp)


def find_lines_by_field(lines, name, value):
    """Return the lines whose field has a value."""
    return [line for line in lines if str(line.fields.get(name)) == value]


def format_line(line):
    """Return a line for people."""
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if value not in ("", None)
    )
    return f"{line.timestamp} {line.node} {line.event} {fields}"
