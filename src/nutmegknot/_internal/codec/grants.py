"""Conversion between the grants of a team and their row in the table.

A grant is the part of a team's resource limit that one fleet partition may
allocate.
"""

from nutmegknot._internal.codec import values
from nutmegknot._internal.decisions import grants
from nutmegknot._internal.schema import table_pb2

Standings = dict[str, grants.Standing]


def encode_standings(
    team: str, partition_grants: Standings
) -> table_pb2.GrantRow:
    """Returns the row of a team's grants."""
    row = table_pb2.GrantRow(team=team)
    for fleet, grant in sorted(partition_grants.items()):
        row.grants.add(
            fleet=fleet,
            granted=values.encode_resources(grant.granted),
            held=values.encode_resources(grant.held),
            demand=values.encode_resources(grant.demand),
            unit=values.encode_resources(grant.unit),
        )
    return row


def decode_standings(row: table_pb2.GrantRow) -> Standings:
    """Returns the grants of a team's row, by fleet partition."""
    return {
        grant.fleet: grants.Standing(
            values.decode_resources(grant.granted),
            values.decode_resources(grant.held),
            values.decode_resources(grant.demand),
            values.decode_resources(grant.unit),
        )
        for grant in row.grants
    }
