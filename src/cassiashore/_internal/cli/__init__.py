"""The command line: one module per command, and the glue over them."""
