"""Configurations of queues and customers that are checked before their use."""

import dataclasses
import enum

from nutmegknot._internal.models import job_settings


class Severity(enum.Enum):
    """What a finding means for the configuration."""

    ERROR = 'error'
    WARNING = 'warning'
    NOTE = 'note'
    RISKY_CHANGE = 'risky-change'
    CHANGE = 'change'


class Section(enum.Enum):
    """Part of a configuration."""

    WHOLE = 'whole'
    QUEUES = 'queues'
    CUSTOMERS = 'customers'
    POOLS = 'pools'


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """Place in a configuration, independent of the words of its encoding.

    Attributes:
      section: Part of the configuration.
      index: Number of the entry in the section, from 0; None for the section
        itself.
      field: Name of the attribute that the entry is decoded into, with dots
        between nested ones; '' for the whole entry.
    """

    section: Section
    index: int | None = None
    field: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """Something that an operator should know of a configuration.

    Attributes:
      severity: What it means.
      place: Where it is.
      text: What it is, in one sentence.
    """

    severity: Severity
    place: Place
    text: str


@dataclasses.dataclass(slots=True, frozen=True)
class JobConfiguration:
    """A configuration as operators wrote it, and the settings decoded from it.

    The settings have only one of several entries of the same name. Here all are
    kept, in the order in which they were written.

    Attributes:
      settings: Settings that instances decode from the configuration.
      queues: All queues.
      customers: All customers.
      pools: Names of all pools; None if the configuration does not list them.
      replaced_zeros: Places at which 0 was written and a default is used.
    """

    settings: job_settings.JobSettings
    queues: tuple[job_settings.JobQueue, ...] = ()
    customers: tuple[job_settings.Customer, ...] = ()
    pools: tuple[str, ...] | None = None
    replaced_zeros: tuple[Place, ...] = ()
