"""Reads the resource usage of a process; prints results of benchmarks."""

import dataclasses
import os
import pathlib

_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_KIB_PER_MIB = 1024
# Index of the user time among the fields after the name in /proc/PID/stat.
_UTIME_FIELD = 11
# Index of the system time among the same fields.
_STIME_FIELD = 12


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessUsage:
    """Resources that a process has used since its start.

    Attributes:
      cpu_s: Processor time in s.
      written_bytes: Bytes written to sockets and files.
      memory_mib: Resident memory in MiB.
    """

    cpu_s: float
    written_bytes: int
    memory_mib: float


def read_usage(pid: int) -> ProcessUsage:
    """Reads the resource usage of a process from /proc."""
    folder = pathlib.Path('/proc') / str(pid)
    stat = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(stat[_UTIME_FIELD]) + int(stat[_STIME_FIELD])
    written_bytes = _read_field(folder / 'io', 'wchar')
    memory_kib = _read_field(folder / 'status', 'VmRSS')
    return ProcessUsage(
        ticks / _CLOCK_TICKS_PER_S, written_bytes, memory_kib / _KIB_PER_MIB
    )


def _read_field(path: pathlib.Path, name: str) -> int:
    for line in path.read_text().splitlines():
        key, _, value = line.partition(':')
        if key == name:
            return int(value.split()[0])
    raise ValueError(f'{path}: no {name}')


def compute_percentile(values: list[int], percent: int) -> int:
    """Returns a percentile, or -1 if there are no values."""
    if not values:
        return -1
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def print_result(
    name: str, value: float, unit: str, target: float, at_most: bool = True
) -> None:
    """Prints a result with its target."""
    is_met = value <= target if at_most else value >= target
    comparison = '<=' if at_most else '>='
    print(
        f'bench name={name} value={value:.6g} unit={unit} '
        f'target={comparison}{target:g} ok={"yes" if is_met else "no"}',
        flush=True,
    )
