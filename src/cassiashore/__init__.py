"""Global traffic steering, and the coordination components that it is built from."""

__version__ = "0.1.0"
