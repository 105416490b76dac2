#!/bin/sh
# Runs a case's program: sh rig/run.sh FOLDER. Ends every process that it started, and keeps nothing but record.txt.
case=$(cd "$1" && pwd)
repository=$(cd "$case/../.." && pwd)
program="$repository/target/review/case-$(basename "$case")"
if [ ! -x "$program" ] || [ ! -x "$repository/target/release/brackenledge" ]; then
  echo "run the deploy file's build and review/build.sh first"
  exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
clean() {
  # The schedulers' process ids, of those that the program could not end itself.
  if [ -f "$CASE_TMP/pids" ]; then
    while read -r pid; do
      if [ -r "/proc/$pid/cmdline" ] && grep -q brackenledge "/proc/$pid/cmdline" 2>/dev/null; then
        kill -KILL "$pid" 2>/dev/null
      fi
    done <"$CASE_TMP/pids"
  fi
  [ -z "${KEEP_LOGS:-}" ] || cp "$CASE_TMP"/log-*.txt "$KEEP_LOGS"
  rm -rf "$CASE_TMP"
}
trap clean EXIT
trap 'exit 2' INT TERM
timeout -k 2 117 "$program" "$repository" "$case"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
