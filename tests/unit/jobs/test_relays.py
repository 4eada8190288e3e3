"""Calls to the store through other instances."""

import asyncio
import dataclasses

from nutmegknot._internal.backing import fetches
from nutmegknot._internal.jobs import relays
from nutmegknot._internal.utils import clock as clock_lib

READ = fetches.Call('GET', '/rows')
WRITE = fetches.Call('POST', '/rows', body={'puts': []})
DONE = fetches.Reply(200, {'rowVersion': 7})
TURNED_AWAY = fetches.Reply(503, {})


@dataclasses.dataclass(slots=True)
class Ways:
    """The own way and those of others, with what they answer next."""

    own: fetches.Reply | fetches.NoAnswer
    others: dict[str, fetches.Reply | fetches.NoAnswer]
    asked: list[str] = dataclasses.field(default_factory=list)
    time: clock_lib.ManualTime = dataclasses.field(
        default_factory=clock_lib.ManualTime
    )


def make_relay(ways: Ways) -> relays.Relay:
    async def direct(
        call: fetches.Call, timeout_ms: int
    ) -> fetches.Reply | fetches.NoAnswer:
        ways.asked.append('own')
        return ways.own

    async def ask(
        address: str, call: fetches.Call, timeout_ms: int
    ) -> fetches.Reply | fetches.NoAnswer:
        ways.asked.append(address)
        return ways.others[address]

    clock = clock_lib.make_manual_clock(ways.time)
    relay = relays.Relay(clock, direct, READ, ask)
    for address in ways.others:
        relays.note_peer(relay, address, True)
    return relay


def fetch(
    relay: relays.Relay, call: fetches.Call
) -> fetches.Reply | fetches.NoAnswer:
    async def run() -> fetches.Reply | fetches.NoAnswer:
        return await relays.make_fetch(relay)(call, 100)

    return asyncio.run(run())


def test_the_own_way_is_taken_while_it_works() -> None:
    ways = Ways(DONE, {'b': DONE})
    assert fetch(make_relay(ways), WRITE) == DONE
    assert ways.asked == ['own']


def test_a_call_that_was_turned_away_goes_through_another_instance() -> None:
    ways = Ways(TURNED_AWAY, {'b': DONE})
    relay = make_relay(ways)
    assert fetch(relay, WRITE) == DONE
    assert fetch(relay, WRITE) == DONE
    assert ways.asked == ['own', 'b', 'b']


def test_a_write_whose_answer_was_lost_is_not_repeated_elsewhere() -> None:
    lost = fetches.NoAnswer(True, 'timeout')
    ways = Ways(lost, {'b': DONE})
    assert fetch(make_relay(ways), WRITE) == lost
    assert ways.asked == ['own']


def test_an_instance_that_fails_to_relay_is_left_alone_for_a_while() -> None:
    ways = Ways(TURNED_AWAY, {'b': TURNED_AWAY, 'c': TURNED_AWAY})
    relay = make_relay(ways)
    assert fetch(relay, WRITE) == TURNED_AWAY
    assert sorted(ways.asked) == ['b', 'c', 'own']
    assert relays.choose_peer(relay) is None
    ways.time.at_ms += relays.REST_MS
    assert relays.choose_peer(relay) is not None


def test_an_instance_that_does_not_reach_the_store_is_not_asked() -> None:
    ways = Ways(TURNED_AWAY, {'b': DONE})
    relay = make_relay(ways)
    relays.note_peer(relay, 'b', False)
    assert fetch(relay, WRITE) == TURNED_AWAY
    relays.note_peer(relay, 'b', True)
    ways.time.at_ms += relays.RELY_MS
    assert fetch(relay, WRITE) == TURNED_AWAY
    assert ways.asked == ['own', 'own']


def test_the_store_is_lost_for_all_only_by_everybodys_word() -> None:
    ways = Ways(TURNED_AWAY, {'b': TURNED_AWAY, 'c': TURNED_AWAY})
    relay = make_relay(ways)
    assert not relays.is_lost_for_all(relay)
    fetch(relay, WRITE)
    assert not relays.is_lost_for_all(relay)
    relays.note_peer(relay, 'b', False)
    assert not relays.is_lost_for_all(relay)
    relays.note_peer(relay, 'c', False)
    assert relays.is_lost_for_all(relay)
    ways.time.at_ms += relays.WORD_MS
    relays.note_peer(relay, 'b', False)
    assert not relays.is_lost_for_all(relay)


def test_an_instance_that_was_removed_does_not_keep_an_outage_unknown() -> None:
    """Found in trouble-3 of the site mvhd-sched.

    An instance was removed for good 15 s before an outage of the store for
    all; the owner stopped acting, and 56 jobs were answered as unknown.
    """
    ways = Ways(TURNED_AWAY, {})
    relay = make_relay(ways)
    relays.note_peer(relay, 'removed', True)
    ways.time.at_ms += 11_000
    fetch(relay, WRITE)
    relays.note_peer(relay, 'b', False)
    assert relays.is_lost_for_all(relay)


def test_an_instance_that_knows_no_other_claims_no_outage_for_all() -> None:
    relay = make_relay(Ways(TURNED_AWAY, {}))
    fetch(relay, WRITE)
    assert not relays.is_lost_for_all(relay)


def test_standbys_are_the_instances_that_reach_the_store() -> None:
    ways = Ways(DONE, {})
    relay = make_relay(ways)
    relays.note_peer(relay, 'b', True, 500)
    relays.note_peer(relay, 'c', False, 4_000)
    relays.note_peer(relay, 'd', True, 2_000)
    strengths = [peer.strength for peer in relays.list_standbys(relay)]
    assert strengths == [500, 2_000]
    ways.time.at_ms += relays.RELY_MS
    assert relays.list_standbys(relay) == []
