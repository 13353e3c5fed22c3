"""Global traffic steering, and the coordination parts that it is built from."""

__version__ = "0.1.0"
