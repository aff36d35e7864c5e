"""The plays of servers that start again under their old id, by name."""

from tests import fleet_plays, fleet_world

SHAPES = {
    9: fleet_world.Shape(9),
    67: fleet_world.Shape(67, cold_per_s=4.4, cold_slack=8.0),
    195: fleet_world.Shape(195, cold_per_s=1.9, cold_slack=10.0),
}
SERIES_S = tuple(n / 4 for n in range(6, 18))
PLAYS = {
    "store-away-down-0.4-s": fleet_plays.Play((0.4,), away_s=(-1.0, 3.9)),
    "store-away-down-1.2-s": fleet_plays.Play((1.2,), away_s=(-1.0, 4.7)),
    "store-away-down-4-s": fleet_plays.Play((4.0,), away_s=(-1.0, 7.5)),
    "store-away-none-refused": fleet_plays.Play((0.05,), away_s=(-1.0, 3.5), refuses=False),
    "store-away-twice": fleet_plays.Play((0.4, 0.4), away_s=(-1.0, 5.2)),
    "row-late": fleet_plays.Play((1.2,), feed_delay_s=(1.0, 2.0)),
    "entries-held-through-the-end": fleet_plays.Play((1.2,), held_s=(-0.2, 2.0)),
    "entries-held-after-the-end": fleet_plays.Play((1.2,), held_s=(0.2, 1.6)),
    "entries-killed": fleet_plays.Play((1.2,), kills_s=SERIES_S, all_servers=True),
    "entries-paused": fleet_plays.Play((1.2,), pauses_s=SERIES_S, all_servers=True),
    "entries-held-for-long": fleet_plays.Play((1.2,), held_s=(-3.5, 1.6), all_servers=True),
    # Entries know of these starts before they can send to them, so that this one shows the harness.
    "other-ids": fleet_plays.Play((1.2,), replaced=True),
}
LARGE_PLAYS = {
    "store-away-down-0.4-s": fleet_plays.Play((0.4,), away_s=(-0.2, 9.0), only_cold=True),
    "store-away-down-1.2-s": fleet_plays.Play((1.2,), away_s=(-0.2, 9.0), only_cold=True),
    "store-away-down-4-s": fleet_plays.Play((4.0,), away_s=(-0.2, 9.0), only_cold=True),
}
