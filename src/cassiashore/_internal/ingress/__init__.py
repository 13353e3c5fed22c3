"""HTTP server for callers, and forwarding of their requests to targets."""
