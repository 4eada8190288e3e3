"""HTTP server for callers: decodes their calls and encodes the outcomes."""

import json
import logging
import math
from typing import Any

from aiohttp import web

from nutmegknot._internal.jobs import call_authorization
from nutmegknot._internal.jobs import lifecycle
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_calls
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.network import client_limits
from nutmegknot._internal.network import http_server
from nutmegknot._internal.platform import platform_listings
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import event_loop_lag
from nutmegknot._internal.utils import json_fields

logger = logging.getLogger(__name__)

READY_PATH = '/api/ready'
# Time that a caller waits if its call has no header Deadline-Ms.
DEFAULT_WAIT_MS = 3_000
# Longest time that a caller may wait; callers wait for about 3,000 ms. It
# bounds how long a call keeps its memory.
MAX_WAIT_MS = 30_000
# Longest body before the settings are known, the default of the setting.
MAX_BODY_BYTES = 262_144
# Memory of a decoded step beside its part of the body.
STEP_BYTES = 512
# Longest description of what a job runs (the field 'spec').
MAX_PAYLOAD_BYTES = 4_000
# How long calls in progress may go on when the server is shut down.
SHUTDOWN_TIMEOUT_S = 3.0
# Connections that wait to be accepted. As many are accepted at a time, before
# they are counted.
CALLERS_BACKLOG = 512
READINESS_BACKLOG = 64
# Part of the connections that callers leave to the other ports, so that they
# can't make the load balancer's readiness checks fail.
RESERVED_CONNECTIONS_RATIO = 0.125
# Sent with the response to a call whose body can't be read.
UNREAD_RETRY_AFTER_MS = 1_000
_BEARER_PREFIX = 'Bearer '
# HTTP status by reason of refusal.
_REFUSAL_STATUSES = {
    outcomes.RefusalReason.BAD_REQUEST: 400,
    outcomes.RefusalReason.KEY_REJECTED: 401,
    outcomes.RefusalReason.UNKNOWN_QUEUE: 404,
    outcomes.RefusalReason.ID_IN_USE: 409,
    outcomes.RefusalReason.OVERLOADED: 429,
    outcomes.RefusalReason.NEVER_RUNNABLE: 503,
    outcomes.RefusalReason.DEADLINE_PASSED: 503,
    outcomes.RefusalReason.CANCELLED: 503,
    outcomes.RefusalReason.UNAVAILABLE: 503,
    outcomes.RefusalReason.STOPPING: 503,
}
# Operation on a job by HTTP method.
_OPERATIONS = {'POST': 'submit', 'GET': 'look', 'DELETE': 'cancel'}


