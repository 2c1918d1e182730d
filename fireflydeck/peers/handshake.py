"""Mutual authentication by a shared secret at the start of a connection."""

import hashlib
import hmac
import secrets
from typing import TypeVar

from fireflydeck.core import Failure, FireflydeckError, Reason
from fireflydeck.peers.messages import Challenge, Message, Proof, Welcome
from fireflydeck.peers.stream import MessageStream

__all__ = ["HANDSHAKE_FRAME_BYTES", "NONCE_BYTES", "run_client_handshake", "run_listener_handshake"]

NONCE_BYTES = 32
"""Size of each side's nonce in bytes."""

HANDSHAKE_FRAME_BYTES = 1024
"""Maximum payload accepted from a peer that has not been authenticated yet."""

_STEP = "peer.handshake"

M = TypeVar("M", bound=Message)


async def run_listener_handshake(stream: MessageStream, name: str, secret: bytes) -> Proof:
    """Run the listener's side of the handshake and return the client's proof.

    Raises
    ------
    FireflydeckError
        With reason `WRONG_KEY` if the client does not know the secret; also as raised by
        `MessageStream`.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await stream.send(Challenge(name=name, nonce=nonce))
    proof = await _receive(stream, Proof)
    _check_nonce(proof.nonce, stream.peer)
    expected = _compute_proof(secret, nonce, proof.nonce, proof.name)
    _check_proof(proof.proof, expected, stream.peer)
    await stream.send(Welcome(proof=_compute_proof(secret, proof.nonce, nonce, name)))
    return proof


async def run_client_handshake(
    stream: MessageStream, name: str, role: str, expected_name: str, secret: bytes
) -> None:
    """Run the client's side of the handshake.

    Raises
    ------
    FireflydeckError
        With reason `WRONG_KEY` if the listener does not know the secret, `PEER_UNREACHABLE` if
        another member than the expected one listens there; also as raised by `MessageStream`.
    """
    challenge = await _receive(stream, Challenge)
    _check_nonce(challenge.nonce, stream.peer)
    if challenge.name != expected_name:
        detail = f"{challenge.name!r:.60} listens at the address of {expected_name!r}"
        raise _error(Reason.PEER_UNREACHABLE, stream.peer, detail)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _compute_proof(secret, challenge.nonce, nonce, name)
    await stream.send(Proof(name=name, role=role, nonce=nonce, proof=proof))
    welcome = await _receive(stream, Welcome)
    expected = _compute_proof(secret, nonce, challenge.nonce, challenge.name)
    _check_proof(welcome.proof, expected, stream.peer)


async def _receive(stream: MessageStream, cls: type[M]) -> M:
    message = await stream.receive()
    if not isinstance(message, cls):
        detail = f"{type(message).__name__} where {cls.__name__} is due"
        raise _error(Reason.BAD_REQUEST, stream.peer, detail)
    return message


def _compute_proof(secret: bytes, first_nonce: bytes, second_nonce: bytes, name: str) -> bytes:
    message = first_nonce + second_nonce + name.encode()
    return hmac.new(secret, message, hashlib.sha256).digest()


def _check_nonce(nonce: bytes, peer: str) -> None:
    if len(nonce) != NONCE_BYTES:
        raise _error(Reason.BAD_REQUEST, peer, f"nonce of {len(nonce)} bytes is not {NONCE_BYTES}")


def _check_proof(proof: bytes, expected: bytes, peer: str) -> None:
    if not hmac.compare_digest(proof, expected):
        raise _error(Reason.WRONG_KEY, peer, "the peer does not know the shared secret")


def _error(reason: Reason, peer: str, detail: str) -> FireflydeckError:
    return FireflydeckError(Failure(reason, step=_STEP, peer=peer, detail=detail))
