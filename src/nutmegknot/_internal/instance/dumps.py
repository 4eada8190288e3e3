"""Dump of an instance's state; keys and payloads are never in it."""

import dataclasses
from typing import Any

from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import instances


def show_instance(inst: instances.Instance) -> dict[str, Any]:
    """Returns the state as JSON data."""
    view = inst.membership.view
    return {
        'me': dataclasses.asdict(view.me),
        'may_act': authority.may_act(inst),
        'revision': view.configuration.revision,
        'members': sorted(view.members),
        'owners': {
            name: dataclasses.asdict(owner)
            for name, owner in sorted(view.owners.items())
        },
        'ledgers': {
            name: {
                'epoch': ledger.epoch,
                'sequence': ledger.journal.last.sequence,
                'entries': len(ledger.entries),
                'open': sum(e.outcome is None for e in ledger.entries.values()),
            }
            for name, ledger in sorted(inst.ledgers.items())
        },
        'fleets': {
            name: {
                'epoch': fleet.epoch,
                'workers': len(fleet.sessions),
                'claimed': sum(s.claimed for s in fleet.sessions.values()),
                'waiting': len(fleet.scheduler.waiting),
                'jobs': len(fleet.jobs),
            }
            for name, fleet in sorted(inst.fleets.items())
        },
    }
