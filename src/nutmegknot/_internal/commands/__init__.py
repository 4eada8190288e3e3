"""Commands of the command line: arguments, and what each command does."""
