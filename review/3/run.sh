#!/bin/bash
# Plays the case; see claim.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
for program in bluebellscaled review-standin; do
    if [ ! -x "$root/target/$program" ]; then
        echo "target/$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
        exit 2
    fi
done
timeout -k 2 110 "$root/target/review-standin" revoke "$root" "$here/record.txt"
code=$?
if [ $code -gt 2 ]; then
    exit 2
fi
exit $code
