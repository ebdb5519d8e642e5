"""Inject faults into the deployment under test."""

import itertools
import signal
import time

import anyio

from . import crowding
from .faults import Fault, FaultKind
from .guarantees import Disturbance, EngineLimit
from .operator import Operator
from .proxy import Mode
from .testbed import Testbed

# A leaving engine keeps serving for the two seconds that the user documentation
# gives, and a little longer.
LEAVE_S = 3.0
# Engines remain in pairs, so that one copy of the layers is always available.
MIN_MODEL_ENGINES = 4
MIN_PLAIN_ENGINES = 1
CRASHING_PAUSE_S = 0.2
# Requests that crash engines at the same time.
MIN_CULPRITS, MAX_CULPRITS = 2, 5
# Sound requests that clients repeat beside them.
SOUND_REQUESTS = 4
REJECTING_S, SERVING_S = 1.0, 1.0
KILL_INTERVAL_S = 2.0
QUERIES_PER_ENTRY = 4
QUERY_PAUSE_S = 0.05
# Ranges of the rate limit of a limited engine and of the backoff of a shedding one.
LIMITS_PER_S = (1.0, 4.0)
BACKOFFS_S = (1.0, 3.0)


class FaultInjector:
    """Inject faults and record when each took place."""

    def __init__(self, testbed: Testbed, operator: Operator):
        self.testbed = testbed
        self.operator = operator
        self.disturbances: list[Disturbance] = []
        self.left_s: dict[str, float] = {}
        self.engine_limits: list[EngineLimit] = []
        self._busy: set[str] = set()

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and return when it is over."""
        handler = HANDLERS[fault.kind]
        begins_s = time.monotonic()
        number = len(self.disturbances)
        # Recorded at once, so that the checks consider a fault that never ends.
        self.disturbances.append(Disturbance(fault.kind, "", begins_s, float("inf")))
        target = await handler(self, fault)
        one = Disturbance(fault.kind, target or "", begins_s, time.monotonic())
        self.disturbances[number] = one

    def _pick(self, things, fault):
        return things[int(fault.pick * len(things))] if things else None

    async def _with_process(self, fault, role, work):
        """Run the work on one process, unless another fault is using that process."""
        node = self._pick(self.testbed.deployment.nodes, fault)
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
        await self.testbed.end(node, role, signal.SIGKILL)
        await anyio.sleep(fault.duration_s)
        self.testbed.restart(node, role)

    async def _stop(self, node, role, fault):
        await self.testbed.end(node, role, signal.SIGTERM)
        self.testbed.restart(node, role)

    async def _freeze(self, node, role, fault):
        self.testbed.signal(node, role, signal.SIGSTOP)
        await anyio.sleep(fault.duration_s)
        self.testbed.signal(node, role, signal.SIGCONT)

    async def _kill_and_wipe(self, node, role, fault):
        await self.testbed.end(node, role, signal.SIGKILL)
        self.testbed.wipe(node)
        await anyio.sleep(fault.duration_s)
        self.testbed.restart(node, role)

    async def _kill_with_torn_log(self, node, role, fault):
        await self.testbed.end(node, role, signal.SIGKILL)
        self.testbed.append_torn_record(node)
        await anyio.sleep(fault.duration_s)
        self.testbed.restart(node, role)

    async def _kill_all(self, fault):
        nodes = self.testbed.deployment.nodes
        for node in nodes:
            await self.testbed.end(node, "control", signal.SIGKILL)
        await anyio.sleep(min(1.0, fault.duration_s))
        for node in nodes:
            self.testbed.restart(node, "control")

    async def _engine_dies(self, fault):
        engine = self._pick(self._spare_engines(), fault)
        if engine is None:
            return ""
        if int(fault.pick * 1000) % 2:
            # Restart it under its name before any process can detect the loss.
            await self.testbed.restart_engine(engine)
            return f"{engine.engine_id} again"
        await self.testbed.remove_engine(engine)
        await anyio.sleep(fault.duration_s)
        await self.testbed.add_engine(engine.service, engine.kind)
        return engine.engine_id

    async def _engine_leaves(self, fault):
        engine = self._pick(self._spare_engines(), fault)
        if engine is None:
            return ""
        replacement = await self.testbed.add_engine(engine.service, engine.kind)
        if int(fault.pick * 1000) % 2:
            await self._sign_off_first(engine)
        else:
            await self._drain_first(engine)
        await self.testbed.remove_engine(engine)
        return f"{engine.engine_id} for {replacement.engine_id}"

    async def _sign_off_first(self, engine):
        """Sign an engine off while it keeps serving, as some engines do."""
        if await self.testbed.deployment.depart(engine):
            self.left_s[engine.engine_id] = time.monotonic()
        await anyio.sleep(LEAVE_S)

    async def _drain_first(self, engine):
        """Drain an engine for a while and then sign it off."""
        engine.is_leaving = True
        with anyio.move_on_after(LEAVE_S):
            while not engine.is_leaving_acknowledged:
                await anyio.sleep(0.02)
            self.left_s[engine.engine_id] = time.monotonic()
        await anyio.sleep(LEAVE_S)
        await self.testbed.deployment.depart(engine)

    async def _crashing_request(self, fault):
        """Send a request that crashes engines to all entries, again and again."""
        body = f"ends engines {fault.pick}".encode()
        answers = self.testbed.crashing[body] = []
        self.testbed.deployment.fleet.crashing.add(body)
        await self._send_crashing(fault, answers, lambda: (body, ()))
        return body.decode()

    async def _crashing_requests(self, fault):
        """Send several requests that crash engines to all entries, at the same time."""
        count = MIN_CULPRITS + int(fault.pick * 1000) % (
            MAX_CULPRITS - MIN_CULPRITS + 1
        )
        until_s = time.monotonic() + fault.duration_s
        async with anyio.create_task_group() as group:
            for number in range(count):
                body = f"ends engines {fault.pick} {number}".encode()
                self.testbed.crashing[body] = []
                self.testbed.deployment.fleet.crashing.add(body)
                for caller in self.testbed.new_callers():
                    group.start_soon(self._repeat_crashing, caller, body, until_s)
            for number in range(SOUND_REQUESTS):
                body = b"sound %d" % number
                for caller in self.testbed.new_callers():
                    group.start_soon(self._repeat_sound, caller, body, until_s)
        return f"{count} requests"

    async def _repeat_crashing(self, caller, body, until_s):
        while time.monotonic() < until_s:
            answer = await caller.ask("stream", self.operator.keys[-1], body)
            if answer is not None:
                self.testbed.crashing[body].append(answer)
            await anyio.sleep(CRASHING_PAUSE_S)
        self._close(caller)

    async def _repeat_sound(self, caller, body, until_s):
        """Repeat a sound request, which is cut with those that crash engines."""
        while time.monotonic() < until_s:
            await caller.ask("stream", self.operator.keys[-1], body)
            await anyio.sleep(CRASHING_PAUSE_S)
        self._close(caller)

    def _close(self, caller):
        caller.close()
        self.testbed.extra_answers += caller.answers

    async def _crashing_part(self, fault):
        """Send unlike requests with a part that crashes engines to all entries."""
        part = f"{int(fault.pick * 2**32):08x}"
        answers = self.testbed.crashing_parts[part] = []
        self.testbed.deployment.fleet.crashing_parts.add(part)
        numbers = itertools.count()
        await self._send_crashing(
            fault, answers, lambda: (f"{part} {next(numbers)}".encode(), (part,))
        )
        return part

    async def _send_crashing(self, fault, answers, make):
        """Send requests with the bodies and parts that are made for them."""
        callers = self.testbed.new_callers()
        until_s = time.monotonic() + fault.duration_s
        turns = itertools.cycle(callers)
        while time.monotonic() < until_s:
            body, parts = make()
            key = self.operator.keys[-1]
            answer = await next(turns).ask("stream", key, body, parts)
            if answer is not None:
                answers.append(answer)
            await anyio.sleep(CRASHING_PAUSE_S)
        for caller in callers:
            self._close(caller)

    async def _engine_limits(self, fault):
        """Announce a rate limit from an engine for some time."""
        engine = self._pick(self._engines_without_backpressure(), fault)
        if engine is None:
            return ""
        engine.limit_per_s = round(_between(LIMITS_PER_S, fault.pick * 10 % 1), 2)
        begins_s, limit_per_s = time.monotonic(), engine.limit_per_s
        await anyio.sleep(fault.duration_s)
        engine.limit_per_s = None
        self.engine_limits.append(
            EngineLimit(engine.engine_id, limit_per_s, begins_s, time.monotonic())
        )
        return f"{engine.engine_id} {limit_per_s} a second"

    async def _engine_sheds(self, fault):
        """Make an engine reject all requests and ask for a backoff for some time."""
        engine = self._pick(self._engines_without_backpressure(), fault)
        if engine is None:
            return ""
        engine.backoff_s = round(_between(BACKOFFS_S, fault.pick * 10 % 1), 2)
        await anyio.sleep(fault.duration_s)
        engine.backoff_s = None
        return engine.engine_id

    async def _engines_reject(self, fault):
        """Make all engines reject in turns with serving, under more queries."""
        until_s = time.monotonic() + fault.duration_s
        # Many, as each waits for a retry while the budget is used up.
        callers = [
            caller
            for _ in range(QUERIES_PER_ENTRY)
            for caller in self.testbed.new_callers()
        ]
        async with anyio.create_task_group() as group:
            for caller in callers:
                group.start_soon(self._send_queries, caller, until_s)
            while time.monotonic() < until_s:
                for engine in self.testbed.engines:
                    engine.is_rejecting = True
                await anyio.sleep(REJECTING_S)
                for engine in self.testbed.engines:
                    engine.is_rejecting = False
                await anyio.sleep(SERVING_S)
        for caller in callers:
            self._close(caller)

    async def _send_queries(self, caller, until_s):
        while time.monotonic() < until_s:
            await caller.ask("query", self.operator.keys[-1])
            await anyio.sleep(QUERY_PAUSE_S)

    async def _kill_each_entry(self, fault):
        """Kill and restart the entries in turn, unless another fault is using them."""
        until_s = time.monotonic() + fault.duration_s
        count = len(self.testbed.deployment.nodes)
        for number in itertools.count():
            if time.monotonic() >= until_s:
                return
            turn = fault._replace(duration_s=0.0, pick=(number % count) / count)
            await self._with_process(turn, "entry", self._kill)
            await anyio.sleep(KILL_INTERVAL_S)

    async def _engine_tells_callers(self, fault):
        """Make an engine announce in its answers that it leaves, and sign off later."""
        engine = self._pick(self._spare_engines(), fault)
        if engine is None:
            return ""
        replacement = await self.testbed.add_engine(engine.service, engine.kind)
        engine.announces_leaving = True
        with anyio.move_on_after(LEAVE_S):
            while engine.leaving_announced_s is None:
                await anyio.sleep(0.02)
            self.left_s[engine.engine_id] = engine.leaving_announced_s
        await anyio.sleep(LEAVE_S)
        await self.testbed.deployment.depart(engine)
        await self.testbed.remove_engine(engine)
        return f"{engine.engine_id} for {replacement.engine_id}"

    async def _client_crowd(self, fault):
        """Let clients that don't behave come to an entry for some time."""
        node = self._pick(self.testbed.deployment.nodes, fault)
        key = self.operator.keys[-1]
        crowd = await crowding.come(node, key, fault.pick, fault.duration_s)
        self.testbed.crowd_ids.update(crowd.request_ids)
        return node.name

    def _engines_without_backpressure(self):
        """Return the spare engines with neither a rate limit nor a backoff."""
        return [
            engine
            for engine in self._spare_engines()
            if engine.limit_per_s is None and engine.backoff_s is None
        ]

    def _spare_engines(self):
        """Return the engines that may be lost without breaking the deployment."""
        found = []
        for service, minimum in (
            ("llm", MIN_MODEL_ENGINES),
            ("desk", MIN_PLAIN_ENGINES),
        ):
            engines = [e for e in self.testbed.engines if e.service == service]
            staying = [e for e in engines if not (e.is_leaving or e.announces_leaving)]
            found += staying if len(staying) > minimum else []
        return found

    async def _link(self, proxies, fault):
        proxy = self._pick(list(proxies.values()), fault)
        proxy.set_mode(fault.mode)
        await anyio.sleep(fault.duration_s)
        proxy.set_mode(Mode.PASS)
        return f"{proxy.listen_address} {fault.mode}"

    async def _sever_engines(self, fault):
        """Let all open connections to engines be silent for good."""
        for proxy in self.testbed.engine_proxies.values():
            proxy.sever()
        await anyio.sleep(fault.duration_s)

    async def _reset(self, proxies, fault):
        proxy = self._pick(list(proxies.values()), fault)
        await proxy.reset()
        return proxy.listen_address


