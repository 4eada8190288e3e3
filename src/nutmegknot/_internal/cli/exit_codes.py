"""Exit codes of all commands."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of the process; docs/OPERATIONS.md explains each code."""

    OK = 0
    FAILED = 1
    BAD_SETTINGS = 2
    BAD_ENVIRONMENT = 3
    PORT_TAKEN = 4
    PLATFORM_UNREACHED = 5
    INSTANCE_UNREACHED = 6
    REFUSED = 7
    CONFLICT = 8
    UNKNOWN = 9
    NOT_FOUND = 10
    PENDING = 11
    MAY_HAVE_RUN = 12
    CANCELLED = 13
    NOT_ALLOWED = 14
    DAMAGED = 15
    BAD_USAGE = 64
    BROKEN_INVARIANT = 70
