"""Specifications of the core protocols, checked exhaustively by a model checker."""
