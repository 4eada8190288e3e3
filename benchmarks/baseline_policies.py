"""Simple scheduling policies to compare with: FIFO, first or random fit."""

from collections.abc import Callable
import random

from nutmegknot._internal.decisions import allocations
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

DecideFunction = Callable[
    [scheduling.Scheduler, int], list[scheduling.Decision]
]
ChooseFunction = Callable[
    [scheduling.Scheduler, resources.Resources], str | None
]


def choose_first_fit(
    sched: scheduling.Scheduler, size: resources.Resources
) -> str | None:
    """Returns the first worker with enough free resources."""
    for worker_id in sched.schedulable_workers:
        if resources.fits(size, sched.free[worker_id]):
            return worker_id
    return None


def make_random_fit(rng: random.Random) -> ChooseFunction:
    """Returns a function that chooses a random worker with enough resources."""

    def choose(
        sched: scheduling.Scheduler, size: resources.Resources
    ) -> str | None:
        candidates = [
            worker_id
            for worker_id in sched.schedulable_workers
            if resources.fits(size, sched.free[worker_id])
        ]
        return rng.choice(candidates) if candidates else None

    return choose


def make_fifo_policy(
    choose: ChooseFunction, *, strict_order: bool
) -> DecideFunction:
    """Returns a policy that places requests in order of arrival.

    Args:
      choose: Chooses a worker for a task.
      strict_order: Whether a request that does not fit blocks all later
        requests. Otherwise every waiting request is tried at each decision.
    """

    def decide(
        sched: scheduling.Scheduler, now_ms: int
    ) -> list[scheduling.Decision]:
        decisions: list[scheduling.Decision] = []
        for key, assignment in list(sched.waiting.items()):
            places = _place(sched, assignment, choose, now_ms)
            if places is not None:
                scheduling.remove_waiting(sched, key)
                decisions.append(scheduling.Place(key, places))
            elif strict_order:
                break
        return decisions

    return decide


def _place(
    sched: scheduling.Scheduler,
    assignment: partitions.Assignment,
    choose: ChooseFunction,
    now_ms: int,
) -> tuple[str, ...] | None:
    req = assignment.req
    key = requests.get_key(req)
    running_request = states.RunningRequest(
        assignment, now_ms, req.run_ms, set(), req.size
    )
    chosen: list[str] = []
    for member in range(req.members):
        worker_id = choose(sched, req.size)
        if worker_id is None:
            for task in running_request.members:
                allocations.remove_allocation(sched, task)
            return None
        task = workers.TaskId(key, member, assignment.attempt)
        scheduling.allocate(
            sched, task, states.Allocation(worker_id, req.team, req.size)
        )
        running_request.members.add(task)
        chosen.append(worker_id)
    allocations.add_running_request(sched, running_request)
    return tuple(chosen)
