"""Prints how much of a shared rate limit a fleet of gateways uses, by ``python -m``.

Runs the decisions of five gateways under a manual clock: a random demand above the
limit, the death of the owner, and a fleet whose halves don't reach each other.
"""

from collections.abc import Callable

from camphorrun.gateway.tests.permit_fleet import (
    COUNT,
    EXTRA_REQUESTS,
    RATE_FACTOR,
    WINDOW_SECONDS,
    Fleet,
)

LIMITS_PER_SECOND = (0.5, 1.0, 3.0, 20.0, 100.0)
# Requests that all gateways want to send, as a multiple of the limit.
DEMAND_FACTOR = 3.0
SETTLE_SECONDS = 1.0
RUN_SECONDS = 60.0
# Losing calls between members of different halves cuts the fleet in two.
HALF = {0, 1}


def keep_calm(fleet: Fleet) -> None:
    """Change nothing."""


def stop_owner(fleet: Fleet) -> None:
    """Stop the gateways that own a limit."""
    owners = [n for n, gateway in enumerate(fleet.gateways) if gateway.owner.owned()]
    fleet.stopped.update(owners)


def cut_in_halves(fleet: Fleet) -> None:
    """Lose all calls between two halves."""
    numbers = range(COUNT)
    fleet.lost_orders |= {
        (a, b) for a in numbers for b in numbers if (a in HALF) != (b in HALF)
    }


CASES: dict[str, Callable[[Fleet], None]] = {
    "calm": keep_calm,
    "owner stopped": stop_owner,
    "halves": cut_in_halves,
}


def measure(per_s: float, disturb: Callable[[Fleet], None]) -> str:
    """Return a row: used share, most in a window and its bound, range of the shares."""
    fleet = Fleet(demand_per_s=DEMAND_FACTOR * per_s / COUNT)
    fleet.set_up(per_s)
    fleet.run(SETTLE_SECONDS)
    fleet.clear_sends()
    disturb(fleet)
    sent = fleet.run(RUN_SECONDS)
    allowed = RATE_FACTOR * WINDOW_SECONDS * per_s + EXTRA_REQUESTS
    parts = [fleet.sends_of(n) / max(1, sent) for n in range(COUNT)]
    running = [part for n, part in enumerate(parts) if n not in fleet.stopped]
    return (
        f"{per_s:>6} {sent / (per_s * RUN_SECONDS):>6.3f} "
        f"{fleet.most_in_window():>6} of {allowed:<6.0f} "
        f"{min(running):.3f} to {max(running):.3f}"
    )


def main() -> None:
    """Print a table for each case."""
    for name, disturb in CASES.items():
        print(f"{name}\n limit   used   most in 4 s    shares of gateways")
        for per_s in LIMITS_PER_SECOND:
            print(measure(per_s, disturb))


if __name__ == "__main__":
    main()
