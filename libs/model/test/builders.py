"""Builders of test data for the model's tests."""

from cherryrudder.model.contracts import Contract, digest_key

SIDECAR_INI = """
[process]
role = sidecar
vm = vm-1
data_centre = amman-1
region = jordan
[listen]
internal = 127.0.0.1:7001
frames = 127.0.0.1:7002
[control]
addresses = 127.0.0.1:7100, 127.0.0.1:7101
[keys]
internal_file = internal.key
operator_file = operator.key
[sidecar]
endpoint = briefing-1
model = briefing
back_end = http://127.0.0.1:9000
"""


def a_contract(**changes):
    """Return a contract that passes every check."""
    contract = Contract(
        customer="petra-tours",
        key_sha256=digest_key("secret"),
        models=("briefing",),
        services=("slots",),
        requests_per_s=10.0,
        tokens_per_s=500.0,
        concurrent_requests=8,
        max_wait_s=5.0,
    )
    return contract._replace(**changes)
