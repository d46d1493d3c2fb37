"""Filter chain that processes every query request."""
