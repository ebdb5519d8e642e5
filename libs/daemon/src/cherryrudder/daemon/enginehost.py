"""The sidecar of an engine: its stage of each request's pipeline, and its fence."""

from typing import Any, NamedTuple

import anyio
import anyio.lowlevel
from loguru import logger

from cherryrudder.model import jsoncodec
from cherryrudder.pipeline import handover, stage
from cherryrudder.pipeline.dump import dump_sidecar
from cherryrudder.pipeline.effects import Compute, ExportKv, FreeKv, ImportKv, SendTo
from cherryrudder.pipeline.messages import NO_ROOM, Refused, Resume, Start
from cherryrudder.wire.asgi import Routes
from cherryrudder.wire.client import Client
from cherryrudder.wire.errors import WireError

from .clock import now_s
from .creditgranter import CreditGranter
from .fenceguard import FenceGuard
from .framemessages import DATA_MESSAGES, CreditReport
from .frameport import FramePort

# Long enough for a long prompt on a slow accelerator in a single step.
STEP_TIMEOUT_S = 60.0
FREE_TIMEOUT_S = 5.0
# The core replays the request if an export or import exceeds the core's own timeout.
KV_TIMEOUT_S = 5.0
TICK_S = 0.25
# Batches in flight in a chain: one for each of three stages, and one between them.
BATCHES_PER_CHAIN = 4
# A smaller call costs more (some 3 ms each) than the waiting time that it saves.
MIN_BATCH_STEPS = 16

log = logger.bind(part="stage")


class StepOutput(NamedTuple):
    """The output of one step of a batch."""

    request: str
    position: int
    outputs: tuple[str, ...] = ()
    error: str = ""


class StepAnswer(NamedTuple):
    """The answer of an engine to a batch of steps."""

    outputs: tuple[StepOutput, ...]


