"""Finds the queue and customer of a call and checks the caller's key."""

import dataclasses

from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import outcomes

# Returned to callers by an instance that has not received its settings yet.
NO_SETTINGS_RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class AuthorizedCall:
    """A call that the settings allow.

    Attributes:
      queue: The queue that the call is for.
      customer: Name of the customer that the key belongs to; '' if it belongs
        to none, which is allowed on queues that are open to all.
      subpath: The path after the queue's prefix.
    """

    queue: job_settings.JobQueue
    customer: str
    subpath: str


def authorize_call(
    settings: job_settings.JobSettings | None, host: str, path: str, key: str
) -> AuthorizedCall | outcomes.Refused:
    """Returns the queue and customer of a call, or why it is refused.

    Args:
      settings: The settings in force; None while there are none.
      host: Host name that the caller used.
      path: Path of the call.
      key: The caller's key; '' if it sent none.
    """
    if settings is None:
        return outcomes.Refused(
            outcomes.RefusalReason.UNAVAILABLE,
            'no settings are in force yet',
            NO_SETTINGS_RETRY_AFTER_MS,
        )
    queue = job_settings.find_queue(settings, host, path)
    if queue is None:
        reason = outcomes.RefusalReason.UNKNOWN_QUEUE
        return outcomes.Refused(reason, f'{host}{path}')
    customer = settings.customer_by_key.get(key, '')
    if not customer and not queue.is_open:
        reason = outcomes.RefusalReason.KEY_REJECTED
        return outcomes.Refused(reason, f'queue {queue.name}')
    return AuthorizedCall(queue, customer, path.removeprefix(queue.prefix))
