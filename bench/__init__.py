"""Benchmarks with real daemons, stand-in targets and open-loop load."""
