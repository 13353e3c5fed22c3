"""The operators' catalogue: its schema, indexes and versions, and their activation."""
