#!/usr/bin/env bash
# Draws PNG plots from a sweep's JSON lines. Usage: scripts/plot.sh RUNS.jsonl DIRECTORY
# Needs gnuplot and python3 (only to turn JSON lines into columns).
set -euo pipefail
if [ "$#" -ne 2 ]; then
  echo "usage: $0 RUNS.jsonl DIRECTORY" >&2
  exit 2
fi
runs=$1
directory=$2
mkdir -p "$directory"
python3 - "$runs" "$directory" <<'PYTHON'
import collections
import json
import sys

means = collections.OrderedDict()
policies = []
for line in open(sys.argv[1]):
    run = json.loads(line)
    if run["faults"] != "none" or run.get("settings"):
        continue
    cell = means.setdefault(run["workload"], {}).setdefault(run["policy"], [[], []])
    cell[0].append(run["goodput"])
    cell[1].append(run["role_changes"])
    if run["policy"] not in policies:
        policies.append(run["policy"])
for column, name in ((0, "goodput"), (1, "role_changes")):
    with open(f"{sys.argv[2]}/{name}.dat", "w") as out:
        print("workload", *policies, file=out)
        for workload, cells in means.items():
            values = [cells.get(p, [[], []])[column] for p in policies]
            print(workload, *(sum(v) / len(v) if v else "nan" for v in values), file=out)
PYTHON
for name in goodput role_changes; do
  columns=$(awk 'NR == 1 { print NF }' "$directory/$name.dat")
  gnuplot <<GNUPLOT
set terminal png size 1200,500
set output "$directory/$name.png"
set title "$name by workload and policy, mean over seeds"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8
set xtics rotate by -30
set key outside
set yrange [0:*]
plot for [i=2:$columns] "$directory/$name.dat" using i:xtic(1) title columnheader(i)
GNUPLOT
done
echo "wrote $directory/goodput.png and $directory/role_changes.png"
