"""Retry budget, which keeps retries from overloading a failing pool."""

from attrs import define, field

__all__ = ["RetryBudget"]

TOKENS_PER_FIRST_ATTEMPT = 0.2
"""Tokens earned by each first attempt; a retry costs 1."""

MAX_TOKENS = 20.0
"""Maximum number of tokens in the bucket."""


@define
class RetryBudget:
    """Token bucket for the retries of one pool.

    Each first attempt earns a fraction of a token, and each retry spends a token.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> sum(budget.try_spend() for _ in range(100))
    20
    >>> for _ in range(6):
    ...     budget.earn()
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    _tokens: float = field(default=MAX_TOKENS, init=False)

    def earn(self) -> None:
        """Earn the tokens of a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_FIRST_ATTEMPT)

    def try_spend(self) -> bool:
        """Spend the token of one retry; return `False` if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
