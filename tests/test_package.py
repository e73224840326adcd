"""Checks of the package as a whole."""

import camphorrun


class TestPackage:
    """The package can be imported and names its version."""

    def test_version_is_set(self):
        """Guards against a package without a version."""
        assert camphorrun.__version__
