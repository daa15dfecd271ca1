#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; see claim.txt.
# Build first: bash deploy/build.sh && bash review/build-3.sh. TROUBLE=0 leaves the disruption out.
exec "$(dirname "${BASH_SOURCE[0]}")/../stand-3/play.sh" "$(dirname "${BASH_SOURCE[0]}")" KilledLeaver
