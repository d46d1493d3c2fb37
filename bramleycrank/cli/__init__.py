"""Command-line tool; each module holds one group of commands."""
