"""The entry's side of the pipelines: runs request cores and delivers their tokens."""

from collections.abc import AsyncIterator, Callable

import anyio
from loguru import logger

from cherryrudder.pipeline import request as driver
from cherryrudder.pipeline.dump import dump_entry
from cherryrudder.pipeline.effects import Deliver, Fail, Finished, NeedStage, SendTo
from cherryrudder.pipeline.messages import Stage, Start

from .clock import now_s
from .errors import DaemonError
from .framemessages import DATA_MESSAGES, CreditGrant
from .frameport import FramePort

TICK_S = 0.1
# Below this (some seconds at 33 ms a token) a planned stop waits for the answer to end.
MIN_HANDOVER_TOKENS = 100

log = logger.bind(part="pipeline")


class PipelineBroken(DaemonError):
    """A request's chain failed and could not be repaired; the text is incomplete."""


class Flow:
    """One request's pipeline, with the tokens that its caller has not read yet."""

    def __init__(self, core, find_stage, on_end):
        self.core = core
        self.find_stage = find_stage
        self.on_end = on_end
        self.unread: list[str] = []
        self.consumed = 0
        self.is_last = False
        self.failure = ""
        self.changed = anyio.Event()


class DataPlane:
    """All pipelines of one entry."""

    def __init__(
        self,
        process,
        on_grant: Callable[[CreditGrant], None],
        on_link_down: Callable[[str], None],
    ):
        self.process = process
        self.on_grant = on_grant
        self.on_link_down = on_link_down
        self.timing = driver.Timing(stall_timeout_s=process.settings.entry.stall_s)
        self.flows: dict[str, Flow] = {}
        self.port = FramePort(
            process, DATA_MESSAGES, self._on_messages, self._link_down
        )
        self.links = self.port.links

    def start(self) -> None:
        """Start listening for tokens and checking for stalled requests."""
        self.port.start()
        self.process.group.start_soon(self._tick)

    def begin(
        self,
        start: Start,
        find_stage: Callable[[NeedStage], Stage | None],
        on_end: Callable[[driver.RequestCore], None],
    ) -> Flow:
        """Start a request; `on_end` is called once, however it ends."""
        flow = Flow(driver.RequestCore(start, self.timing), find_stage, on_end)
        self.flows[start.request] = flow
        self._carry_out(flow, driver.begin(flow.core, now_s()))
        return flow

    async def tokens(self, flow: Flow) -> AsyncIterator[list[str]]:
        """Yield the tokens as they arrive; raises PipelineBroken."""
        while True:
            if flow.unread:
                tokens, flow.unread = flow.unread, []
                yield tokens
                # Tokens are acknowledged only after the caller's socket has accepted
                # them. This is the backpressure on the chain of a slow caller.
                flow.consumed += len(tokens)
                self._carry_out(
                    flow, driver.record_consumed(flow.core, flow.consumed, now_s())
                )
            elif flow.failure:
                raise PipelineBroken(flow.failure)
            elif flow.is_last:
                return
            else:
                flow.changed = anyio.Event()
                await flow.changed.wait()

    def cancel(self, flow: Flow) -> None:
        """Free every stage of a request; does nothing once it has ended."""
        self._carry_out(flow, driver.cancel(flow.core, now_s()))

    def record_stage_loss(self, request_id: str, endpoint: str) -> None:
        """Record that a request has lost an endpoint, so that its stage is replaced."""
        flow = self.flows.get(request_id)
        if flow is not None:
            self._carry_out(flow, driver.stage_lost(flow.core, endpoint, now_s()))

    def dump(self) -> dict:
        """Return the state of every request in flight."""
        return {name: dump_entry(flow.core) for name, flow in self.flows.items()}

    def hand_over(self, endpoint: str) -> None:
        """Hand over the long requests of an endpoint that is about to stop.

        Short requests end before a transfer of their KV would pay off.
        """
        for flow in list(self.flows.values()):
            left = flow.core.start.max_tokens - len(flow.core.tokens)
            if left >= MIN_HANDOVER_TOKENS:
                effects = driver.stage_leaving(flow.core, endpoint, now_s())
                self._carry_out(flow, effects)

    def _on_messages(self, peer, messages):
        at_s = now_s()
        for message in messages:
            if isinstance(message, CreditGrant):
                self.on_grant(message)
                continue
            flow = self.flows.get(message.request)
            if flow is not None:
                self._carry_out(flow, driver.receive(flow.core, message, at_s))

    def _link_down(self, address):
        self.on_link_down(address)
        for flow in list(self.flows.values()):
            self._carry_out(flow, driver.stage_lost(flow.core, address, now_s()))

    async def _tick(self):
        while True:
            await anyio.sleep(TICK_S)
            for flow in list(self.flows.values()):
                # Retry, since no endpoint may have been free at first. The core's own
                # timeout ends a request that finds none.
                for need in driver.needs(flow.core):
                    self._find_stage(flow, need)
                self._carry_out(flow, driver.tick(flow.core, now_s()))

    def _carry_out(self, flow, effects):
        for effect in effects:
            match effect:
                case SendTo():
                    self.links.send(effect.address, effect.message)
                case Deliver():
                    flow.unread += effect.tokens
                    flow.is_last = flow.is_last or effect.last
                    flow.changed.set()
                case NeedStage():
                    self._find_stage(flow, effect)
                case Fail():
                    log.warning(
                        "{} failed: {}.", flow.core.start.request, effect.message
                    )
                    flow.failure = effect.message
                    flow.changed.set()
                case Finished():
                    self._finish(flow)

    def _find_stage(self, flow, need):
        found = flow.find_stage(need)
        if found is not None:
            self._carry_out(flow, driver.replace(flow.core, found, now_s()))
        elif flow.core.leaving:
            # No endpoint is free to take over: the leaving stage continues to the end.
            driver.no_stage(flow.core, now_s())

    def _finish(self, flow):
        if self.flows.pop(flow.core.start.request, None) is not None:
            flow.on_end(flow.core)
