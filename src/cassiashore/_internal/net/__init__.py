"""HTTP client and connection pools."""
