"""HTTP servers of a process: server with graceful stop, metrics and the state dump."""

from fireflydeck.web.admin import admin_app
from fireflydeck.web.http_server import HttpServer, HttpServerOptions

__all__ = ["HttpServer", "HttpServerOptions", "admin_app"]
