"""Random protobuf messages for property tests."""

from typing import Any

from google.protobuf import descriptor
from google.protobuf import message as message_lib
from google.protobuf import message_factory
from hypothesis import strategies

_FIELD = descriptor.FieldDescriptor
# Descriptors, messages and values whose types depend on the schema.
_Untyped = Any
_INTEGER_RANGES = {
    _FIELD.TYPE_UINT32: (0, 2**32 - 1),
    _FIELD.TYPE_UINT64: (0, 2**64 - 1),
    _FIELD.TYPE_INT64: (-(2**63), 2**63 - 1),
    _FIELD.TYPE_ENUM: (0, 5),
}


@strategies.composite
def draw_message(
    draw: strategies.DrawFn, kind: _Untyped, known: tuple[str, ...] = ()
) -> message_lib.Message:
    """Draws a random message.

    Args:
      draw: Draws a value from a strategy.
      kind: Descriptor of the message type.
      known: Texts that mean something to the receiver, such as names of
        queues; text fields often hold one of them.
    """
    message = message_factory.GetMessageClass(kind)()
    for field in kind.fields:
        # Fields are set with a probability of 4 in 5, so that most calls get
        # past the first validation.
        if draw(strategies.integers(0, 4)) == 0:
            continue
        values = [_draw_value(draw, field, known)]
        if not field.is_repeated:
            _set(message, field, values[0])
        elif field.type == _FIELD.TYPE_MESSAGE:
            getattr(message, field.name).add().CopyFrom(values[0])
        else:
            getattr(message, field.name).extend(values)
    return message


def _set(message: _Untyped, field: _Untyped, value: _Untyped) -> None:
    if field.type == _FIELD.TYPE_MESSAGE:
        getattr(message, field.name).CopyFrom(value)
    else:
        setattr(message, field.name, value)


def _draw_value(
    draw: strategies.DrawFn, field: _Untyped, known: tuple[str, ...]
) -> _Untyped:
    if field.type == _FIELD.TYPE_MESSAGE:
        return draw(draw_message(field.message_type, known))
    if field.type in _INTEGER_RANGES:
        lowest, highest = _INTEGER_RANGES[field.type]
        near = strategies.integers(max(lowest, -2), 5)
        return draw(near | strategies.integers(lowest, highest))
    if field.type == _FIELD.TYPE_DOUBLE:
        return draw(strategies.floats())
    if field.type == _FIELD.TYPE_BOOL:
        return draw(strategies.booleans())
    if field.type == _FIELD.TYPE_BYTES:
        return draw(strategies.binary(max_size=8))
    return draw(_draw_text(known))


def _draw_text(known: tuple[str, ...]) -> strategies.SearchStrategy[str]:
    if not known:
        return strategies.text(max_size=8)
    often = strategies.sampled_from(known)
    return often | often | strategies.text(max_size=8)
