"""Command line: argument parsing, exit codes and error output."""
