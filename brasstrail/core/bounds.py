"""Bounds of the values that come from outside.

A value is checked where it is decoded, so that each later layer can hold it: messages
between processes, heads of HTTP messages and the addresses of sockets.
"""

import ipaddress
import math
import re

from brasstrail.core import errors

# The largest integer that messages between processes hold.
MAX_INTEGER = 2**63 - 1
MAX_NAME_CHARACTERS = 256
MAX_PORT = 65_535
# Text that reaches the other end of an HTTP connection unchanged in a header.
HEADER_TEXT = re.compile(r"[!-~]+")
DIGITS = re.compile(r"[0-9]+")
# Digits of a count that are read; a longer one is larger than any limit.
MAX_DIGITS = 18
REMEDY = "Correct what is named and send it again."


def check_integer(name, value, lowest=0):
    """Raise `errors.BadRequest` unless an integer fits into 64 bits with a sign.

    >>> check_integer("slots", 4)
    """
    if type(value) is not int or not lowest <= value <= MAX_INTEGER:
        raise errors.BadRequest(
            f"{name} is no whole number of at least {lowest} in 64 bits.", REMEDY
        )


def check_number(name, value):
    """Raise `errors.BadRequest` unless a number is finite and at least 0."""
    is_number = type(value) in (int, float) and math.isfinite(value)
    if not is_number or not 0 <= value <= MAX_INTEGER:
        raise errors.BadRequest(f"{name} is no number of at least 0.", REMEDY)


def check_name(name, value):
    """Raise `errors.BadRequest` unless a name is neither empty nor too long."""
    if not value or len(value) > MAX_NAME_CHARACTERS:
        raise errors.BadRequest(
            f"{name} is no word of up to {MAX_NAME_CHARACTERS} characters.", REMEDY
        )


def check_header_text(name, value):
    """Raise `errors.BadRequest` unless a name can be sent in an HTTP header."""
    check_name(name, value)
    if not HEADER_TEXT.fullmatch(value):
        raise errors.BadRequest(
            f"{name} has other characters than visible ones of ASCII.", REMEDY
        )


def parse_count(text, highest):
    """Return the number in decimal digits, or `highest` if it is larger.

    Returns None if the text holds anything else.

    >>> parse_count("80", 100), parse_count("9" * 5000, 100), parse_count("²", 100)
    (80, 100, None)
    """
    if not DIGITS.fullmatch(text):
        return None
    significant = text.lstrip("0") or "0"
    return highest if len(significant) > MAX_DIGITS else min(highest, int(significant))


def split_address(address):
    """Return the host and port of a literal IP address with a port.

    Names are not looked up. Raises `errors.BadRequest` for anything else.

    >>> split_address("10.0.0.4:8080")
    ('10.0.0.4', 8080)
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise errors.BadRequest(
            f"The address {address[:MAX_NAME_CHARACTERS]!r} has no literal IP address.",
            REMEDY,
        ) from error
    if not DIGITS.fullmatch(port) or len(port) > 5 or not 1 <= int(port) <= MAX_PORT:
        raise errors.BadRequest(
            f"The address {address[:MAX_NAME_CHARACTERS]!r} has no port from 1 to "
            f"{MAX_PORT}.",
            REMEDY,
        )
    return host, int(port)
