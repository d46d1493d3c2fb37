"""The path of a caller's request through a VM: its routes, targets, sub-requests and answer."""
