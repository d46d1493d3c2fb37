"""Runs real processes under random faults and checks the guarantees of the product."""
