"""Ownership of pools by rendezvous hashing; all processes compute the same owners.

References
----------
D. G. Thaler, C. V. Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
Transactions on Networking 6 (1), 1998.
"""

import hashlib
from collections.abc import Iterable

from fireflydeck.core import Configuration, Member, MemberRole

__all__ = ["OwnerRanking", "rank_owners"]

_DIGEST_BYTES = 8


def rank_owners(
    pool: str, members: Iterable[Member], role: MemberRole = MemberRole.DISPATCHER
) -> list[Member]:
    """Return the members with the role that are not fenced, starting with the owner of the pool.

    Removing a member changes the owners of only those pools that it owned.

    Examples
    --------
    >>> members = [
    ...     Member(name=name, role=MemberRole.DISPATCHER, address="127.0.0.1:1")
    ...     for name in ("d-1", "d-2", "d-3")
    ... ]
    >>> owner, *others = rank_owners("records", members)
    >>> rank_owners("records", others) == others
    True
    """
    candidates = (member for member in members if member.role is role and not member.fenced)
    return sorted(candidates, key=lambda member: _weight(pool, member.name), reverse=True)


def _weight(pool: str, member: str) -> tuple[bytes, str]:
    # The null byte makes the pairs ("ab", "c") and ("a", "bc") hash differently.
    digest = hashlib.blake2b(f"{pool}\0{member}".encode(), digest_size=_DIGEST_BYTES).digest()
    return digest, member


class OwnerRanking:
    """Cache of the owner rankings by pool for one configuration version."""

    def __init__(self) -> None:
        self._version = -1
        self._rankings: dict[str, list[Member]] = {}

    def owners(self, pool: str, configuration: Configuration) -> list[Member]:
        """Return `rank_owners` of the pool in the configuration."""
        if configuration.version != self._version:
            self._version = configuration.version
            self._rankings = {}
        ranking = self._rankings.get(pool)
        if ranking is None:
            ranking = rank_owners(pool, configuration.all(Member))
            self._rankings[pool] = ranking
        return ranking
