"""Test data: a leader of three voters, whose followers are played by the test."""

import contextlib

from builders import TIMING, FailingDisk, a_follower_disk, running_voter, until

from cherryrudder.quorum import events


class SnapshotlessDisk(FailingDisk):
    """Has room for entries until `is_full` is set, and never for a snapshot."""

    def save_snapshot(self, effect):
        self.is_full = True
        self.persist(effect)


def a_reply(scene, kind, term=None, **fields):
    """Return a follower's message to the voter, by default in its present term."""
    message = {
        "type": kind,
        "cluster": "cluster",
        "term": term or scene.voter.node.term,
        "vm": "b",
        "disk_id": "disk-b",
        "address": "127.0.0.1:1",
        "to": "disk-a",
    }
    return events.Received("b", message | fields)


def an_append_reply(scene, synced):
    """Return a follower's reply that it has the log up to an index on its disk."""
    return a_reply(
        scene,
        "append-reply",
        ok=True,
        synced=synced,
        prev_index=synced,
        conflict_index=0,
        conflict_term=0,
        round=scene.voter.node.round,
        sent_s=0.0,
    )


@contextlib.asynccontextmanager
async def running_leader(make_disk=a_follower_disk, timing=TIMING):
    """Run a voter that two others have elected, with its first entry committed."""
    async with running_voter(make_disk, timing) as scene:
        voter = scene.voter
        voter.node.election_at_s = 0.0
        voter.feed(events.Tick())
        voter.feed(a_reply(scene, "pre-vote-reply", term=2, granted=True))
        await until(lambda: voter.node.role == "candidate")
        await until(lambda: voter.node.persisted_vote == "disk-a")
        voter.feed(a_reply(scene, "vote-reply", granted=True))
        await until(lambda: voter.node.persisted_index == 2)
        voter.feed(an_append_reply(scene, 2))
        await until(lambda: voter.applied_index == 2)
        yield scene
