"""Uses the coordination components in another program, without ``cassiashore entry``.

Two workers share printers, each of which one worker drives at a time; jobs run at most once.
"""

from __future__ import annotations

from cassiashore.coordination import (
    AdmissionRights,
    Failure,
    KeyLedger,
    Known,
    Reason,
    RequestKey,
    RetryBudget,
    Started,
    divide_by_weight,
    new_incarnation,
    new_ticket,
    preferred_holder,
)

PRINTERS = ["printer-1", "printer-2", "printer-3"]


def share_printers() -> dict[str, list[str]]:
    """Let two workers claim the printers that they should drive."""
    names = sorted(new_incarnation() for _ in range(2))
    workers = {name: AdmissionRights(name, in_flight=lambda printer: 0) for name in names}
    for name, rights in workers.items():
        for other in names:
            if other != name:
                rights.apply_report(other, 0, held=[], claimed=[])
    for name, rights in workers.items():
        wanted = [p for p in PRINTERS if preferred_holder(p, names) == name]
        others = [other for other in names if other != name]
        asked = rights.claim(wanted, running=others)
        for other in others:
            agreed = workers[other].agree(name, rights.revision, asked)
            rights.record_agreement(other, rights.revision, agreed)
        rights.complete_claims(others, usable_at=lambda printer: 0.0)
    return {name: rights.held() for name, rights in workers.items()}


def run_job_once() -> list[str]:
    """Submit one job three times; it runs once, and later attempts return the known outcome."""
    incarnation = new_incarnation()
    ledger = KeyLedger(current_slot=lambda: 0, slots_kept=2, max_keys=100)
    key = RequestKey.parse(f"{new_ticket(incarnation, 0)}.job-1")
    assert key is not None
    seen = []
    for _ in range(3):
        begun = ledger.begin(key.text, key.slot, fingerprint=1)
        if isinstance(begun, Started):
            ledger.mark_dispatched(begun.record)
            ledger.record_failure(begun.record, Failure.unknown(Reason.TARGET_FAILED, "paper jam"))
            seen.append("ran")
        elif isinstance(begun, Known):
            assert begun.record.failure is not None
            seen.append(begun.record.failure.outcome.value)
    return seen


def main() -> None:
    """Run the examples and print their results."""
    for name, held in share_printers().items():
        print(f"worker {name[-6:]} drives {', '.join(held) or 'nothing'}")
    print("job-1:", ", ".join(run_job_once()))
    print("a limit of 10 over three printers:", divide_by_weight(10, dict.fromkeys(PRINTERS, 1)))
    budget = RetryBudget(share=0.1, burst=1.0)
    print("retries allowed at once:", [budget.try_retry(), budget.try_retry()])


if __name__ == "__main__":
    main()
