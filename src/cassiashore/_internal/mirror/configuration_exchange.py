"""Passes a configuration that the store lost to instances that do not have it.

Failure: the store is restored from a copy without the newest configuration. Running instances keep
the one in force, but an instance that starts now, or that had not received the newest one, reads an
older one from the store, until operators write theirs again. Therefore instances that have a newer
one offer its version over the streams between instances. The value is only sent on request, since
it may have 1 MB and hundreds of instances may offer it.
"""

from __future__ import annotations

from collections.abc import Callable

from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import (
    ConfigurationContent,
    ConfigurationOffer,
    ConfigurationRequest,
    FeedHeartbeat,
)

# An answer of 1 MB arrives within this time over a link of ten megabits.
REQUEST_INTERVAL_SECONDS = 1.0

ConfigurationMessage = ConfigurationOffer | ConfigurationRequest | ConfigurationContent


class ConfigurationExchange:
    """The configuration in force at this instance, and its exchange with other instances."""

    def __init__(self, mirror: StoreMirror, monotonic: Callable[[], float]) -> None:
        """Create an exchange without a configuration; ``apply`` is called with received ones."""
        self.apply: Callable[[bytes], None] = lambda value: None
        self.version = 0
        self._key = ""
        self._value = b""
        self._mirror = mirror
        self._monotonic = monotonic
        self._requested_at = float("-inf")

    def record_in_force(self, key: str, version: int, value: bytes) -> None:
        """Record the configuration that this instance uses, and its key in the store."""
        self._key, self.version, self._value = key, version, value

    def offered_version(self) -> int:
        """Return the version in force if the store has another value, else 0."""
        stored = self._mirror.item_by_key.get(self._key)
        return 0 if stored is not None and stored.value == self._value else self.version

    def agrees_with(self, heartbeat: FeedHeartbeat) -> bool:
        """Whether neither this instance nor the sender of a heartbeat lacks a configuration.

        Nothing can be exchanged with an earlier release, so it counts as agreeing.
        """
        offered = heartbeat.offered_configuration
        return offered is None or self.offered_version() <= offered <= self.version

    def handle_heartbeat(self, link: PeerLink, heartbeat: FeedHeartbeat) -> None:
        """Request the configuration of a source if it is newer, or offer the own one."""
        offered = heartbeat.offered_configuration
        if offered is None:
            return
        self._request_if_newer(link, offered)
        own_offered = self.offered_version()
        if own_offered > offered:
            link.send(ConfigurationOffer(own_offered))

    def handle_message(self, link: PeerLink, message: ConfigurationMessage) -> None:
        """Handle a message of a source or subscriber."""
        if isinstance(message, ConfigurationOffer):
            self._request_if_newer(link, message.version)
        elif isinstance(message, ConfigurationContent):
            self.apply(message.value)
        elif self.offered_version() > message.version:
            link.send(ConfigurationContent(self._value))

    def _request_if_newer(self, link: PeerLink, version: int) -> None:
        """Request a newer configuration, from one instance at a time."""
        now = self._monotonic()
        if version > self.version and now - self._requested_at >= REQUEST_INTERVAL_SECONDS:
            self._requested_at = now
            link.send(ConfigurationRequest(self.version))
