"""What an entry does on signals, without a process."""

import signal

import pytest

from sassafraslock import events, signal_watch

HUP, TERM, INT = signal.SIGHUP, signal.SIGTERM, signal.SIGINT


class Signals:
    """Signals that have arrived, in place of those of the process."""

    def __init__(self):
        self.counts = {}
        self.stop_requested_ms = None

    def take(self):
        counts, self.counts = self.counts, {}
        return counts


class World:
    """A watch, and what it asked for."""

    def __init__(self, monkeypatch):
        self.signals, self.asked, self.actions = Signals(), [], []
        self.stop_times = []
        self.watch = signal_watch.SignalWatch(
            self.signals, self.request_stop, lambda: self.asked.append("reload")
        )
        monkeypatch.setattr(events, "log", self.log)

    def request_stop(self, requested_ms):
        self.asked.append("stop")
        self.stop_times.append(requested_ms)

    def log(self, event, message, **fields):
        assert event is events.Event.SIGNAL_RECEIVED
        self.actions.append((fields["signal"], fields["count"], fields["action"]))

    def arrive(self, counts):
        self.signals.counts = counts
        self.watch.handle_pending()


ARRIVALS = {
    "reload": ([{HUP: 1}], ["reload"], [("SIGHUP", 1, "reload")]),
    "many reloads at once": ([{HUP: 900}], ["reload"], [("SIGHUP", 900, "reload")]),
    "stop": ([{TERM: 1}], ["stop"], [("SIGTERM", 1, "stop")]),
    "a second stop": (
        [{TERM: 1}, {TERM: 2, INT: 1}],
        ["stop"],
        [
            ("SIGTERM", 1, "stop"),
            ("SIGTERM", 2, "already stopping"),
            ("SIGINT", 1, "already stopping"),
        ],
    ),
    "a reload in a stop": (
        [{INT: 1}, {HUP: 1}],
        ["stop", "reload"],
        [("SIGINT", 1, "stop"), ("SIGHUP", 1, "reload")],
    ),
    "none": ([{}, {HUP: 0, TERM: 0}], [], []),
}


@pytest.mark.parametrize("name", list(ARRIVALS))
def test_each_kind_of_signal_is_handled_once_and_logged_once(monkeypatch, name):
    arrivals, asked, actions = ARRIVALS[name]
    world = World(monkeypatch)
    for counts in arrivals:
        world.arrive(counts)
    assert (world.asked, world.actions) == (asked, actions)


def test_the_first_signal_to_stop_is_the_reason(monkeypatch):
    world = World(monkeypatch)
    assert "without a signal" in world.watch.stop_reason
    world.arrive({INT: 1})
    world.arrive({TERM: 1})
    assert world.watch.stop_reason == "SIGINT"


# Guards against a stop that counts from when its signal is handled, up to 100 ms after another one.
def test_the_stop_counts_from_the_arrival_of_its_signal(monkeypatch):
    world = World(monkeypatch)
    world.arrive({HUP: 1})
    world.signals.stop_requested_ms = 41_000
    world.arrive({TERM: 1})
    assert world.stop_times == [41_000]
