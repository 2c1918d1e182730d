"""Client of the platform's VM interface: list of VMs, moves between pools and maintenance."""

from collections.abc import Mapping
from typing import Any

from expression import Error, Ok, Result

from fireflydeck.core import Failure, Ran, Reason
from fireflydeck.core.vm_orders import ListedVm, ListedVmState, VmOperationOutcome, VmOrders
from fireflydeck.platform.documents import decode_resources, find_rack_label
from fireflydeck.platform.fields import FIELD_ERRORS, string, strings
from fireflydeck.platform.json_http_client import JsonHttpClient

__all__ = ["VmClient", "decode_vm"]

_MAX_CONNECTIONS = 4
_OK = 200
_CONFLICT = 409
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_OUTCOMES_BY_STATUS = {_OK: VmOperationOutcome.TAKEN, 400: VmOperationOutcome.INVALID}
_STATES_BY_WIRE_NAME = {
    "up": ListedVmState.UP,
    "moving": ListedVmState.MOVING,
    "upkeep": ListedVmState.MAINTENANCE,
    "down": ListedVmState.DOWN,
}
_OUTCOMES_BY_REASON = {
    "fence": VmOperationOutcome.FENCED,
    "busy": VmOperationOutcome.BUSY,
    "wave": VmOperationOutcome.OTHER_WAVE,
}


class VmClient(VmOrders):
    """Client of the platform's VM interface.

    Parameters
    ----------
    address
        ``ip:port`` of the platform's VM interface.
    holder
        Name of this process, which is sent with each order.
    """

    def __init__(self, address: str, holder: str) -> None:
        self._http = JsonHttpClient(
            address, failure_reason=Reason.NO_CAPACITY, max_connections=_MAX_CONNECTIONS
        )
        self._holder = holder

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def list_vms(self, *, timeout_ms: int) -> Result[tuple[ListedVm, ...], Failure]:
        """Return all VMs.

        Parameters
        ----------
        timeout_ms
            Timeout of each page of the list.
        """
        vms: list[ListedVm] = []
        page = ""
        while True:
            answer = await self._http.exchange(
                "GET",
                "/-/machines",
                step="vms.list",
                timeout_ms=timeout_ms,
                params={"page_token": page} if page else None,
            )
            if answer.is_error():
                return Error(answer.error)
            if answer.ok.status != _OK:
                return Error(self._failure("list", answer.ok.status))
            try:
                vms.extend(decode_vm(item) for item in answer.ok.body["machines"])
            except FIELD_ERRORS:
                return Error(self._failure("list", answer.ok.status))
            page = answer.ok.text("next_page_token")
            if not page:
                return Ok(tuple(vms))

    async def move(
        self, *, vm: str, pool: str, fencing_token: int, timeout_ms: int
    ) -> Result[VmOperationOutcome, Failure]:
        """Move a VM to a pool; this ends all work on the VM immediately."""
        body = {"machine": vm, "pool": pool}
        return await self._send_operation("machine-move", body, fencing_token, timeout_ms)

    async def start_maintenance(
        self, *, vm: str, wave: int, fencing_token: int, timeout_ms: int
    ) -> Result[VmOperationOutcome, Failure]:
        """Take a VM down for maintenance; this ends all work on the VM immediately."""
        body = {"machine": vm, "maintenance_wave": wave}
        return await self._send_operation("machine-upkeep", body, fencing_token, timeout_ms)

    async def _send_operation(
        self, call: str, body: Mapping[str, Any], fencing_token: int, timeout_ms: int
    ) -> Result[VmOperationOutcome, Failure]:
        answer = await self._http.exchange(
            "POST",
            f"/-/{call}",
            step=f"vms.{call}",
            timeout_ms=timeout_ms,
            body=body,
            headers={"X-Duty-Holder": self._holder, "X-Fencing-Token": str(fencing_token)},
        )
        if answer.is_error():
            return Error(answer.error)
        if answer.ok.status == _CONFLICT:
            outcome = _OUTCOMES_BY_REASON.get(answer.ok.text("reason"))
        else:
            outcome = _OUTCOMES_BY_STATUS.get(answer.ok.status)
        return Error(self._failure(call, answer.ok.status)) if outcome is None else Ok(outcome)

    def _failure(self, step: str, status: int) -> Failure:
        refused = status in (_TOO_MANY_REQUESTS, _UNAVAILABLE)
        return Failure(
            Reason.NO_CAPACITY,
            f"vms.{step}",
            peer=self._http.address,
            detail=f"status {status}",
            ran=Ran.NO if refused else Ran.UNKNOWN,
        )


def decode_vm(item: Mapping[str, Any]) -> ListedVm:
    """Decode an entry of the list of VMs.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError
        If a field is missing or invalid.
    """
    labels = strings(item.get("labels", []))
    return ListedVm(
        name=string(item["machine"]),
        pool=string(item["pool"]),
        state=_STATES_BY_WIRE_NAME[item["state"]],
        data_centre=string(item["zone"]),
        rack=find_rack_label(labels),
        capacity=decode_resources(item["capacity"]),
        server_id=string(item.get("id") or ""),
        labels=frozenset(labels),
    )
