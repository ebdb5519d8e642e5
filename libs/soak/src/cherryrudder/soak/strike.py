"""Carries faults out on the deployment."""

import itertools
import signal
import time

import anyio

from .faults import Fault, Kind
from .field import Field
from .operator import Operator
from .promises import Disturbance, Limited
from .proxy import Mode

# A leaving engine goes on for the users' two seconds and a little longer.
LEAVE_S = 3.0
# Engines stay in pairs, so that one copy of the layers is always there.
FEWEST_MODEL_ENGINES = 4
FEWEST_PLAIN_ENGINES = 1
CRASHING_PAUSE_S = 0.2
# What a limited engine takes, and how long one that sheds wants nothing.
LIMITS_PER_S = (1.0, 4.0)
BACKOFFS_S = (1.0, 3.0)


class Striker:
    """Carries faults out, and remembers when each took place."""

    def __init__(self, field: Field, operator: Operator):
        self.field = field
        self.operator = operator
        self.disturbances: list[Disturbance] = []
        self.left_s: dict[str, float] = {}
        self.limited: list[Limited] = []
        self._busy: set[str] = set()

    async def strike(self, fault: Fault) -> None:
        """Carry one fault out, from its beginning to its end."""
        handler = HANDLERS[fault.kind]
        begins_s = time.monotonic()
        number = len(self.disturbances)
        # In force from its beginning, whatever its end.
        self.disturbances.append(Disturbance(fault.kind, "", begins_s, float("inf")))
        target = await handler(self, fault)
        one = Disturbance(fault.kind, target or "", begins_s, time.monotonic())
        self.disturbances[number] = one

    def _pick(self, things, fault):
        return things[int(fault.pick * len(things))] if things else None

    async def _with_process(self, fault, role, work):
        """Work on one process, unless another fault does so already."""
        node = self._pick(self.field.deployment.nodes, fault)
        name = f"{node.name}-{role}"
        if name in self._busy or role not in node.processes:
            return node.name
        self._busy.add(name)
        try:
            await work(node, role, fault)
        finally:
            self._busy.discard(name)
        return node.name

    async def _kill(self, node, role, fault):
        await self.field.end(node, role, signal.SIGKILL)
        await anyio.sleep(fault.for_s)
        self.field.restart(node, role)

    async def _stop(self, node, role, fault):
        await self.field.end(node, role, signal.SIGTERM)
        self.field.restart(node, role)

    async def _freeze(self, node, role, fault):
        self.field.signal(node, role, signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
        self.field.signal(node, role, signal.SIGCONT)

    async def _wipe(self, node, role, fault):
        await self.field.end(node, role, signal.SIGKILL)
        self.field.wipe(node)
        await anyio.sleep(fault.for_s)
        self.field.restart(node, role)

    async def _tear(self, node, role, fault):
        await self.field.end(node, role, signal.SIGKILL)
        self.field.tear(node)
        await anyio.sleep(fault.for_s)
        self.field.restart(node, role)

    async def _kill_all(self, fault):
        nodes = self.field.deployment.nodes
        for node in nodes:
            await self.field.end(node, "control", signal.SIGKILL)
        await anyio.sleep(min(1.0, fault.for_s))
        for node in nodes:
            self.field.restart(node, "control")

    async def _engine_dies(self, fault):
        engine = self._pick(self._spare_engines(), fault)
        if engine is None:
            return ""
        if int(fault.pick * 1000) % 2:
            # Back at once under its name, before anybody can have missed it.
            await self.field.restart_engine(engine)
            return f"{engine.engine_id} again"
        await self.field.remove_engine(engine)
        await anyio.sleep(fault.for_s)
        await self.field.add_engine(engine.service, engine.kind)
        return engine.engine_id

    async def _engine_leaves(self, fault):
        engine = self._pick(self._spare_engines(), fault)
        if engine is None:
            return ""
        replacement = await self.field.add_engine(engine.service, engine.kind)
        if int(fault.pick * 1000) % 2:
            await self._sign_off_first(engine)
        else:
            await self._drain_first(engine)
        await self.field.remove_engine(engine)
        return f"{engine.engine_id} for {replacement.engine_id}"

    async def _sign_off_first(self, engine):
        """Let an engine sign off and serve on for a while, as some do."""
        if await self.field.deployment.depart(engine):
            self.left_s[engine.engine_id] = time.monotonic()
        await anyio.sleep(LEAVE_S)

    async def _drain_first(self, engine):
        """Let an engine drain for a while and then sign off."""
        engine.is_leaving = True
        with anyio.move_on_after(LEAVE_S):
            while not engine.is_leaving_acknowledged:
                await anyio.sleep(0.02)
            self.left_s[engine.engine_id] = time.monotonic()
        await anyio.sleep(LEAVE_S)
        await self.field.deployment.depart(engine)

    async def _crashing_request(self, fault):
        """Repeat a request at all entries that ends each engine which begins it."""
        body = f"ends engines {fault.pick}".encode()
        answers = self.field.crashing[body] = []
        self.field.deployment.fleet.crashing.add(body)
        callers = self.field.new_callers()
        until_s = time.monotonic() + fault.for_s
        turns = itertools.cycle(callers)
        while time.monotonic() < until_s:
            key = self.operator.keys[-1]
            answer = await next(turns).ask("stream", key, body)
            if answer is not None:
                answers.append(answer)
            await anyio.sleep(CRASHING_PAUSE_S)
        for caller in callers:
            caller.close()
            self.field.first_answers += caller.answers
        return body.decode()

    async def _engine_limits(self, fault):
        """Let an engine name a limit for some time."""
        engine = self._pick(self._calm_engines(), fault)
        if engine is None:
            return ""
        engine.limit_per_s = round(_between(LIMITS_PER_S, fault.pick * 10 % 1), 2)
        named_s, limit_per_s = time.monotonic(), engine.limit_per_s
        await anyio.sleep(fault.for_s)
        engine.limit_per_s = None
        self.limited.append(
            Limited(engine.engine_id, limit_per_s, named_s, time.monotonic())
        )
        return f"{engine.engine_id} {limit_per_s} a second"

    async def _engine_sheds(self, fault):
        """Let an engine turn everything away for some time, and ask to back off."""
        engine = self._pick(self._calm_engines(), fault)
        if engine is None:
            return ""
        engine.backoff_s = round(_between(BACKOFFS_S, fault.pick * 10 % 1), 2)
        await anyio.sleep(fault.for_s)
        engine.backoff_s = None
        return engine.engine_id

    async def _engine_tells_callers(self, fault):
        """Let an engine leave that says so in its answers, and sign off later."""
        engine = self._pick(self._spare_engines(), fault)
        if engine is None:
            return ""
        replacement = await self.field.add_engine(engine.service, engine.kind)
        engine.announces_leaving = True
        with anyio.move_on_after(LEAVE_S):
            while engine.leaving_announced_s is None:
                await anyio.sleep(0.02)
            self.left_s[engine.engine_id] = engine.leaving_announced_s
        await anyio.sleep(LEAVE_S)
        await self.field.deployment.depart(engine)
        await self.field.remove_engine(engine)
        return f"{engine.engine_id} for {replacement.engine_id}"

    def _calm_engines(self):
        """Return the engines that ask for nothing yet."""
        return [
            engine
            for engine in self._spare_engines()
            if engine.limit_per_s is None and engine.backoff_s is None
        ]

    def _spare_engines(self):
        """Return the engines that may be lost now."""
        found = []
        for service, fewest in (
            ("llm", FEWEST_MODEL_ENGINES),
            ("desk", FEWEST_PLAIN_ENGINES),
        ):
            there = [e for e in self.field.engines if e.service == service]
            staying = [e for e in there if not (e.is_leaving or e.announces_leaving)]
            found += staying if len(staying) > fewest else []
        return found

    async def _link(self, proxies, fault):
        proxy = self._pick(list(proxies.values()), fault)
        proxy.set_mode(fault.mode)
        await anyio.sleep(fault.for_s)
        proxy.set_mode(Mode.PASS)
        return f"{proxy.listen_address} {fault.mode}"

    async def _reset(self, proxies, fault):
        proxy = self._pick(list(proxies.values()), fault)
        await proxy.reset()
        return proxy.listen_address


def _between(bounds, share):
    return bounds[0] + share * (bounds[1] - bounds[0])


def _on_process(role, work):
    return lambda striker, fault: striker._with_process(
        fault, role, lambda *args: work(striker, *args)
    )


async def _operate(call):
    await call()


HANDLERS = {
    Kind.KILL_ENTRY: _on_process("entry", Striker._kill),
    Kind.STOP_ENTRY: _on_process("entry", Striker._stop),
    Kind.FREEZE_ENTRY: _on_process("entry", Striker._freeze),
    Kind.KILL_CONTROL: _on_process("control", Striker._kill),
    Kind.STOP_CONTROL: _on_process("control", Striker._stop),
    Kind.FREEZE_CONTROL: _on_process("control", Striker._freeze),
    Kind.WIPE_CONTROL: _on_process("control", Striker._wipe),
    Kind.TEAR_CONTROL: _on_process("control", Striker._tear),
    Kind.KILL_ALL_CONTROLS: Striker._kill_all,
    Kind.ENGINE_DIES: Striker._engine_dies,
    Kind.ENGINE_LEAVES: Striker._engine_leaves,
    Kind.ENGINE_LINK: lambda s, f: s._link(s.field.engine_proxies, f),
    Kind.ENGINE_RESET: lambda s, f: s._reset(s.field.engine_proxies, f),
    Kind.CALLER_LINK: lambda s, f: s._link(s.field.caller_proxies, f),
    Kind.CALLER_RESET: lambda s, f: s._reset(s.field.caller_proxies, f),
    Kind.CHANGE: lambda s, f: _operate(s.operator.change),
    Kind.RACE: lambda s, f: _operate(s.operator.race),
    Kind.BAD_CHANGE: lambda s, f: _operate(s.operator.send_broken),
    Kind.CRASHING_REQUEST: Striker._crashing_request,
    Kind.ENGINE_LIMITS: Striker._engine_limits,
    Kind.ENGINE_SHEDS: Striker._engine_sheds,
    Kind.ENGINE_TELLS_CALLERS: Striker._engine_tells_callers,
    Kind.REVOKE: lambda s, f: _operate(s.operator.revoke),
}
