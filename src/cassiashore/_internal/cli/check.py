"""``cassiashore check``: checks a settings or catalogue file."""

from __future__ import annotations

from cassiashore._internal.catalogue.schema import CatalogueSpec
from cassiashore._internal.cli.output import EXIT_USAGE, fail, print_line
from cassiashore._internal.exceptions import InvalidFileError
from cassiashore._internal.routing.policies import policy_by_name
from cassiashore._internal.settings import EntrySettings
from cassiashore._internal.validation import load_model, read_yaml


def run_check(file: str) -> None:
    """Check a file; print one line per fault and exit with 2 if there is any."""
    try:
        document = read_yaml(file)
        if isinstance(document, dict) and "instance" in document:
            settings = load_model(file, EntrySettings)
            print_line(f"{file}: settings of instance {settings.instance} are valid")
            return
        spec = load_catalogue(file)
    except InvalidFileError as error:
        fail("\n".join(error.faults), EXIT_USAGE)
    targets = sum(len(service.targets) for service in spec.services)
    print_line(f"{file}: catalogue with {len(spec.services)} services, {targets} targets is valid")


def load_catalogue(file: str) -> CatalogueSpec:
    """Read a catalogue file; raise ``InvalidFileError`` with every fault found."""
    spec = load_model(file, CatalogueSpec)
    allowed = ", ".join(sorted(policy_by_name))
    faults = [
        f'{file}: services.{i}.policy: "{service.policy}" is not a policy; allowed: {allowed}'
        for i, service in enumerate(spec.services)
        if service.policy not in policy_by_name
    ]
    if faults:
        raise InvalidFileError(faults)
    return spec
