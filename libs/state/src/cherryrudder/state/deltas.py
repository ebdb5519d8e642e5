"""Configuration deltas: the changes since the revision that a reader holds."""

from cherryrudder.model.revisions import ConfigDelta

from .records import State


def delta(state: State, since_revision: int) -> ConfigDelta:
    """Return the changes after a revision, or everything if it is too old.

    A reader that is ahead of this voter gets an empty delta of a lower revision. It
    ignores that, since its configuration must never go back.
    """
    full = since_revision <= 0 or since_revision < state.cancelled_floor
    since = 0 if full else since_revision
    return ConfigDelta(
        state.revision,
        since,
        full,
        _after(state.contracts, since),
        _after(state.stops, since),
        _cancelled_after(state, since, full),
        _after(state.settings, since),
    )


def _after(table, since):
    return tuple(record for record in table.values() if record.revision > since)


def _cancelled_after(state, since, full):
    if full:
        return ()
    return tuple(
        stop_id for stop_id, revision in state.cancelled.items() if revision > since
    )