def _between(bounds, share):
    return bounds[0] + share * (bounds[1] - bounds[0])


def _on_process(role, work):
    return lambda injector, fault: injector._with_process(
        fault, role, lambda *args: work(injector, *args)
    )


async def _call_operator(call):
    await call()


HANDLERS = {
    FaultKind.KILL_ENTRY: _on_process("entry", FaultInjector._kill),
    FaultKind.STOP_ENTRY: _on_process("entry", FaultInjector._stop),
    FaultKind.FREEZE_ENTRY: _on_process("entry", FaultInjector._freeze),
    FaultKind.KILL_CONTROL: _on_process("control", FaultInjector._kill),
    FaultKind.STOP_CONTROL: _on_process("control", FaultInjector._stop),
    FaultKind.FREEZE_CONTROL: _on_process("control", FaultInjector._freeze),
    FaultKind.WIPE_CONTROL: _on_process("control", FaultInjector._kill_and_wipe),
    FaultKind.TEAR_CONTROL: _on_process("control", FaultInjector._kill_with_torn_log),
    FaultKind.KILL_ALL_CONTROLS: FaultInjector._kill_all,
    FaultKind.ENGINE_DIES: FaultInjector._engine_dies,
    FaultKind.ENGINE_LEAVES: FaultInjector._engine_leaves,
    FaultKind.ENGINE_LINK: lambda s, f: s._link(s.testbed.engine_proxies, f),
    FaultKind.ENGINE_RESET: lambda s, f: s._reset(s.testbed.engine_proxies, f),
    FaultKind.ENGINES_SEVERED: FaultInjector._sever_engines,
    FaultKind.CALLER_LINK: lambda s, f: s._link(s.testbed.caller_proxies, f),
    FaultKind.CALLER_RESET: lambda s, f: s._reset(s.testbed.caller_proxies, f),
    FaultKind.CHANGE: lambda s, f: _call_operator(s.operator.change),
    FaultKind.RACE: lambda s, f: _call_operator(s.operator.race),
    FaultKind.BAD_CHANGE: lambda s, f: _call_operator(s.operator.send_invalid),
    FaultKind.CRASHING_REQUEST: FaultInjector._crashing_request,
    FaultKind.CRASHING_REQUESTS: FaultInjector._crashing_requests,
    FaultKind.CRASHING_PART: FaultInjector._crashing_part,
    FaultKind.ENGINE_LIMITS: FaultInjector._engine_limits,
    FaultKind.ENGINE_SHEDS: FaultInjector._engine_sheds,
    FaultKind.ENGINE_TELLS_CALLERS: FaultInjector._engine_tells_callers,
    FaultKind.ENGINES_REJECT: FaultInjector._engines_reject,
    FaultKind.KILL_EACH_ENTRY: FaultInjector._kill_each_entry,
    FaultKind.CLIENT_CROWD: FaultInjector._client_crowd,
    FaultKind.REVOKE: lambda s, f: _call_operator(s.operator.revoke),
}
