"""Wrong answers of a fake backend server: copies of earlier ones, and later failures.

`draw_copy` makes a copy of an answer that was given before, which the server writes
where the answer to the present request is due. `draw_failure` makes an answer to a
request for the rest of a stream.
"""

import random

COPY_FRACTION = 0.3
FAILURE_FRACTION = 0.5
REFUSAL_STATUSES = (408, 421, 429, 503)
FAILURE_STATUSES = (204, 404, 500, 503)
EARLIER_BODY = b"earlier done by an earlier run"
FAILURE_BODY = b"no rest of this stream"


def draw_copy(earlier_id):
    """Return the copy of an answer, or None if the server is to write none now.

    `earlier_id` is the attempt id of the last request on the connection, or an empty
    string on a new one, on which only a refusal can be a copy. Half of the copies name
    their request.
    """
    if random.random() >= COPY_FRACTION:
        return None
    lines = []
    if earlier_id and random.random() < 0.5:
        lines.append(f"X-Attempt-Id: {earlier_id}")
    if earlier_id and random.random() < 0.5:
        lines += ["X-Server-Signature: earlier", "Content-Type: text/plain"]
        return make_answer(200, lines, EARLIER_BODY)
    lines.append("X-Not-Executed: 1")
    return make_answer(random.choice(REFUSAL_STATUSES), lines, b"")


def make_answer(status, lines, body):
    """Return an answer with some lines in its head and a length."""
    start = f"HTTP/1.1 {status} Some"
    length = f"Content-Length: {len(body)}"
    return "\r\n".join([start, *lines, length, "", ""]).encode() + body


def draw_failure():
    """Return the status and the body of a failure, or None for no failure now."""
    if random.random() >= FAILURE_FRACTION:
        return None
    status = random.choice(FAILURE_STATUSES)
    return status, b"" if status == 204 else FAILURE_BODY
