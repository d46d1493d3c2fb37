"""Stand-in target: a test double of a user's back end, with faults that can be switched on."""
