"""Decision core of the query path; it does no I/O."""
