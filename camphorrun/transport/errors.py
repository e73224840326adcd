"""Errors of links between daemons."""

from ..core import CamphorrunError


class LinkError(CamphorrunError):
    """A link could not be opened, or is lost."""

    default_code = "link_lost"
