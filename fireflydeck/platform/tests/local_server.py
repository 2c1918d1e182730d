"""Test server on a free loopback port."""

from contextlib import asynccontextmanager

from aiohttp import web


@asynccontextmanager
async def local_server(handler):
    """Serve `handler` until the block ends and yield the address."""
    runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0]
    try:
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()
