"""Implementation of cassiashore; import from ``cassiashore`` instead."""
