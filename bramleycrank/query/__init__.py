"""Decision logic of the query path, without I/O."""
