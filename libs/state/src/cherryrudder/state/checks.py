"""Limits on the content of commands, so that the state's size is bounded."""

# Ids are UUIDs, digests, addresses and names of at most 63 characters; 200 leaves room
# for a caller's own Idempotency-Key but not for payloads in a key.
MAX_ID_CHARS = 200


def check_ids(**ids: str) -> str:
    """Return an error for the first id that is empty or too long, or ""."""
    for name, value in ids.items():
        if not value:
            return f"{name}: a value is needed"
    return check_lengths(**ids)


def check_lengths(**texts: str) -> str:
    """Return an error for the first text longer than `MAX_ID_CHARS`, or ""."""
    for name, value in texts.items():
        if len(value) > MAX_ID_CHARS:
            return f"{name}: longer than {MAX_ID_CHARS} characters"
    return ""
