"""Exceptions raised by cassiashore.

Expected outcomes travel as ``result.Result`` values. The classes here are either raised across a
library callback boundary, where a value cannot be returned, or mark a broken invariant.
"""


class CassiashoreError(Exception):
    """Base class of every exception that cassiashore raises."""


class InvariantError(CassiashoreError):
    """Report a broken internal invariant; the process must stop."""


class InvalidFileError(CassiashoreError):
    """Report a settings or catalogue file that cannot be used.

    ``faults`` holds one line per fault, each naming the file and the field.
    """

    def __init__(self, faults: list[str]) -> None:
        """Keep the fault lines in the order in which they were found."""
        super().__init__("\n".join(faults))
        self.faults = faults


class ConnectionLostError(CassiashoreError):
    """Report that an HTTP connection closed before the exchange was complete."""


class ProtocolViolationError(CassiashoreError):
    """Report bytes from another process that do not follow the agreed protocol."""


class ResponseAbortedError(CassiashoreError):
    """Abort an answer whose head was already sent, so that the caller sees it as incomplete."""
