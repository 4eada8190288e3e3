"""Conversion between the grants of a team and their row in the table.

A grant is the part of a team's resource limit that one fleet partition may
allocate.
"""

from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.decisions import grants
from nutmegknot._internal.schema import table_pb2

PartitionGrants = dict[str, grants.PartitionGrant]


def encode_partition_grants(
    team: str, partition_grants: PartitionGrants
) -> table_pb2.GrantRow:
    """Returns the row of a team's grants."""
    row = table_pb2.GrantRow(team=team)
    for fleet, grant in sorted(partition_grants.items()):
        row.grants.add(
            fleet=fleet,
            granted=common_messages.encode_resources(grant.granted),
            held=common_messages.encode_resources(grant.held),
            demand=common_messages.encode_resources(grant.demand),
            unit=common_messages.encode_resources(grant.unit),
        )
    return row


def decode_partition_grants(row: table_pb2.GrantRow) -> PartitionGrants:
    """Returns the grants of a team's row, by fleet partition."""
    return {
        grant.fleet: grants.PartitionGrant(
            common_messages.decode_resources(grant.granted),
            common_messages.decode_resources(grant.held),
            common_messages.decode_resources(grant.demand),
            common_messages.decode_resources(grant.unit),
        )
        for grant in row.grants
    }
