"""Finds what the logs of several instances say about one job."""

from collections.abc import Iterable
import dataclasses
import re

_PAIR_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Fields that are not listed with the other fields of a line: the time and the
# event are shown in columns of their own, the level and the module not at all.
_HIDDEN_FIELDS = frozenset(('time', 'level', 'module', 'event'))


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One line of an instance's log.

    Attributes:
      time: Time of the line as logged, by the clock of the instance.
      event: Name of the event, for example 'job_accepted'.
      fields: Values of the event's other fields, by name.
      source: Name of the log file.
    """

    time: str
    event: str
    fields: dict[str, str]
    source: str


def parse_line(text: str, source: str) -> Line | None:
    """Parses a line of key=value pairs.

    Returns:
      The line, or None if it has no time or no event and so is not a log line
      of an instance.
    """
    fields = {
        key: value[1:-1] if value.startswith('"') else value
        for key, value in _PAIR_PATTERN.findall(text)
    }
    if 'event' not in fields or 'time' not in fields:
        return None
    other_fields = {k: v for k, v in fields.items() if k not in _HIDDEN_FIELDS}
    return Line(fields['time'], fields['event'], other_fields, source)


def is_about_job(line: Line, job_id: str) -> bool:
    """Returns whether a line is about a job, its stages, tasks or calls."""
    fields = line.fields
    if fields.get('job') == job_id:
        return True
    names = (fields.get('task', ''), fields.get('stage', ''))
    if any(name.startswith(f'{job_id}.') for name in names):
        return True
    return fields.get('path', '').endswith(f'/{job_id}')


def select_lines(lines: Iterable[Line], job_id: str) -> list[Line]:
    """Returns the lines about a job, sorted by time.

    The clocks of instances may differ by a few ms, so lines that two instances
    wrote within a few ms may be in the wrong order.
    """
    return sorted(
        (line for line in lines if is_about_job(line, job_id)),
        key=lambda line: line.time,
    )


def summarize(lines: list[Line]) -> str:
    """Summarizes the state or outcome of a job in one sentence."""
    if not lines:
        return 'no instance has logged anything about it'
    last_by_event: dict[str, Line] = {}
    for line in lines:
        last_by_event[line.event] = line
    ended = last_by_event.get('job_ended')
    if ended is not None:
        fields = ended.fields
        return (
            f'it ended as {fields.get("state")} ({fields.get("why")}) after '
            f'{fields.get("after_ms")} ms; its objective was '
            f'{fields.get("objective_ms")} ms'
        )
    if 'job_accepted' in last_by_event:
        starts = sum(line.event == 'run_placed' for line in lines)
        last = lines[-1]
        return (
            f'it was accepted and has not ended; {starts} runs were placed, '
            f'and the last line about it is {last.event}'
        )
    for event in ('job_refused', 'call_refused'):
        if event in last_by_event:
            why = last_by_event[event].fields.get('why')
            return f'it was refused: {why}; it has not run'
    if 'job_unsettled' in last_by_event:
        return 'no owner answered in time; whether it was accepted is not known'
    return f'the last line about it is {lines[-1].event}'
