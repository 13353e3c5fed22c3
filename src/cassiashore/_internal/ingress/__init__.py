"""The HTTP face towards callers and the forwarding of their requests."""
