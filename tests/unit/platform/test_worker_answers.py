"""Answers of workers and of the advice service, also malformed ones."""

import json
from typing import Any

import hypothesis
from hypothesis import strategies
from lib import job_cells
import pytest

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import life_connections
from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.backing import runners
from nutmegknot._internal.models import jobs
from nutmegknot._internal.platform import http_client
from nutmegknot._internal.platform import platform_workers
from nutmegknot._internal.schema import jobs_pb2

NAME = 'a' * 16 + '.0.0.0'
JSON_TEXTS = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-2, 2)
    | strategies.floats()
    | strategies.sampled_from([NAME, 'done', '', '7', 'fence']),
    lambda inner: (
        strategies.lists(inner, max_size=6)
        | strategies.dictionaries(
            strategies.sampled_from(['clockMs', 'born', 'reason']),
            inner,
            max_size=3,
        )
    ),
    max_leaves=12,
).map(json.dumps)
ROWS = JSON_TEXTS | strategies.lists(JSON_TEXTS, max_size=6).map(
    lambda texts: f'[{",".join(texts)}]'
)
FIELDS = strategies.dictionaries(
    strategies.sampled_from(
        ['clockMs', 'born', 'running', 'ended', 'reason', 'good', 'validMs']
    ),
    ROWS | strategies.lists(ROWS, max_size=2).map(lambda t: f'[{",".join(t)}]'),
).map(lambda d: '{' + ','.join(f'"{k}":{v}' for k, v in d.items()) + '}')
BODIES = FIELDS.map(str.encode) | strategies.binary(max_size=20)
STATUSES = strategies.sampled_from([200, 409, 421, 429, 500, 503])


@pytest.fixture
def answers(monkeypatch: pytest.MonkeyPatch) -> list[platform_calls.Reply]:
    """Replies of which each call gets the last one."""
    replies: list[platform_calls.Reply] = []

    async def send_call(*_: Any) -> platform_calls.Reply:  # noqa: ANN401
        return replies[-1]

    monkeypatch.setattr(http_client, 'send_call', send_call)
    return replies


def open_pool(address: str, headers: dict[str, str]) -> life_connections.Pool:
    """Returns connections that are always open."""

    async def send(
        call: platform_calls.Call, timeout_ms: int, may_connect: bool
    ) -> platform_calls.Reply | platform_calls.NoAnswer:
        session: Any = None
        client = http_client.Client(session)
        return await http_client.send_call(client, address, call, timeout_ms)

    async def close() -> None:
        pass

    return life_connections.Pool(send, close)


async def call_all(
    client: http_client.Client,
) -> tuple[
    runners.PollResult,
    runners.CommandResult,
    advisers.Advised | advisers.Unadvised,
]:
    access = platform_workers.connect_runners(open_pool)
    advise = platform_workers.connect_adviser(client, '127.0.0.1:1')
    worker = job_cells.make_worker('w1')
    name = jobs.TaskName('a' * 16, 0, 0, 0)
    command = runners.StartCommand(name, 1, 'text', 1, 1)
    return (
        await access.poll(worker, 1, 0, None, 0, 100),
        await access.start(worker, command, 100),
        await advise('a.0.0', ['w1'], 100),
    )


