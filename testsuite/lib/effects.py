"""Compares the answers of callers with what the backend servers ran."""

import collections

import chain
import fleet


def runs_by_token(servers):
    """Counts the runs of each token at those of `servers` that are running."""
    total = collections.Counter()
    for server in servers:
        if server.running:
            total.update(server.effects()["by_token"])
    return total


def check_verdicts(answers, servers, once):
    """Checks `answers`, [(token, Answer)] of requests to the one service of
    `servers`: a request answered with 200 ran, and one answered with verdict
    not-run did not. With `once` (non-idempotent requests) none ran twice.
    """
    runs = runs_by_token(servers)
    for token, answer in answers:
        outcome = f"{token}: {answer.status} {answer.verdict} {answer.reason}"
        if answer.status == 200:
            fleet.check(runs[token] >= 1, f"{outcome}, but it did not run")
        if answer.verdict == "not-run":
            fleet.check(runs[token] == 0, f"{outcome}, but it ran")
        if once:
            fleet.check(runs[token] <= 1, f"{outcome}, ran {runs[token]} times")


def check_all_complete(answers, services):
    for token, answer in answers:
        fleet.check(
            chain.is_complete(answer, services, token),
            f"{token} has no complete answer: {answer}",
        )