class EngineHost:
    """Runs the stage core between the frame links and the engine."""

    def __init__(self, process):
        self.process = process
        self.back_end = process.settings.sidecar.back_end.rstrip("/")
        self.core = stage.StageCore()
        self.client = Client()
        self.guard = FenceGuard(process, self.client, self.back_end)
        self.port = FramePort(
            process, DATA_MESSAGES, self._on_messages, self._link_down
        )
        self.links = self.port.links
        self.credits = CreditGranter(process, self.links)
        self.leaving = False
        self._computes: list[Compute] = []
        self._wake = anyio.Event()
        self._freeing: dict[str, anyio.Event] = {}

    def start(self) -> None:
        """Start listening for frames and feeding the engine."""
        group = self.process.group
        self.port.start()
        group.start_soon(self._feed_engine)
        group.start_soon(self._tick)

    def set_leaving(self, leaving: bool) -> None:
        """Refuse new requests, or accept them again."""
        self.leaving = leaving
        self.credits.set_leaving(leaving, now_s())

    def in_flight(self) -> int:
        """Return the number of requests that use this stage."""
        return len(self.core.requests)

    def dump(self) -> dict:
        """Return the stage's state for the dump."""
        return {
            **dump_sidecar(self.core),
            "links": self.links.peers(),
            "fence": self.guard.highest,
        }

    def routes(self) -> Routes:
        """Return the route for orders to the engine."""
        return {("POST", "/v1/orders"): self.guard.order}

    def _on_messages(self, peer, messages):
        at_s = now_s()
        for message in messages:
            if isinstance(message, CreditReport):
                self.credits.handle_report(message, at_s)
            elif self.leaving and self._is_new(message):
                self._refuse(message)
            else:
                self._carry_out(stage.receive(self.core, message, at_s))

    def _is_new(self, message):
        start = message.start if isinstance(message, Resume) else message
        return isinstance(start, Start) and start.request not in self.core.requests

    def _refuse(self, message):
        start = message.start if isinstance(message, Resume) else message
        refused = Refused(start.request, start.generation, start.stage, NO_ROOM)
        self.links.send(start.entry, refused)

    def _link_down(self, address):
        self._carry_out(stage.link_lost(self.core, address, now_s()))

    def _carry_out(self, effects):
        for effect in effects:
            match effect:
                case SendTo():
                    self.links.send(effect.address, effect.message)
                case Compute():
                    self._computes.append(effect)
                    self._wake.set()
                case ExportKv():
                    self.process.group.start_soon(self._export, effect.request)
                case ImportKv():
                    self.process.group.start_soon(self._import, effect)
                case FreeKv():
                    # A later compute of the same request waits for this event.
                    # Otherwise the engine would drop KV that it has just built.
                    earlier = self._freeing.get(effect.request)
                    done = self._freeing[effect.request] = anyio.Event()
                    self.process.group.start_soon(
                        self._free, effect.request, earlier, done
                    )

    async def _tick(self):
        while True:
            await anyio.sleep(TICK_S)
            self._carry_out(stage.tick(self.core, now_s()))

    async def _feed_engine(self):
        while True:
            await self._wake.wait()
            # Yield once, so that steps that have already arrived share the call.
            await anyio.lowlevel.checkpoint()
            computes, self._computes = self._computes, []
            self._wake = anyio.Event()
            ready = [c for c in computes if c.request not in self._freeing]
            size = batch_size(len(self.core.requests))
            for first in range(0, len(ready), size):
                self.process.group.start_soon(
                    self._compute, ready[first : first + size]
                )
            for compute in computes:
                if compute.request in self._freeing:
                    self.process.group.start_soon(self._compute_after_free, compute)

    async def _compute_after_free(self, compute):
        while compute.request in self._freeing:
            await self._freeing[compute.request].wait()
        await self._compute([compute])

    async def _compute(self, computes):
        url = f"{self.back_end}/v1/steps"
        value = {"steps": [compute._asdict() for compute in computes]}
        call = object()
        self.credits.record_call_start(call, now_s())
        try:
            answer = await self.client.call(
                "POST", url, value, StepAnswer, STEP_TIMEOUT_S
            )
        except WireError as error:
            log.warning("The engine gave no answer: {}.", error)
            outputs = failures(computes, str(error))
            self.credits.record_call_end(call, 0, now_s())
        else:
            # A step that the engine left out would otherwise stall its stream until the
            # stage's own compute timeout, half a minute.
            answered = {(one.request, one.position) for one in answer.outputs}
            left_out = [c for c in computes if (c.request, c.position) not in answered]
            outputs = (*answer.outputs, *failures(left_out, "no output"))
            # A call is one step of the engine's batch, unless it contains a prefill.
            decodes = all(len(compute.inputs) == 1 for compute in computes)
            self.credits.record_call_end(call, int(decodes), now_s())
        for output in outputs:
            self._handle_output(output)

    def _handle_output(self, output):
        if output.error:
            act, result = stage.compute_failed, output.error
        else:
            act, result = stage.computed, output.outputs
        self._carry_out(
            act(self.core, output.request, output.position, result, now_s())
        )

    async def _export(self, request):
        url = f"{self.back_end}/v1/kv/export"
        try:
            kv = await self.client.call(
                "POST", url, {"request": request}, dict, timeout_s=KV_TIMEOUT_S
            )
        except WireError as error:
            log.warning("The engine did not export {}: {}.", request, error)
            text = ""
        else:
            text = jsoncodec.encode(kv).decode()
        self._carry_out(handover.exported(self.core, request, text, now_s()))

    async def _import(self, effect):
        url = f"{self.back_end}/v1/kv/import"
        try:
            value = jsoncodec.decode(effect.kv)
            await self.client.call("POST", url, value, timeout_s=KV_TIMEOUT_S)
        except (WireError, ValueError) as error:
            log.warning("The engine did not import {}: {}.", effect.request, error)
            is_done = False
        else:
            is_done = True
        self._carry_out(handover.imported(self.core, effect.request, is_done, now_s()))

    async def _free(self, request, earlier, done):
        if earlier is not None:
            await earlier.wait()
        url = f"{self.back_end}/v1/free"
        value: dict[str, Any] = {"requests": [request]}
        try:
            await self.client.call("POST", url, value, timeout_s=FREE_TIMEOUT_S)
        except WireError as error:
            log.warning("The engine did not free {}: {}.", request, error)
        if self._freeing.get(request) is done:
            del self._freeing[request]
        done.set()


def failures(computes, error: str) -> list[StepOutput]:
    """Return an error output for each step."""
    return [StepOutput(c.request, c.position, (), error) for c in computes]


def batch_size(requests: int) -> int:
    """Return the maximum number of steps in one call to the engine.

    Streams that are computed together stay together: without a limit all streams of a
    chain would move as one batch, and each stage would idle while the others work.
    Batches of an equal part of the requests in flight keep every stage busy, and keep
    their size from stage to stage.
    """
    return max(MIN_BATCH_STEPS, -(-requests // BATCHES_PER_CHAIN))
