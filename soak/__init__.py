"""Fault soak: real processes under randomized faults, with the promises checked meanwhile."""
