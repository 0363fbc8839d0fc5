#!/usr/bin/env bash
# Streams of a split route are resumed after the process of one machine is killed.
exec python3 -I -B "$(dirname "$0")/case.py"
