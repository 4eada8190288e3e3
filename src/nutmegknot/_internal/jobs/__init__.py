"""Jobs of several steps: ownership, scheduling on workers, callers' calls."""
