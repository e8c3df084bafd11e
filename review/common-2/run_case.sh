# Runs the stand-in of a case: sourced by run.sh, which sets `number`. Exit code 2 if it cannot run.
root=$(cd "$folder/../.." && pwd)
program="$root/build/review-2/case-$number"
if [ ! -x "$program" ] || [ ! -x "$root/build/walnutspur" ]; then
  echo "build the program and the stand-ins first: review/build-2.sh" >&2
  exit 2
fi
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
temporary=$(mktemp -d) || exit 2
child=
trap 'rm -rf "$temporary"' EXIT
trap '[ -n "$child" ] && kill -KILL "$child" 2>/dev/null; exit 2' HUP INT TERM  # its processes end with it
cd "$root" || exit 2
TROUBLE="${TROUBLE:-1}" CASE_RUN="$run" CASE_TMP="$temporary" "$program" > "$folder/record.txt" 2>&1 &
child=$!
wait "$child"
code=$?
tail -n 3 "$folder/record.txt"
case $code in
  0|1) exit $code ;;
  *) exit 2 ;;
esac
