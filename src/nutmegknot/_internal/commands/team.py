"""Commands on teams, their shares and their resource limits."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import configuration_edits
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.commands import operator_calls
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources


async def set_team(
    command: operator_arguments.TeamSet,
) -> errors.CommandError | None:
    """Creates a team, or changes the values that the arguments give."""

    def edit(config: cells.Configuration) -> cells.Configuration:
        current = config.teams.get(command.name)
        current = current or cells.Team(command.name, 1.0, resources.ZERO)
        share = current.share if command.share is None else command.share
        limit = operator_calls.replace_amounts(current.limit, command)
        team = cells.Team(command.name, share, limit)
        return configuration_edits.replace_item(
            config, 'teams', command.name, team
        )

    return await configuration_edits.change_configuration(command, edit)


async def remove_team(
    command: operator_arguments.TeamRemove,
) -> errors.CommandError | None:
    """Removes a team."""
    edit = configuration_edits.make_edit('teams', command.name, lambda _: None)
    return await configuration_edits.change_configuration(command, edit)


async def list_teams(
    command: operator_arguments.TeamList,
) -> errors.CommandError | None:
    """Lists teams with their shares and resource limits."""
    names = ['name', 'share', *operator_calls.RESOURCE_NAMES]
    return await operator_calls.list_section(
        command,
        names,
        lambda config: [
            [team.name, team.share, *operator_calls.list_amounts(team.limit)]
            for _, team in sorted(config.teams.items())
        ],
    )
