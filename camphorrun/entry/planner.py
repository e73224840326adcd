"""Turns a caller's request into a plan, or refuses it with a clear error."""

import hashlib
import hmac
from dataclasses import dataclass
from typing import Any

import msgspec

from ..claims import ClaimError, parse_key
from ..configuration import Account, ConfigurationView, Template, TemplateParameters
from ..core import new_identifier
from ..messages import KeyRing
from ..pipeline import PlannedStage, RequestPlan
from .errors import RequestError

MAX_KEY_CHARACTERS = 128
MAX_OUTPUT_UNITS = 16_384
DIGEST_BYTES = 16
# Mean length of a word with its space; inputs are measured in words.
BYTES_PER_UNIT = 6


@dataclass(frozen=True, slots=True)
class RequestBody:
    """JSON body of a request.

    ``deadline_ms`` may only shorten the deadline of the client account.
    ``max_output`` bounds the tokens of streamed stages.
    """

    input: msgspec.Raw
    deadline_ms: int | None = None
    stream: bool = False
    max_output: int = 64


_BODY = msgspec.json.Decoder(RequestBody)


class Planner:
    """Builds plans from templates, client accounts and request bodies.

    Parameters
    ----------
    fleet, accounts : ConfigurationView
        Views of the two configuration streams.
    ring : KeyRing
        Authenticates key prefixes.
    """

    def __init__(
        self, fleet: ConfigurationView, accounts: ConfigurationView, ring: KeyRing
    ):
        self._fleet = fleet
        self._accounts = accounts
        self._ring = ring

    def authenticate(self, authorization: str) -> Account:
        """Return the client account of a ``Bearer account:secret`` header.

        Raises
        ------
        RequestError
            With code ``bad_credential``, the same for an unknown account and for a
            wrong secret.
        """
        scheme, _, credential = authorization.partition(" ")
        name, _, secret = credential.partition(":")
        account = self._accounts.get("account", name) if name else None
        digest = hashlib.sha256(secret.encode()).hexdigest()
        known = account.credential_sha256 if account is not None else ()
        matches = [hmac.compare_digest(digest, item) for item in known]
        if scheme.lower() != "bearer" or not any(matches):
            raise RequestError(
                "unknown client account or wrong credential",
                code="bad_credential",
                field="Authorization",
                http_status=401,
            )
        return account

    def decode_body(self, data: bytes) -> RequestBody:
        """Decode the body of a request or raise ``RequestError``."""
        try:
            # The input is passed on undecoded, so its encoding is checked here. An
            # endpoint would fail on it, and so would each retry at another one.
            data.decode()
            body = _BODY.decode(data)
        except (UnicodeDecodeError, msgspec.DecodeError, RecursionError) as exc:
            raise RequestError(str(exc), code="bad_body", field="body") from exc
        if not 1 <= body.max_output <= MAX_OUTPUT_UNITS:
            raise RequestError(
                f"max_output: expected 1 to {MAX_OUTPUT_UNITS}",
                code="bad_body",
                field="max_output",
            )
        return body

    def plan(
        self, template_name: str, account: Account, body: RequestBody, key: str, now
    ) -> RequestPlan:
        """Return the plan of a request.

        Raises
        ------
        RequestError
            If the template is unknown, or the key is missing or malformed.
        """
        template, parameters = self._parameters(template_name, account)
        stages = _planned_stages(template, parameters, body.max_output)
        if not all(stage.idempotent for stage in stages):
            self._check_key(key)
        elif len(key) > MAX_KEY_CHARACTERS:
            raise RequestError("key is too long", code="bad_key", field=_KEY_FIELD)
        input_bytes = bytes(body.input)
        return RequestPlan(
            request_id=new_identifier("req"),
            template=template_name,
            account=account.name,
            priority=parameters.priority,
            deadline_at=now + _deadline_s(parameters, body),
            input=input_bytes,
            stages=stages,
            key=key,
            body_digest=body_digest(account.name, template_name, body),
            input_units=1 + len(input_bytes) // BYTES_PER_UNIT,
        )

    def non_idempotent_stages(self, account: Account) -> list[str]:
        """Return names of stages that the account's requests may not repeat."""
        names: set[str] = set()
        for template_name in account.templates:
            template, parameters = self._parameters(template_name, account)
            stages = _planned_stages(template, parameters, 1)
            names.update(stage.name for stage in stages if not stage.idempotent)
        return sorted(names)

    def _parameters(
        self, name: str, account: Account
    ) -> tuple[Template, TemplateParameters]:
        template = self._fleet.get("template", name)
        parameters = account.templates.get(name)
        if template is None or parameters is None or not parameters.enabled:
            raise RequestError(
                f"no template {name!r} for this client account",
                code="unknown_template",
                field="template",
                http_status=404,
            )
        return template, parameters

    def _check_key(self, key: str) -> None:
        if not key:
            raise RequestError(
                "non-idempotent requests need a key from /v1/keys",
                code="key_required",
                field=_KEY_FIELD,
            )
        try:
            parse_key(self._ring, key)
        except ClaimError as exc:
            raise RequestError(str(exc), code=exc.code, field=_KEY_FIELD) from exc


_KEY_FIELD = "Idempotency-Key"


def body_digest(account: str, template: str, body: RequestBody) -> str:
    """Return a digest that tells whether a key is used with the same request."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (account.encode(), template.encode(), bytes(body.input)):
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    state.update(body.max_output.to_bytes(8, "big"))
    return state.hexdigest()


def _deadline_s(parameters: TemplateParameters, body: RequestBody) -> float:
    deadline_ms = parameters.deadline_ms
    if body.deadline_ms is not None:
        deadline_ms = min(deadline_ms, body.deadline_ms)
    return deadline_ms / 1000


def _planned_stages(
    template: Template, parameters: TemplateParameters, max_output: int
) -> tuple[PlannedStage, ...]:
    """Return the stages that run, with dependencies on omitted stages bridged."""
    wanted = parameters.stages
    names = [
        stage.name
        for stage in template.stages
        if wanted is None or stage.name in wanted
    ]
    if not names:
        raise RequestError("no stage is enabled", code="unknown_template")
    by_name: dict[str, Any] = {stage.name: stage for stage in template.stages}
    return tuple(
        PlannedStage(
            index=index,
            name=name,
            service=by_name[name].service,
            operation=by_name[name].operation,
            model=parameters.models.get(name, ""),
            after=_bridged(by_name, name, set(names)),
            idempotent=by_name[name].idempotent
            and name not in parameters.non_idempotent,
            stream=by_name[name].stream,
            output_units=max_output if by_name[name].stream else 0,
        )
        for index, name in enumerate(names)
    )


def _bridged(by_name: dict[str, Any], name: str, present: set[str]) -> tuple[str, ...]:
    """Return the nearest present stages before ``name``, in template order."""
    found: list[str] = []
    for before in by_name[name].after:
        nearest = (before,) if before in present else _bridged(by_name, before, present)
        found.extend(item for item in nearest if item not in found)
    return tuple(found)
