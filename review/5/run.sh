#!/usr/bin/env bash
# The last tenant of a deployment loses its key.
exec python3 -I -B "$(dirname "$0")/case.py"
