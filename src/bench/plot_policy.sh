#!/bin/bash
# Plots the goodput of the policies over time as SVG, one file for each scenario
# of one topology.
# Usage: plot_policy.sh POLICY_BENCH OUT_DIR [TOPOLOGY] [policy_bench options]
set -euo pipefail

bench=$1
out=$2
topology=${3:-chain-3}
shift $(($# < 3 ? $# : 3))

mkdir -p "$out"
"$bench" --topology "$topology" --csv "$out/policy.csv" \
  --series "$out/policy_series.csv" "$@"
series=$out/policy_series.csv

# Sums the good answers of each second: one data file for each plotted line.
for scenario in $(tail -n +2 "$series" | cut -d, -f2 | sort -u); do
  for policy in none fixed-limit amaranthroute; do
    awk -F, -v scenario="$scenario" -v policy="$policy" \
      '$2 == scenario && $3 == policy {
         second = int($4 + 0.0001); good[second] += $6
         if (second > last) last = second
       }
       END { for (s = 0; s < last; ++s) print s, good[s] + 0 }' \
      "$series" >"$out/$scenario.$policy.dat"
  done
  gnuplot <<PLOT
set terminal svg size 800,400 dynamic
set output "$out/$topology-$scenario.svg"
set title "$topology, $scenario"
set xlabel "seconds"
set ylabel "requests answered in time, per second"
set yrange [0:*]
set key outside
plot "$out/$scenario.none.dat" with lines title "no control", \
     "$out/$scenario.fixed-limit.dat" with lines title "fixed limit", \
     "$out/$scenario.amaranthroute.dat" with lines lw 2 title "amaranthroute"
PLOT
done
