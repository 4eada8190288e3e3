"""Changes, checks and file format of the configuration of a cell."""
