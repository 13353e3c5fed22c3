"""Look-ups over DNS."""
