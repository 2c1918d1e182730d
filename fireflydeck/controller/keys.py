"""Keys of organisations: made here, shown once, kept as hashes."""

import secrets
from hashlib import sha256

from attrs import field, frozen
from expression import Result

from fireflydeck.controller.changes import ConfigurationService
from fireflydeck.controller.edit import Refusal
from fireflydeck.controller.edits import KEY_ID_LENGTH, add_key, expecting, withdraw_key
from fireflydeck.core import EntityKey, Organisation

__all__ = ["GrantedKey", "grant_key", "hash_key", "withdraw_key_of"]

_KEY_BYTES = 32


@frozen(kw_only=True)
class GrantedKey:
    """A new key.

    Parameters
    ----------
    key
        The key, URL-safe text; it is not kept.
    key_id
        The first digits of its hash, by which it is withdrawn.
    version
        Version of the configuration in which it is in force.
    """

    key: str = field(repr=False)
    key_id: str
    version: int


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a key in hexadecimal.

    Examples
    --------
    >>> hash_key("a")[:12]
    'ca978112ca1b'
    """
    return sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


async def grant_key(
    service: ConfigurationService, organisation: str, if_version: int | None = None
) -> Result[GrantedKey, Refusal]:
    """Grant the organisation, which must be at the version if one is given, a new key."""
    key = secrets.token_urlsafe(_KEY_BYTES)
    key_hash = hash_key(key)
    result = await service.apply(
        expecting(
            EntityKey(Organisation.kind, organisation),
            if_version,
            lambda base: add_key(base, organisation, key_hash),
        )
    )
    return result.map(
        lambda committed: GrantedKey(
            key=key, key_id=key_hash[:KEY_ID_LENGTH], version=committed.version
        )
    )


async def withdraw_key_of(
    service: ConfigurationService, organisation: str, key_id: str, if_version: int | None = None
) -> Result[int, Refusal]:
    """Withdraw a key and return the version of the configuration without it."""
    result = await service.apply(
        expecting(
            EntityKey(Organisation.kind, organisation),
            if_version,
            lambda base: withdraw_key(base, organisation, key_id),
        )
    )
    return result.map(lambda committed: committed.version)
