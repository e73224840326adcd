"""Publishes the documents of a scenario to a local system."""

import hashlib

from ..configuration import (
    ACCOUNTS_STREAM,
    FLEET_STREAM,
    ConfigurationChange,
    ConfigurationView,
    Document,
    PublishStatus,
    encode_document,
    publish,
)
from ..core import CamphorrunError, LogStore, new_identifier
from ..replay import Scenario

AUTHOR = "scenario"


async def publish_scenario(log: LogStore, scenario: Scenario) -> int:
    """Publish services, templates and client accounts; return their number.

    Raises
    ------
    CamphorrunError
        If a document was not accepted.
    """
    fleet = ConfigurationView(FLEET_STREAM)
    accounts = ConfigurationView(ACCOUNTS_STREAM)
    for service in scenario.services:
        await _publish(log, fleet, "service", service.document())
    for template in scenario.templates:
        await _publish(log, fleet, "template", template)
    for account in scenario.accounts:
        digest = hashlib.sha256(account.secret.encode()).hexdigest()
        await _publish(log, accounts, "account", account.document(digest))
    return len(scenario.services) + len(scenario.templates) + len(scenario.accounts)


async def _publish(
    log: LogStore, view: ConfigurationView, kind: str, document: Document
) -> None:
    change = ConfigurationChange(
        change_id=new_identifier("chg"),
        kind=kind,
        name=document.name,
        expected=0,
        body=encode_document(document),
        author=AUTHOR,
    )
    result = await publish(log, view, change)
    if result.status is not PublishStatus.ACCEPTED:
        raise CamphorrunError(
            f"{kind} {document.name}: {result.status.value}", code="not_published"
        )
