"""Step definitions of the feature files."""
