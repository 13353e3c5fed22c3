"""A local copy of the shared store, kept current by watching it."""
