"""Configuration as readers get it: what changed after the revision they hold."""

from cherryrudder.model.revisions import ConfigDelta

from .records import State


def delta(state: State, since_revision: int) -> ConfigDelta:
    """Return what changed after a revision, or everything for one too far behind.

    A reader that is ahead of this voter gets an empty delta of a lower revision,
    which it ignores; it must never be taken back.
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
