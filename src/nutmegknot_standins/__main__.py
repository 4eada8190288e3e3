"""Runs the simulated platform as a process: python -m nutmegknot_standins.

The configuration file is TOML with the fields of the message Layout in
control.proto.
"""

import asyncio
import dataclasses
import pathlib
import signal
import tomllib
from typing import Annotated

import cappa
from google.protobuf import json_format
import uvloop

from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import control_pb2
from nutmegknot_standins import control_routes
from nutmegknot_standins import servers

HOST = '127.0.0.1'


@cappa.command(name='nutmegknot_standins', help='Serve a simulated platform.')
@dataclasses.dataclass(slots=True)
class Arguments:
    """Serve a simulated platform.

    Attributes:
      port: Port on the loopback interface.
      config: Path of the TOML file that describes the workers.
    """

    port: Annotated[int, cappa.Arg(long='--port', help='Port to serve on.')]
    config: Annotated[
        pathlib.Path, cappa.Arg(long='--config', help='Layout (TOML).')
    ]


def read_layout(path: pathlib.Path) -> control_pb2.Layout:
    """Reads a layout from a TOML file."""
    with path.open('rb') as file:
        content = tomllib.load(file)
    return json_format.ParseDict(content, control_pb2.Layout())


async def run(port: int, layout: control_pb2.Layout) -> None:
    """Serves the simulated platform until SIGTERM or SIGINT arrives."""
    clock = clock_lib.make_system_clock()
    platform = servers.make_layout_platform(layout, clock)
    app = servers.make_app(platform)
    control_routes.add_routes(app, platform)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    runner = await servers.serve(platform, HOST, port, app)
    await stopped.wait()
    await servers.close(platform, runner)


def main() -> None:
    """Parses the command line and serves the simulated platform."""
    arguments = cappa.parse(Arguments, completion=False)
    layout = read_layout(arguments.config)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(arguments.port, layout))


if __name__ == '__main__':
    main()
