"""The entry daemon: its composition root and its life cycle."""
