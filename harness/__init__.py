"""Starts daemons and stand-in targets as child processes, for tests and measurements."""
