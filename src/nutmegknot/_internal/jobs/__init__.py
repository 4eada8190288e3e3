"""Jobs of steps: their owner's memory, its writes, and its workers."""
