"""Compares what callers were told with what backend servers did."""

import collections

import chain
import fleet


def runs_by_token(servers):
    """How often each token ran, over all of `servers` that still live."""
    total = collections.Counter()
    for server in servers:
        if server.running:
            total.update(server.effects()["by_token"])
    return total


def check_told_truth(answers, servers, once):
    """`answers` are [(token, Answer)] of requests to `servers`' one service.

    A 200 ran; "not run" truly did not run, whatever else happened; with
    `once` (non-idempotent requests) nothing ran twice.
    """
    runs = runs_by_token(servers)
    for token, answer in answers:
        told = f"{token}: {answer.status} {answer.verdict} {answer.reason}"
        if answer.status == 200:
            fleet.check(runs[token] >= 1, f"{told}, but it did not run")
        if answer.verdict == "not-run":
            fleet.check(runs[token] == 0, f"{told}, but it ran")
        if once:
            fleet.check(runs[token] <= 1, f"{told}, ran {runs[token]} times")


def check_all_whole(answers, services):
    for token, answer in answers:
        fleet.check(
            chain.is_whole(answer, services, token),
            f"{token} is not answered whole: {answer}",
        )
