#!/usr/bin/env bash
# Shows the claim beside it: exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case couldn't run. TROUBLE=0 leaves out the late orders and the crashes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/basilspur-node ] && [ -x target/review-3/play ] || exit 2
exec target/review-3/play late-starts review/13/record.txt
