"""The cap on moved traffic: one gate for planned shifts, drains, failures and overload."""

from __future__ import annotations

from sassafraslock import shared_settings

SLACK = 1e-9


def distance(one: shared_settings.Split, other: shared_settings.Split) -> float:
    """Return the share of traffic that must move between two splits.

    :param one: a split.
    :param other: another split.
    """
    return sum(max(0.0, one.get(r, 0.0) - other.get(r, 0.0)) for r in {*one, *other})


def between(
    start: shared_settings.Split, end: shared_settings.Split, progress: float
) -> shared_settings.Split:
    """Return the split at a part of the way from one to another.

    :param start: the split at progress 0.
    :param end: the split at progress 1.
    :param progress: from 0 to 1.
    """
    mixed = {
        r: start.get(r, 0.0) + (end.get(r, 0.0) - start.get(r, 0.0)) * progress
        for r in sorted({*start, *end})
    }
    return {r: share for r, share in mixed.items() if share > SLACK}


def planned(
    accepted: shared_settings.Split,
    shift: shared_settings.Shift | None,
    cap: float,
    window_ms: int,
    wall_ms: int,
) -> shared_settings.Split:
    """Return the split that a planned shift has reached, the same in every process.

    The shift moves by at most the cap at its start and again after each whole window, which is
    the fastest course that keeps every window of any phase within the cap.

    :param accepted: the split before the shift.
    :param shift: the shift, if one is planned.
    :param cap: the share that may move within a window.
    :param window_ms: the window's length.
    :param wall_ms: the present time since 1970.
    """
    if shift is None or wall_ms < shift.started_ms:
        return accepted
    whole = distance(accepted, shift.to)
    if whole <= SLACK:
        return shift.to
    steps = 1 + (wall_ms - shift.started_ms) // window_ms
    return between(accepted, shift.to, min(1.0, steps * cap / whole))


def without(
    split: shared_settings.Split, unusable: set[str], usable: list[str]
) -> shared_settings.Split:
    """Return the split with the share of unusable regions spread over the others.

    :param split: the wanted split.
    :param unusable: regions that cannot serve.
    :param usable: regions that can serve, for the case that the split names none of them.
    """
    kept = {r: share for r, share in split.items() if r not in unusable}
    whole = sum(kept.values())
    if whole > SLACK:
        return {r: share / whole for r, share in kept.items()}
    if not usable:
        return split
    return {r: 1.0 / len(usable) for r in usable}


def region_at(
    accepted: shared_settings.Split, current: shared_settings.Split, place: float, choice: float
) -> str:
    """Return the region for a place so that exactly the distance of the splits moves.

    Each region keeps the lower part of its interval under the accepted split. A place in the
    upper part goes to the gaining regions in proportion to their gain, by its choice, so that
    a shift moves each place once at the most.

    :param accepted: the split by which the intervals are laid.
    :param current: the split in force.
    :param place: the caller's place in [0, 1).
    :param choice: a second, independent place in [0, 1).
    """
    start = 0.0
    for region, share in sorted(accepted.items()):
        if place < start + share:
            kept = min(share, current.get(region, 0.0))
            return region if place < start + kept else _gainer(accepted, current, choice)
        start += share
    return max(accepted, key=lambda r: accepted[r])


def _gainer(accepted: shared_settings.Split, current: shared_settings.Split, choice: float) -> str:
    gains = {r: current[r] - accepted.get(r, 0.0) for r in sorted(current)}
    gaining = {r: gain for r, gain in gains.items() if gain > SLACK}
    left = choice * sum(gaining.values())
    for region, gain in gaining.items():
        left -= gain
        if left < 0:
            return region
    return max(current, key=lambda r: current[r])
