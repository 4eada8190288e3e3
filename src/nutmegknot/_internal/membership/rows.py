"""Keys and values of the table rows for members, owners and changes."""

from nutmegknot._internal.backing import tables
from nutmegknot._internal.models import partitions
from nutmegknot._internal.schema import table_pb2

MEMBER_PREFIX = 'member/'
OWNER_PREFIX = 'owner/'
REVISION_KEY = 'revision'
CONFIGURATION_KEY = 'configuration'
CHANGE_KEY = 'change'


def get_member_key(instance: str) -> str:
    """Returns the key of an instance's lease row."""
    return f'{MEMBER_PREFIX}{instance}'


def get_owner_key(partition: str) -> str:
    """Returns the key of a partition's owner row."""
    return f'{OWNER_PREFIX}{partition}'


def make_member_write(
    member: partitions.Member, renewal: int, known: frozenset[str]
) -> tables.Write:
    """Returns the write of a lease row."""
    row = table_pb2.MemberRow(
        id=member.id,
        address=member.address,
        region=member.region,
        domain=member.domain,
        leaving=member.leaving,
        renewal=renewal,
        known=sorted(known),
    )
    return tables.Write(get_member_key(member.id), row.SerializeToString())


def make_owner_write(owner: partitions.Ownership) -> tables.Write:
    """Returns the write of an owner row."""
    row = table_pb2.OwnerRow(
        partition=owner.partition,
        epoch=owner.epoch,
        owner=owner.owner,
        address=owner.address,
    )
    return tables.Write(get_owner_key(owner.partition), row.SerializeToString())


def make_change_write(instance: str) -> tables.Write:
    """Returns the write of the change row, which makes others read the cell."""
    row = table_pb2.ChangeRow(member=instance)
    return tables.Write(CHANGE_KEY, row.SerializeToString())


def decode_member(row: tables.Row) -> tuple[partitions.Member, frozenset[str]]:
    """Returns the member of a lease row, and the ids of members it had read."""
    message = table_pb2.MemberRow.FromString(row.value)
    member = partitions.Member(
        message.id,
        message.address,
        message.region,
        message.domain,
        message.leaving,
    )
    return member, frozenset(message.known)


def decode_owner(row: tables.Row) -> partitions.Ownership:
    """Returns the ownership of an owner row."""
    message = table_pb2.OwnerRow.FromString(row.value)
    return partitions.Ownership(
        message.partition, message.epoch, message.owner, message.address
    )


def decode_revision(row: tables.Row | None) -> int:
    """Returns the configuration revision in a row, 0 without a row."""
    if row is None:
        return 0
    return table_pb2.RevisionRow.FromString(row.value).revision
