"""The sidecar beside an engine: its stage of each request's pipeline, and its fence."""

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

# The longest single step: a long prompt on a slow accelerator.
STEP_S = 60.0
FREE_S = 5.0
# An export and its import are given up for a replay by the core after its own limit.
KV_S = 5.0
TICK_S = 0.25
# Batches under way in a chain: one for each of three stages, and one between them.
PARTS = 4
# Smaller calls cost more than the waiting that they save: some 3 ms each.
MIN_BATCH = 16

log = logger.bind(part="stage")


class StepOutput(NamedTuple):
    """One request's part of an engine's answer."""

    request: str
    position: int
    outputs: tuple[str, ...] = ()
    error: str = ""


class StepAnswer(NamedTuple):
    """An engine's answer to a batch of steps."""

    outputs: tuple[StepOutput, ...]


class EngineHost:
    """The stage cores' shell: frame links on one side, the engine on the other."""

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
        self.desk = CreditGranter(process, self.links)
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
        """Refuse new requests, or take them again."""
        self.leaving = leaving
        self.desk.set_leaving(leaving, now_s())

    def in_flight(self) -> int:
        """Return the number of requests that have a part here."""
        return len(self.core.requests)

    def dump(self) -> dict:
        """Return what the stage holds."""
        return {
            **dump_sidecar(self.core),
            "links": self.links.peers(),
            "fence": self.guard.highest,
        }

    def routes(self) -> Routes:
        """Return the routes for orders to the engine."""
        return {("POST", "/v1/orders"): self.guard.order}

    def _on_messages(self, peer, messages):
        at_s = now_s()
        for message in messages:
            if isinstance(message, CreditReport):
                self.desk.handle_report(message, at_s)
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
                    # A later compute of the same request waits for this, or the
                    # engine would drop the KV that it has just built.
                    self._freeing[effect.request] = anyio.Event()
                    self.process.group.start_soon(self._free, effect.request)

    async def _tick(self):
        while True:
            await anyio.sleep(TICK_S)
            self._carry_out(stage.tick(self.core, now_s()))

    async def _feed_engine(self):
        while True:
            await self._wake.wait()
            # One turn of the loop lets steps that have already arrived share the call.
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
                    self.process.group.start_soon(self._compute_freed, compute)

    async def _compute_freed(self, compute):
        while compute.request in self._freeing:
            await self._freeing[compute.request].wait()
        await self._compute([compute])

    async def _compute(self, computes):
        url = f"{self.back_end}/v1/steps"
        value = {"steps": [compute._asdict() for compute in computes]}
        call = object()
        self.desk.call_began(call, now_s())
        try:
            answer = await self.client.call("POST", url, value, StepAnswer, STEP_S)
        except WireError as error:
            log.warning("The engine gave no answer: {}.", error)
            outputs = failures(computes, str(error))
            self.desk.call_ended(call, 0, now_s())
        else:
            # A step that the engine left out would otherwise hold its stream until the
            # stage's own limit for a compute, half a minute.
            answered = {(one.request, one.position) for one in answer.outputs}
            left_out = [c for c in computes if (c.request, c.position) not in answered]
            outputs = (*answer.outputs, *failures(left_out, "no output"))
            # One call is one step of the engine's batch, unless it fills a prompt.
            decodes = all(len(compute.inputs) == 1 for compute in computes)
            self.desk.call_ended(call, int(decodes), now_s())
        for output in outputs:
            self._computed(output)

    def _computed(self, output):
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
                "POST", url, {"request": request}, dict, timeout_s=KV_S
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
            await self.client.call("POST", url, value, timeout_s=KV_S)
        except (WireError, ValueError) as error:
            log.warning("The engine did not import {}: {}.", effect.request, error)
            is_done = False
        else:
            is_done = True
        self._carry_out(handover.imported(self.core, effect.request, is_done, now_s()))

    async def _free(self, request):
        done = self._freeing[request]
        url = f"{self.back_end}/v1/free"
        value: dict[str, Any] = {"requests": [request]}
        try:
            await self.client.call("POST", url, value, timeout_s=FREE_S)
        except WireError as error:
            log.warning("The engine did not free {}: {}.", request, error)
        if self._freeing.get(request) is done:
            del self._freeing[request]
        done.set()


def failures(computes, error: str) -> list[StepOutput]:
    """Return an output with an error for each step."""
    return [StepOutput(c.request, c.position, (), error) for c in computes]


def batch_size(requests: int) -> int:
    """Return how many steps one call to the engine may carry.

    Streams that are computed together stay together: without a limit all of a chain's
    streams travel as one batch, and each stage waits while the others work. Parts of
    all that is in flight keep every stage busy, and stay of one size on their way.
    """
    return max(MIN_BATCH, -(-requests // PARTS))
