"""Tests of decisions/steps.py."""

from lib import job_cells

from nutmegknot._internal.decisions import rooms
from nutmegknot._internal.decisions import steps
from nutmegknot._internal.models import books
from nutmegknot._internal.models import catalogs
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

NOW_MS = 10_000


def make_book(*listed: workers.Worker, **customers: int) -> books.Book:
    """Returns a book with claimed workers; customers by millicores."""
    catalog = job_cells.make_catalog(
        job_cells.make_queue(),
        job_cells.make_queue('asked', needs_tickets=True, advice_ms=50.0),
        customers=tuple(
            catalogs.Customer(name, limit=resources.Resources(millicores=limit))
            for name, limit in customers.items()
        ),
    )
    book = books.Book(1, 0, catalog)
    for worker in listed:
        host = books.Host(worker, is_claimed=True, is_recorded=True)
        book.hosts[worker.id] = host
    return book


def add(
    book: books.Book,
    id: str,
    step: jobs.Step,
    queue: str = 'queue',
    customer: str = '',
) -> jobs.Stage:
    """Returns the stage of a job that waits."""
    order = jobs.Order(
        id, queue, customer, '', (step,), accepted_ms=NOW_MS, epoch=1
    )
    job = jobs.Job(order, is_durable=True, chain_ms=step.estimate_ms)
    stage = jobs.make_stage(0, 0, step)
    stage.ready_ms = NOW_MS - 1_000
    job.stages[0, 0] = stage
    book.jobs[id] = job
    book.open_stages[id, 0, 0] = stage
    return stage


def plan(book: books.Book) -> rooms.Room:
    return steps.plan(book, NOW_MS, NOW_MS)


def list_bindings(room: rooms.Room) -> list[str]:
    return [binding for _, binding in room.held]


def test_tasks_fill_a_worker_and_not_more() -> None:
    book = make_book(job_cells.make_worker('w1'))
    add(book, 'a', job_cells.make_step(6))
    room = plan(book)
    assert len(room.placed) == 4
    assert list_bindings(room) == ['room']


def test_a_limit_holds_back_what_would_exceed_it() -> None:
    book = make_book(job_cells.make_worker('w1'), team=2_500)
    add(book, 'a', job_cells.make_step(4), customer='team')
    room = plan(book)
    assert len(room.placed) == 2
    assert list_bindings(room) == ['limit']


def test_a_gang_starts_whole_or_not_at_all() -> None:
    book = make_book(job_cells.make_worker('w1'), job_cells.make_worker('w2'))
    add(book, 'a', job_cells.make_step(3, 3_000, all_at_once=True))
    assert plan(book).placed == []
    add(book, 'b', job_cells.make_step(2, 3_000, all_at_once=True))
    placed = plan(book).placed
    assert {p.job.order.id for p in placed} == {'b'}
    assert {p.host.worker.id for p in placed} == {'w1', 'w2'}


def test_a_gang_that_wants_one_rack_gets_one() -> None:
    book = make_book(
        job_cells.make_worker('w1', rack='r1'),
        job_cells.make_worker('w2', rack='r2'),
        job_cells.make_worker('w3', rack='r2'),
    )
    add(
        book,
        'a',
        job_cells.make_step(2, 3_000, all_at_once=True, one_rack=True),
    )
    placed = plan(book).placed
    assert {p.host.worker.id for p in placed} == {'w2', 'w3'}


def test_data_is_worked_on_in_its_rack() -> None:
    book = make_book(
        job_cells.make_worker('w1', rack='r1'),
        job_cells.make_worker('w2', rack='r2'),
    )
    add(book, 'a', job_cells.make_step(4, data_rack='r2'))
    assert {p.host.worker.id for p in plan(book).placed} == {'w2'}


def test_no_worker_gets_more_of_a_stage_than_allowed() -> None:
    book = make_book(job_cells.make_worker('w1'), job_cells.make_worker('w2'))
    add(book, 'a', job_cells.make_step(6, per_worker=2))
    placed = plan(book).placed
    counts = [p.host.worker.id for p in placed]
    assert counts.count('w1') == counts.count('w2') == 2


def test_a_label_is_required() -> None:
    book = make_book(
        job_cells.make_worker('w1'),
        job_cells.make_worker('w2', labels=frozenset(('fast',))),
    )
    add(book, 'a', job_cells.make_step(4, label='fast'))
    assert {p.host.worker.id for p in plan(book).placed} == {'w2'}
    add(book, 'b', job_cells.make_step(1, label='other'))
    assert 'no_worker' in list_bindings(plan(book))


def test_filling_tasks_keep_away_from_serving_ones() -> None:
    book = make_book(job_cells.make_worker('w1'), job_cells.make_worker('w2'))
    serving = add(
        book, 's', job_cells.make_step(1, lasting=True, tail_target_ms=50)
    )
    job = book.jobs['s']
    name = books.name_task(job, serving, 0)
    books.occupy(book, book.hosts['w1'], job, name, serving.tasks[0])
    serving.tasks[0].phase = jobs.Phase.RUNNING
    del book.open_stages['s', 0, 0]
    add(book, 'f', job_cells.make_step(2, 8_000, fills=True))
    placed = plan(book).placed
    assert [p.host.worker.id for p in placed] == ['w2', 'w2']


def test_room_is_kept_while_a_ticket_is_asked_for() -> None:
    book = make_book(job_cells.make_worker('w1'))
    asked = add(book, 'a', job_cells.make_step(1, 4_000), queue='asked')
    asked.advice.asked['w1'] = 1
    asked.advice.tickets['w1'] = jobs.Ticket('old', NOW_MS - 1, 1)
    add(book, 'b', job_cells.make_step(4))
    room = plan(book)
    assert room.placed == []
    assert [q.workers for q in room.questions] == [['w1']]
    assert list_bindings(room) == ['ticket', 'room']


def test_others_are_asked_for_where_suited_workers_have_their_share() -> None:
    """Found in scale-1 of the site mvhd-sched-grown (LOST).

    Of 30 workers asked about 8 were suited, and each had one task of a lasting
    step that allows one a worker. Their tickets were renewed again and again,
    and no other worker was asked about for the ninth task.
    """
    listed = [job_cells.make_worker(f'w{i}') for i in range(3)]
    book = make_book(*listed)
    step = job_cells.make_step(2, 100, per_worker=1, lasting=True)
    stage = add(book, 'a', step, 'asked')
    job = book.jobs['a']
    stage.advice.asked = {'w0': 1, 'w1': 1}
    stage.advice.tickets = {'w0': jobs.Ticket('ticket', NOW_MS - 1, 1)}
    books.occupy(
        book,
        book.hosts['w0'],
        job,
        books.name_task(job, stage, 0),
        stage.tasks[0],
    )
    stage.tasks[0].phase = jobs.Phase.RUNNING
    room = plan(book)
    assert [question.workers for question in room.questions] == [['w2']]


def test_nothing_starts_where_it_may_not() -> None:
    for change in (
        {'is_claimed': False},
        {'is_listed': False},
        {'is_recorded': False},
        {'unwanted': {'x.0.0.0': 1}},
        {'doubted_until_ms': NOW_MS + 1},
        {'asked_ms': NOW_MS - rooms.SILENT_MS},
    ):
        book = make_book(job_cells.make_worker('w1'))
        for field, value in change.items():
            setattr(book.hosts['w1'], field, value)
        add(book, 'a', job_cells.make_step())
        assert plan(book).placed == [], change
