"""Commands that run the stand-ins."""

import anyio

__all__ = ["StandinCommands"]


class StandinCommands:
    """Stand-ins for tests and the demo; not for production."""

    def platform(self, listen: str) -> None:
        """Serve the table service, the object store and the VM list.

        Parameters
        ----------
        listen
            Address to listen on, such as 127.0.0.1:7000.
        """
        from fireflydeck.standins.runner import run_platform  # noqa: PLC0415

        anyio.run(run_platform, listen)

    def backend_servers(self, sheet: str) -> None:
        """Serve a backend server for every VM row of a sheet, in one process.

        Parameters
        ----------
        sheet
            Path of the sheet.
        """
        from fireflydeck.standins.runner import run_backend_servers  # noqa: PLC0415
        from fireflydeck.standins.specs import specs_of_sheet  # noqa: PLC0415

        anyio.run(run_backend_servers, specs_of_sheet(sheet))
