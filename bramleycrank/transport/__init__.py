"""Servers and clients of the remote procedure calls and of HTTP."""
