#!/bin/sh
# Plays the scenario `moved_queue`; see claim.txt. review/build-2.sh builds the stand-ins.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
stand_in=target/review_2/release/review_stand_in_2
[ -x "$stand_in" ] && [ -x target/release/crosspathd ] || exit 2
exec "$stand_in" moved_queue review/5/record.txt
