"""The calls at the control address: heartbeats, departures and the configuration."""

import msgspec
from loguru import logger

from cherryrudder.platform import calls, configuration, engines
from cherryrudder.platform.calls import Call
from cherryrudder.relay.server import Exchange
from cherryrudder.replica.clock import now_s
from cherryrudder.replica.errors import ReplicaError
from cherryrudder.routing import configlog, endpoints

from . import tablesync
from .controlgossip import ControlGossip
from .controlstate import ControlState

# Callers turn to another VM after a second without an answer; this leaves them time
# to hear the reason.
ANSWER_S = 0.85
# Without a confirmation for this long, a VM may be cut off from the others. It then
# sends engines to another one, so that every entry hears of them.
CUT_OFF_S = 1.6
JSON = [(b"content-type", b"application/json")]

log = logger.bind(part="control")


class ControlApi:
    """Answers calls with what one control process knows."""

    def __init__(self, state: ControlState, beats: ControlGossip):
        self.state = state
        self.beats = beats

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        request = exchange.request
        target = request.target.decode("latin-1")
        asked = calls.parse_call(request.method.decode(), target)
        if asked is None:
            await _fail(exchange, 404, "no such call")
        elif asked.call is Call.HEARTBEAT:
            await self._heartbeat(exchange, asked.engine_name)
        elif asked.call is Call.DEPART:
            await self._depart(exchange, asked.engine_name)
        elif asked.call is Call.REPLACE_CONFIGURATION:
            await self._replace(exchange)
        else:
            await self._read(exchange)

    def _is_cut_off(self):
        return now_s() - self.state.confirmed_s > CUT_OFF_S

    async def _heartbeat(self, exchange, name):
        result = engines.read_heartbeat(name, exchange.request.body)
        if result.is_error():
            await self._refuse_malformed(exchange, name, 400, result.error)
            return
        heard = result.ok
        if not self.state.has_service(heard.service):
            # Believed, it would take an address away from the endpoint that is there.
            # A service that is yet to be configured is heard with the next heartbeat.
            await self._refuse_malformed(exchange, name, 503, "no such service")
            return
        if tablesync.record_heartbeat(self.state.endpoints, heard, now_s()):
            self._log_endpoint("endpoint", heard)
            self.beats.publish_endpoints([heard.engine_id])
        if self._is_cut_off():
            # Heard all the same; but the others should hear it, too. Were it content
            # here, they would take it for lost, and its layers for a hole.
            await _fail(exchange, 503, "cut off from the other control VMs")
            return
        await exchange.answer(200, JSON, engines.HEARTBEAT_ANSWER)

    async def _refuse_malformed(self, exchange, name, status, error):
        self.state.sink.write(
            "control", "bad-heartbeat", engine_name=name, error=error, status=status
        )
        await _fail(exchange, status, error)

    async def _depart(self, exchange, name):
        result = engines.read_departure(name, exchange.request.body)
        if result.is_error():
            await self._refuse_malformed(exchange, name, 400, result.error)
            return
        # Without its start, the notice is of the incarnation known by that name.
        known = endpoints.newest_incarnation(self.state.endpoints.table, name)
        engine_id = result.ok or known or name
        if tablesync.sign_off(self.state.endpoints, engine_id, now_s()):
            is_gone = self.state.endpoints.table.entries[engine_id].is_gone
            event = "endpoint-gone" if is_gone else "endpoint-signed-off"
            self.state.sink.write("control", event, True, engine_id=engine_id)
            self.beats.publish_endpoints([engine_id])
        if self._is_cut_off():
            await _fail(exchange, 503, "cut off from the other control VMs")
            return
        await exchange.answer(200, JSON, engines.HEARTBEAT_ANSWER)

    def _log_endpoint(self, event, heard):
        self.state.sink.write(
            "control",
            event,
            True,
            engine_id=heard.engine_id,
            service=heard.service,
            address=heard.address,
            vm_zone=heard.vm_zone,
            kind=heard.kind,
            is_leaving=endpoints.has_leaving_notice(heard),
            layers=list(heard.holding),
            number=heard.number,
        )

    async def _replace(self, exchange):
        body = exchange.request.body
        result = configuration.read_configuration(body)
        if result.is_error():
            self.state.sink.write("control", "config-refused", True, error=result.error)
            await _fail(exchange, 400, result.error)
            return
        version = result.ok.version
        status, outcome = await self._accept(version, body.decode())
        self.state.sink.write(
            "control", "config", True, version=version, outcome=outcome, status=status
        )
        if status == 200:
            await exchange.answer(200, JSON, b"{}")
        else:
            await _fail(exchange, status, outcome)

    async def _accept(self, version, text):
        """Return the status for a checked configuration, and what became of it."""
        voter = self.state.voter
        if voter is None:
            return 503, "the log is not open"
        if version < voter.state.version:
            # Applied here means committed: nothing lower can take effect any more.
            return 200, configlog.PutResult.SUPERSEDED
        try:
            payload = configlog.encode(configlog.Put(version, configlog.pack(text)))
            outcome = await voter.propose(payload, ANSWER_S)
        except ReplicaError as error:
            return 503, str(error)
        # The operators' rule is that a version that isn't higher is acknowledged and
        # changes nothing; this holds for other content under the version held as well.
        return 200, outcome

    async def _read(self, exchange):
        voter = self.state.voter
        try:
            if voter is None:
                await _fail(exchange, 503, "the log is not open")
                return
            await voter.wait_for_read_index(ANSWER_S)
        except ReplicaError as error:
            self.state.sink.write("control", "read-unconfirmed", True, error=str(error))
            await _fail(exchange, 503, str(error))
            return
        if not voter.state.version:
            await _fail(exchange, 503, "no configuration was accepted yet")
            return
        await exchange.answer(200, JSON, voter.state.text.encode())


async def _fail(exchange, status, reason):
    log.debug("A call was answered with {}: {}.", status, reason)
    body = msgspec.json.encode({"error": reason})
    await exchange.answer(status, JSON, body)
