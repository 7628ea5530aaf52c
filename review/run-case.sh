#!/usr/bin/env bash
# Runs one case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
review=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(dirname "$review")
folder=$(cd "$2" && pwd)
if [ ! -f "$root/proxy/target/spurroad.jar" ] || [ ! -d "$review/target" ]; then
  echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
  exit 2
fi
timeout 115 java -Xmx512m -cp "$review/target" "$1" "$root" "$folder" < /dev/null
code=$?
tail -n 3 "$folder/record.txt"
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
