"""HTTP server: guarding of connections, and the look-up and operator interface."""
