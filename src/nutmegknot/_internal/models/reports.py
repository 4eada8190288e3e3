"""Reports about the progress of requests.

A ledger partition stores requests and assigns each to a fleet partition, which
runs it on its workers and reports back.
"""

import dataclasses

from nutmegknot._internal.models import outcomes


@dataclasses.dataclass(slots=True, frozen=True)
class Running:
    """All tasks of the request run.

    Attributes:
      workers: Ids of the workers, in the order of the tasks' numbers.
    """

    workers: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """The attempt has ended with the final outcome of the request.

    Attributes:
      outcome: The outcome.
    """

    outcome: outcomes.FinalOutcome


@dataclasses.dataclass(slots=True, frozen=True)
class Returned:
    """The attempt is over without a final outcome, and returned to the ledger.

    No task of the attempt is running, and none will be started.

    Attributes:
      reason: 'cancelled', 'lost', 'stopped', 'failed', 'domain', 'deadline',
        'handover' or 'rejected'.
      detail: Explanation, one line.
      may_have_run: Whether a worker may have run the payload in this attempt.
      checkpoint: Name of the checkpoint from which the next attempt continues;
        '' if there is none.
    """

    reason: str
    detail: str
    may_have_run: bool
    checkpoint: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Report of a fleet partition about an assigned request.

    Attributes:
      request_key: Identifier of the request, unique in the cell.
      attempt: Number of the attempt that it is about, from 0.
      fleet: Name of the fleet partition that reports.
      fleet_epoch: Epoch of that partition's ownership, which rises with each
        change of its owner.
      update: What happened.
    """

    request_key: str
    attempt: int
    fleet: str
    fleet_epoch: int
    update: Running | Ended | Returned
