"""Bounds on what a command may carry, so that the state stays bounded too."""

# Ids are UUIDs, digests, addresses and names of 63 characters at most; 200 leaves room
# for a caller's own Idempotency-Key without letting a key become a place for payloads.
MAX_ID_CHARS = 200


def check_ids(**ids: str) -> str:
    """Return a message on the first id that is empty or too long, else nothing."""
    for name, value in ids.items():
        if not value:
            return f"{name}: a value is needed"
    return check_lengths(**ids)


def check_lengths(**texts: str) -> str:
    """Return a message on the first text that is longer than an id may be."""
    for name, value in texts.items():
        if len(value) > MAX_ID_CHARS:
            return f"{name}: longer than {MAX_ID_CHARS} characters"
    return ""
