"""Checks every model in full.

Prints a line for each property, with the number of states explored.
"""

import sys

import minicheck

from specification import customer_limits
from specification import ownership
from specification import request_execution
from specification import team_limits

MAX_STATES = 1_000_000


def main() -> int:
    """Prints the results; returns 1 if a property was not shown to hold."""
    models = [
        (str(rules), ownership.make_model(rules))
        for rules in ownership.SCENARIOS + ownership.LARGE_SCENARIOS
    ]
    for repeatable in (True, False):
        rules = request_execution.Rules(repeatable)
        models.append((str(rules), request_execution.make_model(rules)))
    models.append(
        (str(team_limits.Rules()), team_limits.make_model(team_limits.Rules()))
    )
    models.append(
        (
            str(customer_limits.Rules()),
            customer_limits.make_model(customer_limits.Rules()),
        )
    )
    has_violation = False
    for name, model in models:
        result = minicheck.check_safety(model, max_states=MAX_STATES)
        for property_name, verdict in result['properties'].items():
            has_violation |= verdict['holds'] is not True
            print(
                f'model {model.name} {name}: {property_name}: '
                f'holds={verdict["holds"]} '
                f'states={result["reachable_states"]}',
                flush=True,
            )
    return int(has_violation)


if __name__ == '__main__':
    sys.exit(main())
