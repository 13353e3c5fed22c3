"""Load and experiment tool: starts deployments on loopback, drives load, and reports."""
