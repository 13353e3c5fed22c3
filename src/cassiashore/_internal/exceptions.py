"""Exceptions raised by cassiashore.

Expected outcomes are returned as ``result.Result`` values. The exceptions here either report a
broken invariant, or are raised through a library callback, which cannot return a value.
"""


class CassiashoreError(Exception):
    """Base class of every exception that cassiashore raises."""


class InvariantError(CassiashoreError):
    """A broken internal invariant; the process must stop."""


class InvalidFileError(CassiashoreError):
    """A settings or catalogue file is invalid or cannot be read.

    ``faults`` has one line per fault, each naming the file and the field.
    """

    def __init__(self, faults: list[str]) -> None:
        """Keep the fault lines in the given order."""
        super().__init__("\n".join(faults))
        self.faults = faults


class ConnectionLostError(CassiashoreError):
    """An HTTP connection closed before the response was complete."""


class ProtocolViolationError(CassiashoreError):
    """Another process sent bytes that violate the protocol."""


class ResponseAbortedError(CassiashoreError):
    """Aborts a response whose head was already sent, so that the caller sees it as incomplete."""
