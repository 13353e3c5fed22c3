"""Stand-ins for the systems around cassiashore: the platform's store, and targets."""
