"""The operators' catalogue: its schema, its index, its versions and how they are activated."""
