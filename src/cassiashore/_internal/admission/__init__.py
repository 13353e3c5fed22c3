"""Admission control: rights to targets, their slots, and limits on moved requests."""
