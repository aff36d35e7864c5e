"""Which requests are to blame for crashed servers."""

import pytest

from sassafraslock.decisions import crash_evidence

OTHERS = {f"other-{n}": 100 for n in range(9)}


def suspect(servers, refuted=(), callers=(), at_ms=100):
    crashed_ms = dict.fromkeys(servers.split(), at_ms)
    return crash_evidence.Suspect(crashed_ms, refuted=set(refuted), callers=set(callers))


def culprits(suspects, others=0):
    crashed_ms = dict(list(OTHERS.items())[:others])
    for one in suspects.values():
        crashed_ms |= one.crashed_ms
    return crash_evidence.find_culprits(suspects, crashed_ms)


CASES = {
    "one server": ({"p": suspect("a")}, 0, set()),
    "two servers": ({"p": suspect("a b")}, 0, {"p"}),
    "two servers, one answered later": ({"p": suspect("a b", refuted=["a"])}, 0, set()),
    "all callers, crashes of one": ({"p": suspect("a b", callers="x")}, 0, set()),
    "all callers, crashes of two": ({"p": suspect("a b", callers="xy")}, 0, {"p"}),
    "two of many servers that crash": ({"p": suspect("a b")}, 3, set()),
    "three of many servers that crash": ({"p": suspect("a b c")}, 3, set()),
    "four servers, whatever else crashes": ({"p": suspect("a b c d")}, 9, {"p"}),
    "beside poison": ({"p": suspect("a b c"), "i": suspect("a b")}, 0, {"p"}),
    "beside two": (
        {"p": suspect("a b c d"), "q": suspect("e f g h"), "i": suspect("a e")}, 0, {"p", "q"}
    ),
    "poison beside poison": ({"p": suspect("a b c d e"), "q": suspect("e f g h i")}, 9, {"p", "q"}),
}  # fmt: skip


@pytest.mark.parametrize("name", list(CASES))
def test_the_culprits_are_those_that_explain_most_crashes(name):
    suspects, others, expected = CASES[name]
    assert culprits(suspects, others) == expected


def test_crashes_at_another_time_do_not_speak_for_a_request():
    suspects = {"p": suspect("a b", at_ms=50_000)}
    assert culprits(suspects, others=9) == {"p"}


def test_the_servers_of_a_request_are_bounded():
    one = crash_evidence.Suspect()
    added = [one.add_crash(f"s{n}", n) for n in range(crash_evidence.MAX_CRASHED_SERVERS_KEPT + 5)]
    assert sum(added) == crash_evidence.MAX_CRASHED_SERVERS_KEPT
    assert not one.add_crash("s0", 1)
