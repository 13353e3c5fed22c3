"""Mutation tests: disables one mechanism at a time in a copy, and runs the test that covers it.

Each mutation gives the file, the text to replace, and the test that must fail after that.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCE = "src/cassiashore/_internal"
TEST_SECONDS = 120
COPIED = ("src", "lab", "spec", "tests", "examples", "pyproject.toml")
INSTANCE_FAULTS = "tests/functional/test_instance_faults.py"
STORE_FAULTS = "tests/functional/test_store_faults.py"
TARGET_FAULTS = "tests/functional/test_target_faults.py"
DEMAND_WEIGHTS = "tests/unit/test_demand_weights.py"
WORKSPACE_LIMITS = "tests/unit/test_workspace_limits.py"
THIN_PATH = "tests/functional/test_thin_path.py"
WORKSPACES = "tests/functional/test_workspaces.py"
WORKSPACE_REQUESTS = "tests/unit/test_workspace_requests.py"
STORE_ERAS = "tests/functional/test_store_eras.py"
MIRROR = "tests/unit/test_mirror.py"
RELAY = "tests/unit/test_relay.py"
LOST_ANSWERS = "tests/unit/test_lost_answers.py"


@dataclass(frozen=True, slots=True)
class Mutation:
    """A replacement that disables a mechanism, and the test that must detect it."""

    mechanism: str
    file: str
    old: str
    new: str
    test: str


MUTATIONS = [
    Mutation(
        "a refused connection proves that a member ended",
        "peers/membership.py",
        "Evidence.REFUSED: MemberState.DEAD",
        "Evidence.REFUSED: MemberState.SUSPECTED",
        f"{INSTANCE_FAULTS}::test_a_killed_instances_targets_are_taken_over",
    ),
    Mutation(
        "a silent member keeps its rights while it is listed",
        "peers/membership.py",
        "Evidence.SILENCE: MemberState.SUSPECTED",
        "Evidence.SILENCE: MemberState.LOST",
        f"{INSTANCE_FAULTS}::test_a_paused_instance_keeps_its_targets_while_it_is_listed",
    ),
    Mutation(
        "a pause makes an instance give up its rights",
        "admission/pause.py",
        "if elapsed > self._pause_seconds:",
        "if False:",
        f"{INSTANCE_FAULTS}::test_a_paused_instance_keeps_its_targets_while_it_is_listed",
    ),
    Mutation(
        "only the owner runs a key",
        "proxy/handler.py",
        "elif key.incarnation == self._own.incarnation:",
        "elif True:",
        f"{INSTANCE_FAULTS}::test_a_key_of_a_dead_instance_is_never_run_again",
    ),
    Mutation(
        "a resend is passed to the key's owner",
        "proxy/handler.py",
        "elif key.incarnation == self._own.incarnation:",
        "elif True:",
        f"{THIN_PATH}::test_a_retry_through_any_instance_returns_the_first_answer",
    ),
    Mutation(
        "a claim that stands names the owner",
        "requests/claims.py",
        "return _owner_of(written.err_value.current)",
        "return Ok(Claimed(self._incarnation, slot))",
        f"{THIN_PATH}::test_a_callers_idempotency_key_runs_once_through_any_instance",
    ),
    Mutation(
        "a planned stop waits for what is in flight",
        "entry/node.py",
        "        await self._wait_for_cached_lookups(deadline)\n",
        "        raise SystemExit(0)\n",
        f"{INSTANCE_FAULTS}::test_a_planned_stop_cuts_off_nothing",
    ),
    Mutation(
        "a change whose answer was lost is settled by its id",
        "catalogue/publisher.py",
        "any(change.change_id == change_id for change in current.changes)",
        "False",
        f"{STORE_FAULTS}::test_a_change_whose_response_was_lost_is_accepted_once",
    ),
    Mutation(
        "a change is made only from the version that stands",
        "standins/store.py",
        "if current.revision != expected:",
        "if False:",
        f"{STORE_FAULTS}::test_one_of_several_concurrent_changes_wins_and_the_others_conflict",
    ),
    Mutation(
        "an unsettled claim is not called not run",
        "requests/claims.py",
        "return Err(Failure.unknown(Reason.STORE_UNREACHABLE, detail))",
        "return Err(Failure.not_run(Reason.STORE_UNREACHABLE, detail))",
        f"{STORE_FAULTS}::test_an_idempotency_key_is_not_reported_as_not_run_in_an_outage",
    ),
    Mutation(
        "versions spread over peer streams",
        "entry/cluster.py",
        "        link.send(CatalogueManifest(bundle.manifest))\n",
        "        return\n",
        f"{STORE_FAULTS}::test_an_instance_started_in_an_outage_serves_the_newest_version",
    ),
    Mutation(
        "operators' drains stop new work",
        "admission/slots.py",
        "return self.drained_by_operators or self.reported_draining or self.listed_as_leaving",
        "return self.reported_draining or self.listed_as_leaving",
        f"{TARGET_FAULTS}::test_a_target_drained_by_operators_gets_no_new_requests",
    ),
    Mutation(
        "a target's own word stops new work",
        "admission/slots.py",
        "return self.drained_by_operators or self.reported_draining or self.listed_as_leaving",
        "return self.drained_by_operators or self.listed_as_leaving",
        f"{TARGET_FAULTS}::test_a_target_that_reports_draining_gets_no_new_requests",
    ),
    Mutation(
        "a refusal closes its key",
        "requests/ledger.py",
        "        record.state = KeyState.FAILED\n        record.failure = failure\n",
        "        if failure.outcome is Outcome.NOT_RUN:\n"
        "            self._records_by_slot[record.slot].clear()\n"
        "        record.failure = failure\n",
        f"{TARGET_FAULTS}::test_a_request_refused_as_not_run_never_runs",
    ),
    Mutation(
        "an answer that ends early closes the connection",
        "net/http_client.py",
        "            if self._error is not None:\n                raise ConnectionLostError",
        "            if self._error is not None:\n                return None\n"
        "                raise ConnectionLostError",
        f"{TARGET_FAULTS}::test_a_truncated_response_is_never_forwarded_as_complete",
    ),
    Mutation(
        "requests that crash targets are refused",
        "requests/poison.py",
        "CRASH_LIMIT = 2",
        "CRASH_LIMIT = 1000",
        f"{TARGET_FAULTS}::test_a_request_that_crashes_targets_is_refused",
    ),
    Mutation(
        "targets are ejected by outcomes of requests",
        "routing/health.py",
        "EJECT_AFTER_FAILURES = 5",
        "EJECT_AFTER_FAILURES = 5000",
        f"{TARGET_FAULTS}::test_a_failing_target_is_ejected_although_its_probe_reports_healthy",
    ),
    Mutation(
        "slots are counted",
        "admission/slots.py",
        "if state.in_flight >= state.limit(service.utilisation, now):",
        "if state.in_flight >= 2 * state.limit(service.utilisation, now):",
        f"{TARGET_FAULTS}::test_slots_and_connections_hold_under_overload",
    ),
    Mutation(
        "a caller's end cancels its request",
        "proxy/handler.py",
        "            connection.on_lost = task.cancel\n",
        "            pass\n",
        f"{TARGET_FAULTS}::test_a_callers_cancellation_reaches_the_target",
    ),
    Mutation(
        "a right brings its part of the shift cap after a window",
        "admission/shift.py",
        "_HeldShare(right, share, now + self._window.seconds)",
        "_HeldShare(right, share, now)",
        "tests/unit/test_limits.py::test_the_shift_cap_holds_over_all_instances_while_rights_move",
    ),
    Mutation(
        "a version is activated only upward",
        "catalogue/versioned.py",
        "if bundle.manifest.version <= self.version:",
        "if bundle.manifest.version < 0:",
        "tests/unit/test_catalogue.py::test_an_older_version_is_not_activated",
    ),
    Mutation(
        "the key of a workspace is checked before each attempt",
        "ingress/attempts.py",
        "if refusal is not None:",
        "if False:",
        f"{WORKSPACES}::test_a_revoked_key_does_not_get_a_waiting_request_to_a_target",
    ),
    Mutation(
        "a workspace and a route without a common home region get no target",
        "ingress/authorization.py",
        "return first & second or None",
        "return first & second",
        f"{WORKSPACE_REQUESTS}::test_a_request_is_refused_before_its_body_is_read",
    ),
    Mutation(
        "underscores do not hide a header that names a workspace",
        "ingress/authorization.py",
        'pair[0].replace(b"_", b"-") not in hidden',
        "pair[0] not in hidden",
        f"{WORKSPACE_REQUESTS}::test_a_target_receives_the_workspace_of_the_key_and_nothing_else"
        "_in_its_place",
    ),
    Mutation(
        "a key of two workspaces belongs to neither",
        "steering/workspaces.py",
        "            del holder_by_digest[digest]\n",
        "            pass\n",
        "tests/unit/test_workspace_decoding.py::test_a_key_of_two_workspaces_belongs_to_neither",
    ),
    Mutation(
        "the key of a workspace leaves the request at its arrival",
        "ingress/forwarder.py",
        "if table.workspaces is not None:",
        "if False:",
        f"{WORKSPACE_REQUESTS}::test_a_failure_of_the_handler_logs_no_key",
    ),
    Mutation(
        "an unreadable table of workspaces gives access to nobody",
        "steering/workspaces.py",
        "return cls({}, is_readable=False)",
        "return cls({})",
        f"{WORKSPACES}::test_an_unreadable_table_never_gives_access_to_everybody",
    ),
    Mutation(
        "an instance does not use a higher weight at once",
        "steering/demand_weights.py",
        "if ended_at > now - SETTLE_SECONDS]",
        "if False]",
        f"{DEMAND_WEIGHTS}::test_a_weight_is_used_when_the_others_know_it",
    ),
    Mutation(
        "a lower weight counts as the higher one for a while",
        "steering/demand_weights.py",
        "states = [published.current, *(weights for _, weights in published.earlier)]",
        "states = [published.current]",
        f"{DEMAND_WEIGHTS}::test_the_limit_is_kept_whatever_weights_are_published",
    ),
    Mutation(
        "an instance that is not known uses a small part",
        "steering/workspace_limits.py",
        "return Part(0.0, _usable(workspace, terms) * UNKNOWN_RESERVE / sharing)",
        "return Part(0.0, _usable(workspace, terms) * UNKNOWN_RESERVE)",
        f"{WORKSPACE_LIMITS}::"
        "test_the_limit_is_kept_while_instances_restart_in_turn_and_all_at_once",
    ),
    Mutation(
        "shares follow demand",
        "steering/demand_weights.py",
        "BASE_WEIGHT / instances + self._own_lowest.get(workspace, 0)",
        "BASE_WEIGHT / instances",
        f"{WORKSPACE_LIMITS}::test_callers_that_use_few_instances_are_served",
    ),
    Mutation(
        "era: the first snapshot of an era replaces the mirror",
        "mirror/mirror.py",
        "        if snapshot.position < self.position:\n",
        "        if snapshot.revision < self.revision:\n",
        f"{MIRROR}::test_a_snapshot_of_a_later_era_replaces_a_mirror_with_a_higher_revision",
    ),
    Mutation(
        "era: batches of a later era need a snapshot first",
        "mirror/mirror.py",
        "if batch.era > self.era or batch.after > self.revision:",
        "if batch.after > self.revision:",
        f"{MIRROR}::test_a_batch_of_a_later_era_is_not_applied_to_the_mirror_of_an_earlier_one",
    ),
    Mutation(
        "era: late batches of an earlier era are ignored",
        "mirror/mirror.py",
        "        if batch.era < self.era:\n            return True\n",
        "",
        f"{MIRROR}::test_messages_of_any_era_in_any_order_give_the_state_of_the_store",
    ),
    Mutation(
        "era: removal revisions of an earlier era are forgotten",
        "mirror/mirror.py",
        "        self._removal_revision_by_key.clear()\n",
        "",
        f"{MIRROR}::test_messages_of_any_era_in_any_order_give_the_state_of_the_store",
    ),
    Mutation(
        "era: removals are deferred after a restore",
        "mirror/mirror.py",
        "            self.record_recovery()\n",
        "",
        f"{MIRROR}::test_keys_missing_from_the_first_snapshot_of_an_era_are_kept_for_the_removal_delay",
    ),
    Mutation(
        "era: unchanged values are not applied again",
        "mirror/mirror.py",
        "if known is not None and known.value == change.value:",
        "if False:",
        f"{MIRROR}::test_listeners_are_not_called_with_values_that_a_restore_did_not_change",
    ),
    Mutation(
        "era: keys that return with a restored copy take effect later",
        "mirror/mirror.py",
        "elif change.value is not None and was_filled and self._is_returned(change.key):",
        "elif False:",
        f"{MIRROR}::test_keys_that_return_with_a_restored_copy_take_effect_later",
    ),
    Mutation(
        "era: recent changes do not span a restore",
        "mirror/recent_changes.py",
        "(last.era, last.revision) != (batch.era, batch.after)",
        "last.revision != batch.after",
        f"{MIRROR}::test_recent_changes_of_an_earlier_era_are_not_continued",
    ),
    Mutation(
        "era: subscribers get the first snapshot of an era",
        "mirror/feed_subscribers.py",
        "FeedSnapshot(self._packed_snapshot()) if is_new_era else FeedChanges(pack(batch))",
        "FeedChanges(pack(batch))",
        f"{RELAY}::test_a_snapshot_is_sent_to_subscribers_when_an_era_begins",
    ),
    Mutation(
        "era: a subscriber of an earlier era gets a snapshot",
        "mirror/feed_subscribers.py",
        "known >= self._mirror.position",
        "known.revision >= self._mirror.revision",
        f"{RELAY}::test_a_subscriber_of_an_earlier_era_with_the_same_revision_receives_a_snapshot",
    ),
    Mutation(
        "era: heartbeats of another era confirm nothing",
        "mirror/feed_knowledge.py",
        "return is_latest_era and position_of",
        "return position_of",
        f"{RELAY}::test_a_source_that_has_not_noticed_a_restore_confirms_nothing",
    ),
    Mutation(
        "era: a standby source of a later era is ahead",
        "mirror/relay.py",
        "ahead = eras_ahead or heartbeat",
        "ahead = heartbeat",
        f"{RELAY}::test_a_standby_source_of_a_later_era_takes_over_from_the_sender",
    ),
    Mutation(
        "era: a lost configuration is requested from a source",
        "mirror/configuration_exchange.py",
        "        self._request_if_newer(link, offered)\n",
        "",
        f"{RELAY}::test_a_configuration_that_the_store_lost_passes_to_sources_and_subscribers[0]",
    ),
    Mutation(
        "era: a lost configuration is offered to a source",
        "mirror/configuration_exchange.py",
        "if own_offered > offered:",
        "if False:",
        f"{RELAY}::test_a_configuration_that_the_store_lost_passes_to_sources_and_subscribers[1]",
    ),
    Mutation(
        "era: only a lost configuration is offered",
        "mirror/configuration_exchange.py",
        "return 0 if stored is not None and stored.value == self._value else self.version",
        "return self.version",
        f"{RELAY}::test_a_configuration_that_the_store_has_is_not_sent_between_instances",
    ),
    Mutation(
        "era: readers compare configurations after a restore",
        "mirror/relay.py",
        "(has_compared or len(readers) == 1)",
        "True",
        f"{STORE_ERAS}::test_a_reader_that_missed_a_configuration_before_the_restore_gets_it",
    ),
    Mutation(
        "era: the lease of an earlier era is forgotten",
        "mirror/registration.py",
        "        self._era = self._mirror.latest_era\n        self._forget_lease()\n",
        "        self._era = self._mirror.latest_era\n",
        f"{STORE_ERAS}::test_a_restored_key_with_the_desired_value_is_written_again",
    ),
    Mutation(
        "era: a restored key is written under the new lease",
        "mirror/registration.py",
        "if was_written and current is not None",
        "if current is not None",
        f"{STORE_ERAS}::test_a_restored_key_with_the_desired_value_is_written_again",
    ),
    Mutation(
        "era: a lost response counts within its era only",
        "mirror/registration.py",
        "        self._unconfirmed_keys.clear()\n",
        "",
        f"{STORE_ERAS}::test_a_lost_response_before_a_restore_counts_as_a_write_that_was_not_done",
    ),
    Mutation(
        "era: a lease of an earlier era is not ended",
        "mirror/registration.py",
        "        had_lease = self._lease_id != 0\n        self._follow_era()\n",
        "        had_lease = self._lease_id != 0\n",
        f"{STORE_ERAS}::test_a_lease_of_an_earlier_era_is_not_ended",
    ),
    Mutation(
        "era: the era is checked before a conditional write",
        "../platform/store.py",
        "return Ok(None) if _era_of(response.ok_value[0]) == era else Err(EraEnded())",
        "return Ok(None)",
        f"{STORE_ERAS}::test_a_write_with_a_condition_of_an_earlier_era_is_not_sent",
    ),
    Mutation(
        "era: pages of two eras are not combined",
        "../platform/store.py",
        "if snapshot is not None and era != snapshot.era:",
        "if False:",
        f"{STORE_ERAS}::test_a_snapshot_whose_pages_are_from_two_eras_is_read_again",
    ),
    Mutation(
        "era: an older configuration is not applied",
        "../platform/changes.py",
        "table.version <= current.version",
        "False",
        f"{STORE_ERAS}::test_a_configuration_that_was_rolled_back_and_written_again_stays_in_force",
    ),
    Mutation(
        "era: an older report of a target is not applied",
        "steering/registry.py",
        "if last is not None and report.order < last.order:",
        "if False:",
        f"{STORE_ERAS}::test_a_draining_target_is_not_used_again_because_of_an_old_copy",
    ),
    Mutation(
        "loss: a target that accepts connections has not ended",
        "requests/loss_checks.py",
        "(Probe.ACCEPTED, False): Verdict.UNKNOWN",
        "(Probe.ACCEPTED, False): Verdict.ENDED",
        f"{LOST_ANSWERS}::test_orders_whose_answers_are_lost_are_not_refused",
    ),
    Mutation(
        "loss: a target that refuses connections has ended",
        "requests/loss_checks.py",
        "(Probe.REFUSED, False): Verdict.ENDED",
        "(Probe.REFUSED, False): Verdict.UNKNOWN",
        f"{LOST_ANSWERS}::test_an_order_that_ends_targets_is_refused_after_three_of_them",
    ),
    Mutation(
        "loss: a later run at the address shows that the earlier one ended",
        "steering/registry.py",
        "Presence.SUPERSEDED)",
        "Presence.REMOVED)",
        f"{LOST_ANSWERS}::test_targets_that_are_started_again_at_once_count_as_ended",
    ),
    Mutation(
        "loss: an attempt waits for the checks of its request",
        "requests/loss_checks.py",
        "        if checks:\n            await",
        "        if False:\n            await",
        f"{LOST_ANSWERS}::test_a_read_that_ends_targets_is_refused_as_soon_as_three_ended",
    ),
    Mutation(
        "a body is whole only if it was complete when its start was taken",
        "ingress/body.py",
        "is_whole = self.is_complete\n        return BodyStart(self._take_data(), is_whole)",
        "data = self._take_data()\n        return BodyStart(data, self.is_complete)",
        "tests/unit/test_bodies_whole.py",
    ),
    Mutation(
        "the number of header fields of a response is limited",
        "net/http_client.py",
        "MAX_HEAD_FIELDS = 256",
        "MAX_HEAD_FIELDS = 1 << 30",
        "tests/functional/test_misbehaving_targets.py",
    ),
]


def detects(mutation: Mutation) -> bool:
    """Run the mutation's test in a mutated copy; return whether it fails."""
    with tempfile.TemporaryDirectory(prefix="mutant-") as folder:
        copy = Path(folder)
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name, ignore=shutil.ignore_patterns("*.egg-info"))
            else:
                shutil.copy(source, copy / name)
        file = copy / SOURCE / mutation.file
        text = file.read_text()
        if mutation.old not in text:
            raise ValueError(f'"{mutation.old}" does not occur in {mutation.file}')
        file.write_text(text.replace(mutation.old, mutation.new))
        environment = {**os.environ, "PYTHONPATH": f"{copy / 'src'}{os.pathsep}{copy}"}
        command = [sys.executable, "-m", "pytest", "-x", "-q", mutation.test]
        try:
            completed = subprocess.run(
                command, cwd=copy, env=environment, capture_output=True, timeout=TEST_SECONDS
            )
        except subprocess.TimeoutExpired:
            return True
        return completed.returncode == 1


def main() -> None:
    """Run all mutations, or those whose mechanism contains the text of ``--only``."""
    parser = argparse.ArgumentParser(prog="python -m lab.mutations", description=__doc__)
    parser.add_argument("--only", default="")
    only = parser.parse_args().only
    survivors = 0
    for mutation in MUTATIONS:
        if only not in mutation.mechanism:
            continue
        failed = detects(mutation)
        survivors += not failed
        verdict = "fails without it" if failed else "STILL PASSES"
        print(f"{verdict}: {mutation.mechanism} ({mutation.test})", flush=True)
    raise SystemExit(1 if survivors else 0)


if __name__ == "__main__":
    main()
