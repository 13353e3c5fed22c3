"""Local copy of the shared store, kept current by watching it or by subscribing to peers."""
