"""What the operating system says of a process, and lines of results."""

import dataclasses
import os
import pathlib

_CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
_KIB = 1024
_UTIME_FIELD = 11
_STIME_FIELD = 12


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """What a process has used so far.

    Attributes:
      cpu_s: Processor time in s.
      written: Bytes written to sockets and logs.
      memory_mib: Resident memory in MiB.
    """

    cpu_s: float
    written: int
    memory_mib: float


def read_usage(pid: int) -> Usage:
    """Reads what a process has used, from /proc."""
    folder = pathlib.Path('/proc') / str(pid)
    stat = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(stat[_UTIME_FIELD]) + int(stat[_STIME_FIELD])
    written = _read_field(folder / 'io', 'wchar')
    memory_kib = _read_field(folder / 'status', 'VmRSS')
    return Usage(ticks / _CLOCK_TICKS, written, memory_kib / _KIB)


def _read_field(path: pathlib.Path, name: str) -> int:
    for line in path.read_text().splitlines():
        key, _, value = line.partition(':')
        if key == name:
            return int(value.split()[0])
    raise ValueError(f'{path}: no {name}')


def find_percentile(values: list[int], percent: int) -> int:
    """Returns a percentile; -1 of no values."""
    if not values:
        return -1
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def print_line(
    name: str, value: float, unit: str, target: float, at_most: bool = True
) -> None:
    """Prints one result against its target."""
    is_met = value <= target if at_most else value >= target
    sign = '<=' if at_most else '>='
    print(
        f'bench name={name} value={value:.6g} unit={unit} '
        f'target={sign}{target:g} ok={"yes" if is_met else "no"}',
        flush=True,
    )
