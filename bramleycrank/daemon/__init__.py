"""The daemon: its life cycle and the controllers that run the decision cores."""
