"""Checks the keys that callers present."""

import hashlib
import hmac

from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import Configuration, Failure, Organisation, Queue, Reason

__all__ = ["KeyRing", "hash_key", "presented_key_hash"]

_STEP = "gateway.key"
_SCHEME = "bearer"


def hash_key(key: str) -> str:
    """Return the hash by which the configuration knows a key.

    Examples
    --------
    >>> hash_key("secret")[:12]
    '2bb80d537b1d'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def presented_key_hash(authorization: str | None) -> str:
    """Return the hash of the key in an authorization header; empty without one."""
    _, _, key = (authorization or "").partition(" ")
    return hash_key(key.strip()) if key.strip() else ""


@frozen
class _GrantedKey:
    key_hash: str
    organisation: str


class KeyRing:
    """Finds the organisation of a key; its table is kept for one configuration version."""

    def __init__(self) -> None:
        self._version = -1
        self._granted: dict[str, _GrantedKey] = {}

    def check(
        self, authorization: str | None, queue: Queue, configuration: Configuration
    ) -> Result[str, Failure]:
        """Return the name of the organisation whose key came with the request.

        Parameters
        ----------
        authorization
            Value of the header; `None` if there is none.
        queue
            A queue open to all needs no key, but a presented key must be right.

        Returns
        -------
        Result
            Organisation name, empty without a key on an open queue; or `NO_KEY`, `WRONG_KEY`.
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
        self._refresh(configuration)
        presented = hash_key(key)
        granted = self._granted.get(presented)
        if granted is None or not hmac.compare_digest(granted.key_hash, presented):
            return None
        return granted.organisation

    def _refresh(self, configuration: Configuration) -> None:
        if configuration.version == self._version:
            return
        self._version = configuration.version
        self._granted = {
            key_hash: _GrantedKey(key_hash, organisation.name)
            for organisation in configuration.all(Organisation)
            for key_hash in organisation.key_hashes
        }


def _refuse(reason: Reason, detail: str) -> Result[str, Failure]:
    return Error(Failure(reason, step=_STEP, detail=detail))
