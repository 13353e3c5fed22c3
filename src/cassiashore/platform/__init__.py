"""Adapter to the users' platform. No other package depends on the platform's names."""
