#!/bin/bash
# Runs the case; the variables of claim.txt select another one, TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec node case.mjs
