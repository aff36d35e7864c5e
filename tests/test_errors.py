"""Every error kind has a status, an exit code and a retry time that fit together."""

from sassafraslock import errors


def test_every_kind_has_properties():
    assert set(errors.ERROR_PROPERTIES) == set(errors.ErrorKind)


def test_status_503_comes_with_a_retry_time():
    for kind, properties in errors.ERROR_PROPERTIES.items():
        if properties.status == 503:
            assert properties.retry_after_ms > 0, kind
