"""API keys of organisations; a key is returned once and only its hash is stored."""

import secrets
from hashlib import sha256

from attrs import field, frozen
from expression import Result

from fireflydeck.controller.changes import ConfigurationService
from fireflydeck.controller.edit import Refusal
from fireflydeck.controller.edits import KEY_ID_LENGTH, add_key, with_expected_version, withdraw_key
from fireflydeck.core import EntityKey, Organisation

__all__ = ["GrantedKey", "grant_key", "hash_key", "withdraw_organisation_key"]

_KEY_BYTES = 32


@frozen(kw_only=True)
class GrantedKey:
    """A newly granted API key.

    Parameters
    ----------
    key
        The key, as URL-safe text; it is not stored.
    key_id
        First digits of the key's hash, which identify it for withdrawal.
    version
        Version of the configuration that includes the key.
    """

    key: str = field(repr=False)
    key_id: str
    version: int


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a key as hexadecimal text.

    Examples
    --------
    >>> hash_key("a")[:12]
    'ca978112ca1b'
    """
    return sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


async def grant_key(
    service: ConfigurationService, organisation: str, if_version: int | None = None
) -> Result[GrantedKey, Refusal]:
    """Grant the organisation a new key.

    Parameters
    ----------
    if_version
        Expected version of the organisation; `None` for any version.
    """
    key = secrets.token_urlsafe(_KEY_BYTES)
    key_hash = hash_key(key)
    result = await service.apply(
        with_expected_version(
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


async def withdraw_organisation_key(
    service: ConfigurationService, organisation: str, key_id: str, if_version: int | None = None
) -> Result[int, Refusal]:
    """Withdraw a key and return the version of the configuration without it.

    Parameters
    ----------
    key_id
        First digits of the key's hash.
    if_version
        Expected version of the organisation; `None` for any version.
    """
    result = await service.apply(
        with_expected_version(
            EntityKey(Organisation.kind, organisation),
            if_version,
            lambda base: withdraw_key(base, organisation, key_id),
        )
    )
    return result.map(lambda committed: committed.version)
