"""The command line, built with ``fire``.

Each command imports its module only when it runs, so that short commands start fast.
"""

from __future__ import annotations

import os
from typing import Any

import fire

# Keeps libuv from using io_uring. libuv reads this when an event loop is created.
os.environ["UV_USE_IO_URING"] = "0"


class Cassiashore:
    """Global traffic steering: look-ups, proxying, and limits that hold when sites fail."""

    def entry(self, settings: str) -> None:
        """Run an instance, until SIGTERM.

        Args:
            settings: YAML file with the settings; examples/vandermolen.yaml shows a catalogue and
                docs/OPERATIONS.md the fields of the settings.
        """
        from cassiashore._internal.cli.entry import run_entry

        run_entry(settings)

    def check(self, file: str) -> None:
        """Check a settings or catalogue file: exit 0, or 2 with one line per fault.

        Args:
            file: YAML file; its fields tell which kind of file it is.
        """
        from cassiashore._internal.cli.check import run_check

        run_check(file)

    def catalogue(self, instance: str, key_file: str) -> Any:
        """Show, compare or change the catalogue: show, diff FILE, apply FILE, history.

        Example: cassiashore catalogue --instance 127.0.0.1:8080 --key-file operator.key show

        Args:
            instance: IP:PORT of any instance.
            key_file: file with the operators' key.
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

        Args:
            kind: target, instance or failure-domain.
            name: what to drain.
            instance: IP:PORT of any instance.
            key_file: file with the operators' key.
            service: the target's service; only for a target.
            reason: text that others see in the status.
            force: drain although the rest would be overloaded.
        """
        from cassiashore._internal.cli.drain import run_drain

        run_drain(kind, name, instance, key_file, service, reason, force)

    def undrain(
        self, kind: str, name: str, instance: str, key_file: str, service: str | None = None
    ) -> None:
        """End a drain.

        Args:
            kind: target, instance or failure-domain.
            name: what was drained.
            instance: IP:PORT of any instance.
            key_file: file with the operators' key.
            service: the target's service; only for a target.
        """
        from cassiashore._internal.cli.drain import run_undrain

        run_undrain(kind, name, instance, key_file, service)

    def status(self, instance: str, key_file: str, json: bool = False) -> None:
        """Print the version in force and its reach, headroom, and drains with time left.

        Args:
            instance: IP:PORT of any instance.
            key_file: file with the operators' key.
            json: print JSON for programs.
        """
        from cassiashore._internal.cli.status import run_status

        run_status(instance, key_file, json)

    def lookup(
        self, service: str, instance: str, client: str | None = None, json: bool = False
    ) -> None:
        """Ask which instances to use for a service.

        Args:
            service: name of the service.
            instance: IP:PORT of any instance.
            client: IP address of the caller; the asking address if left out.
            json: print JSON for programs.
        """
        from cassiashore._internal.cli.status import run_lookup

        run_lookup(service, instance, client, json)

    def standin(self) -> Any:
        """Run stand-ins for trials: store --listen IP:PORT, targets --file FILE."""
        from cassiashore._internal.cli.standin import StandinCommands

        return StandinCommands()

    def explain(self, *logs: str, request: str) -> None:
        """Print what instances decided about one request, and why.

        Example: cassiashore explain instance-1.log instance-2.log --request 9c41d07be2a35f68

        Args:
            logs: log files of instances, of which more than one may know the request.
            request: the request's id.
        """
        from cassiashore._internal.cli.explain import run_explain

        run_explain(list(logs), request)

    def version(self) -> str:
        """Print the version of the program."""
        from cassiashore import __version__

        return __version__


def main() -> None:
    """Run the command line."""
    fire.Fire(Cassiashore(), name="cassiashore")
