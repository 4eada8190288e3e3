"""HTTP for callers: decodes their calls and encodes the outcomes."""

import json
import logging
import math
from typing import Any

from aiohttp import web

from nutmegknot._internal.jobs import accepting
from nutmegknot._internal.jobs import admitting
from nutmegknot._internal.jobs import entering
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import running
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import resources
from nutmegknot._internal.network import channels
from nutmegknot._internal.telemetry import counters
from nutmegknot._internal.utils import clock as clock_lib

logger = logging.getLogger(__name__)

READY_PATH = '/api/ready'
DEFAULT_WAIT_MS = 3_000
MOST_BODY_BYTES = 1_048_576
MOST_PAYLOAD_BYTES = 4_000
STOP_S = 3.0
_BEARER = 'Bearer '
_STATUSES = {
    outcomes.RefusalReason.BAD_REQUEST: 400,
    outcomes.RefusalReason.KEY_REJECTED: 401,
    outcomes.RefusalReason.UNKNOWN_QUEUE: 404,
    outcomes.RefusalReason.OVERLOADED: 429,
    outcomes.RefusalReason.NEVER_RUNNABLE: 503,
    outcomes.RefusalReason.DEADLINE_PASSED: 503,
    outcomes.RefusalReason.UNAVAILABLE: 503,
    outcomes.RefusalReason.STOPPING: 503,
}
_KINDS = {'POST': 'submit', 'GET': 'look', 'DELETE': 'cancel'}
_BAD_BODY = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)


