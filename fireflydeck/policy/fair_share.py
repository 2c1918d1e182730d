"""Weighted max-min fair division of a pool's capacity among organisations."""

from collections.abc import Mapping

from attrs import frozen

__all__ = ["ShareClaim", "divide_fairly", "is_within_share"]


@frozen(kw_only=True)
class ShareClaim:
    """Claim of one organisation to a capacity.

    Parameters
    ----------
    weight
        Weight relative to the other organisations; positive.
    demand
        What the organisation could use, in the unit of the capacity.
    """

    weight: float
    demand: float


def divide_fairly(capacity: float, claims: Mapping[str, ShareClaim]) -> dict[str, float]:
    """Divide a capacity by weighted max-min fairness.

    An organisation whose demand is below its share gets its demand. What it leaves is divided among
    the others by weight.

    Examples
    --------
    >>> claims = {
    ...     "museum": ShareClaim(weight=1, demand=10),
    ...     "school": ShareClaim(weight=1, demand=90),
    ...     "family": ShareClaim(weight=2, demand=90),
    ... }
    >>> divide_fairly(100, claims)
    {'museum': 10.0, 'family': 60.0, 'school': 30.0}
    """
    shares: dict[str, float] = {}
    left = capacity
    left_weight = sum(claim.weight for claim in claims.values())
    for name, claim in sorted(claims.items(), key=lambda item: item[1].demand / item[1].weight):
        share = min(claim.demand, left * claim.weight / left_weight)
        shares[name] = float(share)
        left -= share
        left_weight -= claim.weight
    return shares


def is_within_share(
    organisation: str, demand: float, *, capacity: float, claims: Mapping[str, ShareClaim]
) -> bool:
    """Return whether further work of an organisation belongs to its share of a capacity.

    It does while all claims together fit, and as long as the organisation has not used up its
    share. The last job within a share may exceed it; otherwise large jobs would never be within it.

    Parameters
    ----------
    demand
        The further work.
    claims
        Work that belongs to the shares of the organisations already.
    """
    if sum(claim.demand for claim in claims.values()) + demand <= capacity:
        return True
    own = claims[organisation]
    extended = {**claims, organisation: ShareClaim(weight=own.weight, demand=own.demand + demand)}
    return own.demand < divide_fairly(capacity, extended)[organisation]
