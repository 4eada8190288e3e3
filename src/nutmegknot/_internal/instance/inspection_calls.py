"""Read-only calls that show the state of requests and partitions.

An operator's call is answered by one call to the owner of each partition
concerned, without retries. The reply names the partitions whose owner did not
answer.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Any

from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.instance import fleet_selection
from nutmegknot._internal.instance import instances
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.membership import partition_ownership
from nutmegknot._internal.network import channels
from nutmegknot._internal.network import services
from nutmegknot._internal.schema import inspect_grpc
from nutmegknot._internal.schema import inspect_pb2
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import hashing

MAX_JOBS_PER_REPLY = 1000

UnboundHandler = Callable[[instances.Instance, Any, int], Awaitable[Any]]


def make_method_handlers(
    inst: instances.Instance,
) -> dict[str, services.MethodHandler]:
    """Returns the handler of each method of the service Inspect."""
    return {
        name: functools.partial(handle, inst)
        for name, handle in _HANDLERS.items()
    }


async def find_job(
    inst: instances.Instance, call: inspect_pb2.FindJobCall, wait_ms: int
) -> inspect_pb2.FindJobReply:
    """Returns the state of a request in a ledger partition owned here."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return inspect_pb2.FindJobReply(
            not_owner=_make_not_owner(call.partition)
        )
    found = operator_pb2.ExplainReply(state='not_found')
    entry = ledger.entries.get(call.request_key)
    if entry is not None:
        found.state = _get_state(ledger, call.request_key)
        found.fleet = entry.fleet
        found.attempt = entry.attempt
        found.workers.extend(entry.workers)
    elif call.request_key in ledger.pending_acceptances:
        found.state = 'queued'
        found.held_by = 'acceptance: it is still being written'
    return inspect_pb2.FindJobReply(found=found)


async def explain_wait(
    inst: instances.Instance, call: inspect_pb2.FindHolderCall, wait_ms: int
) -> inspect_pb2.FindHolderReply:
    """Returns why a request in an owned fleet partition does not run yet."""
    fleet = inst.fleets.get(call.partition)
    if fleet is None:
        return inspect_pb2.FindHolderReply(
            not_owner=_make_not_owner(call.partition)
        )
    key = call.request_key
    held_by = scheduling.explain(fleet.scheduler, key, inst.clock.wall_ms())
    if not held_by and key not in fleet.requests:
        held_by = 'assignment: the fleet partition has not received it yet'
    elif not held_by and not fleet.requests[key].runs:
        held_by = 'takeover: a worker may still run an earlier attempt'
    elif not held_by:
        held_by = 'start: it has been placed'
    return inspect_pb2.FindHolderReply(held_by=held_by)


async def list_partition_jobs(
    inst: instances.Instance,
    call: inspect_pb2.ListPartitionJobsCall,
    wait_ms: int,
) -> inspect_pb2.ListPartitionJobsReply:
    """Lists the requests of a ledger partition owned here, oldest first."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return inspect_pb2.ListPartitionJobsReply(
            not_owner=_make_not_owner(call.partition)
        )
    chosen = [
        (key, entry)
        for key, entry in ledger.entries.items()
        if (not call.filter.team or entry.req.team == call.filter.team)
        and (call.filter.ended or entry.outcome is None)
    ]
    chosen.sort(key=lambda pair: pair[1].accepted_ms)
    return inspect_pb2.ListPartitionJobsReply(
        jobs=[
            operator_pb2.JobLine(
                request_key=key,
                queue=entry.req.queue,
                state=_get_state(ledger, key),
                fleet=entry.fleet,
                attempt=entry.attempt,
                accepted_ms=entry.accepted_ms,
            )
            for key, entry in chosen[: _get_max_jobs(call.filter)]
        ]
    )


async def show_load(
    inst: instances.Instance, call: inspect_pb2.ShowLoadCall, wait_ms: int
) -> inspect_pb2.ShowLoadReply:
    """Returns how many workers and requests an owned fleet partition has."""
    fleet = inst.fleets.get(call.partition)
    if fleet is None:
        return inspect_pb2.ShowLoadReply(
            not_owner=_make_not_owner(call.partition)
        )
    running = [request for request in fleet.requests.values() if request.runs]
    load = operator_pb2.FleetLoad(
        partition=call.partition,
        workers=len(fleet.sessions),
        running=len(running),
        waiting=len(fleet.scheduler.waiting),
        not_repeatable=sum(
            not request.assignment.req.repeatable for request in running
        ),
    )
    return inspect_pb2.ShowLoadReply(load=load)


async def show_head(
    inst: instances.Instance, call: inspect_pb2.ShowHeadCall, wait_ms: int
) -> inspect_pb2.ShowHeadReply:
    """Returns the end of the hash chain of an owned ledger partition."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return inspect_pb2.ShowHeadReply(
            not_owner=_make_not_owner(call.partition)
        )
    last = ledger.journal.head
    return inspect_pb2.ShowHeadReply(sequence=last.sequence, hash=last.hash)


