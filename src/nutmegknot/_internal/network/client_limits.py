"""Limits on what the clients of a process may send and keep open.

One state is shared by all HTTP servers of a process. aiohttp creates a protocol
object for each connection; this module puts one of its own between that object
and the transport. It counts bytes before they are parsed, and closes the
connection or drops what follows when a limit is exceeded. Times are counted in
sweeps over all connections, so that a process that was paused does not close
connections for its own delay.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import logging
from typing import Any
from typing import TypeVar
from typing import cast

from aiohttp import streams
from aiohttp import web

from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import clock as clock_lib

logger = logging.getLogger(__name__)

# Longest line of a head, as the callers' limits state it.
MAX_LINE_BYTES = 16_384
# Longest head with the empty lines before it: eight lines of the greatest
# length. Up to three receptions of a body count as well, because the head is
# taken from aiohttp's queue two iterations of the event loop after it arrives.
MAX_HEAD_BYTES = 131_072
# Largest number of line ends in a chunked body, two for each chunk: 262,144
# bytes, the default limit of a body, in chunks of 32 bytes.
MAX_BODY_LINES = 16_384
# Memory of a line beside its bytes: aiohttp keeps an object and two list
# entries for each chunk, 96 bytes for two lines.
LINE_BYTES = 64
# Largest reception, and the part of a request that is not taken from the
# budget, so that ordinary requests are served while the budget is exhausted.
RECEIVE_BYTES = 16_384
# Memory of a connection: its objects, the parsed lines of a head and the
# receptions outside the budget.
CONNECTION_BYTES = 65_536
# Bytes that aiohttp keeps of a body before it stops reading the connection.
READ_BUFFER_BYTES = 32_768
# Memory of a decoded JSON object or list without its items, and of an item.
OBJECT_BYTES = 232
LIST_BYTES = 64
ITEM_BYTES = 40
# File descriptors that are reserved for files.
RESERVED_FDS = 200
# A caller waits for about 3,000 ms and sends its request at once.
HEAD_MS = 5_000
BODY_MS = 5_000
# Longer than clients keep an unused connection open for their next call.
IDLE_MS = 300_000
# How long the rest of a body is read after the response, so that the client
# can read the response before the connection is closed.
LINGERING_S = 2.0
SWEEP_MS = 500
# One log line for each reason in this time.
LOG_INTERVAL_MS = 1_000
# Log lines in this time that name single refused calls. Callers that are in the
# limits are refused for the form of a call only by mistake, one by one.
MAX_REFUSAL_LINES = 10
# Longest text of a caller in such a line.
MAX_LOGGED_CHARS = 200


class Phase(enum.Enum):
    """What a connection is used for at present."""

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    CALL = 'call'
    # Used by calls of its protocol until it is lost.
    SERVING = 'serving'


class Reason(enum.Enum):
    """Why a connection was closed or a request was refused."""

    CONNECTIONS = 'connections'
    EVICTED = 'evicted'
    HEAD_BYTES = 'head_bytes'
    HEAD_TIME = 'head_time'
    BODY_BYTES = 'body_bytes'
    BODY_CHUNKS = 'body_chunks'
    BODY_TIME = 'body_time'
    BUDGET = 'budget'
    IDLE_TIME = 'idle_time'
    MALFORMED = 'malformed'
    # Refused for the form of the call or for its key; not logged by itself.
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on the clients of a process.

    Attributes:
      max_connections: Most open connections.
      max_held_bytes: Budget for the memory of all requests.
      phase_ms: Time limit of each phase; none for a phase that is left out.
    """

    max_connections: int
    max_held_bytes: int
    phase_ms: dict[Phase, int] = dataclasses.field(
        default_factory=lambda: {
            Phase.IDLE: IDLE_MS,
            Phase.HEAD: HEAD_MS,
            Phase.BODY: BODY_MS,
        }
    )


