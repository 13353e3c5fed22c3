"""Proxying of requests to targets and to other instances."""
