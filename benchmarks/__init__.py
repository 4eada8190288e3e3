"""Everything that measures time."""
