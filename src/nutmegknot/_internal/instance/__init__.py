"""Assembly of one instance out of its parts."""
