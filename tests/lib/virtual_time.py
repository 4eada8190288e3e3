"""An event loop whose time passes at once when nothing is left to do."""

import asyncio
import selectors


class VirtualSelector(selectors.DefaultSelector):
    """Never waits; adds up the time for which it was asked to wait.

    Attributes:
      passed_s: That time in s.
    """

    passed_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready now."""
        if timeout is None:
            raise RuntimeError('all tasks wait, and no timer is set')
        self.passed_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time.

    Attributes:
      virtual: Keeps the time.
    """

    def __init__(self) -> None:
        """Starts at 0."""
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """Returns the virtual time in s."""
        return self.virtual.passed_s
