"""Command check-config: checks a configuration before it is put into force."""

import pathlib

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import output_format
from nutmegknot._internal.commands import registry
from nutmegknot._internal.configuration import job_checks
from nutmegknot._internal.configuration import job_differences
from nutmegknot._internal.models import job_configurations
from nutmegknot._internal.platform import configuration_files

# Severity, place and text of a finding.
_Row = tuple[str, str, str]
_COLUMNS = ('severity', 'place', 'finding')
_ERROR = job_configurations.Severity.ERROR.value
_WARNING = job_configurations.Severity.WARNING.value


def check_config(
    command: registry.CheckConfig,
) -> errors.CommandError | None:
    """Prints what is wrong or remarkable in a configuration."""
    before: job_configurations.JobConfiguration | None = None
    if command.in_force is not None:
        in_force = _read_in_force(command.in_force)
        if isinstance(in_force, errors.CommandError):
            return in_force
        before = in_force
    listed = None
    rows: list[_Row] = []
    if command.workers is not None:
        worker_file = _read_workers(command.workers)
        if isinstance(worker_file, errors.CommandError):
            return worker_file
        listed = worker_file.workers
        rows += [
            (_WARNING, f'workers{part.place}', f'is left out: {part.why}')
            for part in worker_file.unreadable_parts
        ]
    raw = _read_file(command.file)
    if isinstance(raw, errors.CommandError):
        return raw
    config = configuration_files.decode_configuration(raw)
    if isinstance(config, list):
        rows += [(_ERROR, part.place, part.why) for part in config]
    else:
        findings = job_checks.find_findings(config, listed)
        if before is not None:
            findings += job_differences.list_differences(before, config)
        rows += [
            (
                finding.severity.value,
                configuration_files.format_place(finding.place),
                finding.text,
            )
            for finding in findings
        ]
    return _print_rows(command, rows)


def _print_rows(
    command: registry.CheckConfig, rows: list[_Row]
) -> errors.CommandError | None:
    order = [severity.value for severity in job_configurations.Severity]
    rows.sort(key=lambda row: order.index(row[0]))
    if rows or command.format == 'json':
        output = 'json' if command.format == 'json' else 'table'
        output_format.print_rows(output, _COLUMNS, rows)
    else:
        print('no findings')
    count = sum(row[0] == _ERROR for row in rows)
    if not count:
        return None
    return errors.CommandError(
        exit_codes.ExitCode.BAD_SETTINGS,
        f'{command.file}: {count} error(s)',
        'mend them before the configuration is written to the store',
    )


def _read_in_force(
    path: pathlib.Path,
) -> job_configurations.JobConfiguration | errors.CommandError:
    raw = _read_file(path)
    if isinstance(raw, errors.CommandError):
        return raw
    config = configuration_files.decode_configuration(raw)
    return _reject(path, config[0]) if isinstance(config, list) else config


def _read_workers(
    path: pathlib.Path,
) -> configuration_files.WorkerFile | errors.CommandError:
    raw = _read_file(path)
    if isinstance(raw, errors.CommandError):
        return raw
    result = configuration_files.decode_workers(raw)
    if isinstance(result, configuration_files.UnreadablePart):
        return _reject(path, result)
    return result


def _read_file(path: pathlib.Path) -> bytes | errors.CommandError:
    try:
        return path.read_bytes()
    except OSError as error:
        return errors.CommandError(
            exit_codes.ExitCode.BAD_SETTINGS,
            f'{path}: cannot be read: {error.strerror}',
        )


def _reject(
    path: pathlib.Path, part: configuration_files.UnreadablePart
) -> errors.CommandError:
    texts = (str(path), part.place, part.why)
    return errors.CommandError(
        exit_codes.ExitCode.BAD_SETTINGS,
        ': '.join(text for text in texts if text),
    )
