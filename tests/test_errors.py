"""Every kind of error has one answer."""

from sassafraslock import errors


def test_every_kind_has_an_answer():
    assert set(errors.ERROR_PROPERTIES) == set(errors.ErrorKind)


def test_answers_that_ask_for_a_retry_name_a_time():
    for kind, answer in errors.ERROR_PROPERTIES.items():
        if answer.status == 503:
            assert answer.retry_after_ms > 0, kind
