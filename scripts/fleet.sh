# Functions that start and stop a fleet of local processes, sourced by scripts/demo and scripts/measure-control.
# Expects these variables: build (build folder), work (folder for settings and logs), weights (folder for weights) and,
# once the stand-in platform listens, platform (its ip:port). All processes listen on ports chosen by the kernel.

pids=()
declare -A pid_of address_of

# start NAME COMMAND...: runs a command in the background; its output goes to $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" > "$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
}

# listening NAME KEY: waits up to 20 s for the log line event=listening of a process and prints its field KEY, an address.
listening() {
  local line
  for _ in $(seq 400); do
    if line=$(grep -m1 'event=listening' "$work/$1.log" 2>/dev/null); then
      sed -E "s/.*[ ]$2=([^ ]+).*/\1/" <<< "$line"
      return 0
    fi
    kill -0 "${pid_of[$1]}" 2>/dev/null || break
    sleep 0.05
  done
  echo "$1 did not start:" >&2
  tail -n 5 "$work/$1.log" >&2
  return 1
}

# process_table HOST PLACE REGION: prints the [process] table of a settings file. PLACE is the data centre.
process_table() {
  printf '[process]\nhost = "%s"\nplace = "%s"\nregion = "%s"\nplatform = "http://%s"\n' "$1" "$2" "$3" "$platform"
}

# stop NAME: sends SIGTERM to a process and waits for it; fails unless it exits with 0.
stop() {
  kill -TERM "${pid_of[$1]}" 2>/dev/null || true
  wait "${pid_of[$1]}"
}

# stop_all: kills all processes that start() started.
stop_all() {
  disown -a 2>/dev/null || true
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
}

# member HOST ROLE KIND SERVICE PLACE REGION RPC HTTP: adds a host to the platform's membership list. RPC and HTTP are
# its addresses.
member() {
  curl -sf -X POST "http://$platform/admin/members" -d "[{\"host\":\"$1\",\"role\":\"$2\",\"kind\":\"$3\",\"service\":\"$4\",\"place\":\"$5\",\"region\":\"$6\",\"address\":\"$7\",\"http\":\"$8\",\"state\":\"live\"}]" > /dev/null
}

# start_entry HOST PLACE: starts an entry.
start_entry() {
  process_table "$1" "$2" "${2%-*}" > "$work/$1.toml"
  start "$1" "$build/hickory-entry" --settings "$work/$1.toml"
}

# start_engine HOST PLACE [FLAG...]: starts a stand-in engine with the given flags, and its agent.
start_engine() {
  local host=$1 place=$2
  shift 2
  start "engine-$host" "$build/tests/standin-engine" "$@"
  { process_table "$host" "$place" "${place%-*}"
    printf '[upstream]\nurl = "http://%s"\nkind = "engine"\n' "$(listening "engine-$host" http)"
    printf '[weights]\ndirectory = "%s"\n' "$weights/$host"
  } > "$work/$host.toml"
  start "$host" "$build/hickory-agent" --settings "$work/$host.toml"
}

# start_plain HOST PLACE SERVICE [FLAG...]: starts a stand-in plain service with the given flags, and its agent.
start_plain() {
  local host=$1 place=$2 service=$3
  shift 3
  start "plain-$host" "$build/tests/standin-plain" --service "$service" "$@"
  { process_table "$host" "$place" "${place%-*}"
    printf '[upstream]\nurl = "http://%s"\nkind = "plain"\nservice = "%s"\n' "$(listening "plain-$host" http)" "$service"
  } > "$work/$host.toml"
  start "$host" "$build/hickory-agent" --settings "$work/$host.toml"
}
