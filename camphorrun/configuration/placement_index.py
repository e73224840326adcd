"""Which hosts hold a model, by the placements in a view.

An item of ``Placement.models`` is a model or adapter, with ``@version`` if it has one.
"""

from collections import Counter
from collections.abc import Collection

from .documents import DocumentError, Placement
from .view import ConfigurationView

VERSION_SEPARATOR = "@"


def model_name(model: str) -> str:
    """Return a model without its version.

    Examples
    --------
    >>> model_name("writer@3"), model_name("writer")
    ('writer', 'writer')
    """
    return model.partition(VERSION_SEPARATOR)[0]


def placement_models(placement: Placement) -> frozenset[str]:
    """Return what a placement serves: its models, and their names for any version."""
    names = {model_name(model) for model in placement.models}
    return names.union(placement.models)


def used_models(accounts: ConfigurationView) -> frozenset[str]:
    """Return the models that client accounts use in a template that is enabled."""
    used: set[str] = set()
    for name in accounts.names("account"):
        account = accounts.get("account", name)
        for parameters in account.templates.values():
            if parameters.enabled:
                used.update(parameters.models.values())
    return frozenset(used)


class PlacementIndex:
    """Models by host, decoded once for each version of a placement.

    Parameters
    ----------
    view : ConfigurationView
        View of the stream of placements.
    """

    def __init__(self, view: ConfigurationView):
        self._view = view
        self._models_by_host: dict[str, tuple[bytes, frozenset[str]]] = {}

    def models_on(self, host: str) -> frozenset[str] | None:
        """Return the models that a host serves, None if it has no placement."""
        entry = self._view.entry("placement", host)
        if entry is None or entry.deleted or not entry.body:
            self._models_by_host.pop(host, None)
            return None
        cached = self._models_by_host.get(host)
        if cached is None or cached[0] is not entry.body:
            placement = self._view.get("placement", host)
            cached = self._models_by_host[host] = (
                entry.body,
                placement_models(placement),
            )
        return cached[1]

    def serves(self, host: str, model: str) -> bool:
        """Return whether a host serves a model; one without placement serves any."""
        models = self.models_on(host)
        return not model or models is None or model in models

    def other_hosts_by_model(self, host: str) -> Counter[str]:
        """Count the other hosts that hold each model.

        A drained host is not counted, because it is about to leave.
        """
        counts: Counter[str] = Counter()
        for other in self._view.names("placement"):
            if other != host and self._view.get("drain", other) is None:
                counts.update(self.models_on(other))
        return counts


def check_last_host(
    view: ConfigurationView, placement: Placement, used: Collection[str]
) -> None:
    """Refuse a placement that removes the last home of a model in use.

    Raises
    ------
    DocumentError
        With code ``last_home``, naming the models.
    """
    index = PlacementIndex(view)
    removed = (index.models_on(placement.host) or frozenset()) - placement_models(
        placement
    )
    host_counts = index.other_hosts_by_model(placement.host)
    lost = sorted(
        model for model in removed if model in used and not host_counts[model]
    )
    if lost:
        raise DocumentError(
            f"$.models: {placement.host} is the last home of {', '.join(lost)}, "
            "which client accounts use; place it on another host first",
            code="last_home",
            field="$.models",
        )
