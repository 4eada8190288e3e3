"""About which workers to ask for advice, and when.

Load pattern: few workers are suited for a stage, advice takes longer than a
short task and ends soon, and others take the room while it is asked for.
"""

from nutmegknot._internal.decisions import rooms
from nutmegknot._internal.models import books
from nutmegknot._internal.models import catalogs
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import questions as questions_lib

# A ticket must hold at least so long beyond a decision in ms.
TICKET_MARGIN_MS = 150
# The most workers asked about in one call for advice.
MOST_ASKED = 30
# Tickets for reserved workers are asked for anew so long before they could be
# missing, beside the time that the advice takes, in ms.
RENEW_MARGIN_MS = 300
# The most stages whose tickets are renewed ahead at a time.
MOST_RENEWED = 4


def has_ticket(
    stage: jobs.Stage, host: books.Host, now_ms: int, margin_ms: int
) -> bool:
    """Tells whether a stage has leave to start on a worker for a while."""
    ticket = stage.advice.tickets.get(host.worker.id)
    return (
        ticket is not None
        and ticket.life == host.worker.life
        and now_ms + margin_ms < ticket.until_ms
    )


def is_known_suited(stage: jobs.Stage, host: books.Host) -> bool:
    """Tells whether advice called a worker suited in its present life."""
    ticket = stage.advice.tickets.get(host.worker.id)
    return ticket is not None and ticket.life == host.worker.life


def list_wanted(
    room: rooms.Room, stage: jobs.Stage, hosts: list[books.Host], now_ms: int
) -> list[str]:
    """Returns the workers to ask about, so that the stage can start now."""
    counts = rooms.count_on(stage)

    def has_room(host: books.Host) -> bool:
        return rooms.has_place(room, stage.step, host.worker.id, counts)

    lapsed = [
        host.worker.id
        for host in hosts
        if is_known_suited(stage, host)
        and not has_ticket(stage, host, now_ms, TICKET_MARGIN_MS)
        and has_room(host)
    ]
    if lapsed:
        return lapsed[:MOST_ASKED]
    new = [
        host
        for host in hosts
        if stage.advice.asked.get(host.worker.id) != host.worker.life
    ]
    if stage.advice.asked and not any(has_room(host) for host in new):
        return []
    new.sort(key=has_room, reverse=True)
    return [host.worker.id for host in new[:MOST_ASKED]]


def list_ending(
    queue: catalogs.Queue,
    stage: jobs.Stage,
    hosts: list[books.Host],
    now_ms: int,
) -> list[str]:
    """Returns reserved workers whose tickets end before advice could come."""
    advice_ms = queue.advice_ms + queue.advice_worker_us * len(hosts) / 1000
    margin_ms = int(advice_ms) + RENEW_MARGIN_MS
    return [
        host.worker.id
        for host in hosts
        if is_known_suited(stage, host)
        and not has_ticket(stage, host, now_ms, margin_ms)
    ]


def hold_asked(room: rooms.Room, stage: jobs.Stage, missing: int) -> int:
    """Keeps room on suited workers while their tickets are asked for.

    Returns:
      For how many tasks room is kept.
    """
    counts = rooms.count_on(stage)
    kept = 0
    for id in stage.advice.tickets:
        if kept >= missing:
            break
        if rooms.has_place(room, stage.step, id, counts):
            rooms.take(room, id, jobs.get_held(stage.step))
            kept += 1
    return kept


def add_question(room: rooms.Room, turn: rooms.Turn, ids: list[str]) -> None:
    """Adds a question unless there is nothing to ask, or one is under way."""
    if ids and not turn.stage.advice.is_asking:
        room.questions.append(
            questions_lib.Question(turn.rank, turn.job, turn.stage, ids)
        )
