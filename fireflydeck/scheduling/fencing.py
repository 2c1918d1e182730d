"""Fencing tokens of a tenure, one for each life of a backend server."""

from collections.abc import Callable

from attrs import define, field

__all__ = ["FencingTokens"]


@define(eq=False)
class FencingTokens:
    """Issuer of the fencing tokens that a tenure owns.

    Each backend server gets the lowest token first and a higher one after each restart, so that
    orders sent before the restart have no effect once the server has seen the new one.

    Parameters
    ----------
    first, last
        Range of the tokens.
    on_exhausted
        Called when a server needs more tokens than the range has.

    Examples
    --------
    >>> tokens = FencingTokens(101, 200, on_exhausted=lambda: None)
    >>> tokens.issue("s1"), tokens.issue("s1"), tokens.issue("s2")
    (101, 102, 101)
    """

    first: int
    last: int
    on_exhausted: Callable[[], None]
    _next: dict[str, int] = field(factory=dict, init=False)

    def issue(self, server_id: str) -> int:
        """Return a token that is higher than all that were issued for the server before.

        If the range is exhausted, the last token is returned again.
        """
        token = self._next.get(server_id, self.first)
        if token > self.last:
            self.on_exhausted()
            return self.last
        self._next[server_id] = token + 1
        return token