@hypothesis.settings(
    max_examples=400,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(raw=BODIES, status=STATUSES)
async def test_any_answer_is_decoded_to_fields_of_the_stated_types(
    answers: list[platform_calls.Reply], raw: bytes, status: int
) -> None:
    """Guards against one answer of one worker that ends the owner's process."""
    answers.append(http_client.decode_reply(status, raw))
    session: Any = None
    result, started, advised = await call_all(http_client.Client(session))
    if isinstance(result, runners.Inventory):
        assert isinstance(result.clock_ms, int)
        for run in result.runs:
            assert isinstance(run.run, int)
            assert run.progress_percent is None or (
                isinstance(run.progress_percent, int)
                and 0 <= run.progress_percent <= 100
            )
            assert isinstance(run.checkpoint, str)
        for end in result.ends:
            assert isinstance(end.number, int)
            assert isinstance(end.run, int)
            assert isinstance(end.checkpoint, str)
    if isinstance(started, runners.Taken | runners.Refused):
        assert started.clock_ms is None or isinstance(started.clock_ms, int)
    if isinstance(advised, advisers.Advised):
        assert all(isinstance(t, str) for t in advised.tickets.values())


@pytest.mark.parametrize(
    'text',
    [
        '{"clockMs":1e999,"born":1}',
        '{"clockMs":1,"born":"x"}',
        '{"clockMs":1,"running":[["' + NAME + '","2","",100]]}',
        '{"clockMs":1,"ended":[["5","' + NAME + '",1,"done",""]]}',
        '{"clockMs":1,"running":[[7,1,"",100]]}',
        '[' * 100_000,
    ],
)
async def test_malformed_answers_that_ended_the_process(
    answers: list[platform_calls.Reply], text: str
) -> None:
    answers.append(http_client.decode_reply(200, text.encode()))
    session: Any = None
    result, started, _ = await call_all(http_client.Client(session))
    assert isinstance(result, runners.Unanswered | runners.Inventory)
    if isinstance(result, runners.Inventory):
        assert all(isinstance(run.run, int) for run in result.runs)
        assert all(isinstance(end.number, int) for end in result.ends)
    assert isinstance(started, runners.Taken)


@pytest.mark.parametrize(
    ('entry', 'percent'),
    [
        (',0', 0),
        (',23', 23),
        (',100.0', 100),
        ('', None),
        *((f',{e}', None) for e in ('101', '-1', 'null', '"50"', 'true', '[]')),
    ],
)
async def test_a_run_without_valid_progress_is_still_listed(
    answers: list[platform_calls.Reply], entry: str, percent: int | None
) -> None:
    """Guards against a run that counts as unknown for its progress alone."""
    text = f'{{"clockMs":1,"born":1,"running":[["{NAME}",2,""{entry}]]}}'
    answers.append(http_client.decode_reply(200, text.encode()))
    session: Any = None
    result, _, _ = await call_all(http_client.Client(session))
    assert isinstance(result, runners.Inventory)
    assert [run.progress_percent for run in result.runs] == [percent]


async def test_a_full_list_of_ends_says_that_there_may_be_more(
    answers: list[platform_calls.Reply],
) -> None:
    ends = [[n, NAME, n, 'stopped', ''] for n in range(1, 501)]
    fields = {'clockMs': 1, 'running': [], 'ended': ends}
    session: Any = None
    client = http_client.Client(session)
    answers.append(platform_calls.Reply(200, fields))
    full, _, _ = await call_all(client)
    answers.append(platform_calls.Reply(200, {**fields, 'ended': ends[:499]}))
    partial, _, _ = await call_all(client)
    assert isinstance(full, runners.Inventory)
    assert isinstance(partial, runners.Inventory)
    assert full.has_more_ends
    assert not partial.has_more_ends


@pytest.mark.parametrize(
    'text',
    [
        '{"clockMs":1,"ended":[[1,"' + NAME + '",HUGE,"failed",""]]}',
        '{"clockMs":1,"ended":[[HUGE,"' + NAME + '",1,"failed",""]]}',
        '{"clockMs":1,"ended":[[1,"' + NAME + '",-1,"failed",""]]}',
        '{"clockMs":1,"ended":[[1,"' + NAME + '",1,"done","\\ud800"]]}',
        '{"clockMs":1,"running":[["' + NAME + '",HUGE,"",100]]}',
        '{"clockMs":1,"running":[["' + NAME + '",1,"\\ud800",100]]}',
        '{"clockMs":1,"running":[["' + NAME + '",1,"",HUGE]]}',
        '{"clockMs":1,"running":[["' + NAME + '",1,"",100,HUGE]]}',
        '{"clockMs":1,"running":[["\\ud800.0.0.0",1,"",100]]}',
        '{"clockMs":1,"running":[["a.0.0.HUGE",1,"",100]]}',
        '{"clockMs":HUGE}',
        '{"clockMs":-1}',
        '{"clockMs":1,"born":HUGE}',
        '{"clockMs":1,"good":[["w1","\\ud800"]],"validMs":1000}',
        '{"clockMs":1,"good":[["w1","t"]],"validMs":HUGE}',
    ],
)
async def test_no_odd_answer_reaches_what_the_owner_writes(
    answers: list[platform_calls.Reply], text: str
) -> None:
    """Guards against an answer that ends each owner that polls its worker.

    A failed run with the number 10^30 was kept in the job's progress, whose
    numbers have 32 bits; the error ended the writer, and with it the process.
    """
    raw = text.replace('HUGE', '1' + '0' * 30).encode()
    answers.append(http_client.decode_reply(200, raw))
    session: Any = None
    result, started, advised = await call_all(http_client.Client(session))
    if isinstance(result, runners.Inventory):
        jobs_pb2.RosterWorker(life=result.life)
        jobs_pb2.RosterWorker(life=result.clock_ms)
        for run in result.runs:
            jobs_pb2.RunNumbers(runs=[run.run])
            jobs_pb2.StageProgress(checkpoints={0: run.checkpoint})
            assert run.name.index < 2**31
        for end in result.ends:
            jobs_pb2.RunNumbers(runs=[end.run])
            jobs_pb2.StageProgress(checkpoints={0: end.checkpoint})
        jobs_pb2.RunNumbers(runs=[end.number for end in result.ends])
    assert isinstance(started, runners.Taken)
    jobs_pb2.RosterWorker(life=started.life)
    jobs_pb2.RosterWorker(life=started.clock_ms)
    if isinstance(advised, advisers.Advised):
        jobs_pb2.AdviceReply(
            valid_ms=advised.valid_ms,
            tickets=[
                jobs_pb2.TicketPart(worker=id, ticket=ticket)
                for id, ticket in advised.tickets.items()
            ],
        )
        assert advised.valid_ms < 2**53


@pytest.mark.parametrize('row', ['5', '[]', '["a.0.0.0",null]', '{"a":1}'])
async def test_an_odd_run_in_an_answer_leaves_the_others(
    answers: list[platform_calls.Reply], row: str
) -> None:
    """It counts as one that the owner does not know."""
    text = '{"clockMs":1,"running":[' + row + ',["' + NAME + '",1,"",100]]}'
    answers.append(http_client.decode_reply(200, text.encode()))
    session: Any = None
    result, _, _ = await call_all(http_client.Client(session))
    assert isinstance(result, runners.Inventory)
    assert [jobs.format_task(run.name) for run in result.runs] == [NAME]
    assert result.unreadable_runs == 1


async def test_an_odd_address_is_a_call_that_was_not_sent() -> None:
    client = http_client.make_client()
    for address in ('127.0.0.1:99999', '127.0.0.1:x', '[', 'a b'):
        reply = await http_client.send_call(
            client, address, platform_calls.Call('GET', '/'), 1_000
        )
        assert isinstance(reply, platform_calls.NoAnswer), address
        assert not reply.was_sent, address
    await http_client.close(client)
