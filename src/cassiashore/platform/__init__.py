"""Adapter to the users' platform: everything that knows its names is in this package."""
