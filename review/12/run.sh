#!/bin/sh
# TROUBLE=0 leaves the kills out.
cd "$(dirname "$0")"
exec python3 case.py
