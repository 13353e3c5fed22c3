"""Steering of requests over targets that register themselves: routes, limits and placement."""
