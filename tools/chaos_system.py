"""The processes of a chaos run: stand-ins, agents and entries on loopback."""

import json
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

SECRET = "5a" * 32
OPERATOR = "chaos-operator"
ZONES = ("zone-a", "zone-b", "zone-c")
PROFILES = {
    "generate": {"base_s": 0.02, "output_unit_s": 0.01},
    "billing": {"base_s": 0.05},
}


def free_port() -> int:
    """Return a free TCP port on loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@dataclass
class Process:
    """A process of the system that can be killed, paused and started again."""

    name: str
    arguments: list[str]
    log_path: Path
    popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with its output in a file."""
        with self.log_path.open("ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "camphorrun", *self.arguments],
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, by its id."""
        self.popen.send_signal(number)

    def stop(self) -> None:
        """Kill the process and wait for it."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()


@dataclass
class System:
    """All processes of a run."""

    directory: Path
    log_url: str = ""
    hosts_url: str = ""
    entry_urls: list[str] = field(default_factory=list)
    endpoint_urls: list[str] = field(default_factory=list)
    platform: list[Process] = field(default_factory=list)
    endpoints: list[Process] = field(default_factory=list)
    agents: list[Process] = field(default_factory=list)
    entries: list[Process] = field(default_factory=list)

    def all(self) -> list[Process]:
        """Return every process."""
        return [*self.platform, *self.endpoints, *self.agents, *self.entries]

    def add(self, group: list[Process], name: str, arguments: list[str]) -> None:
        """Start a process and remember it."""
        process = Process(name, arguments, self.directory / f"{name}.log")
        process.start()
        group.append(process)

    def write_settings(self, name: str, settings: dict) -> str:
        """Write a settings file and return its path."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        return str(path)

    def start_platform(self) -> None:
        """Start the stand-ins of the log service and of the host list."""
        log, hosts = free_port(), free_port()
        self.log_url = f"http://127.0.0.1:{log}"
        self.hosts_url = f"http://127.0.0.1:{hosts}"
        for name, port in (("log", log), ("hosts", hosts)):
            listen = f"127.0.0.1:{port}"
            self.add(self.platform, name, ["standin", name, "--listen", listen])

    def settings(self, name: str, zone: str, listen: str) -> dict:
        """Return the settings that all daemons share."""
        return {
            "host": {
                "name": name,
                "availability_zone": zone,
                "region": "local",
                "listen": listen,
            },
            "platform": {"log_url": self.log_url, "host_list_url": self.hosts_url},
            "keys": [{"key_id": 1, "secret": SECRET}],
            "operator_credential": OPERATOR,
        }

    def start_endpoint(self, service: str, number: int) -> dict:
        """Start an endpoint with its agent and return its host list entry."""
        name = f"{service}-{number}"
        endpoint = f"127.0.0.1:{free_port()}"
        profile = json.dumps(PROFILES.get(service, {}))
        arguments = ["standin", "endpoint", "--listen", endpoint, "--profile", profile]
        self.add(self.endpoints, f"endpoint-{name}", arguments)
        self.endpoint_urls.append(f"http://{endpoint}")
        listen = f"127.0.0.1:{free_port()}"
        zone = ZONES[number % len(ZONES)]
        settings = self.settings(name, zone, listen)
        settings["endpoint"] = {"url": f"http://{endpoint}", "service": service}
        path = self.write_settings(name, settings)
        self.add(self.agents, name, ["agent", "--settings", path])
        return self.listing(settings, "agent", service)

    def start_entry(self, number: int) -> dict:
        """Start an entry and return its host list entry."""
        name = f"entry-{number}"
        listen = f"127.0.0.1:{free_port()}"
        settings = self.settings(name, ZONES[number % len(ZONES)], listen)
        path = self.write_settings(name, settings)
        self.add(self.entries, name, ["entry", "--settings", path])
        self.entry_urls.append(f"http://{listen}")
        return self.listing(settings, "entry", "")

    @staticmethod
    def listing(settings: dict, role: str, service: str) -> dict:
        """Return the host list entry of a daemon."""
        host = settings["host"]
        return {
            "host": host["name"],
            "address": host["listen"],
            "role": role,
            "availability_zone": host["availability_zone"],
            "region": host["region"],
            "service": service,
        }

    def stop(self) -> None:
        """Stop every process that this run started."""
        for process in self.all():
            process.stop()
