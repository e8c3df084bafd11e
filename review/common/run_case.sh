# Runs the case in whose folder the calling script stands; sourced by review/N/run.sh.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
program="$root/build/review/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$root/build/walnutspur" ]; then
  echo "build the program and run review/build.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
"$program" "$root" "$folder" "$temporary" &
case_pid=$!
trap 'kill -9 $case_pid 2>/dev/null; wait $case_pid 2>/dev/null; rm -rf "$temporary"; exit 2' HUP INT TERM
wait $case_pid
code=$?
rm -rf "$temporary"
case $code in
  0 | 1 | 2) exit $code ;;
  *) exit 2 ;;
esac
