"""Encodes typed records to bytes and decodes them.

The bytes are Cap'n Proto messages of one of the unions in `wire.capnp`. The
converters of each record type are built once, when the module is loaded.

>>> payload = codec.encode(codec.MESSAGE, messages.Grant("o-1"))
>>> codec.decode(codec.MESSAGE, payload)
Grant(offer_id='o-1')
"""

import dataclasses

import capnp

from brasstrail.core import errors
from brasstrail.protocol import schema

DECODE_ERRORS = (capnp.KjException, KeyError, ValueError, UnicodeDecodeError)
# Limits how much of one message is read: 256 MiB, in words of 8 bytes.
MAX_TRAVERSAL_WORDS = 32 * 1024 * 1024

SCHEMA = capnp.load(str(schema.SCHEMA_PATH))
# The names of the unions in the schema.
MESSAGE = "Message"
HANDSHAKE = "Handshake"
COMMAND = "Command"
RESULT = "Result"
SNAPSHOT = "Snapshot"
JOURNAL = "Journal"


class RecordCodec:
    """Converts records of one type.

    `fill` writes a record into a builder of the Cap'n Proto library. It does so
    field by field, which takes an eighth of the time of passing the builder a
    nested mapping. `load` creates a record from a reader of the library.
    """

    def __init__(self, record):
        self.record = record
        self.field_fillers = []
        self.field_loaders = []
        for field in dataclasses.fields(record):
            wire_name = schema.camel_case(field.name)
            fill, load = field_converters(field.type, wire_name)
            self.field_fillers.append((field.name, wire_name, fill))
            self.field_loaders.append((wire_name, load))

    def fill(self, builder, value):
        """Write `value` into `builder`; fields that are None are omitted."""
        for name, wire_name, fill in self.field_fillers:
            item = getattr(value, name)
            if fill is None:
                setattr(builder, wire_name, item)
            elif item is not None:
                fill(builder, item)

    def load(self, reader):
        """Return the record that `reader` contains."""
        values = []
        for wire_name, load in self.field_loaders:
            if load is None:
                values.append(getattr(reader, wire_name))
            else:
                values.append(load(reader))
        return self.record(*values)


CODECS_BY_RECORD = {}


def codec_for(record):
    """Return the codec of a record type; create it on first use."""
    if record not in CODECS_BY_RECORD:
        CODECS_BY_RECORD[record] = RecordCodec(record)
    return CODECS_BY_RECORD[record]


def field_converters(annotation, wire_name):
    """Return the functions that fill and load one field.

    Both are None for a scalar field, which needs no conversion.
    """
    item = schema.item_type(annotation)
    if item is not None and dataclasses.is_dataclass(item):
        return record_list_converters(codec_for(item), wire_name)
    if item is not None:
        return scalar_list_converters(wire_name)
    record_type = schema.unwrap_optional(annotation)
    if dataclasses.is_dataclass(record_type):
        return record_converters(codec_for(record_type), wire_name)
    return None, None


def record_list_converters(record_codec, wire_name):
    """Return the functions for a field that is a tuple of records."""

    def fill(builder, values):
        if values:
            item_builders = builder.init(wire_name, len(values))
            for position, value in enumerate(values):
                record_codec.fill(item_builders[position], value)

    def load(reader):
        return tuple(record_codec.load(item) for item in getattr(reader, wire_name))

    return fill, load


def scalar_list_converters(wire_name):
    """Return the functions for a field that is a tuple of scalars."""

    def fill(builder, values):
        if values:
            setattr(builder, wire_name, list(values))

    def load(reader):
        return tuple(getattr(reader, wire_name))

    return fill, load


def record_converters(record_codec, wire_name):
    """Return the functions for a field that is a record or None."""

    def fill(builder, value):
        record_codec.fill(builder.init(wire_name), value)

    def load(reader):
        if not reader._has(wire_name):
            return None
        return record_codec.load(getattr(reader, wire_name))

    return fill, load


CODECS_BY_MEMBER = {}
MEMBER_NAMES = {}
for _union, _records in schema.UNIONS.items():
    for _record in _records:
        MEMBER_NAMES[_record] = schema.member_name(_record)
        CODECS_BY_MEMBER[_union, MEMBER_NAMES[_record]] = codec_for(_record)


def encode(union, value):
    """Return the bytes of a message of `union` that contains `value`."""
    record = type(value)
    message = getattr(SCHEMA, union).new_message()
    CODECS_BY_RECORD[record].fill(message.init(MEMBER_NAMES[record]), value)
    return message.to_bytes()


def encode_packed(union, value):
    """Return `value` in the packed encoding.

    It is smaller than that of `encode` and takes more processor time.
    """
    record = type(value)
    message = getattr(SCHEMA, union).new_message()
    CODECS_BY_RECORD[record].fill(message.init(MEMBER_NAMES[record]), value)
    return message.to_bytes_packed()


def decode(union, payload):
    """Return the record that is encoded in `payload`.

    Raises `errors.BadRequest` if `payload` is not a message of `union`.
    """
    try:
        message_context = getattr(SCHEMA, union).from_bytes(
            payload, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        )
        with message_context as reader:
            return load(union, reader)
    except DECODE_ERRORS as error:
        raise decoding_error(error) from error


def decode_packed(union, payload):
    """Return the record that is encoded in a packed `payload`.

    Raises `errors.BadRequest` as `decode` does.
    """
    return open_packed(union, payload).load()


def open_packed(union, payload):
    """Return a packed `payload` as an `Opened` message.

    Raises `errors.BadRequest` as `decode` does.
    """
    try:
        reader = getattr(SCHEMA, union).from_bytes_packed(
            payload, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        )
        return Opened(union, reader)
    except DECODE_ERRORS as error:
        raise decoding_error(error) from error


class Opened:
    """A message whose fields can be read before it is decoded.

    Reading a few fields takes a fraction of the time of decoding the record.

    >>> opened = codec.open_packed(codec.MESSAGE, payload)
    >>> opened.holds(messages.Grant), opened.read("offer_id")
    (True, 'o-1')
    """

    def __init__(self, union, reader):
        self.name = str(reader.which())
        self.codec = CODECS_BY_MEMBER[union, self.name]
        self.reader = getattr(reader, self.name)

    def holds(self, record):
        """Return whether the message contains a record of a type."""
        return self.codec.record is record

    def read(self, field_name):
        """Return a scalar field, or the library's reader of a list.

        Raises `errors.BadRequest` as `decode` does.
        """
        try:
            return getattr(self.reader, schema.camel_case(field_name))
        except DECODE_ERRORS as error:
            raise decoding_error(error) from error

    def load(self):
        """Return the record. Raises `errors.BadRequest` as `decode` does."""
        try:
            return self.codec.load(self.reader)
        except DECODE_ERRORS as error:
            raise decoding_error(error) from error


def load(union, reader):
    """Return the record that the reader of a message of `union` contains."""
    name = str(reader.which())
    return CODECS_BY_MEMBER[union, name].load(getattr(reader, name))


def decoding_error(error):
    """Return the typed error for bytes that are not a valid message."""
    return errors.BadRequest(
        f"A message could not be decoded: {error}.",
        "Run the same version on every host.",
    )
