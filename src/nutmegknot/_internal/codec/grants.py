"""Conversion between grants and schema messages."""

from nutmegknot._internal.codec import values
from nutmegknot._internal.fleet import grants
from nutmegknot._internal.schema import table_pb2


def encode_grants(team: str, given: grants.Grants) -> table_pb2.GrantRow:
    """Returns the row of a team's grants."""
    row = table_pb2.GrantRow(team=team)
    for fleet, grant in sorted(given.items()):
        row.grants.add(
            fleet=fleet,
            amount=values.encode_resources(grant.amount),
            wanted=values.encode_resources(grant.wanted),
        )
    return row


def decode_grants(row: table_pb2.GrantRow) -> grants.Grants:
    """Returns the grants of a row, by fleet partition."""
    return {
        grant.fleet: grants.Grant(
            values.decode_resources(grant.amount),
            values.decode_resources(grant.wanted),
        )
        for grant in row.grants
    }
