"""Tests of audit/traces.py: the log lines of a job and their summary."""

from nutmegknot._internal.audit import traces

LOG = (
    'time=10:00:00,100 level=INFO module=m event=job_accepted job=ab1 queue=q'
    ' objective_ms=900',
    'time=10:00:00,200 level=INFO module=m event=run_placed task=ab1.0.0.1'
    ' run=1 worker=w1 waited_ms=12',
    'time=10:00:00,150 level=INFO module=m event=advice_taken stage=ab1.0.0'
    ' asked=3',
    'time=10:00:00,300 level=INFO module=m event=run_placed task=ab12.0.0.1'
    ' run=1 worker=w1 waited_ms=12',
    'not a line of a log',
)
ENDED = (
    'time=10:00:02,000 level=INFO module=m event=job_ended job=ab1'
    ' state=completed why="all done" after_ms=1900 objective_ms=900'
)


def parse_lines(*texts: str) -> list[traces.Line]:
    parsed = [traces.parse_line(text, 'a.log') for text in texts]
    return [line for line in parsed if line is not None]


def test_lines_of_one_job_are_sorted_by_time() -> None:
    lines = traces.select_lines(parse_lines(*LOG), 'ab1')
    events = [line.event for line in lines]
    assert events == ['job_accepted', 'advice_taken', 'run_placed']


def test_summary_gives_outcome_or_progress() -> None:
    lines = traces.select_lines(parse_lines(*LOG, ENDED), 'ab1')
    assert traces.summarize(lines) == (
        'it ended as completed (all done) after 1900 ms; its objective was'
        ' 900 ms'
    )
    lines = traces.select_lines(parse_lines(*LOG), 'ab1')
    assert 'accepted and has not ended; 1 runs' in traces.summarize(lines)


def test_summary_of_refused_job_says_that_it_has_not_run() -> None:
    refused = (
        'time=10:00:00,1 level=INFO module=m event=job_refused job=ab1'
        ' why=unavailable'
    )
    lines = traces.select_lines(parse_lines(refused), 'ab1')
    assert traces.summarize(lines) == (
        'it was refused: unavailable; it has not run'
    )
    assert 'nothing' in traces.summarize([]) or 'no instance' in (
        traces.summarize([])
    )
