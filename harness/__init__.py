"""Runs daemons and targets as child processes, for tests and benchmarks."""
