"""Settings of an instance: read from TOML and checked against the schema."""
