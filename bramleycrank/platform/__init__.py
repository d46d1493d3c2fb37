"""Adapter to the platform that runs the VMs: its names, formats and calls."""
