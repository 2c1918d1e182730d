"""The type of the notes that explain events to operators."""

from attrs import frozen

__all__ = ["EventNote"]


@frozen(kw_only=True)
class EventNote:
    """Explanation of one event for operators.

    Parameters
    ----------
    trigger
        Condition under which the event is written.
    action
        What an operator should do.
    fields
        Fields in addition to those of every log line.
    reserved
        Whether the number is reserved for an event that nothing writes yet.
    """

    trigger: str
    action: str = "Nothing."
    fields: tuple[str, ...] = ()
    reserved: bool = False
