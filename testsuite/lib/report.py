"""Summaries of the answers that callers received."""

import math


def percentile(values, share):
    """Returns the `share` quantile (nearest rank) of `values`; 0 if empty."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def summarize(answers):
    """Returns counts and latencies (seconds) of the answers of one class,
    [(token, Answer)]. `shed` counts failures with Retry-After."""
    ok = [answer for _, answer in answers if answer.status == 200]
    failed = [answer for _, answer in answers if answer.status != 200]
    shed = [answer for answer in failed if answer.header("Retry-After")]
    seconds = [answer.seconds for answer in ok]
    return {
        "sent": len(answers),
        "ok": len(ok),
        "shed": len(shed),
        "other": len(failed) - len(shed),
        "p50": percentile(seconds, 0.50),
        "p99": percentile(seconds, 0.99),
        "p99_refused": percentile([a.seconds for a in failed], 0.99),
    }


def print_table(title, by_class):
    """Prints a line for each class; p50 and p99 are of answers with 200."""
    print(f"\n{title}")
    print(f"{'class':<10}{'sent':>7}{'ok':>7}{'ok %':>7}{'shed':>7}"
          f"{'other':>7}{'p50 ms':>9}{'p99 ms':>9}{'refused p99':>13}")
    for name, answers in sorted(by_class.items()):
        row = summarize(answers)
        share = 100.0 * row["ok"] / row["sent"] if row["sent"] else 0.0
        print(f"{name:<10}{row['sent']:>7}{row['ok']:>7}{share:>7.1f}"
              f"{row['shed']:>7}{row['other']:>7}{row['p50'] * 1000:>9.1f}"
              f"{row['p99'] * 1000:>9.1f}{row['p99_refused'] * 1000:>13.1f}")
