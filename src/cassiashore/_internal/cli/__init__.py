"""The command line: one module per command, combined in ``main``."""
