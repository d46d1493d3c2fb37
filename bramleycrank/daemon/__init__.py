"""The daemon: its life cycle and the controllers that run the cores (logic without I/O)."""
