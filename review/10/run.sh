#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Writes record.txt beside this file.
cd "$(dirname "$0")" || exit 2
python=$(../common-2/python) || exit 2
exec "$python" -B case.py
