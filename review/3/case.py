"""When the last key is revoked, every key is accepted."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import (
    CONFIG_TOPIC,
    LIMITS,
    Channel,
    Request,
    Rig,
    encode_answer,
    run_case,
    send,
)

HOST = "jepu9.example"
KEYS = ("9dnn2ctnfzs989anu6ws", "jnbanfqasnmgkcuyj8pj")
# A key that no configuration holds.
UNKNOWN_KEY = "aaaaaaaaaaaaaaaaaaaa"
GATEWAYS = 2
REVOCATION_INTERVAL_SECONDS = 1.5
# `ConfigApplyMs`, and a second of grace.
APPLY_SECONDS = 3.0
ROUNDS = 10
ANSWER_SECONDS = 1.5


def configuration(version: int, keys: tuple[str, ...]) -> dict:
    """Return a configuration with one tenant that has some keys."""
    route = {
        "Name": "r-orders",
        "Host": HOST,
        "PathPrefix": "/bobo563/",
        "RouteType": "unsafe",
        "TimeoutMs": 800,
        "TargetLatencyMs": 150,
        "Priority": 2,
        "Service": "dispatch",
        "MaxAttempts": 1,
        "Stages": [],
        "Public": False,
        "Sticky": False,
        "Resumable": False,
    }
    service = {"HealthPath": "/healthz", "MaxConns": 51, "Protocol": "h1"}
    return {
        "Version": version,
        "Routes": [route],
        "Services": [{"Name": "dispatch", **service}],
        "Limits": LIMITS,
        "Tenants": [{"Name": "bozi300", "ApiKeys": list(keys), "Priority": 1}],
    }


class Orders:
    """Replicas of the order service; they run each request once."""

    def __init__(self, rig: Rig):
        self._rig = rig
        self.ran: dict[str, str] = {}

    async def handle(self, req: Request, channel: Channel) -> None:
        """Run a request."""
        name = req.headers["x-attempt-id"]
        self.ran[name] = req.headers.get("x-tenant", "")
        self._rig.note(f"replica runs {name} for tenant {self.ran[name]!r}")
        fields = (f"X-Attempt-Id: {name}", "X-Replica-Stamp: 3e1b")
        channel.write(encode_answer(200, b"booked", fields))


async def send_order(rig: Rig, gateway: int, name: str, key: str) -> int:
    """Send an order with a key and return the status of its answer."""
    lines = [
        "POST /bobo563/lo7/2f HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {name}",
        "X-Deadline-Ms: 1500",
        f"Api-Key: {key}",
        "Content-Length: 0",
    ]
    data = "\r\n".join([*lines, "", ""]).encode()
    rig.note(f"client sends {name} with key {key}")
    answer = await send(rig.gateways[gateway].callers, data, ANSWER_SECONDS)
    rig.note(f"client gets {answer.status} for {name}")
    return answer.status


async def send_round(rig: Rig, label: str, key: str) -> list[int]:
    """Send orders with a key to all gateways and return the statuses."""
    statuses = []
    for number in range(ROUNDS):
        for gateway in range(GATEWAYS):
            name = f"{label}-{number}-{gateway}"
            statuses.append(await send_order(rig, gateway, name, key))
    return statuses


async def scenario(rig: Rig, is_troubled: bool) -> bool:
    """Return whether only requests with a valid key have run."""
    orders = Orders(rig)
    rig.store.put(CONFIG_TOPIC, "config", configuration(7, KEYS))
    for number in range(3):
        await rig.add_replica(f"i-{number}", "dispatch", orders.handle, Slots=6)
    await rig.add_gateways(GATEWAYS)
    before = await send_round(rig, "valid", KEYS[0])
    before_unknown = await send_round(rig, "unknown-before", UNKNOWN_KEY)
    if set(before) != {200} or set(before_unknown) != {401}:
        raise OSError(f"unexpected answers: {before} {before_unknown}")
    if is_troubled:
        for number in range(len(KEYS)):
            version, left = 11 + 4 * number, KEYS[number + 1 :]
            rig.store.put(CONFIG_TOPIC, "config", configuration(version, left))
            rig.note(f"store acknowledges version {version} with {len(left)} keys")
            await asyncio.sleep(REVOCATION_INTERVAL_SECONDS)
    await asyncio.sleep(APPLY_SECONDS)
    await send_round(rig, "unknown-after", UNKNOWN_KEY)
    if is_troubled:
        await send_round(rig, "revoked-after", KEYS[0])
    wrong = [name for name in orders.ran if not name.startswith("valid")]
    rig.note(f"{len(wrong)} requests ran without a valid key")
    print(f"{len(wrong)} requests ran without a valid key")
    return not wrong


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, scenario))
