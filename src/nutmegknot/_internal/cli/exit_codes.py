"""Exit codes of all commands."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of the process."""

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
    BROKEN_INVARIANT = 70
