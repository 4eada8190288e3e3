"""Command explain: shows what several instances have logged about one job."""

import itertools

from nutmegknot._internal.audit import traces
from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import registry


def explain_job(command: registry.Explain) -> errors.CommandError | None:
    """Prints the log lines about a job, and a summary of its state."""
    lines_by_file = []
    for path in command.logs:
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            return errors.CommandError(
                exit_codes.ExitCode.FAILED,
                f'{path}: {error.strerror}',
                'name files that hold the standard output of instances',
            )
        parsed = (
            traces.parse_line(line, path.name) for line in text.splitlines()
        )
        lines_by_file.append([line for line in parsed if line is not None])
    lines = traces.select_lines(itertools.chain(*lines_by_file), command.job)
    for line in lines:
        pairs = ' '.join(f'{key}={value}' for key, value in line.fields.items())
        print(f'{line.time} {line.source} {line.event} {pairs}')
    print(f'{command.job}: {traces.summarize(lines)}')
    if not lines:
        return errors.CommandError(
            exit_codes.ExitCode.NOT_FOUND,
            f'{command.job} does not occur in any of the files',
            'check the id, and whether the files cover the time of the job',
        )
    return None
