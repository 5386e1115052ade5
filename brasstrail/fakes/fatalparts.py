"""Parts of prompts that end the fake servers which begin to answer on them.

The identity of such a part says how the servers end and until when they do:

>>> identity = make_fatal_part("exit", 1700000000, 7)
>>> find_ending(f"f0:60,{identity}:20,9a:5", 1699999999)
'exit'
>>> find_ending(f"f0:60,{identity}:20,9a:5", 1700000001) is None
True
"""

import re

# The ways in which servers end, in the order of their numbers in identities.
ENDINGS = ("exit", "reset", "silent", "partial", "events")
PATTERN = re.compile(r"dead([0-9])([0-9a-f]{8})[0-9a-f]+")


def make_fatal_part(ending, until_s, number):
    """Return the identity of a part that ends servers until a Unix time in seconds.

    `number` distinguishes it from others.
    """
    return f"dead{ENDINGS.index(ending)}{until_s:08x}{number:x}"


def find_ending(prompt, now_s):
    """Return how a server ends that answers on a list of parts, or None.

    The last part of the list ends no server.
    """
    for part in prompt.split(",")[:-1]:
        identity = part.partition(":")[0]
        match = PATTERN.fullmatch(identity)
        if match and now_s < end_of(identity):
            return ENDINGS[int(match[1])]
    return None


def end_of(identity):
    """Return until when a part ends servers, as a Unix time in seconds."""
    return int(PATTERN.fullmatch(identity)[2], 16)
