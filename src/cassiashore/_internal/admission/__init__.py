"""Admission: who may send to a target, how many requests, and how many moved ones."""
