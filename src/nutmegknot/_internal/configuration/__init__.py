"""The cell's configuration: teams, keys, queues, services, domains."""
