"""Choice of places and targets."""