async def serve(
    node: nodes.Node,
    address: str,
    ready_address: str,
    clients: client_limits.Clients,
) -> http_server.HttpServer:
    """Serves callers at one address and the readiness check at another.

    Raises:
      OSError: If it can't listen on an address.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == READY_PATH:
            return web.Response(status=200 if lifecycle.is_ready(node) else 503)
        try:
            response = await _handle(node, request, clients)
        except Exception as error:
            # The operation may have taken effect before the error.
            logger.exception(
                'call_failed',
                extra={'path': request.path, 'why': repr(error)},
            )
            response = _make_unknown_response(
                outcomes.Unknown('the call failed unexpectedly')
            )
        if node.is_stopping:
            # The caller's next call then goes to another instance.
            response.force_close()
        return response

    server = http_server.make_server(clients, handle, SHUTDOWN_TIMEOUT_S)
    max_connections = clients.limits.max_connections
    reserved = int(max_connections * RESERVED_CONNECTIONS_RATIO)
    if address:
        await http_server.listen(
            server, address, max_connections - reserved, CALLERS_BACKLOG
        )
    if ready_address not in ('', address):
        await http_server.listen(
            server, ready_address, max_connections, READINESS_BACKLOG
        )
    return server


async def _handle(
    node: nodes.Node,
    request: web.BaseRequest,
    clients: client_limits.Clients,
) -> web.Response:
    authorization = request.headers.get('Authorization', '')
    key = ''
    if authorization.startswith(_BEARER_PREFIX):
        key = authorization[len(_BEARER_PREFIX) :]
    host = request.headers.get('Host', '').partition(':')[0]
    authorized = call_authorization.authorize_call(
        node.settings, host, request.path, key
    )
    if isinstance(authorized, outcomes.Refused):
        client_limits.log_refusal(
            clients,
            'call_refused',
            {
                'method': request.method,
                'path': request.path,
                'why': authorized.reason.value,
                'revision': node.settings.revision if node.settings else 0,
            },
        )
        instruments.increment(node.metrics.refusals, authorized.reason.value)
        return _make_refusal_response(authorized)
    operation = _find_operation(request, authorized)
    if operation is None:
        return web.Response(status=400)
    received_ms = node.clock.now_ms()
    response = await _run_operation(
        node, request, authorized, operation, clients
    )
    instruments.increment(node.metrics.calls, operation, str(response.status))
    instruments.record(
        node.metrics.call_ms, node.clock.now_ms() - received_ms, operation
    )
    return response


def _find_operation(
    request: web.BaseRequest, authorized: call_authorization.AuthorizedCall
) -> str | None:
    if request.method == 'GET' and not authorized.subpath:
        return 'count'
    return _OPERATIONS.get(request.method) if authorized.subpath else None


async def _run_operation(
    node: nodes.Node,
    request: web.BaseRequest,
    authorized: call_authorization.AuthorizedCall,
    operation: str,
    clients: client_limits.Clients,
) -> web.Response:
    wait_ms = _get_wait_ms(request)
    now_ms = node.clock.now_ms()
    unread_ms = event_loop_lag.compute_unread_ms(node.lateness, now_ms)
    until_ms = now_ms + wait_ms - unread_ms
    if operation == 'submit':
        return await _submit(node, request, authorized, until_ms, clients)
    if operation == 'look':
        return await _get_job_state(node, authorized, until_ms - now_ms)
    if operation == 'cancel':
        # A cancel is still wanted when its caller waits no longer.
        return await _cancel(node, authorized, wait_ms)
    return await _count_waiting_jobs(node, authorized, until_ms - now_ms)


def _get_wait_ms(request: web.BaseRequest) -> int:
    header = request.headers.get('Deadline-Ms', '')
    if not header.isdecimal():
        return DEFAULT_WAIT_MS
    # Python refuses to convert numbers of thousands of digits.
    is_long = len(header) > len(str(MAX_WAIT_MS))
    return MAX_WAIT_MS if is_long else min(int(header), MAX_WAIT_MS)


def _make_json_response(
    fields: dict[str, Any], status: int = 200
) -> web.Response:
    body = json.dumps(fields, separators=(',', ':')).encode()
    return web.Response(
        status=status, body=body, content_type='application/json'
    )


def _make_refusal_response(refused: outcomes.Refused) -> web.Response:
    response = _make_json_response(
        {'reason': refused.detail}, _REFUSAL_STATUSES[refused.reason]
    )
    _add_retry_after(response, refused.retry_after_ms)
    return response


def _make_unknown_response(outcome: outcomes.Unknown) -> web.Response:
    response = _make_json_response({'reason': outcome.detail}, 504)
    _add_retry_after(response, outcome.retry_after_ms)
    return response


def _add_retry_after(response: web.Response, retry_after_ms: int) -> None:
    if retry_after_ms:
        seconds = math.ceil(retry_after_ms / clock.MS_PER_S)
        response.headers['Retry-After'] = str(seconds)


async def _submit(
    node: nodes.Node,
    request: web.BaseRequest,
    authorized: call_authorization.AuthorizedCall,
    until_ms: int,
    clients: client_limits.Clients,
) -> web.Response:
    """Submits a job unless its caller no longer waits.

    A caller that got no answer may have repeated or cancelled the call at
    another instance, so a call that is over must not take effect.
    """
    spec = await _read_job_spec(node, request, authorized, until_ms, clients)
    if isinstance(spec, client_limits.InvalidBody):
        return _make_json_response(
            {'reason': 'the body is too long or malformed'}, spec.status
        )
    if isinstance(spec, client_limits.UnreadBody):
        # Not refused: an earlier copy of the call may have been accepted.
        return _make_unknown_response(
            outcomes.Unknown(
                'the body of the call can not be read', UNREAD_RETRY_AFTER_MS
            )
        )
    if isinstance(spec, outcomes.Refused):
        client_limits.log_refusal(
            clients,
            'job_refused',
            {
                'job': authorized.subpath,
                'why': spec.reason.value,
                'detail': spec.detail,
            },
        )
        return _make_refusal_response(spec)
    wait_ms = until_ms - node.clock.now_ms()
    if wait_ms <= 0:
        logger.warning('call_expired', extra={'late_ms': -wait_ms})
        return _make_unknown_response(
            outcomes.Unknown('the call was read after its time was over')
        )
    outcome = await owner_calls.submit(node, spec, wait_ms)
    match outcome:
        case outcomes.Accepted():
            return _make_json_response({})
        case outcomes.Refused():
            instruments.increment(node.metrics.refusals, outcome.reason.value)
            return _make_refusal_response(outcome)
        case outcomes.Unknown():
            return _make_unknown_response(outcome)


async def _read_job_spec(
    node: nodes.Node,
    request: web.BaseRequest,
    authorized: call_authorization.AuthorizedCall,
    until_ms: int,
    clients: client_limits.Clients,
) -> (
    jobs.JobSpec
    | outcomes.Refused
    | client_limits.InvalidBody
    | client_limits.UnreadBody
):
    max_bytes = (
        node.settings.max_body_bytes if node.settings else MAX_BODY_BYTES
    )
    raw = await client_limits.read_body(clients, request, max_bytes)
    if not isinstance(raw, bytes):
        return raw

    def decode() -> jobs.JobSpec | outcomes.Refused | client_limits.UnreadBody:
        decoded_bytes = client_limits.estimate_decoded_bytes(raw)
        if not client_limits.hold(clients, request, decoded_bytes):
            return client_limits.UnreadBody()
        spec = decode_job_spec(raw, authorized)
        client_limits.give_back(clients, request, decoded_bytes)
        return spec

    spec = await client_limits.decode_in_turn(clients, raw, until_ms, decode)
    if isinstance(spec, jobs.JobSpec) and not client_limits.hold(
        clients, request, len(spec.steps) * STEP_BYTES
    ):
        return client_limits.UnreadBody()
    return spec


def _name_job(
    authorized: call_authorization.AuthorizedCall,
) -> jobs.JobReference:
    return jobs.JobReference(
        authorized.subpath, authorized.customer, authorized.queue.name
    )


async def _get_job_state(
    node: nodes.Node,
    authorized: call_authorization.AuthorizedCall,
    wait_ms: int,
) -> web.Response:
    outcome = await owner_calls.get_job_state(
        node, _name_job(authorized), wait_ms
    )
    match outcome:
        case jobs.JobState():
            return _make_json_response({'state': outcome.value})
        case outcomes.NotFound():
            return web.Response(status=410)
        case outcomes.Unknown():
            return _make_unknown_response(outcome)


async def _cancel(
    node: nodes.Node,
    authorized: call_authorization.AuthorizedCall,
    wait_ms: int,
) -> web.Response:
    outcome: owner_operations.CancelOutcome = await owner_calls.cancel(
        node, _name_job(authorized), wait_ms
    )
    match outcome:
        case outcomes.Cancelled():
            return _make_json_response({})
        case outcomes.NotFound():
            return web.Response(status=410)
        case outcomes.Unknown():
            return _make_unknown_response(outcome)


async def _count_waiting_jobs(
    node: nodes.Node,
    authorized: call_authorization.AuthorizedCall,
    wait_ms: int,
) -> web.Response:
    outcome = await owner_calls.count_waiting_jobs(
        node, authorized.queue.name, wait_ms
    )
    if isinstance(outcome, outcomes.Unknown):
        return _make_unknown_response(outcome)
    return _make_json_response({'waiting': outcome})


def decode_job_spec(
    raw: bytes, authorized: call_authorization.AuthorizedCall
) -> jobs.JobSpec | outcomes.Refused:
    """Decodes the body of a submitted job; refuses a malformed body."""
    try:
        fields = json_fields.decode_object(raw)
        payload = json_fields.check_text(fields['spec'])
        if len(payload.encode()) > MAX_PAYLOAD_BYTES:
            raise ValueError('the description is too long')
        return jobs.JobSpec(
            id=authorized.subpath,
            queue=authorized.queue.name,
            customer=authorized.customer,
            payload=payload,
            steps=tuple(
                _decode_step(step)
                for step in json_fields.check_list(fields['steps'])
            ),
            start_at_ms=json_fields.check_integer(
                fields.get('startAtMs'), json_fields.MAX_INTEGER
            ),
            interval_ms=json_fields.check_integer(fields.get('intervalMs')),
            occurrences=json_fields.check_integer(fields.get('repeatCount')),
        )
    except json_fields.ERRORS as error:
        reason = outcomes.RefusalReason.BAD_REQUEST
        return outcomes.Refused(reason, repr(error))


def _decode_step(fields: dict[str, Any]) -> jobs.Step:
    max_unavailable = json_fields.check_integer(fields.get('mayMiss'))
    is_long_running = bool(fields.get('longRunning'))
    # Callers leave out fields whose value is 0, so for a long-running task a
    # missing 'mayMiss' is a limit of 0; other tasks have no such limit.
    return jobs.Step(
        count=json_fields.check_integer(fields['count']),
        size=platform_listings.decode_resources(fields),
        estimate_ms=json_fields.check_integer(fields.get('estimateMs')),
        depends_on=tuple(
            json_fields.check_integer(number)
            for number in json_fields.check_list(fields.get('after'))
        ),
        makes_checkpoints=bool(fields.get('savesProgress')),
        is_gang=bool(fields.get('gang')),
        same_rack=bool(fields.get('sameRack')),
        required_label=json_fields.check_text(fields.get('requires')),
        data_rack=json_fields.check_text(fields.get('dataRack')),
        max_per_worker=json_fields.check_integer(fields.get('antiAffinity')),
        speculative=bool(fields.get('speculative')),
        is_long_running=is_long_running,
        image=json_fields.check_text(fields.get('image')),
        tail_latency_target_ms=json_fields.check_integer(
            fields.get('targetMs')
        ),
        is_opportunistic=bool(fields.get('fills')),
        max_unavailable=max_unavailable if is_long_running else None,
    )
