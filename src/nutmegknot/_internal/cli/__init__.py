"""Command line: parsing, exit codes and error output."""
