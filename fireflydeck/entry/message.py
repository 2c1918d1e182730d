"""Base of the messages between entry processes."""

from typing import Any, Self

import msgpack
from attrs import astuple, fields, frozen

from fireflydeck.core.typed_values import mistyped_fields

__all__ = ["Message"]


@frozen
class Message:
    """A message whose fields are packed by msgpack in order.

    A field that an older build does not know comes last and is `None` by default; it is not sent
    while it is `None`.
    """

    def encode(self) -> bytes:
        """Return the encoded message."""
        values = list(astuple(self))
        for field in reversed(fields(type(self))):
            if field.default is not None or values[-1] is not None:
                break
            values.pop()
        return msgpack.packb(values)

    @classmethod
    def decode(cls, content: bytes) -> Self:
        """Return the message that another entry process encoded.

        Raises
        ------
        ValueError
            If the content is not such a message.
        """
        names = [field.name for field in fields(cls)]
        try:
            values: Any = msgpack.unpackb(content)
            if len(values) > len(names):
                raise ValueError("too many fields")
            message = cls(**dict(zip(names, values, strict=False)))
        except (TypeError, ValueError, msgpack.UnpackException) as error:
            raise ValueError(f"not a {cls.__name__}: {type(error).__name__}") from error
        if mistyped_fields(message):
            raise ValueError(f"not a {cls.__name__}: a field is invalid")
        return message
