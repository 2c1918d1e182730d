"""Checks the API keys that callers present."""

import hashlib
import hmac

from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import Configuration, Failure, Organisation, Queue, Reason

__all__ = ["KeyRing", "hash_key", "presented_key_hash"]

_STEP = "gateway.key"
_SCHEME = "bearer"


def hash_key(key: str) -> str:
    """Return the hash that the configuration stores for a key.

    Examples
    --------
    >>> hash_key("secret")[:12]
    '2bb80d537b1d'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def presented_key_hash(authorization: str | None) -> str:
    """Return the hash of the key in an authorization header, or an empty string without a key."""
    _, _, key = (authorization or "").partition(" ")
    return hash_key(key.strip()) if key.strip() else ""


@frozen
class _GrantedKey:
    key_hash: str
    organisation: str


class KeyRing:
    """Finds the organisation that a key is granted to.

    The table of keys is rebuilt when the configuration version changes.
    """

    def __init__(self) -> None:
        self._version = -1
        self._granted_keys: dict[str, _GrantedKey] = {}

    def check(
        self, authorization: str | None, queue: Queue, configuration: Configuration
    ) -> Result[str, Failure]:
        """Return the name of the organisation that the presented key is granted to.

        Parameters
        ----------
        authorization
            Value of the authorization header; `None` if there is none.
        queue
            Queue of the request. A queue that is open to all requires no key, but a key that is
            presented must be valid.

        Returns
        -------
        Result
            Organisation name, empty without a key on an open queue; or a failure with the reason
            `NO_KEY` or `WRONG_KEY`.
        """
        if authorization is None:
            return (
                Ok("")
                if queue.open_to_all
                else _refuse(Reason.NO_KEY, "an organisation key is needed")
            )
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != _SCHEME or not key.strip():
            return _refuse(Reason.WRONG_KEY, "authorization is not of the form 'Bearer KEY'")
        organisation = self._find_organisation(key.strip(), configuration)
        if organisation is None:
            return _refuse(Reason.WRONG_KEY, "the key is not granted to any organisation")
        return Ok(organisation)

    def _find_organisation(self, key: str, configuration: Configuration) -> str | None:
        self._update_table(configuration)
        presented_hash = hash_key(key)
        granted_key = self._granted_keys.get(presented_hash)
        if granted_key is None or not hmac.compare_digest(granted_key.key_hash, presented_hash):
            return None
        return granted_key.organisation

    def _update_table(self, configuration: Configuration) -> None:
        if configuration.version == self._version:
            return
        self._version = configuration.version
        self._granted_keys = {
            key_hash: _GrantedKey(key_hash, organisation.name)
            for organisation in configuration.all(Organisation)
            for key_hash in organisation.key_hashes
        }


def _refuse(reason: Reason, detail: str) -> Result[str, Failure]:
    return Error(Failure(reason, step=_STEP, detail=detail))
