"""The entry daemon: composition root, life cycle, cluster tasks, probes and status."""
