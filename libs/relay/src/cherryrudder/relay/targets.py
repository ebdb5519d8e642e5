"""Targets of requests in absolute form, as clients of a proxy send them."""

import re

ABSOLUTE = re.compile(rb"https?://([^/?#]*)(.*)", re.IGNORECASE | re.DOTALL)

Headers = list[tuple[bytes, bytes]]


def to_origin_form(target: bytes, headers: Headers) -> tuple[bytes, Headers]:
    """Return the target without its host, and the headers with that host.

    The host of an absolute target goes before the header (RFC 9112, 3.2.2).
    """
    found = ABSOLUTE.fullmatch(target)
    if found is None:
        return target, headers
    host = found[1].rpartition(b"@")[2]
    path = found[2] if found[2].startswith(b"/") else b"/" + found[2]
    others = [pair for pair in headers if pair[0] != b"host"]
    return path, [(b"host", host), *others]
