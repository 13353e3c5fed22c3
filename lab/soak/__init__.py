"""Randomized soak test: runs instances as processes, injects faults, and checks invariants."""
