"""Interface of the platform's object store."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from nutmegknot._internal.backing import tables


@dataclasses.dataclass(slots=True, frozen=True)
class Stored:
    """The object was written or deleted."""


@dataclasses.dataclass(slots=True, frozen=True)
class Missing:
    """There is no object of the requested name."""


PutResult = Stored | tables.Unavailable | tables.Uncertain
GetResult = bytes | Missing | tables.Unavailable
DeleteResult = Stored | tables.Unavailable | tables.Uncertain


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectStore:
    """Access to the object store; the last argument is a time-out in ms.

    Attributes:
      put: Writes an object; an existing object of the name is replaced.
      get: Reads an object as a whole.
      delete: Deletes an object; succeeds also if there is none of the name.
    """

    put: Callable[[str, bytes, int], Awaitable[PutResult]]
    get: Callable[[str, int], Awaitable[GetResult]]
    delete: Callable[[str, int], Awaitable[DeleteResult]]
