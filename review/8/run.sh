#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
rig=target/review-2/release/review-rig-2
[ -x "$rig" ] && [ -x target/release/sandshelfd ] || exit 2
exec "$rig" renamed review/8/record.txt
