"""Code shared by tests."""
