"""Tests of a voter that gets messages which it can't read."""

import unittest

import anyio
from builders import KEY, LONE_TIMING, SilentLeader, a_lone_disk, running_voter, until

from cherryrudder.model import jsoncodec
from cherryrudder.replica.clock import now_s
from cherryrudder.replica.peers import LeaderCall, LeaderReply, QuorumMessage
from cherryrudder.replica.pending import Pending
from cherryrudder.wire.frames import FrameCodec
from cherryrudder.wire.links import Links

PATIENCE_S = 5.0


class BadMessageTest(unittest.TestCase):
    """Guards against a message of a control VM that ends the whole process."""

    def test_a_reply_that_is_no_json_is_left_out(self):
        async def main():
            async with running_voter() as scene, anyio.create_task_group() as group:
                voter, pending = scene.voter, Pending("")
                voter.peers._waiting["call"] = pending
                codec = FrameCodec((QuorumMessage, LeaderCall, LeaderReply))
                links = Links(group, codec, KEY, "127.0.0.1:1", lambda address: None)
                address = voter.peers.address
                links.send(address, LeaderReply("call", "not JSON"))
                links.send(address, LeaderReply("call", "7"))
                answer = await pending.wait(now_s() + PATIENCE_S)
                self.assertFalse(scene.ended.is_set())
                group.cancel_scope.cancel()
                return answer

        self.assertEqual(anyio.run(main), 7)

    def test_a_call_with_a_malformed_value_is_refused(self):
        for kind, value in (
            ("voters", '"no voter"'),
            ("voters", "{}"),
            ("propose", "7"),
            ("read-index", "not JSON"),
            ("unknown", "null"),
        ):
            with self.subTest(kind=kind, value=value):
                self.assertIsNone(anyio.run(self.called, kind, value))

    async def called(self, kind, value):
        """Return the answer to a call at a voter that leads."""
        async with running_voter(a_lone_disk, LONE_TIMING) as scene:
            caller = SilentLeader()
            replies = []
            caller._on_messages = lambda peer, messages: replies.extend(messages)
            voter = scene.voter
            await until(lambda: voter.node.role == "leader")
            async with anyio.create_task_group() as group:
                group.start_soon(caller.listen, anyio.Event())
                await anyio.sleep(0)
                codec = FrameCodec((QuorumMessage, LeaderCall, LeaderReply))
                links = Links(group, codec, KEY, caller.address, lambda address: None)
                call = LeaderCall("call", caller.address, kind, value)
                links.send(voter.peers.address, call)
                await until(lambda: replies or scene.ended.is_set())
                group.cancel_scope.cancel()
            self.assertFalse(scene.ended.is_set())
            return jsoncodec.decode(replies[0].value)


if __name__ == "__main__":
    unittest.main()
