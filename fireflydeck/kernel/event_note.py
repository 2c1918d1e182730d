"""Type of the notes on events."""

from attrs import frozen

__all__ = ["EventNote"]


@frozen(kw_only=True)
class EventNote:
    """Longer explanation of one event.

    Parameters
    ----------
    written
        When it is written.
    action
        What an operator does.
    fields
        Fields beside those of every line.
    reserved
        Whether the number is held for an event that nothing writes yet.
    """

    written: str
    action: str = "Nothing."
    fields: tuple[str, ...] = ()
    reserved: bool = False
