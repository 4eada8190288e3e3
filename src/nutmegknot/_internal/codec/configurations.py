"""Conversion between configurations of a cell and their schema messages."""

from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import workers
from nutmegknot._internal.schema import operator_pb2

_SCHEMA_STATES = {
    workers.DomainState.OPEN: operator_pb2.DOMAIN_STATE_OPEN,
    workers.DomainState.CLOSED: operator_pb2.DOMAIN_STATE_CLOSED,
}
_STATES_BY_NUMBER = {
    int(number): state for state, number in _SCHEMA_STATES.items()
}


def encode_configuration(
    config: cells.Configuration,
) -> operator_pb2.Configuration:
    """Returns the message of a configuration.

    The items of each section are sorted by name or id, so that equal
    configurations have equal messages.
    """
    pb = operator_pb2
    message = pb.Configuration(revision=config.revision)
    for _, team in sorted(config.teams.items()):
        limit = common_messages.encode_resources(team.limit)
        message.teams.append(
            pb.Team(name=team.name, share=team.share, limit=limit)
        )
    for _, key in sorted(config.keys.items()):
        message.keys.append(
            pb.Key(
                id=key.id,
                team=key.team,
                digest=key.digest,
                withdrawn=key.withdrawn,
            )
        )
    for _, queue in sorted(config.queues.items()):
        message.queues.append(
            pb.Queue(
                name=queue.name,
                open_team=queue.open_team,
                max_waiting=queue.max_waiting,
                priority=common_messages.SCHEMA_PRIORITIES[queue.priority],
            )
        )
    for _, service in sorted(config.services.items()):
        message.services.append(
            pb.Service(
                name=service.name,
                team=service.team,
                size=common_messages.encode_resources(service.size),
                replicas=service.replicas,
                payload=service.payload,
            )
        )
    for _, domain in sorted(config.domains.items()):
        state = _SCHEMA_STATES[domain.state]
        message.domains.append(
            pb.Domain(name=domain.name, region=domain.region, state=state)
        )
    for _, operator_key in sorted(config.operators.items()):
        message.operators.append(_encode_operator_key(operator_key))
    return message


def _encode_operator_key(key: cells.OperatorKey) -> operator_pb2.OperatorKey:
    return operator_pb2.OperatorKey(
        id=key.id,
        operator=key.operator,
        digest=key.digest,
        withdrawn=key.withdrawn,
    )


def decode_configuration(
    message: operator_pb2.Configuration,
) -> cells.Configuration:
    """Returns the configuration that a message contains.

    Raises:
      ValueError: If a priority class or a failure domain state is unknown.
    """
    return cells.Configuration(
        revision=message.revision,
        teams={
            t.name: cells.Team(
                t.name, t.share, common_messages.decode_resources(t.limit)
            )
            for t in message.teams
        },
        keys={
            k.id: cells.Key(k.id, k.team, k.digest, k.withdrawn)
            for k in message.keys
        },
        queues={q.name: _decode_queue(q) for q in message.queues},
        services={
            s.name: cells.Service(
                s.name,
                s.team,
                common_messages.decode_resources(s.size),
                s.replicas,
                s.payload,
            )
            for s in message.services
        },
        domains={
            d.name: cells.Domain(d.name, d.region, _decode_state(d.state))
            for d in message.domains
        },
        operators={
            k.id: cells.OperatorKey(k.id, k.operator, k.digest, k.withdrawn)
            for k in message.operators
        },
    )


def _decode_queue(message: operator_pb2.Queue) -> cells.Queue:
    return cells.Queue(
        message.name,
        message.open_team,
        message.max_waiting,
        requests.PriorityClass(message.priority),
    )


def _decode_state(number: int) -> workers.DomainState:
    if number not in _STATES_BY_NUMBER:
        raise ValueError(f'unknown failure domain state {number}')
    return _STATES_BY_NUMBER[number]
