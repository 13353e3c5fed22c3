"""Selection of the place and the target that serve a request."""
