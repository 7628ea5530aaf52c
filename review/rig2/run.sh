#!/bin/sh
# Runs one case: run.sh CLASS NUMBER. Exit codes: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f "review/rig2/target/$1.class" ]; then
    echo "could not run: review/build-2.sh comes first"
    exit 2
fi
if [ ! -f proxy/target/spurroad.jar ]; then
    echo "could not run: the build of deploy/balancer.toml comes first"
    exit 2
fi
record="review/$2/record.txt"
rm -f "$record"
java -Xmx512m -Xss256k -cp review/rig2/target "$1" "review/$2"
code=$?
if [ "$code" = 1 ] && ! grep -q 'BROKEN: ' "$record"; then
    exit 2
fi
[ "$code" -le 2 ] || exit 2
exit "$code"