# For a process whose pages are only read by operators' programs.
PAGE_LIMITS = Limits(max_connections=128, max_held_bytes=1_048_576)


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One open connection, or a call whose connection was lost.

    Attributes:
      transport: Its transport; None before it is made and after it is lost.
      phase: What it is used for.
      since_sweep: Number of the sweep before the phase began.
      received: Bytes received since the last request was complete.
      lines: Line ends among them.
      is_complete: Whether its present request was received to the end.
      cost: Estimated memory of its requests.
      later_cost: Part of the cost received since the request was complete.
      charged: Part of the cost taken from the budget.
      refused: Why what it sends is dropped; None if it is not.
      unread: Body of which a part was not read before the response; aiohttp
        waits for the rest of it.
    """

    transport: asyncio.Transport | None = None
    phase: Phase = Phase.IDLE
    since_sweep: int = 0
    received: int = 0
    lines: int = 0
    is_complete: bool = False
    cost: int = 0
    later_cost: int = 0
    charged: int = 0
    refused: Reason | None = None
    unread: streams.StreamReader | None = None


@dataclasses.dataclass(slots=True)
class Clients:
    """All clients of a process.

    Attributes:
      limits: The limits.
      clock: Source of time for the log lines.
      closings: Counts closed connections and refused requests by reason.
      connections: Connections by the protocol object that serves them.
      idle: Idle connections, the one that has been idle longest first.
      unfinished: Connections whose request is incomplete although it is longer
        than an ordinary call, or began before the last sweep but one. Those
        that have been so longest come first.
      held_bytes: What is taken from the budget.
      sweeps: Number of sweeps since the start.
      sweep_timer: Timer of the next sweep; None while nothing is connected.
      buffer: Where receptions of all connections are stored, one at a time.
      unlogged: Number of closings since the last log line, by reason.
      logged_ms: Time of the last log line, by reason.
      decoding: Held while a long body is decoded.
      decoding_due_ms: When the next long body may be decoded.
      refusal_lines: Log lines that name single refused calls, in the present
        interval.
      refusal_lines_ms: When this interval began.
    """

    limits: Limits
    clock: clock_lib.Clock
    closings: instruments.Counter
    connections: dict[object, Connection] = dataclasses.field(
        default_factory=dict
    )
    idle: dict[Connection, None] = dataclasses.field(default_factory=dict)
    unfinished: dict[Connection, None] = dataclasses.field(default_factory=dict)
    held_bytes: int = 0
    sweeps: int = 0
    sweep_timer: asyncio.TimerHandle | None = None
    buffer: memoryview = dataclasses.field(
        default_factory=lambda: memoryview(bytearray(RECEIVE_BYTES))
    )
    unlogged: dict[Reason, int] = dataclasses.field(default_factory=dict)
    logged_ms: dict[Reason, int] = dataclasses.field(default_factory=dict)
    decoding: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    decoding_due_ms: int = 0
    refusal_lines: int = 0
    refusal_lines_ms: int = 0


Decoded = TypeVar('Decoded')
# Handles a request, like the handlers of aiohttp.
Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclasses.dataclass(slots=True, frozen=True)
class InvalidBody:
    """The body exceeds a limit of its own, or is malformed.

    Attributes:
      status: HTTP status of the response.
    """

    status: int


@dataclasses.dataclass(slots=True, frozen=True)
class UnreadBody:
    """The body could not be read; the job may be known from an earlier call."""


def make_counter() -> instruments.Counter:
    """Returns the counter of closings, with no closings yet."""
    return instruments.Counter(
        'client_closings',
        'Connections closed and requests refused for the limits on clients.',
        ('reason',),
    )


def derive_limits(memory_mb: int, max_fds: int) -> Limits:
    """Returns the limits for a machine.

    A sixteenth of the memory is for bodies, and up to a quarter for
    connections. The connections get half of the file descriptors; the other
    half is for the process's own connections and for accepted ones that are
    about to be closed.

    Args:
      memory_mb: Memory of the process in MiB.
      max_fds: Most file descriptors of the process.
    """
    memory_bytes = memory_mb * 1_048_576
    by_memory = memory_bytes // 4 // CONNECTION_BYTES
    by_fds = (max_fds - RESERVED_FDS) // 2
    return Limits(max(1, min(by_memory, by_fds)), memory_bytes // 16)


def report(clients: Clients, reason: Reason, detail: str = '') -> None:
    """Counts a closing or refusal; logs it within the rate of log lines."""
    instruments.increment(clients.closings, reason.value)
    unlogged = clients.unlogged.get(reason, 0) + 1
    now_ms = clients.clock.now_ms()
    logged_ms = clients.logged_ms.get(reason)
    if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
        clients.unlogged[reason] = unlogged
        return
    clients.unlogged[reason] = 0
    clients.logged_ms[reason] = now_ms
    logger.warning(
        'client_limited',
        extra={
            'why': reason.value,
            'count': unlogged,
            'connections': len(clients.connections),
            'held_bytes': clients.held_bytes,
            'detail': detail,
        },
    )


def log_refusal(clients: Clients, event: str, fields: dict[str, Any]) -> None:
    """Logs that a call was refused, or counts it beyond the rate of lines.

    Args:
      clients: All clients.
      event: Name of the log event.
      fields: Fields of the log line.
    """
    now_ms = clients.clock.now_ms()
    if now_ms - clients.refusal_lines_ms >= LOG_INTERVAL_MS:
        clients.refusal_lines, clients.refusal_lines_ms = 0, now_ms
    clients.refusal_lines += 1
    if clients.refusal_lines <= MAX_REFUSAL_LINES:
        logger.info(event, extra={k: _shorten(v) for k, v in fields.items()})
    else:
        report(clients, Reason.REFUSED, event)


def _shorten(value: object) -> object:
    return value[:MAX_LOGGED_CHARS] if isinstance(value, str) else value


def close(clients: Clients, connection: Connection, reason: Reason) -> None:
    """Closes a connection at once."""
    if connection.refused is not reason:
        report(clients, reason)
    clients.idle.pop(connection, None)
    clients.unfinished.pop(connection, None)
    connection.refused = reason
    if connection.transport is not None:
        connection.transport.abort()


def admit(
    clients: Clients,
    key: object,
    connection: Connection,
    max_connections: int,
) -> bool:
    """Adds a new connection unless too many are open.

    Another one is closed for it: one that is idle, or whose request is longer
    or takes longer than that of an ordinary call and is incomplete. If there is
    none, the new one is closed.

    Load pattern: clients keep all connections open with requests that they
    never complete. Ordinary callers are served without a wait until these time
    out.
    """
    if len(clients.connections) >= max_connections:
        evicted = _find_evictable(clients)
        if evicted is None:
            close(clients, connection, Reason.CONNECTIONS)
            return False
        close(clients, evicted, Reason.EVICTED)
    clients.connections[key] = connection
    enter(clients, connection, connection.phase)
    if clients.sweep_timer is None:
        _schedule_sweep(clients)
    return True


def _find_evictable(clients: Clients) -> Connection | None:
    """Returns the connection to close for a new one, or None.

    A connection that was opened a moment ago counts as idle too, until its
    request is read, so it comes last.
    """
    longest_idle = next(iter(clients.idle), None)
    if longest_idle is not None and longest_idle.since_sweep < clients.sweeps:
        return longest_idle
    return next(iter(clients.unfinished), longest_idle)


def enter(clients: Clients, connection: Connection, phase: Phase) -> None:
    """Records that a phase of a connection begins."""
    if phase is Phase.IDLE:
        clients.idle[connection] = None
    else:
        clients.idle.pop(connection, None)
    if phase not in (Phase.HEAD, Phase.BODY):
        clients.unfinished.pop(connection, None)
    connection.phase = phase
    connection.since_sweep = clients.sweeps


def remove(clients: Clients, key: object) -> None:
    """Forgets a lost connection, after its call if one is in progress."""
    connection = clients.connections.get(key)
    if connection is None:
        return
    connection.transport = None
    clients.idle.pop(connection, None)
    clients.unfinished.pop(connection, None)
    if connection.unread is not None:
        # Otherwise aiohttp's task would wait for the rest of the body for
        # LINGERING_S, without counting as a connection any more.
        connection.unread.feed_eof()
        connection.unread = None
    if connection.phase is not Phase.CALL:
        del clients.connections[key]
        _release(clients, connection, 0)


def charge(clients: Clients, connection: Connection, size: int) -> bool:
    """Adds to the memory of a connection; returns whether there is budget."""
    connection.cost += size
    added = max(connection.cost - RECEIVE_BYTES, 0) - connection.charged
    connection.charged += added
    clients.held_bytes += added
    return not added or clients.held_bytes <= clients.limits.max_held_bytes


def _release(clients: Clients, connection: Connection, cost: int) -> None:
    """Lowers the memory of a connection to a cost."""
    connection.cost = connection.later_cost = 0
    clients.held_bytes -= connection.charged
    connection.charged = 0
    charge(clients, connection, cost)


def receive(clients: Clients, connection: Connection, data: bytes) -> bool:
    """Counts received bytes; returns whether they are to be parsed."""
    if connection.refused is not None:
        return False
    if connection.phase is Phase.IDLE:
        enter(clients, connection, Phase.HEAD)
    lines = data.count(b'\n')
    connection.received += len(data)
    connection.lines += lines
    is_reading_body = connection.phase is Phase.BODY
    is_long = connection.received > RECEIVE_BYTES
    if is_long and connection.phase is not Phase.CALL:
        clients.unfinished[connection] = None
    if not is_reading_body and connection.received > MAX_HEAD_BYTES:
        close(clients, connection, Reason.HEAD_BYTES)
        return False
    cost = len(data) + lines * LINE_BYTES
    if connection.phase is Phase.CALL:
        connection.later_cost += cost
    if not charge(clients, connection, cost):
        # This reception is still parsed: it wakes up the reader of the body,
        # which refuses the request. What follows is dropped.
        connection.refused = Reason.BUDGET
        report(clients, Reason.BUDGET)
    return True


def find_expired(clients: Clients, connection: Connection) -> Reason | None:
    """Returns why a connection is to be closed now, or None."""
    if connection.phase is Phase.HEAD and connection.refused is not None:
        return connection.refused
    limit_ms = clients.limits.phase_ms.get(connection.phase)
    age_ms = (clients.sweeps - connection.since_sweep) * SWEEP_MS
    if limit_ms is None or age_ms <= limit_ms:
        return None
    if connection.phase is Phase.IDLE:
        return Reason.IDLE_TIME
    is_head = connection.phase is Phase.HEAD
    return Reason.HEAD_TIME if is_head else Reason.BODY_TIME


def sweep(clients: Clients) -> None:
    """Closes the connections whose time is over."""
    clients.sweeps += 1
    for connection in list(clients.connections.values()):
        is_receiving = connection.phase in (Phase.HEAD, Phase.BODY)
        if is_receiving and clients.sweeps - connection.since_sweep > 1:
            clients.unfinished[connection] = None
        reason = find_expired(clients, connection)
        if reason is not None:
            close(clients, connection, reason)


def _schedule_sweep(clients: Clients) -> None:
    def run() -> None:
        clients.sweep_timer = None
        sweep(clients)
        if clients.connections:
            _schedule_sweep(clients)

    clients.sweep_timer = asyncio.get_running_loop().call_later(
        clock_lib.to_seconds(SWEEP_MS), run
    )


class _Protocol(asyncio.BufferedProtocol):
    """Stands between the transport of a connection and aiohttp's protocol.

    The event loop calls its methods. They only pass on what the functions of
    this module admit.

    Attributes:
      clients: All clients.
      connection: The connection.
      max_connections: Limit that applies to it.
      inner: aiohttp's protocol.
    """

    __slots__ = ('clients', 'connection', 'inner', 'max_connections')

    def __init__(
        self,
        clients: Clients,
        max_connections: int,
        inner: web.RequestHandler,
    ) -> None:
        self.clients = clients
        self.connection = Connection()
        self.max_connections = max_connections
        self.inner = inner

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of uvloop are not instances of asyncio's class.
        self.connection.transport = cast(asyncio.Transport, transport)
        if admit(
            self.clients, self.inner, self.connection, self.max_connections
        ):
            self.inner.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.inner in self.clients.connections:
            remove(self.clients, self.inner)
            self.inner.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.clients.buffer

    def buffer_updated(self, nbytes: int) -> None:
        data = bytes(self.clients.buffer[:nbytes])
        if not receive(self.clients, self.connection, data):
            return
        self.inner.data_received(data)
        error = _get_parse_error(self.inner)
        if error is not None:
            # aiohttp would parse what follows, and keep an error for each part.
            # It logs the first one, which reports it.
            self.connection.refused = Reason.MALFORMED
            _clear_tracebacks(error)

    def eof_received(self) -> None:
        self.inner.eof_received()

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()


def make_protocol_factory(
    clients: Clients, server: web.Server, max_connections: int
) -> Callable[[], asyncio.BaseProtocol]:
    """Returns what creates the protocol objects of a listening socket."""
    return lambda: _Protocol(clients, max_connections, server())


def make_parser_logger(clients: Clients) -> logging.Logger:
    """Returns a logger for aiohttp that reports malformed requests.

    aiohttp logs a traceback for each of them, which costs more than the
    request.
    """

    def report_malformed(record: logging.LogRecord) -> bool:
        error = record.exc_info[1] if record.exc_info else None
        report(clients, Reason.MALFORMED, type(error).__name__)
        _clear_tracebacks(error)
        return False

    parser_logger = logging.Logger(f'{__name__}.parser')
    parser_logger.addFilter(report_malformed)
    return parser_logger


def _clear_tracebacks(error: BaseException | None) -> None:
    """Releases what an exception that aiohttp keeps has passed through.

    The frames of its traceback refer to the request, and the request to the
    exception. Without this, what was received stays in memory until the next
    collection of reference cycles, which comes after thousands of requests.
    """
    while error is not None:
        error.__traceback__ = None
        error = error.__cause__ or error.__context__


def limit_calls(clients: Clients, handle: Handle) -> Handle:
    """Returns a handler that keeps account of the requests it handles."""

    async def handle_limited(request: web.BaseRequest) -> web.StreamResponse:
        connection = clients.connections.get(request.protocol)
        if connection is None:
            # The connection was lost before; nobody receives the response.
            return web.Response(status=504)
        enter(clients, connection, Phase.CALL)
        connection.is_complete = False
        if request.content.is_eof():
            _record_complete(connection)
        try:
            response = await handle(request)
        finally:
            _end_call(clients, request, connection)
        if connection.refused is not None:
            response.force_close()
        return response

    return handle_limited


def _record_complete(connection: Connection) -> None:
    connection.is_complete = True
    connection.received = connection.lines = connection.later_cost = 0


def _end_call(
    clients: Clients, request: web.BaseRequest, connection: Connection
) -> None:
    if connection.transport is None:
        clients.connections.pop(request.protocol, None)
        _release(clients, connection, 0)
        return

    def settle() -> None:
        connection.unread = None
        if connection.transport is None:
            return
        if not connection.is_complete:
            _record_complete(connection)
        is_pipelining = _has_queued_requests(request.protocol)
        cost = connection.cost if is_pipelining else connection.later_cost
        _release(clients, connection, cost)
        enter(clients, connection, Phase.HEAD if cost else Phase.IDLE)

    if not request.content.is_eof():
        # aiohttp reads the rest after the response.
        enter(clients, connection, Phase.BODY)
        connection.unread = request.content
    request.content.on_eof(settle)


def _has_queued_requests(protocol: Any) -> bool:  # noqa: ANN401 - private part of aiohttp's protocol
    return bool(protocol._messages)


def _get_parse_error(protocol: Any) -> BaseException | None:  # noqa: ANN401 - private part of aiohttp's protocol
    """Returns the error that the newest reception caused, or None."""
    if not protocol._messages:
        return None
    return getattr(protocol._messages[-1][0], 'exc', None)


def refuse(clients: Clients, connection: Connection, reason: Reason) -> None:
    """Lets the connection be closed after the response to its request."""
    if connection.refused is None:
        connection.refused = reason
        report(clients, reason)


async def read_body(
    clients: Clients, request: web.BaseRequest, max_bytes: int
) -> bytes | InvalidBody | UnreadBody:
    """Reads the body of a request within the limits.

    Its memory stays taken from the budget until the request was handled.

    Args:
      clients: All clients.
      request: The request.
      max_bytes: Maximum length of the body, after it was decompressed.
    """
    connection = clients.connections.get(request.protocol)
    if connection is None:
        return UnreadBody()
    if (request.content_length or 0) > max_bytes:
        refuse(clients, connection, Reason.BODY_BYTES)
        return InvalidBody(413)
    enter(clients, connection, Phase.BODY)
    is_chunked = request.content_length is None
    is_encoded = 'Content-Encoding' in request.headers
    body = bytearray()
    try:
        while not request.content.at_eof():
            piece = await request.content.readany()
            body += piece
            if len(body) > max_bytes:
                refuse(clients, connection, Reason.BODY_BYTES)
                return InvalidBody(413)
            if is_chunked and connection.lines > MAX_BODY_LINES:
                refuse(clients, connection, Reason.BODY_CHUNKS)
                return InvalidBody(413)
            # What a decompressed piece takes was not counted on reception.
            if is_encoded and not charge(clients, connection, len(piece)):
                refuse(clients, connection, Reason.BUDGET)
            if connection.refused is not None:
                return UnreadBody()
    except web.RequestPayloadError as error:
        _clear_tracebacks(error)
        refuse(clients, connection, Reason.MALFORMED)
        return InvalidBody(400)
    except ConnectionError as error:
        _clear_tracebacks(error)
        return UnreadBody()
    enter(clients, connection, Phase.CALL)
    _record_complete(connection)
    return bytes(body)


async def decode_in_turn(
    clients: Clients, raw: bytes, until_ms: int, decode: Callable[[], Decoded]
) -> Decoded | UnreadBody:
    """Decodes a body, a long one only when it is its turn.

    Load pattern: many long bodies arrive at once, each of which takes the event
    loop for some time. Between two of them it is free for as long as the first
    one took, so that ordinary calls, leases and renewals go on.

    Args:
      clients: All clients.
      raw: The body.
      until_ms: When the caller's time is over.
      decode: Decodes the body.

    Returns:
      What decode returns; UnreadBody if the caller's time was over before.
    """
    if len(raw) <= RECEIVE_BYTES:
        return decode()
    async with clients.decoding:
        wait_ms = clients.decoding_due_ms - clients.clock.now_ms()
        if wait_ms > 0:
            await clock_lib.sleep(wait_ms)
        began_ms = clients.clock.now_ms()
        if began_ms >= until_ms:
            return UnreadBody()
        decoded = decode()
        ended_ms = clients.clock.now_ms()
        clients.decoding_due_ms = 2 * ended_ms - began_ms
        return decoded


def estimate_decoded_bytes(raw: bytes) -> int:
    """Returns about how much memory a JSON text takes when it is decoded."""
    return (
        len(raw)
        + raw.count(b'{') * OBJECT_BYTES
        + raw.count(b'[') * LIST_BYTES
        + raw.count(b',') * ITEM_BYTES
    )


def give_back(clients: Clients, request: web.BaseRequest, size: int) -> None:
    """Returns memory to the budget that hold has taken."""
    connection = clients.connections.get(request.protocol)
    if connection is not None:
        charge(clients, connection, -size)


def hold(clients: Clients, request: web.BaseRequest, size: int) -> bool:
    """Takes memory from the budget until a request was handled.

    Returns:
      Whether the budget suffices. If not, the request is to be refused.
    """
    connection = clients.connections.get(request.protocol)
    if connection is None:
        return False
    if charge(clients, connection, size):
        return True
    refuse(clients, connection, Reason.BUDGET)
    return False
