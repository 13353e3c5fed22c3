"""The command line, as ``fire`` presents it.

Commands import what they need when they run, so that a short command starts fast.
"""

from __future__ import annotations

import os
from typing import Any

import fire

# libuv may use io_uring, which this system does not; an event loop reads this when it is created.
os.environ["UV_USE_IO_URING"] = "0"


class Cassiashore:
    """Global traffic steering: look-ups, proxying, and limits that hold when sites fail."""

    def entry(self, settings: str) -> None:
        """Run an instance with the settings in a YAML file, until SIGTERM."""
        from cassiashore._internal.cli.entry import run_entry

        run_entry(settings)

    def check(self, file: str) -> None:
        """Check a settings or catalogue file: exit 0, or 2 with one line per fault."""
        from cassiashore._internal.cli.check import run_check

        run_check(file)

    def catalogue(self, instance: str, key_file: str) -> Any:
        """Show, compare or change the catalogue: show, diff FILE, apply FILE, history.

        Example: cassiashore catalogue --instance 127.0.0.1:8080 --key-file operator.key show
        """
        from cassiashore._internal.cli.catalogue import CatalogueCommands

        return CatalogueCommands(instance, key_file)

    def drain(
        self,
        kind: str,
        name: str,
        instance: str,
        key_file: str,
        service: str | None = None,
        reason: str = "",
        force: bool = False,
    ) -> None:
        """Drain a target, an instance or a failure-domain, unless the rest would be overloaded.

        Example: cassiashore drain target orders-3 --service orders --instance IP:PORT
        --key-file FILE
        """
        from cassiashore._internal.cli.drain import run_drain

        run_drain(kind, name, instance, key_file, service, reason, force)

    def undrain(
        self, kind: str, name: str, instance: str, key_file: str, service: str | None = None
    ) -> None:
        """End a drain."""
        from cassiashore._internal.cli.drain import run_undrain

        run_undrain(kind, name, instance, key_file, service)

    def status(self, instance: str, key_file: str, json: bool = False) -> None:
        """Print the version in force and its reach, headroom, and drains with time left."""
        from cassiashore._internal.cli.status import run_status

        run_status(instance, key_file, json)

    def lookup(
        self, service: str, instance: str, client: str | None = None, json: bool = False
    ) -> None:
        """Ask which instances to use for a service, for a client address."""
        from cassiashore._internal.cli.status import run_lookup

        run_lookup(service, instance, client, json)

    def standin(self) -> Any:
        """Run stand-ins for trials: store --listen IP:PORT, targets --file FILE."""
        from cassiashore._internal.cli.standin import StandinCommands

        return StandinCommands()

    def version(self) -> str:
        """Print the version of the program."""
        from cassiashore import __version__

        return __version__


def main() -> None:
    """Run the command line."""
    fire.Fire(Cassiashore, name="cassiashore")
