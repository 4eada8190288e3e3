"""Conversion between grants and schema messages."""

from nutmegknot._internal.codec import values
from nutmegknot._internal.decisions import grants
from nutmegknot._internal.schema import table_pb2

Standings = dict[str, grants.Standing]


def encode_standings(team: str, given: Standings) -> table_pb2.GrantRow:
    """Returns the row of a team's standings."""
    row = table_pb2.GrantRow(team=team)
    for fleet, one in sorted(given.items()):
        row.grants.add(
            fleet=fleet,
            granted=values.encode_resources(one.granted),
            held=values.encode_resources(one.held),
            demand=values.encode_resources(one.demand),
            unit=values.encode_resources(one.unit),
        )
    return row


def decode_standings(row: table_pb2.GrantRow) -> Standings:
    """Returns the standings of a row, by fleet partition."""
    return {
        one.fleet: grants.Standing(
            values.decode_resources(one.granted),
            values.decode_resources(one.held),
            values.decode_resources(one.demand),
            values.decode_resources(one.unit),
        )
        for one in row.grants
    }
