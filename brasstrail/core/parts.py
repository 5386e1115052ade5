"""Names of the parts of prompts, as short numbers.

A part is identified by a text that its caller chose, usually a few hexadecimal digits.
Gateways compare the parts of many requests and send them to each other, for which they
use `part_key`: a number of 63 bits. Digits are kept, so that `part_name` can show them;
any other text is replaced by a digest.

>>> part_name(part_key("5c1e07a2")), part_key("5c1e07a2") == part_key("05c1e07a2")
('5c1e07a2', False)
"""

import hashlib
import re

# Parts of one prompt that are told apart; source: the users' bound of 30, and a margin.
MAX_PARTS = 60
# A one in front of the digits keeps leading zeros.
DIGITS_PATTERN = re.compile(r"[0-9a-f]{1,14}")
DIGEST_FLAG = 1 << 62
DIGEST_MARK = "#"


def part_key(identity):
    """Return the number of a part."""
    if DIGITS_PATTERN.fullmatch(identity):
        return int(f"1{identity}", 16)
    digest = hashlib.blake2b(identity.encode(), digest_size=8).digest()
    return DIGEST_FLAG | (int.from_bytes(digest) & (DIGEST_FLAG - 1))


def part_name(key):
    """Return the text of a part, or its marked digest."""
    if key & DIGEST_FLAG:
        return f"{DIGEST_MARK}{key ^ DIGEST_FLAG:x}"
    return f"{key:x}"[1:]


def shared_parts(prompt):
    """Return the numbers of the parts that a prompt may share with others.

    These are all but the last one, which belongs to the request alone, without
    repetitions. `prompt` is a `calls.Prompt` or None. Parts beyond `MAX_PARTS` are left
    out.
    """
    if prompt is None:
        return ()
    keys = (part_key(part.identity) for part in prompt.parts[:-1][:MAX_PARTS])
    return tuple(dict.fromkeys(keys))
