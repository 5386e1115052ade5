"""The part of the chat-completions format that the scheduler uses.

The scheduler reads the model, whether the answer is streamed, and the text of
the prompt. From the text it estimates the prompt's length and computes hashes of
its leading blocks. All other fields of a body are forwarded without being
interpreted.
"""

import dataclasses
import hashlib

import orjson

from brasstrail.core import data, errors

# Estimates of the prompt's tokens: characters of text, or of an image's URL, for each.
CHARS_PER_TOKEN = 4
BLOCK_TOKENS = 256
BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
IMAGE_CHARS_PER_TOKEN = 256
MAX_PREFIX_BLOCKS = 64
DEFAULT_OUTPUT_TOKENS = 256
EVENT_PREFIX = b"data: "
EVENT_END = b"\n\n"
STREAM_END = b"[DONE]"


@dataclasses.dataclass(frozen=True)
class ChatRequest:
    """The fields of a chat request that the scheduler uses.

    `prompt_tokens` is an estimate. `max_tokens` is 0 if the caller set no limit.
    `prefix` holds a hash for each leading block of the prompt; a hash covers its
    block and all blocks before it.
    """

    model: str
    stream: bool
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[int, ...]


def invalid_body(message):
    """Return the typed error for a body that is not a valid chat request."""
    return errors.not_run(
        errors.BadRequest,
        message,
        "Send a JSON object with model and messages, as the API page shows.",
    )


def parse_body(body):
    """Return the JSON object in a request's body.

    Raises `errors.BadRequest` if the body is not a JSON object.
    """
    try:
        json_object = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise invalid_body(f"The body is not JSON: {error}.") from error
    if not isinstance(json_object, dict):
        raise invalid_body("The body is not a JSON object.")
    return json_object


def read_request(json_object):
    """Return the `ChatRequest` of a request's JSON object.

    Raises `errors.BadRequest` if a field is missing or invalid.
    """
    model = json_object.get("model")
    if not isinstance(model, str) or not model:
        raise invalid_body("The body names no model.")
    messages = json_object.get("messages")
    if not isinstance(messages, list) or not messages:
        raise invalid_body("The body has no messages.")
    stream = json_object.get("stream", False)
    if not isinstance(stream, bool):
        raise invalid_body("The value of stream is neither true nor false.")
    max_tokens = (
        json_object.get("max_tokens") or json_object.get("max_completion_tokens") or 0
    )
    if not isinstance(max_tokens, int) or max_tokens < 0:
        raise invalid_body("The value of max_tokens is not a positive number.")
    text, image_chars = prompt_text(messages)
    prompt_tokens = len(text) // CHARS_PER_TOKEN + 1
    prompt_tokens += image_chars // IMAGE_CHARS_PER_TOKEN
    return ChatRequest(model, stream, prompt_tokens, max_tokens, prefix_hashes(text))


def prompt_text(messages):
    """Return the text of all messages and the total length of the image URLs.

    The text includes the role of each message. The length is in characters.
    """
    pieces = []
    image_chars = 0
    for message in messages:
        if not isinstance(message, dict):
            raise invalid_body("A message is not a JSON object.")
        pieces.append(str(message.get("role", "")))
        content = message.get("content")
        if isinstance(content, str):
            pieces.append(content)
            continue
        for part in content if isinstance(content, list) else []:
            text, chars = part_text(part)
            pieces.append(text)
            image_chars += chars
    return "\n".join(pieces), image_chars


def part_text(part):
    """Return the text of one part of a message and the length of its image URL.

    The text of an image is a digest of its URL, so that equal images give equal
    prefix hashes.
    """
    if not isinstance(part, dict):
        raise invalid_body("A part of a message is not a JSON object.")
    if part.get("type") != "image_url":
        return str(part.get("text", "")), 0
    image = part.get("image_url")
    url = image.get("url", "") if isinstance(image, dict) else ""
    digest = hashlib.blake2b(str(url).encode(), digest_size=8).hexdigest()
    return digest, len(str(url))


def prefix_hashes(text):
    """Return the hash of each leading block of a prompt, in order.

    Only full blocks are hashed, and at most `MAX_PREFIX_BLOCKS` of them. A hash has
    63 bits, so that it fits into a signed 64-bit field of a message.
    """
    block_count = min(len(text) // BLOCK_CHARS, MAX_PREFIX_BLOCKS)
    running = hashlib.blake2b(digest_size=8)
    hashes = []
    for number in range(block_count):
        block = text[number * BLOCK_CHARS : (number + 1) * BLOCK_CHARS]
        running.update(block.encode())
        hashes.append(int.from_bytes(running.digest(), "big") >> 1)
    return tuple(hashes)


class EventSplitter:
    """Splits the bytes of an event stream into the payloads of its events.

    Events that do not start with `EVENT_PREFIX` are ignored.
    """

    def __init__(self):
        self.remainder = b""

    def feed(self, chunk):
        """Return the payloads of the events that `chunk` completes."""
        pieces = (self.remainder + chunk).split(EVENT_END)
        self.remainder = pieces.pop()
        return [
            piece[len(EVENT_PREFIX) :]
            for piece in pieces
            if piece.startswith(EVENT_PREFIX)
        ]


def event(payload):
    """Return the bytes of an event that carries `payload`."""
    return EVENT_PREFIX + payload + EVENT_END


def delta_text(payload):
    """Return the text that one event appends to the answer."""
    choices = orjson.loads(payload).get("choices") or []
    if not choices:
        return ""
    return (choices[0].get("delta") or {}).get("content") or ""


def joined_text(payloads):
    """Return the concatenated text of several events."""
    return "".join(delta_text(payload) for payload in payloads)


def whole_answer(payloads):
    """Return the body of a non-streamed answer, assembled from the events."""
    first = orjson.loads(payloads[0]) if payloads else {}
    finish = None
    usage = None
    list_fields = {}
    for payload in payloads:
        json_object = orjson.loads(payload)
        usage = json_object.get("usage") or usage
        for choice in json_object.get("choices") or []:
            finish = choice.get("finish_reason") or finish
            merge_list_fields(choice.get("delta") or {}, list_fields)
    message = {"role": "assistant", "content": joined_text(payloads), **list_fields}
    choice = {"index": 0, "message": message, "finish_reason": finish}
    body = {
        "id": first.get("id"),
        "object": "chat.completion",
        "created": first.get("created"),
        "model": first.get("model"),
        "choices": [choice],
    }
    if usage is not None:
        body["usage"] = usage
    return orjson.dumps(body)


def merge_list_fields(delta, list_fields):
    """Extend `list_fields` with the lists in a delta, such as tool calls."""
    for name, value in delta.items():
        if isinstance(value, list):
            list_fields.setdefault(name, []).extend(value)


def resumed_body(body, text):
    """Return a request's body with the instruction to continue after `text`."""
    json_object = orjson.loads(body)
    json_object["resume"] = {"text": text}
    return orjson.dumps(json_object)


def streamed_body(body):
    """Return a request's body with `stream` set to true."""
    json_object = orjson.loads(body)
    if json_object.get("stream") is True:
        return body
    json_object["stream"] = True
    return orjson.dumps(json_object)


def with_stream_identity(payload, first):
    """Return an event with the id, creation time and model of the first event."""
    json_object = orjson.loads(payload)
    for name in ("id", "created", "model"):
        if name in first:
            json_object[name] = first[name]
    return orjson.dumps(json_object)


def is_model_service(service):
    """Return whether a service takes chat-completions requests."""
    return service.kind == data.ServiceKind.MODEL
