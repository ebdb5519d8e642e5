"""Steps that end with an error: what else their process does goes on."""

import socket
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
from builders import PipedSink, a_control, a_model, a_state, an_announcement
from test_chainscheduler import CHAIN, a_request

from cherryrudder.layers import planner
from cherryrudder.layers.profile import MAX_LAYERS
from cherryrudder.node import httpserver, layercontroller, request_handler, tablesync
from cherryrudder.node.chainscheduler import ChainScheduler
from cherryrudder.node.httpserver import HttpServer
from cherryrudder.node.layercontroller import LayerController
from cherryrudder.node.request_handler import RequestHandler
from cherryrudder.platform.messages import read_request
from cherryrudder.relay.client import open_connection
from cherryrudder.relay.errors import ClientGone, ConnectFailed
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.authorization import Admitted
from cherryrudder.routing.configuration import (
    DEFAULT_LIMITS,
    Account,
    Configuration,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from cherryrudder.routing.routetable import RouteTable


def raise_error(*_):
    raise ZeroDivisionError("a step fails")


def fail_for_first(model, states):
    if model.layers == 8:
        raise ZeroDivisionError("a step fails")
    return []


def free_address():
    """Return an unused address on loopback."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


async def connect(address):
    """Return a connection to a server that is starting."""
    with anyio.fail_after(5.0):
        while True:
            try:
                return await open_connection(address, 1.0, 0.0)
            except ConnectFailed:
                await anyio.sleep(0.01)


class PlanTest(unittest.TestCase):
    def run_reviews(self, services, plan):
        """Return the planner's calls by layers, and the process's metrics."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_control(piped.sink, "10.0.0.1")
        state.is_leader = lambda: True
        state.services = lambda: services
        for service in services:
            announcement = an_announcement(
                f"e-{service.name}", layers=(0, 8), service=service.name
            )
            tablesync.record_heartbeat(state.endpoints, announcement, now_s())
        calls = []

        def record(model, states):
            calls.append(model.layers)
            return plan(model, states)

        async def run():
            async with anyio.create_task_group() as group:
                controller = LayerController(state, None, group)
                controller._started_s = float("-inf")
                group.start_soon(controller.run)
                with anyio.move_on_after(5.0):
                    while calls.count(services[-1].model.layers) < 3:
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()

        with (
            mock.patch.object(planner, "plan", record),
            mock.patch.object(layercontroller, "REVIEW_INTERVAL_S", 0.01),
        ):
            anyio.run(run)
        return calls, state.metrics.render().decode()

    def test_one_service_that_cannot_be_planned_costs_its_own_plan(self):
        """Guards against an error in a plan that ends its process."""
        services = [
            Service(name, "/health", 0, a_model(layers))
            for name, layers in (("bad", 8), ("good", 16))
        ]
        calls, metrics = self.run_reviews(services, fail_for_first)
        self.assertGreaterEqual(calls.count(16), 3)
        self.assertIn('failed_steps_total{step="plan"}', metrics)

    def test_a_held_model_beyond_the_bounds_is_not_planned(self):
        """Guards against a plan without an end after a start from an old disk."""
        services = [
            Service(name, "/health", 0, a_model(layers))
            for name, layers in (("huge", 10**9), ("wrong", -8), ("good", 16))
        ]
        calls, _ = self.run_reviews(services, lambda model, states: [])
        self.assertEqual(set(calls), {16})


class SeveralServicesTest(unittest.TestCase):
    def a_controller(self, *names):
        """Return a controller of services with one empty engine each, and these."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_control(piped.sink, "10.0.0.1")
        controller = LayerController(state, None, None)
        services = [Service(name, "/health", 0, a_model(8)) for name in names]
        for service in services:
            announcement = an_announcement(f"e-{service.name}", service=service.name)
            tablesync.record_heartbeat(state.endpoints, announcement, now_s())
        return controller, services

    def test_each_service_gets_its_first_plan(self):
        """Guards against services that count as changing because there are others."""
        controller, services = self.a_controller("one", "two")
        planned = []

        async def review(at_s):
            with (
                mock.patch.object(layercontroller, "now_s", lambda: at_s),
                mock.patch.object(
                    planner, "plan", lambda model, states: planned.append(states) or []
                ),
            ):
                for service in services:
                    await controller._review(service)

        start_s = now_s()
        for step in range(3):
            anyio.run(review, start_s + step)
        self.assertEqual(
            {state.engine_id for states in planned for state in states},
            {"e-one", "e-two"},
        )
        self.assertFalse(any(state.is_fresh for state in planned[-1]))

    def test_an_order_ends_with_the_model_that_its_time_limit_is_from(self):
        """Guards against an engine that counts as loading for years."""
        controller, (service,) = self.a_controller("one")
        live = [an_announcement("e-one", service="one")]
        controller._drop_outdated(service, live)
        controller._pending["e-one"] = layercontroller.PendingOrder(
            layercontroller.NO_LAYERS, float("inf")
        )
        controller._drop_outdated(service, live)
        self.assertIn("e-one", controller._pending)
        mended = service._replace(model=service.model._replace(load_s=1.0))
        controller._drop_outdated(mended, live)
        self.assertNotIn("e-one", controller._pending)


class SchedulerTest(unittest.TestCase):
    def test_a_search_that_fails_ends_its_own_stream_alone(self):
        """Guards against an error in one search that ends its process."""

        async def run():
            scheduler, found = ChainScheduler(), {}
            rooms = iter([None, None, CHAIN])

            async def find(name, search):
                try:
                    found[name] = await scheduler.find_chain(
                        a_request(name), search, True
                    )
                except ZeroDivisionError as error:
                    found[name] = error

            searches = iter([lambda: None, raise_error, raise_error])
            async with anyio.create_task_group() as group:
                group.start_soon(scheduler.run)
                group.start_soon(find, "bad", lambda: next(searches)())
                group.start_soon(find, "good", lambda: next(rooms))
                with anyio.move_on_after(5.0):
                    while len(found) < 2:
                        await anyio.sleep(0.005)
                group.cancel_scope.cancel()
            return found, scheduler

        found, scheduler = anyio.run(run)
        self.assertIsInstance(found["bad"], ZeroDivisionError)
        self.assertEqual(found["good"], CHAIN)
        self.assertFalse(scheduler.queue.waiting)


class RequestTest(unittest.TestCase):
    """Guard against a request that was read and is closed without an answer."""

    def handle(self, serve, model=None):
        """Return the answers to a request that is served by `serve`."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_state(piped.sink)
        answers = []

        async def answer(status, headers, body=b""):
            answers.append((status, dict(headers)))

        request = SimpleNamespace(
            headers=[(b"host", b"h"), (b"request-id", b"r-1")],
            method=b"POST",
            target=b"/a/x",
            body=b"",
            arrived_s=now_s(),
        )
        exchange = SimpleNamespace(
            request=request,
            answer=answer,
            has_begun=False,
            is_gone=False,
            connection=SimpleNamespace(dropped_for=None),
        )
        route = Route(
            "r", "h", "/a/", RouteKind.SAFE, 5.0, 0.5, 0.2, 1,
            (WeightedService("s", 1.0),), 2, True, False, False,
        )  # fmt: skip
        services = (Service("s", "/health", 0, model),)
        accounts: tuple[Account, ...] = ()
        state.table = RouteTable(
            Configuration(7, (route,), services, accounts, DEFAULT_LIMITS)
        )
        handler = RequestHandler(state, SimpleNamespace(group=None, publish_crashes=0))

        async def decide(exchange, facts):
            return Admitted(route, "", route.priority)

        handler._decide = decide

        async def run():
            with (
                mock.patch.object(request_handler.plainrelay, "serve", serve),
                mock.patch.object(
                    request_handler.crashes, "confirm_block", mock.AsyncMock()
                ) as block,
            ):
                block.return_value = False
                await handler.handle(exchange)

        self.assertEqual(read_request(request.headers).request_id, "r-1")
        anyio.run(run)
        return answers

    def test_a_request_that_was_not_sent_is_refused_as_not_run(self):
        async def serve(job, publish):
            raise_error()

        ((status, headers),) = self.handle(serve)
        self.assertEqual((status, headers[b"request-id"]), (503, b"r-1"))
        self.assertIn(b"retry-after", headers)

    def test_a_request_that_was_sent_gets_no_promise(self):
        async def serve(job, publish):
            job.attempts = 1
            raise_error()

        ((status, _),) = self.handle(serve)
        self.assertEqual(status, 502)

    def test_an_answer_that_has_begun_gets_no_second_head(self):
        async def serve(job, publish):
            job.exchange.has_begun = True
            raise_error()

        self.assertEqual(self.handle(serve), [])

    def test_a_client_that_has_left_gets_nothing(self):
        async def serve(job, publish):
            raise ClientGone("the client has gone")

        with self.assertRaises(ClientGone):
            self.handle(serve)

    def test_a_model_that_cannot_be_planned_is_refused_at_once(self):
        """Guards against requests that wait for layers that no plan can spread."""
        for layers in (-1, MAX_LAYERS + 1, 10**9):
            with self.subTest(layers=layers):
                ((status, headers),) = self.handle(None, a_model(layers))
                self.assertEqual(status, 503)
                self.assertIn(b"retry-after", headers)


class ServerTest(unittest.TestCase):
    def test_a_call_whose_handler_fails_is_answered(self):
        """Guards against a call that ends with its connection and no answer."""

        async def fail(exchange):
            raise_error()

        async def run():
            async with anyio.create_task_group() as group:
                address = free_address()
                group.start_soon(httpserver.serve, HttpServer(fail), address)
                connection = await connect(address)
                await connection.send(b"GET", b"/", [(b"host", b"h")], b"")
                head = await connection.read_head(2.0)
                connection.close()
                group.cancel_scope.cancel()
            return head.status

        self.assertEqual(anyio.run(run), 500)


if __name__ == "__main__":
    unittest.main()
