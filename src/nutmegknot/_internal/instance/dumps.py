"""Dump of an instance's state; keys and payloads are never in it."""

import dataclasses
import enum
import json
from typing import Any

from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import instances
from nutmegknot._internal.ledger import ledgers

_HIDDEN = frozenset({'digest', 'payload', 'answer', 'answers'})


def format_instance(inst: instances.Instance) -> str:
    """Returns the state as JSON lines: a head, then one line a part."""
    shown = show_instance(inst)
    parts = {name: shown.pop(name) for name in ('ledgers', 'fleets')}
    lines = [{'part': 'instance', **shown}]
    for kind, items in parts.items():
        lines += [
            {'part': kind, 'name': name, **state}
            for name, state in items.items()
        ]
    return ''.join(json.dumps(line, sort_keys=True) + '\n' for line in lines)


def show_instance(inst: instances.Instance) -> dict[str, Any]:
    """Returns the state as JSON data."""
    view = inst.membership.view
    return {
        'at_ms': inst.clock.wall_ms(),
        'me': show(view.me),
        'may_act': authority.may_act(inst),
        'stopping': view.stopping,
        'confirmed_ms_ago': inst.clock.now_ms() - view.confirmed_ms,
        'held_for_ms': view.held_until_ms - inst.clock.now_ms(),
        'configuration': show(view.configuration),
        'members': {
            name: show(sighting.member)
            for name, sighting in sorted(view.members.items())
        },
        'owners': {
            name: show(owner) for name, owner in sorted(view.owners.items())
        },
        'calls': inst.calls.running,
        'tasks': sorted(task.get_name() for task in inst.tasks.running),
        'ledgers': {
            name: _show_ledger(ledger)
            for name, ledger in sorted(inst.ledgers.items())
        },
        'fleets': {
            name: _show_fleet(fleet)
            for name, fleet in sorted(inst.fleets.items())
        },
    }


def _show_ledger(ledger: ledgers.Ledger) -> dict[str, Any]:
    entries = {}
    for key, entry in sorted(ledger.entries.items()):
        entries[key] = {
            'request': show(entry.req),
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
        'sequence': ledger.journal.last.sequence,
        'open': sum(e.outcome is None for e in ledger.entries.values()),
        'accepting': sorted(ledger.accepting),
        'waiting_bytes': ledger.journal.waiting_bytes,
        'unsent': {n: sorted(keys) for n, keys in ledger.unsent.items()},
        'entries': entries,
    }


def _show_fleet(fleet: fleets.Fleet) -> dict[str, Any]:
    sched = fleet.scheduler
    return {
        'epoch': fleet.epoch,
        'domain': fleet.domain,
        'waiting': sorted(sched.waiting),
        'grants': show(sched.grants),
        'held': {
            f'{task.request_key}#{task.member}@{task.attempt}': show(held)
            for task, held in sched.held.items()
        },
        'workers': {
            name: {
                'worker': show(session.worker),
                'claimed': session.claimed,
                'closed': session.closed,
                'free': show(sched.free.get(name)),
                'unsent_starts': len(session.starts),
            }
            for name, session in sorted(fleet.sessions.items())
        },
        'jobs': {
            key: {
                'attempt': job.given.attempt,
                'ledger': job.given.ledger,
                'runs': show(job.runs),
                'cancelled': job.cancelled,
                'stopping': job.stopping,
                'reported': job.reported,
            }
            for key, job in sorted(fleet.jobs.items())
        },
        'unreported': {
            name: len(box.waiting) for name, box in fleet.outboxes.items()
        },
    }


def show(value: object) -> Any:  # noqa: ANN401 - JSON data
    """Returns a value of the core types as JSON data, secrets left out."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: show(getattr(value, field.name))
            for field in dataclasses.fields(value)
            if field.name not in _HIDDEN
        }
    if isinstance(value, dict):
        return {str(key): show(item) for key, item in value.items()}
    if isinstance(value, enum.Enum):
        return value.name.lower()
    if isinstance(value, list | tuple | set | frozenset):
        return [show(item) for item in value]
    if value is None or isinstance(value, str | int | float | bool):
        return value
    return f'({type(value).__name__})'
