"""The way of one job through the logs of several instances."""

from collections.abc import Iterable
import dataclasses
import re

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Fields that are the same on each line, or shown otherwise.
_HIDDEN = frozenset(('time', 'level', 'module', 'event'))


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One line of a log.

    Attributes:
      time: When it was written, by its instance's clock.
      event: What happened.
      fields: The inputs and the outcome.
      source: Name of the file.
    """

    time: str
    event: str
    fields: dict[str, str]
    source: str


def parse_line(text: str, source: str) -> Line | None:
    """Returns a line of key=value pairs, or None if it is none."""
    fields = {
        key: value[1:-1] if value.startswith('"') else value
        for key, value in _PAIR.findall(text)
    }
    if 'event' not in fields or 'time' not in fields:
        return None
    shown = {k: v for k, v in fields.items() if k not in _HIDDEN}
    return Line(fields['time'], fields['event'], shown, source)


def concerns(line: Line, job_id: str) -> bool:
    """Tells whether a line is about a job, its stages, tasks or calls."""
    fields = line.fields
    if fields.get('job') == job_id:
        return True
    names = (fields.get('task', ''), fields.get('stage', ''))
    if any(name.startswith(f'{job_id}.') for name in names):
        return True
    return fields.get('path', '').endswith(f'/{job_id}')


def trace(lines: Iterable[Line], job_id: str) -> list[Line]:
    """Returns the lines about a job, in the order of time.

    Clocks of instances differ by little, so lines of two instances within a
    few ms may stand in the wrong order.
    """
    return sorted(
        (line for line in lines if concerns(line, job_id)),
        key=lambda line: line.time,
    )


def summarize(lines: list[Line]) -> str:
    """Returns in one sentence what became of a job."""
    if not lines:
        return 'no instance has logged anything about it'
    by_event: dict[str, Line] = {}
    for line in lines:
        by_event[line.event] = line
    ended = by_event.get('job_ended')
    if ended is not None:
        fields = ended.fields
        return (
            f'it ended as {fields.get("state")} ({fields.get("why")}) after '
            f'{fields.get("after_ms")} ms; its objective was '
            f'{fields.get("objective_ms")} ms'
        )
    if 'job_accepted' in by_event:
        starts = sum(line.event == 'run_placed' for line in lines)
        last = lines[-1]
        return (
            f'it was accepted and has not ended; {starts} runs were placed, '
            f'and the last line about it is {last.event}'
        )
    for event in ('job_refused', 'call_refused'):
        if event in by_event:
            why = by_event[event].fields.get('why')
            return f'it was refused: {why}; it has not run'
    if 'job_unsettled' in by_event:
        return 'no owner answered in time; whether it was accepted is not known'
    return f'the last line about it is {lines[-1].event}'
