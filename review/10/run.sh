#!/usr/bin/env bash
# Plays the case; TROUBLE=0 without the disruption. See claim.txt.
exec bash "$(dirname "${BASH_SOURCE[0]}")/../stand-2/play.sh" "$(dirname "${BASH_SOURCE[0]}")" QuotingStreams
