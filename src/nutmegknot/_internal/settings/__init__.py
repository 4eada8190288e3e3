"""Settings: reading TOML and checking it against the schema."""
