"""Tests of the error types."""

import inspect

from bramleycrank import exceptions


def test_each_error_type_has_its_own_code():
    """Guards against two error types that callers cannot distinguish."""
    types = [
        cls
        for _, cls in inspect.getmembers(exceptions, inspect.isclass)
        if issubclass(cls, exceptions.BramleycrankError) and "code" in vars(cls)
    ]
    assert len({cls.code for cls in types}) == len(types)
    assert set(exceptions.error_types().values()) == set(types)
