"""Tagged outcomes.

Every operation that can fail in an expected way returns one of these;
exceptions stay for broken invariants.
"""

import dataclasses
import enum


class RefusalReason(enum.Enum):
    """Why a request was not accepted; in each case nothing was run."""

    BAD_REQUEST = 'bad_request'
    UNKNOWN_QUEUE = 'unknown_queue'
    KEY_REJECTED = 'key_rejected'
    NEVER_RUNNABLE = 'never_runnable'
    OVERLOADED = 'overloaded'
    DEADLINE_PASSED = 'deadline_passed'
    UNAVAILABLE = 'unavailable'
    STOPPING = 'stopping'


class FailureReason(enum.Enum):
    """Why an accepted request ended without an answer."""

    TASK_FAILED = 'task_failed'
    DEADLINE_PASSED = 'deadline_passed'
    NEVER_RUNNABLE = 'never_runnable'


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The request is durable and will be run as promised."""

    request_key: str


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The request was not run and never will be.

    Attributes:
      reason: The tagged reason.
      detail: One line for the caller.
      retry_after_ms: When a new attempt makes sense, in ms; 0 if never.
    """

    reason: RefusalReason
    detail: str
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """The request id is taken by a request with different content."""

    request_key: str


@dataclasses.dataclass(slots=True, frozen=True)
class Finished:
    """Every member ran to its end.

    Attributes:
      answers: The whole answer of each member, in member order.
    """

    answers: tuple[bytes, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Failed:
    """The request ended without an answer, and is not running.

    Attributes:
      reason: The tagged reason.
      detail: One line for the caller.
      started: Whether any member may have been started.
    """

    reason: FailureReason
    detail: str
    started: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Cancelled:
    """The request was cancelled.

    Attributes:
      started: Whether any member had been started before.
    """

    started: bool


@dataclasses.dataclass(slots=True, frozen=True)
class MayHaveRun:
    """Nobody can know whether a non-repeatable request ran; it won't again."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Pending:
    """The request is accepted and has no final outcome yet.

    Attributes:
      state: 'queued' or 'running'.
    """

    state: str


@dataclasses.dataclass(slots=True, frozen=True)
class NotFound:
    """No request with this id is known."""

    request_key: str


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """The call's effect is not known, for example as its deadline passed.

    Repeating the call with the same request id is safe.

    Attributes:
      detail: One line for the caller.
      retry_after_ms: When repeating it makes sense, in ms; 0 if at once.
    """

    detail: str
    retry_after_ms: int = 0


Submitted = Accepted | Refused | Unknown
Final = Finished | Failed | Cancelled | MayHaveRun
Outcome = Accepted | Refused | Conflict | Final | Pending | NotFound | Unknown
