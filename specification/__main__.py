"""Checks every model in full and prints how many states it explored."""

import sys

import minicheck

from specification import limits
from specification import ownership
from specification import running

MAX_STATES = 1_000_000


def main() -> int:
    """Prints one line a model; exits with 1 if a property does not hold."""
    models = [
        (str(rules), ownership.make_model(rules))
        for rules in ownership.SCENARIOS + ownership.LARGE_SCENARIOS
    ]
    for repeatable in (True, False):
        rules = running.Rules(repeatable)
        models.append((str(rules), running.make_model(rules)))
    models.append((str(limits.Rules()), limits.make_model(limits.Rules())))
    is_broken = False
    for name, model in models:
        result = minicheck.check_safety(model, max_states=MAX_STATES)
        for title, found in result['properties'].items():
            is_broken |= found['holds'] is not True
            print(
                f'model {model.name} {name}: {title}: holds={found["holds"]} '
                f'states={result["reachable_states"]}',
                flush=True,
            )
    return int(is_broken)


if __name__ == '__main__':
    sys.exit(main())
