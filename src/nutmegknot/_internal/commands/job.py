"""Commands on accepted requests."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import instance_connections
from nutmegknot._internal.commands import operator_calls
from nutmegknot._internal.commands import output_format
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import operator_pb2


async def explain_job(
    command: cell_arguments.JobExplain,
) -> errors.CommandError | None:
    """Shows the state of a request and why it waits, if it does."""

    async def explain(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        call = operator_pb2.ExplainCall(
            team=command.team, request_id=command.id, key=key
        )
        reply = await client.operator.Explain(
            call, timeout=instance_connections.CALL_TIMEOUT_S
        )
        if reply.state == 'not_found':
            return errors.CommandError(
                exit_codes.ExitCode.NOT_FOUND,
                f'team {command.team} has no request {command.id!r}',
            )
        fields = {
            'request': f'{command.team}/{command.id}',
            'state': reply.state,
            'fleet': reply.fleet,
            'attempt': reply.attempt,
            'workers': list(reply.workers),
            'held_by': reply.held_by,
        }
        output_format.print_object(command.output, fields)
        if reply.state == 'unreached':
            return errors.CommandError(
                exit_codes.ExitCode.UNKNOWN, reply.held_by, 'try again'
            )
        return None

    return await operator_calls.call_as_operator(command, explain)


async def list_jobs(
    command: cell_arguments.JobList,
) -> errors.CommandError | None:
    """Lists requests, oldest first."""
    names = ['request_key', 'queue', 'state', 'fleet', 'attempt', 'accepted_ms']

    async def print_jobs(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        call = operator_pb2.ListJobsCall(
            team=command.team, ended=command.ended, most=command.most, key=key
        )
        reply = await client.operator.ListJobs(
            call, timeout=instance_connections.CALL_TIMEOUT_S
        )
        rows = [[getattr(job, name) for name in names] for job in reply.jobs]
        output_format.print_rows(command.output, names, rows)
        if not reply.unreached:
            return None
        return errors.CommandError(
            exit_codes.ExitCode.UNKNOWN,
            f'the list lacks the requests of {", ".join(reply.unreached)}, '
            'whose owners were not reached',
            'try again',
        )

    return await operator_calls.call_as_operator(command, print_jobs)
