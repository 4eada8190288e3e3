"""Small stand-ins for the platform, for local use and tests."""
