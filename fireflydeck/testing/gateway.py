"""Test bench of a gateway in front of a fake dispatcher."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpx
from attrs import define

from fireflydeck.core import Organisation, Queue, SystemClock
from fireflydeck.gateway import Gateway, GatewayOptions, Router, gateway_app, hash_key
from fireflydeck.kernel import EventLog, Metrics, Registry
from fireflydeck.testing.builders import build_configuration
from fireflydeck.testing.peers import FakeConfigurationView, PeerBench, run_peers
from fireflydeck.web import HttpServer, HttpServerOptions

__all__ = [
    "AUTHORIZATION_HEADER",
    "KEY",
    "MAX_BODY_BYTES",
    "GatewayBench",
    "chunks",
    "authorized_headers",
    "run_gateway",
]

KEY = "key-of-the-museum"
AUTHORIZATION_HEADER = {"authorization": f"Bearer {KEY}"}
MAX_BODY_BYTES = 1_000
"""Body size limit in bytes for the requests of the tests."""


def authorized_headers(**headers: str) -> dict[str, str]:
    """Return headers with the API key; underscores in names are replaced by hyphens."""
    return {
        **AUTHORIZATION_HEADER,
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }


async def chunks(size: int, count: int) -> AsyncIterator[bytes]:
    """Yield a body as `count` chunks of `size` bytes."""
    for _ in range(count):
        yield bytes(size)


@define(kw_only=True)
class GatewayBench:
    """A running gateway, its HTTP server and the peers behind it."""

    gateway: Gateway
    peers: PeerBench
    view: FakeConfigurationView
    metrics: Metrics
    http: HttpServer
    port: int

    def client(self, *, http2: bool = False, **options: Any) -> httpx.AsyncClient:
        return httpx.AsyncClient(
            base_url=f"http://127.0.0.1:{self.port}",
            http1=not http2,
            http2=http2,
            trust_env=False,
            **options,
        )


def build_gateway_configuration(*entities: Any, version: int = 1) -> Any:
    """Return a configuration with a queue that requires a key, an open queue and one key."""
    return build_configuration(
        Organisation(name="museum", key_hashes=(hash_key(KEY),)),
        Queue(name="visitors", pool="records", open_to_all=True),
        *entities,
        version=version,
    )


@asynccontextmanager
async def run_gateway(jobs_app: Any = None, **options: Any) -> AsyncIterator[GatewayBench]:
    clock = SystemClock()
    metrics = Metrics()
    async with run_peers() as peers:
        view = FakeConfigurationView(build_gateway_configuration(peers.member))
        router = Router(peers=peers.client, view=view, clock=clock, log=EventLog(), metrics=metrics)
        gateway = Gateway(
            view=view,
            router=router,
            clock=clock,
            log=EventLog(),
            metrics=metrics,
            options=GatewayOptions(name="gateway-1", **options),
            jobs_app=jobs_app,
        )
        async with _run_http(gateway) as (http, port):
            yield GatewayBench(
                gateway=gateway, peers=peers, view=view, metrics=metrics, http=http, port=port
            )


@asynccontextmanager
async def _run_http(gateway: Gateway) -> AsyncIterator[tuple[HttpServer, int]]:
    options = HttpServerOptions(address="127.0.0.1:0", graceful_timeout_ms=100)
    http = HttpServer("http", gateway_app(gateway), options)
    async with anyio.create_task_group() as tasks:
        await http.start(Registry(), tasks)
        yield http, int(http.address.rpartition(":")[2])
        await http.stop()
