"""The control VMs that sum up entries' reports."""


def choose_aggregators(answers) -> dict[str, str]:
    """Return, by data centre, the control VM that sums up reports for its entries.

    The other entries' usage and the endpoints' liveness are the largest part of all
    messages. If each control VM sent them to each entry, they would grow with the
    product of both numbers and cross between data centres. A control VM that can't
    confirm the configuration in force may be cut off, and is only the last choice.
    """
    confirmed = [answer for answer in answers if answer.version >= 0] or answers
    aggregators: dict[str, str] = {}
    for answer in sorted(confirmed, key=lambda answer: answer.address):
        aggregators.setdefault(answer.vm_zone, answer.address)
    return aggregators
