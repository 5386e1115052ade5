"""What is a status of an answer (RFC 9110, section 15).

Parsers of HTTP take any three digits. A status of another class says nothing, so that
an answer with one is no answer.
"""

import re

STATUS_PATTERN = "[1-5][0-9]{2}"
FIRST_FINAL_STATUS = 200
STATUS = re.compile(STATUS_PATTERN)


def is_status(code):
    """Return whether a number is the status of an answer.

    >>> is_status(200), is_status(0), is_status(600), is_status(2000)
    (True, False, False, False)
    """
    return STATUS.fullmatch(str(code)) is not None
