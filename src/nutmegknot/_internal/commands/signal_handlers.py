"""Handlers of the signals that operators send to a running instance."""

import asyncio
import signal

from nutmegknot._internal.utils import signals


def handle_signals(
    stop_requested: asyncio.Event,
    dump_requested: signals.Signal,
    reload_requested: signals.Signal | None = None,
) -> None:
    """Installs the signal handlers of the process.

    Args:
      stop_requested: Set on SIGTERM and SIGINT, to stop the instance.
      dump_requested: Notified on SIGUSR1, to write the state of the instance.
      reload_requested: Notified on SIGHUP, to read the settings again. None if
        the instance cannot do this; then SIGHUP is not handled.
    """
    loop = asyncio.get_running_loop()
    if reload_requested is not None:
        loop.add_signal_handler(signal.SIGHUP, signals.notify, reload_requested)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGUSR1, signals.notify, dump_requested)
