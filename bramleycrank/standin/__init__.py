"""Stand-in target: a test double of a back end, with faults that can be injected."""
