"""An event loop on virtual time, for tests that must not wait.

When no task is ready, its time jumps to the next timer.
"""

import asyncio
import selectors


class VirtualSelector(selectors.DefaultSelector):
    """A selector that returns at once and adds up the requested waits.

    Attributes:
      passed_s: Virtual time in s that has passed so far.
    """

    passed_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances the virtual time and returns the events that are ready."""
        if timeout is None:
            raise RuntimeError('deadlock: all tasks wait and no timer is set')
        self.passed_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time.

    Attributes:
      virtual: Selector that counts the virtual time.
    """

    def __init__(self) -> None:
        """Creates a loop whose time starts at 0."""
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """Returns the virtual time in s."""
        return self.virtual.passed_s
