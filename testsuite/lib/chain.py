"""Checks the answer of a chain of backend_standin servers."""


def is_complete(answer, services, token):
    """Returns whether `answer` has one level per service, each for `token`."""
    if answer.status != 200:
        return False
    level = answer.json()
    for index, service in enumerate(services):
        if level.get("service") != service or level.get("token") != token:
            return False
        last = index + 1 == len(services)
        nested = level.get("nested", [])
        if len(nested) != (0 if last else 1):
            return False
        if not last:
            level = nested[0]
    return True
