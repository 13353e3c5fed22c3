"""HTTP server: connection limits, and the look-up and operator API."""
