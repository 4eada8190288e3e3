"""Building of minicheck models from steps over named tuples."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import minicheck


def make_model(
    name: str,
    initial: NamedTuple,
    list_steps: Callable[[Any], list[tuple[str, Any]]],
    invariants: dict[str, Callable[[dict[str, Any]], bool]],
) -> minicheck.Protocol:
    """Returns a model.

    Args:
      name: Its name.
      initial: The state that it begins in.
      list_steps: Returns the label and the state of each step that may come
        next.
      invariants: What has to hold, by name, over the fields of a state.
    """
    state_type = type(initial)

    def list_next(state: tuple) -> list[tuple[str, tuple]]:
        steps = list_steps(state_type(*state))
        return [(label, tuple(after)) for label, after in steps]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=tuple(initial),
        transitions=list_next,
        invariants=invariants,
    )
