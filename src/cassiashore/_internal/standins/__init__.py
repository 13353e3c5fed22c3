"""Stand-ins for the systems that cassiashore depends on: the platform's store, and targets."""
