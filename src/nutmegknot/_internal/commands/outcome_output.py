"""Prints outcomes of requests and chooses the exit codes for them."""

from typing import Any

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import output_format
from nutmegknot._internal.schema import common_pb2

_EXIT_CODES = {
    'accepted': exit_codes.ExitCode.OK,
    'finished': exit_codes.ExitCode.OK,
    'refused': exit_codes.ExitCode.REFUSED,
    'conflict': exit_codes.ExitCode.CONFLICT,
    'failed': exit_codes.ExitCode.FAILED,
    'cancelled': exit_codes.ExitCode.CANCELLED,
    'may_have_run': exit_codes.ExitCode.MAY_HAVE_RUN,
    'pending': exit_codes.ExitCode.PENDING,
    'not_found': exit_codes.ExitCode.NOT_FOUND,
    'unknown': exit_codes.ExitCode.UNKNOWN,
}
_ERROR_TEXTS = {
    'refused': 'refused, not run',
    'conflict': 'this id belongs to a request with other content',
    'failed': 'failed',
    'cancelled': 'cancelled',
    'may_have_run': 'may have run, and will not be run again',
    'pending': 'no outcome yet',
    'not_found': 'no such request',
    'unknown': 'the effect of the call is not known',
}
_ADVICE = {
    'pending': 'nutmegknot wait waits for the outcome',
    'unknown': 'repeat the call with the same id; that is safe',
}


def print_outcome(
    output: str, request_id: str, outcome: common_pb2.Outcome
) -> errors.CommandError | None:
    """Prints an outcome.

    Args:
      output: Output format, 'table' or 'json'.
      request_id: Identifier of the request.
      outcome: The outcome.

    Returns:
      The error with which the command ends, or None if the request was
      accepted or has finished.
    """
    kind = outcome.WhichOneof('kind') or 'unknown'
    fields = {'request': request_id, 'outcome': kind, **_list_fields(outcome)}
    output_format.print_object(output, fields)
    code = _EXIT_CODES[kind]
    if code is exit_codes.ExitCode.OK:
        return None
    detail = fields.get('detail', '')
    text = f'{request_id}: {_ERROR_TEXTS[kind]}'
    text = f'{text}: {detail}' if detail else text
    return errors.CommandError(code, text, _ADVICE.get(kind, ''))


def _list_fields(outcome: common_pb2.Outcome) -> dict[str, Any]:
    kind = outcome.WhichOneof('kind')
    if kind is None:
        return {}
    if kind == 'finished':
        answers = outcome.finished.answers
        return {
            'answers': [answer.decode('utf-8', 'replace') for answer in answers]
        }
    return {
        field.name: value
        for field, value in getattr(outcome, kind).ListFields()
        if field.name != 'request_key'
    }