async def explain(
    inst: instances.Instance, call: operator_pb2.ExplainCall, wait_ms: int
) -> operator_pb2.ExplainReply:
    """Tells an operator the state of a request, and why it does not run yet."""
    key = f'{call.team}/{call.request_id}'
    count = inst.settings.cell.ledger_partitions
    partition = hashing.choose_ledger(key, count)
    job_call = inspect_pb2.FindJobCall(partition=partition, request_key=key)
    reply = await call_owner(inst, 'FindJob', job_call, wait_ms)
    if reply is None:
        held_by = f'the owner of {partition} is not reached'
        return operator_pb2.ExplainReply(state='unreached', held_by=held_by)
    found: operator_pb2.ExplainReply = reply.found
    if found.state != 'queued' or found.held_by:
        return found
    reason_call = inspect_pb2.FindHolderCall(
        partition=found.fleet, request_key=key
    )
    reason = await call_owner(inst, 'FindHolder', reason_call, wait_ms)
    if reason is None:
        found.held_by = f'takeover: the owner of {found.fleet} is not reached'
    else:
        found.held_by = reason.held_by
    return found


async def list_jobs(
    inst: instances.Instance, call: operator_pb2.ListJobsCall, wait_ms: int
) -> operator_pb2.ListJobsReply:
    """Lists requests of all ledger partitions, oldest first."""
    # Without the operator's key, which only this instance checks.
    filter_ = operator_pb2.ListJobsCall(
        team=call.team, ended=call.ended, most=call.most
    )
    names = [
        name
        for name in partition_ownership.list_partitions(inst.settings)
        if name.startswith('ledger-')
    ]
    calls = [
        inspect_pb2.ListPartitionJobsCall(partition=name, filter=filter_)
        for name in names
    ]
    replies = await _call_owners(inst, 'ListPartitionJobs', calls, wait_ms)
    jobs = [job for reply in replies if reply for job in reply.jobs]
    jobs.sort(key=lambda job: (job.accepted_ms, job.request_key))
    return operator_pb2.ListJobsReply(
        jobs=jobs[: _get_max_jobs(call)],
        unreached=_list_unreached(names, replies),
    )


async def preview_domain(
    inst: instances.Instance, call: operator_pb2.PreviewDomainCall, wait_ms: int
) -> operator_pb2.PreviewDomainReply:
    """Shows the load that closing a failure domain would affect."""
    names = [
        name
        for name in partition_ownership.list_partitions(inst.settings)
        if name.startswith('fleet-')
        and fleet_selection.get_domain(name) == call.domain
    ]
    calls = [inspect_pb2.ShowLoadCall(partition=name) for name in names]
    replies = await _call_owners(inst, 'ShowLoad', calls, wait_ms)
    return operator_pb2.PreviewDomainReply(
        loads=[reply.load for reply in replies if reply],
        unreached=_list_unreached(names, replies),
    )


async def _call_owners(
    inst: instances.Instance, method: str, calls: list[Any], wait_ms: int
) -> list[Any]:
    pending = [call_owner(inst, method, call, wait_ms) for call in calls]
    return await asyncio.gather(*pending)


async def call_owner(
    inst: instances.Instance,
    method: str,
    call: Any,  # noqa: ANN401 - any call with a partition
    wait_ms: int,
) -> Any:  # noqa: ANN401 - the method's reply
    """Returns the reply of a partition's owner, or None if there was none."""
    view = inst.membership.view
    owner = view.owners.get(call.partition)
    if owner is None or not owner.owner:
        return None
    if owner.owner == view.me.id:
        reply = await _HANDLERS[method](inst, call, wait_ms)
    else:
        channel = channels.get_channel(inst.channels, owner.address)
        stub = getattr(inspect_grpc.InspectStub(channel), method)
        try:
            reply = await stub(call, timeout=clock.to_seconds(wait_ms))
        except fleet_selection.CALL_ERRORS:
            return None
    return None if reply.HasField('not_owner') else reply


def _get_state(ledger: ledgers.Ledger, key: str) -> str:
    """Returns 'queued', 'running' or the kind of the final outcome."""
    outcome = common_messages.encode_outcome(
        request_operations.get_outcome(ledger, key)
    )
    kind = outcome.WhichOneof('kind') or ''
    return outcome.pending.state if kind == 'pending' else kind


def _get_max_jobs(call: operator_pb2.ListJobsCall) -> int:
    return min(call.most or MAX_JOBS_PER_REPLY, MAX_JOBS_PER_REPLY)


def _list_unreached(names: list[str], replies: list[Any]) -> list[str]:
    return [
        name
        for name, reply in zip(names, replies, strict=True)
        if reply is None
    ]


def _make_not_owner(partition: str) -> peer_pb2.NotOwner:
    return peer_pb2.NotOwner(partition=partition)


_HANDLERS: dict[str, UnboundHandler] = {
    'FindJob': find_job,
    'FindHolder': explain_wait,
    'ListPartitionJobs': list_partition_jobs,
    'ShowLoad': show_load,
    'ShowHead': show_head,
}
