"""The commands that work without a control VM."""

import sys
from pathlib import Path

from cherryrudder.model.contracts import digest_key
from cherryrudder.model.settings import load_settings

from .errors import BadInput
from .output import Output


def check(file: Path):
    """Check a daemon's settings file and print every fault in it.

    :param file: the settings file
    """

    def run(connect):
        result = load_settings(file)
        if result.is_error():
            raise BadInput(*result.error.faults)
        role = result.ok.process.role
        return Output(f"{file}: good settings of a {role}", {"role": role})

    return run


def key_digest():
    """Read a key from standard input and print the digest for its contract."""

    def run(connect):
        key = sys.stdin.readline().strip()
        if not key:
            raise BadInput("standard input holds no key")
        digest = digest_key(key)
        return Output(digest, {"key_sha256": digest})

    return run
