"""Signals that a running instance handles."""

import asyncio
import signal

from nutmegknot._internal.utils import signals


def handle_signals(
    stopped: asyncio.Event,
    dump_wanted: signals.Signal,
    reload_wanted: signals.Signal | None = None,
) -> None:
    """Has SIGTERM and SIGINT begin a stop, and SIGUSR1 write the state.

    SIGHUP is handled where settings can be read anew.
    """
    loop = asyncio.get_running_loop()
    if reload_wanted is not None:
        loop.add_signal_handler(signal.SIGHUP, signals.notify, reload_wanted)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGUSR1, signals.notify, dump_wanted)
