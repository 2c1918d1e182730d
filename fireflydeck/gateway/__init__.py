"""The HTTP interface for callers: admission, routing to dispatchers and answers."""

from fireflydeck.gateway.keys import KeyRing, hash_key
from fireflydeck.gateway.options import GatewayOptions
from fireflydeck.gateway.problem import make_problem
from fireflydeck.gateway.router import Router, RouterOptions
from fireflydeck.gateway.service import Gateway, gateway_app

__all__ = [
    "Gateway",
    "GatewayOptions",
    "KeyRing",
    "Router",
    "RouterOptions",
    "gateway_app",
    "hash_key",
    "make_problem",
]
