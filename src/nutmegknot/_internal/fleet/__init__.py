"""Fleet partitions: worker sessions, starts and adoption."""