async def serve(node: nodes.Node, address: str, ready: str) -> web.ServerRunner:
    """Serves callers at one address, and readiness at another.

    Raises:
      OSError: If an address can't be used.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == READY_PATH:
            return web.Response(status=200 if running.is_ready(node) else 503)
        response = await _handle(node, request)
        if node.is_stopping:
            # The caller's next call goes to another instance.
            response.force_close()
        return response

    server = web.Server(
        handle, access_log=None, max_line_size=16_384, max_field_size=16_384
    )
    runner = web.ServerRunner(server, shutdown_timeout=STOP_S)
    await runner.setup()
    for listen in {address, ready} - {''}:
        host, port = channels.split_address(listen)
        await web.TCPSite(runner, host, port, backlog=512).start()
    return runner


async def _handle(node: nodes.Node, request: web.BaseRequest) -> web.Response:
    authorization = request.headers.get('Authorization', '')
    key = ''
    if authorization.startswith(_BEARER):
        key = authorization[len(_BEARER) :]
    host = request.headers.get('Host', '').partition(':')[0]
    admitted = admitting.admit(node.catalog, host, request.path, key)
    if isinstance(admitted, outcomes.Refused):
        logger.info(
            'call_refused',
            extra={
                'method': request.method,
                'path': request.path,
                'why': admitted.reason.value,
                'revision': node.catalog.revision if node.catalog else 0,
            },
        )
        counters.count(node.figures.refusals, admitted.reason.value)
        return _refuse(admitted)
    kind = _find_kind(request, admitted)
    if kind is None:
        return web.Response(status=400)
    came_ms = node.clock.now_ms()
    response = await _answer(node, request, admitted, kind)
    counters.count(node.figures.calls, kind, str(response.status))
    counters.record(node.figures.call_ms, node.clock.now_ms() - came_ms, kind)
    return response


def _find_kind(
    request: web.BaseRequest, admitted: admitting.Admitted
) -> str | None:
    if request.method == 'GET' and not admitted.rest:
        return 'count'
    return _KINDS.get(request.method) if admitted.rest else None


async def _answer(
    node: nodes.Node,
    request: web.BaseRequest,
    admitted: admitting.Admitted,
    kind: str,
) -> web.Response:
    wait_ms = _get_wait(request)
    if kind == 'submit':
        return await _submit(node, request, admitted, wait_ms)
    if kind == 'look':
        return await _look(node, admitted, wait_ms)
    if kind == 'cancel':
        return await _cancel(node, admitted, wait_ms)
    return await _count(node, admitted, wait_ms)


def _get_wait(request: web.BaseRequest) -> int:
    text = request.headers.get('Deadline-Ms', '')
    return int(text) if text.isdecimal() else DEFAULT_WAIT_MS


def _show(fields: dict[str, Any], status: int = 200) -> web.Response:
    body = json.dumps(fields, separators=(',', ':')).encode()
    return web.Response(
        status=status, body=body, content_type='application/json'
    )


def _refuse(refused: outcomes.Refused) -> web.Response:
    response = _show({'reason': refused.detail}, _STATUSES[refused.reason])
    _add_retry(response, refused.retry_after_ms)
    return response


def _show_unknown(outcome: outcomes.Unknown) -> web.Response:
    response = _show({'reason': outcome.detail}, 504)
    _add_retry(response, outcome.retry_after_ms)
    return response


def _add_retry(response: web.Response, retry_after_ms: int) -> None:
    if retry_after_ms:
        seconds = math.ceil(retry_after_ms / clock_lib.MS_PER_S)
        response.headers['Retry-After'] = str(seconds)


async def _submit(
    node: nodes.Node,
    request: web.BaseRequest,
    admitted: admitting.Admitted,
    wait_ms: int,
) -> web.Response:
    raw = await request.read()
    order = decode_order(raw, admitted)
    if isinstance(order, outcomes.Refused):
        logger.info(
            'job_refused',
            extra={
                'job': admitted.rest,
                'why': order.reason.value,
                'detail': order.detail,
            },
        )
        return _refuse(order)
    outcome = await entering.submit(node, order, wait_ms)
    match outcome:
        case outcomes.Accepted():
            return _show({})
        case outcomes.Refused():
            counters.count(node.figures.refusals, outcome.reason.value)
            return _refuse(outcome)
        case outcomes.Unknown():
            return _show_unknown(outcome)


async def _look(
    node: nodes.Node, admitted: admitting.Admitted, wait_ms: int
) -> web.Response:
    found = await entering.look(node, admitted.rest, admitted.customer, wait_ms)
    match found:
        case jobs.JobState():
            return _show({'state': found.value})
        case outcomes.NotFound():
            return web.Response(status=410)
        case outcomes.Unknown():
            return _show_unknown(found)


async def _cancel(
    node: nodes.Node, admitted: admitting.Admitted, wait_ms: int
) -> web.Response:
    outcome: accepting.CancelOutcome = await entering.cancel(
        node, admitted.rest, admitted.customer, wait_ms
    )
    match outcome:
        case outcomes.Cancelled():
            return _show({})
        case outcomes.NotFound():
            return web.Response(status=410)
        case outcomes.Unknown():
            return _show_unknown(outcome)


async def _count(
    node: nodes.Node, admitted: admitting.Admitted, wait_ms: int
) -> web.Response:
    found = await entering.count_waiting(node, admitted.queue.name, wait_ms)
    if isinstance(found, outcomes.Unknown):
        return _show_unknown(found)
    return _show({'waiting': found})


def decode_order(
    raw: bytes, admitted: admitting.Admitted
) -> jobs.Order | outcomes.Refused:
    """Returns the job of a body, or why it is refused."""
    try:
        fields = json.loads(raw)
        payload = fields['spec']
        if len(payload.encode()) > MOST_PAYLOAD_BYTES:
            raise ValueError('the description is too long')
        return jobs.Order(
            id=admitted.rest,
            queue=admitted.queue.name,
            customer=admitted.customer,
            payload=payload,
            steps=tuple(_decode_step(step) for step in fields['steps']),
            start_at_ms=int(fields.get('startAtMs') or 0),
            interval_ms=int(fields.get('intervalMs') or 0),
            occurrences=int(fields.get('repeatCount') or 0),
        )
    except _BAD_BODY as error:
        reason = outcomes.RefusalReason.BAD_REQUEST
        return outcomes.Refused(reason, repr(error))


def _decode_step(fields: dict[str, Any]) -> jobs.Step:
    may_miss = fields.get('mayMiss')
    lasting = bool(fields.get('longRunning'))
    # A field whose value is 0 is left out; only lasting tasks have a bound.
    return jobs.Step(
        count=int(fields['count']),
        size=resources.Resources(
            int(fields.get('cpu') or 0),
            int(fields.get('memMb') or 0),
            int(fields.get('gpu') or 0),
        ),
        estimate_ms=int(fields.get('estimateMs') or 0),
        after=tuple(int(number) for number in fields.get('after') or ()),
        saves_progress=bool(fields.get('savesProgress')),
        all_at_once=bool(fields.get('gang')),
        one_rack=bool(fields.get('sameRack')),
        label=fields.get('requires') or '',
        data_rack=fields.get('dataRack') or '',
        per_worker=int(fields.get('antiAffinity') or 0),
        speculative=bool(fields.get('speculative')),
        lasting=lasting,
        image=fields.get('image') or '',
        tail_target_ms=int(fields.get('targetMs') or 0),
        fills=bool(fields.get('fills')),
        may_miss=int(may_miss or 0) if lasting else None,
    )
