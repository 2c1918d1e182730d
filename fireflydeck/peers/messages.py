"""Typed messages between the system's processes."""

from attrs import frozen

from fireflydeck.core import Answer, ConfigurationChange, Failure, Request

__all__ = [
    "MESSAGE_TYPES",
    "AnswerMessage",
    "Cancel",
    "Challenge",
    "ChangesReply",
    "Heartbeat",
    "HeartbeatReply",
    "JobCancelled",
    "JobQueued",
    "Message",
    "Proof",
    "PushConfiguration",
    "Refusal",
    "RequestChanges",
    "Stopping",
    "Submit",
    "Welcome",
]


@frozen(kw_only=True)
class Message:
    """Base class of all messages."""


@frozen(kw_only=True)
class Challenge(Message):
    """First message from a listener, with a new random nonce."""

    name: str
    nonce: bytes


@frozen(kw_only=True)
class Proof(Message):
    """First message from a client: proves that it knows the shared secret.

    The proof is HMAC-SHA-256 over ``listener nonce | client nonce | client name``.
    """

    name: str
    role: str
    nonce: bytes
    proof: bytes


@frozen(kw_only=True)
class Welcome(Message):
    """The listener's proof: HMAC-SHA-256 over ``client nonce | listener nonce | listener name``."""

    proof: bytes


@frozen(kw_only=True)
class Heartbeat(Message):
    """Request for a reply that shows that the peer is alive and the state of its configuration."""

    sequence: int


@frozen(kw_only=True)
class HeartbeatReply(Message):
    """Reply to a heartbeat.

    Parameters
    ----------
    version
        Configuration version that is in force at the peer.
    confirmed_age_ms
        Milliseconds since the start of the store read that last confirmed that version; -1 if
        no read has confirmed it.
    store_reachable
        Whether the peer's last call to the store was answered.
    commit_pending
        Whether the peer sent a change to the store and does not know its outcome yet.
    """

    sequence: int
    version: int
    confirmed_age_ms: int
    store_reachable: bool
    commit_pending: bool = False


@frozen(kw_only=True)
class RequestChanges(Message):
    """Request for the changes that were committed after a version."""

    sequence: int
    after_version: int


@frozen(kw_only=True)
class ChangesReply(Message):
    """Committed changes in version order; empty if the peer no longer has the next one."""

    sequence: int
    changes: tuple[ConfigurationChange, ...] = ()


@frozen(kw_only=True)
class PushConfiguration(Message):
    """A change of the configuration, sent right after its commit."""

    change: ConfigurationChange


@frozen(kw_only=True)
class Submit(Message):
    """A request for a queue that the dispatcher owns."""

    request: Request


@frozen(kw_only=True)
class AnswerMessage(Message):
    """The complete answer of the backend server to a request."""

    answer: Answer


@frozen(kw_only=True)
class Refusal(Message):
    """Failure of a request, which states whether the request may have run."""

    request_id: str
    failure: Failure


@frozen(kw_only=True)
class Cancel(Message):
    """Cancellation of a request whose answer is no longer awaited."""

    request_id: str


@frozen(kw_only=True)
class JobQueued(Message):
    """Notice that a job row was committed for a queue of the dispatcher."""

    job_id: str
    queue: str


@frozen(kw_only=True)
class JobCancelled(Message):
    """Notice that a job row was marked as cancelled."""

    job_id: str


@frozen(kw_only=True)
class Stopping(Message):
    """Notice that the sender accepts no new work and finishes the work that it has."""


MESSAGE_TYPES: dict[str, type[Message]] = {
    cls.__name__: cls
    for cls in (
        AnswerMessage,
        Cancel,
        Challenge,
        ChangesReply,
        Heartbeat,
        HeartbeatReply,
        JobCancelled,
        JobQueued,
        Proof,
        PushConfiguration,
        Refusal,
        RequestChanges,
        Stopping,
        Submit,
        Welcome,
    )
}
"""Message types by the type name in a frame."""
