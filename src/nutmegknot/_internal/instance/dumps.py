"""State dump of an instance, without key digests, payloads and answers."""

import dataclasses
import enum
import json
from typing import Any

from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import instances
from nutmegknot._internal.ledger import ledgers

# Hashes of secret keys, payloads of requests and answers of tasks.
_HIDDEN_FIELDS = frozenset({'digest', 'payload', 'answer', 'answers'})


def format_state(inst: instances.Instance) -> str:
    """Returns the state as JSON lines.

    The first line describes the instance; one line for each ledger partition
    and each fleet partition follows.
    """
    state = collect_state(inst)
    partitions = {name: state.pop(name) for name in ('ledgers', 'fleets')}
    lines = [{'part': 'instance', **state}]
    for kind, states in partitions.items():
        lines += [
            {'part': kind, 'name': name, **partition}
            for name, partition in states.items()
        ]
    return ''.join(json.dumps(line, sort_keys=True) + '\n' for line in lines)


def collect_state(inst: instances.Instance) -> dict[str, Any]:
    """Returns the state as JSON data."""
    view = inst.membership.view
    return {
        'at_ms': inst.clock.wall_ms(),
        'me': convert_to_json(view.me),
        'may_act': authority.may_act(inst),
        'stopping': view.stopping,
        'confirmed_ms_ago': inst.clock.now_ms() - view.confirmed_ms,
        'held_for_ms': view.may_act_until_ms - inst.clock.now_ms(),
        'configuration': convert_to_json(view.configuration),
        'members': {
            name: convert_to_json(sighting.member)
            for name, sighting in sorted(view.members.items())
        },
        'owners': {
            name: convert_to_json(owner)
            for name, owner in sorted(view.owners.items())
        },
        'calls': inst.calls.running,
        'tasks': sorted(task.get_name() for task in inst.tasks.running),
        'ledgers': {
            name: _collect_ledger(ledger)
            for name, ledger in sorted(inst.ledgers.items())
        },
        'fleets': {
            name: _collect_fleet(fleet)
            for name, fleet in sorted(inst.fleets.items())
        },
    }


def _collect_ledger(ledger: ledgers.Ledger) -> dict[str, Any]:
    entries = {}
    for key, entry in sorted(ledger.entries.items()):
        entries[key] = {
            'request': convert_to_json(entry.req),
            'accepted_ms': entry.accepted_ms,
            'fleet': entry.fleet,
            'fleet_epoch': entry.fleet_epoch,
            'attempt': entry.attempt,
            'workers': list(entry.workers),
            'cancelled': entry.cancelled,
            'outcome': type(entry.outcome).__name__ if entry.outcome else '',
            'failures': entry.failures,
            'started': entry.started,
            'writing': [
                name
                for name in ('starting', 'ending', 'cancelling')
                if getattr(entry, name) is not None
            ],
        }
    return {
        'epoch': ledger.epoch,
        'sequence': ledger.journal.head.sequence,
        'open': sum(entry.outcome is None for entry in ledger.entries.values()),
        'accepting': sorted(ledger.pending_acceptances),
        'waiting_bytes': ledger.journal.waiting_bytes,
        'unsent': {
            name: sorted(keys)
            for name, keys in ledger.unsent_assignments.items()
        },
        'entries': entries,
    }


def _collect_fleet(fleet: fleets.Fleet) -> dict[str, Any]:
    sched = fleet.scheduler
    return {
        'epoch': fleet.epoch,
        'domain': fleet.domain,
        'waiting': sorted(sched.waiting),
        'grants': convert_to_json(sched.grants),
        'held': {
            f'{task.request_key}#{task.member}@{task.attempt}': convert_to_json(
                allocation
            )
            for task, allocation in sched.allocations.items()
        },
        'workers': {
            name: {
                'worker': convert_to_json(session.worker),
                'claimed': session.claimed,
                'closed': session.closed,
                'free': convert_to_json(sched.free.get(name)),
                'unsent_starts': len(session.unsent_starts),
            }
            for name, session in sorted(fleet.sessions.items())
        },
        'jobs': {
            key: {
                'attempt': request.assignment.attempt,
                'ledger': request.assignment.ledger,
                'runs': convert_to_json(request.runs),
                'cancelled': request.cancelled,
                'stopping': request.stop_reason,
                'reported': request.reported,
            }
            for key, request in sorted(fleet.requests.items())
        },
        'unreported': {
            name: len(outbox.unsent_reports)
            for name, outbox in fleet.outboxes.items()
        },
    }


def convert_to_json(value: object) -> Any:  # noqa: ANN401 - JSON data
    """Converts a value to JSON data, leaving out the hidden fields."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: convert_to_json(getattr(value, field.name))
            for field in dataclasses.fields(value)
            if field.name not in _HIDDEN_FIELDS
        }
    if isinstance(value, dict):
        return {str(key): convert_to_json(item) for key, item in value.items()}
    if isinstance(value, enum.Enum):
        return value.name.lower()
    if isinstance(value, list | tuple | set | frozenset):
        return [convert_to_json(item) for item in value]
    if value is None or isinstance(value, str | int | float | bool):
        return value
    return f'({type(value).__name__})'
