"""Rate limits, the shift cap, retry budgets, and claims and hand-overs of rights."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cassiashore._internal.admission.pause import PauseGuard
from cassiashore._internal.admission.rights import AdmissionRights, GivenRights, Right
from cassiashore._internal.admission.shift import ShiftLimiter
from cassiashore._internal.admission.window import SlidingWindow, TokenBucket
from cassiashore._internal.catalogue.index import divide_by_weight
from cassiashore._internal.peers.messages import DomainDigest
from cassiashore._internal.requests.retry import RetryBudget
from cassiashore._internal.routing.domains import DomainTable
from tests.lib import builders


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@given(st.integers(0, 10_000), st.dictionaries(st.text(), st.integers(1, 100), min_size=1))
def test_divided_parts_add_up_to_the_total(total: int, weights: dict[str, int]) -> None:
    parts = divide_by_weight(total, weights)
    assert sum(parts.values()) == total
    assert min(parts.values()) >= 0


@given(st.lists(st.floats(0, 0.5), max_size=200), st.integers(0, 20))
def test_no_window_exceeds_its_limit(gaps: list[float], limit: int) -> None:
    window = SlidingWindow(1.0)
    now, admitted = 0.0, []
    for gap in gaps:
        now += gap
        if window.try_add(now, limit):
            admitted.append(now)
    for end in admitted:
        assert sum(1 for at in admitted if end - 1.0 < at <= end) <= limit


@given(st.lists(st.tuples(st.floats(0, 1), st.floats(0.1, 50)), max_size=100))
def test_a_token_bucket_keeps_its_rate(uses: list[tuple[float, float]]) -> None:
    bucket = TokenBucket(rate=10.0, burst=20.0, now=0.0)
    now = taken = 0.0
    for gap, amount in uses:
        now += gap
        if bucket.try_take(amount, now):
            taken += amount
        assert taken <= 20.0 + 10.0 * now + 1e-6


@given(st.lists(st.booleans(), max_size=300), st.floats(0, 1))
def test_retries_stay_within_their_share(steps: list[bool], share: float) -> None:
    budget = RetryBudget(share, burst=3.0)
    tries = retries = 0
    for is_retry in steps:
        if is_retry:
            retries += budget.try_retry()
        else:
            tries += 1
            budget.record_first_attempt()
    assert retries <= 3.0 + share * tries + 1e-6


def shift_pair(cap: int = 10) -> tuple[Clock, list[AdmissionRights], list[ShiftLimiter]]:
    clock = Clock()
    rights = [AdmissionRights(name, lambda target: 0) for name in ("0", "1")]
    limiters = [ShiftLimiter(r, "erie-a", clock) for r in rights]
    document = builders.service_document(
        targets=[builders.target_document(f"t{n}", "erie-a", 7100 + n) for n in range(4)]
    )
    catalogue = builders.catalogue(
        services=[document], shift_cap={"requests": cap, "window_ms": 1000}
    )
    for limiter in limiters:
        limiter.update(catalogue)
    return clock, rights, limiters


@given(st.lists(st.tuples(st.integers(0, 6), st.floats(0, 0.4)), min_size=20, max_size=200))
def test_the_shift_cap_holds_over_all_instances_while_rights_move(
    steps: list[tuple[int, float]],
) -> None:
    clock, rights, limiters = shift_pair()
    for number in range(4):
        rights[0].right_by_target[f"orders/t{number}"] = Right(0.0)
    admitted: list[float] = []
    for action, gap in steps:
        clock.now += gap
        if action < 4:
            target = f"orders/t{action}"
            source = 0 if target in rights[0].right_by_target else 1
            del rights[source].right_by_target[target]
            rights[1 - source].right_by_target[target] = Right(clock.now)
        for limiter in limiters:
            for _ in range(5):
                if limiter.try_admit():
                    admitted.append(clock.now)
    for end in admitted:
        assert sum(1 for at in admitted if end - 1.0 < at <= end) <= 10


def test_a_raised_cap_is_used_only_after_the_propagation_time() -> None:
    clock, rights, limiters = shift_pair(cap=4)
    for number in range(4):
        rights[0].right_by_target[f"orders/t{number}"] = Right(0.0)
    limiters[0].allowance()
    clock.now += 2
    assert limiters[0].allowance() == 4
    document = builders.service_document(
        targets=[builders.target_document(f"t{n}", "erie-a", 7100 + n) for n in range(4)]
    )
    raised = builders.catalogue(2, services=[document], shift_cap={"requests": 40})
    limiters[0].update(raised)
    assert limiters[0].allowance() == 4
    clock.now += 16
    assert limiters[0].allowance() == 40


def test_a_check_detects_a_long_pause() -> None:
    clock = Clock()
    guard = PauseGuard(1.0, clock)
    pauses: list[float] = []
    guard.on_pause(pauses.append)
    clock.now += 0.9
    guard.check()
    assert pauses == []
    clock.now += 0.2
    guard.check()
    assert len(pauses) == 1


def test_a_hand_over_from_before_a_pause_is_rejected() -> None:
    receiver = AdmissionRights("1", lambda target: 0)
    receiver.apply_report("0", 1, ["orders/t0"], [])
    receiver.drop_all()
    given_before = GivenRights(receiver_revision=0, sender_revision=2, targets=["orders/t0"])
    assert receiver.receive_hand_over("0", given_before, ["0"], 0.0) == []
    given_after = GivenRights(receiver.revision, sender_revision=2, targets=["orders/t0"])
    assert receiver.receive_hand_over("0", given_after, ["0"], 0.0) == ["orders/t0"]


def test_a_rejected_hand_over_ends_the_promise_of_the_sender() -> None:
    sender, receiver = (AdmissionRights(name, lambda target: 0) for name in ("0", "1"))
    sender.right_by_target["orders/t0"] = Right(0.0)
    sender.apply_report("1", 0, [], [])
    sender.start_hand_over("orders/t0", "1")
    given_rights = sender.finish_hand_overs()["1"]
    assert receiver.receive_hand_over("0", given_rights, ["0"], 0.0) == []
    sender.apply_report("1", receiver.revision, receiver.held(), receiver.claimed())
    assert sender.claim(["orders/t0"], ["1"]) == ["orders/t0"]


def test_a_claim_that_is_no_longer_wanted_is_withdrawn() -> None:
    claimant, member = (AdmissionRights(name, lambda target: 0) for name in ("0", "1"))
    claimant.apply_report("1", 0, [], [])
    member.apply_report("0", 0, [], [])
    asked = claimant.claim(["orders/t0"], ["1"])
    assert member.agree("0", claimant.revision, asked) == asked
    claimant.claim([], ["1"])
    member.apply_report("0", claimant.revision, claimant.held(), claimant.claimed())
    assert member.claim(["orders/t0"], ["0"]) == ["orders/t0"]


def test_digests_of_many_failure_domains_stay_usable_between_their_longer_intervals() -> None:
    table = DomainTable("d0")
    for number in range(1, 56):
        table.merge(DomainDigest(f"d{number}", 1, 0, [], []), 100.0)
    interval = 1.0 * table.interval_factor()
    assert interval > 6.0
    assert len(table.fresh(100.0 + 3 * interval)) == 55
    assert table.fresh(100.0 + 20 * interval) == []
