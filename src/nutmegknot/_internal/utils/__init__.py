"""Clock, retry, identifiers and tasks."""
