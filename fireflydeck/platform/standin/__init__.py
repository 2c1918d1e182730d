"""In-memory servers that implement the platform's protocol, for tests and demonstrations."""

from fireflydeck.platform.standin.backend_server_app import BackendServerApp
from fireflydeck.platform.standin.http_fault import HttpFault, HttpFaults
from fireflydeck.platform.standin.store_app import StoreApp
from fireflydeck.platform.standin.vm_app import VmApp

__all__ = ["HttpFault", "HttpFaults", "BackendServerApp", "StoreApp", "VmApp"]
