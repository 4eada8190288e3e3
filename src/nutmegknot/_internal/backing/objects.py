"""Interface of the platform's object store."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from nutmegknot._internal.backing import tables


@dataclasses.dataclass(slots=True, frozen=True)
class Stored:
    """The object was written."""


@dataclasses.dataclass(slots=True, frozen=True)
class Missing:
    """There is no object of this name."""


PutResult = Stored | tables.Unavailable | tables.Uncertain
GetResult = bytes | Missing | tables.Unavailable
DeleteResult = Stored | tables.Unavailable | tables.Uncertain


@dataclasses.dataclass(slots=True, frozen=True)
class Objects:
    """Access to the object store; the last argument is a time limit in ms.

    Attributes:
      put: Writes an object, replacing it as a whole.
      get: Reads an object.
      delete: Deletes an object; deleting a missing one succeeds.
    """

    put: Callable[[str, bytes, int], Awaitable[PutResult]]
    get: Callable[[str, int], Awaitable[GetResult]]
    delete: Callable[[str, int], Awaitable[DeleteResult]]
