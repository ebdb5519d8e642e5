"""The entry's side of the pipelines: each request's core, its links and its tokens."""

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
# Some seconds at 33 ms a token: below that a planned stop waits for the answer's end.
HAND_OVER_TOKENS = 100

log = logger.bind(part="pipeline")


class PipelineBroken(DaemonError):
    """A request's chain could not be kept up; the text ends here."""


class Flow:
    """One request's pipeline as the caller's task sees it."""

    def __init__(self, core, find_stage, ended):
        self.core = core
        self.find_stage = find_stage
        self.ended = ended
        self.waiting: list[str] = []
        self.taken = 0
        self.is_last = False
        self.failure = ""
        self.news = anyio.Event()


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
        """Start listening for tokens and looking after stalled requests."""
        self.port.start()
        self.process.group.start_soon(self._tick)

    def begin(
        self,
        start: Start,
        find_stage: Callable[[NeedStage], Stage | None],
        ended: Callable[[driver.RequestCore], None],
    ) -> Flow:
        """Start a request; `ended` is called once, however it ends."""
        flow = Flow(driver.RequestCore(start, self.timing), find_stage, ended)
        self.flows[start.request] = flow
        self._carry_out(flow, driver.begin(flow.core, now_s()))
        return flow

    async def tokens(self, flow: Flow) -> AsyncIterator[list[str]]:
        """Yield the tokens as they come; raises PipelineBroken."""
        while True:
            if flow.waiting:
                tokens, flow.waiting = flow.waiting, []
                yield tokens
                # Acknowledged only after the caller's socket took them, which is what
                # holds the chain back behind a slow caller.
                flow.taken += len(tokens)
                self._carry_out(
                    flow, driver.record_consumed(flow.core, flow.taken, now_s())
                )
            elif flow.failure:
                raise PipelineBroken(flow.failure)
            elif flow.is_last:
                return
            else:
                flow.news = anyio.Event()
                await flow.news.wait()

    def cancel(self, flow: Flow) -> None:
        """Free every stage of a request that nobody waits for; harmless at its end."""
        self._carry_out(flow, driver.cancel(flow.core, now_s()))

    def lose(self, request_id: str, endpoint: str) -> None:
        """Go on elsewhere with a request that has lost an endpoint."""
        flow = self.flows.get(request_id)
        if flow is not None:
            self._carry_out(flow, driver.stage_lost(flow.core, endpoint, now_s()))

    def dump(self) -> dict:
        """Return every request in flight as its core sees it."""
        return {name: dump_entry(flow.core) for name, flow in self.flows.items()}

    def relieve(self, endpoint: str) -> None:
        """Hand over the long requests of an endpoint that is to stop.

        The short ones end sooner than a move of their KV would pay.
        """
        for flow in list(self.flows.values()):
            left = flow.core.start.max_tokens - len(flow.core.tokens)
            if left >= HAND_OVER_TOKENS:
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
                # No endpoint may have been free at first; the core's own time limit
                # ends the request that finds none.
                for need in driver.needs(flow.core):
                    self._find_stage(flow, need)
                self._carry_out(flow, driver.tick(flow.core, now_s()))

    def _carry_out(self, flow, effects):
        for effect in effects:
            match effect:
                case SendTo():
                    self.links.send(effect.address, effect.message)
                case Deliver():
                    flow.waiting += effect.tokens
                    flow.is_last = flow.is_last or effect.last
                    flow.news.set()
                case NeedStage():
                    self._find_stage(flow, effect)
                case Fail():
                    log.warning(
                        "{} failed: {}.", flow.core.start.request, effect.message
                    )
                    flow.failure = effect.message
                    flow.news.set()
                case Finished():
                    self._finish(flow)

    def _find_stage(self, flow, need):
        found = flow.find_stage(need)
        if found is not None:
            self._carry_out(flow, driver.replace(flow.core, found, now_s()))
        elif flow.core.leaving:
            # Nothing is free to take over: the leaving stage works on to the end.
            driver.no_stage(flow.core, now_s())

    def _finish(self, flow):
        if self.flows.pop(flow.core.start.request, None) is not None:
            flow.ended(flow.core)
