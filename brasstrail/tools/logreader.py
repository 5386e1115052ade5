"""Reads the structured logs of several processes and filters their lines.

A line is a JSON object. Text before its first brace is skipped, as a log collector
may put a time and a host there. Lines are sorted by their own timestamps, so their
order across hosts is only as exact as the hosts' clocks agree.
"""

import dataclasses

import orjson

HEADER_FIELDS = ("timestamp", "node", "event", "level")
# Meant as the limit on how long before the end of a request the lines about its
# servers are shown. Unused: `find_request_lines` applies no limit.
CONTEXT_S = 5.0


@dataclasses.dataclass(frozen=True)
class LogLine:
    """A log line; `fields` holds all fields that are not in `HEADER_FIELDS`."""

    timestamp: str
    node: str
    event: str
    level: str
    fields: dict


def parse(text):
    """Parse a line of text; return None if it holds no structured log line.

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
    """Return the log lines of open files, sorted by timestamp."""
    lines = [line for file in files for line in map(parse, file) if line is not None]
    return sorted(lines, key=lambda line: line.timestamp)


def find_request_lines(lines, request_id):
    """Return the lines of a request and the latest lines about its servers.

    The servers are those in the last line of the request. For each of them the
    result includes the latest line up to that time from the process that logged it.
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
    """Return the lines whose field, as a string, has the given value."""
    return [line for line in lines if str(line.fields.get(name)) == value]


def format_line(line):
    """Format a line as readable text, without empty fields."""
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if value not in ("", None)
    )
    return f"{line.timestamp} {line.node} {line.event} {fields}"
