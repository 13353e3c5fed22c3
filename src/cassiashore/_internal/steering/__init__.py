"""Selection of the target of each request: routes, placement, load shedding and limits."""
