#!/bin/sh
# TROUBLE=0 leaves the loss of answers out.
cd "$(dirname "$0")"
exec python3 case.py
