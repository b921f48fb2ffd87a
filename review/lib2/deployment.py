"""Starts a small deployment of the project's own daemons on loopback addresses.

Settings files are rendered from the templates of the deploy file, as DEPLOY.md
describes, and the run lines of the deploy file start the processes.
"""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000,
    "ack_timeout_ms": 4000, "catchup_s": 4, "drain_ms": 2000, "grace_s": 6,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
    "max_stretch_ms": 5000, "recovery_s": 12, "max_hold_ms": 10000,
    "stop_ms": 900, "gang_timeout_ms": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "slowdown_factor": 1.5, "checkpoint_s": 2, "restore_ms": 250,
    "notice_ms": 4500, "migrate_s": 1.5, "maintenance_s": 2,
    "fencing_enforced": True, "lease_ms": 3000, "thaw_ms": 300,
    "pace_ms": 100, "interference_ms": 4000,
}


def lookup(stack, name):
    """Resolves a dotted name in the innermost entry first."""
    if name == ".":
        return stack[-1][1]
    if name == "@":
        return stack[-1][0]
    for _, entry in reversed(stack):
        value = entry
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                index = int(part)
                value = value[index] if index < len(value) else None
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def to_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(to_text(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(text, stack, is_last=True):
    """Renders the placeholders and sections that DEPLOY.md lists."""
    out = ""
    while True:
        found = re.search(r"\{\{([#^]?)([^}|/]*)(\|json)?\}\}", text)
        if not found:
            return out + text
        out += text[: found.start()]
        kind, name, as_json = found.groups()
        text = text[found.end():]
        if name == ",":
            out += "" if is_last else ","
            continue
        value = lookup(stack, name)
        if not kind:
            out += json.dumps(value) if as_json else to_text(value)
            continue
        end = "{{/" + name + "}}"
        inner, text = text.split(end, 1)
        if kind == "^":
            out += render(inner, stack) if not value else ""
        elif isinstance(value, (list, dict)):
            pairs = list(value.items() if isinstance(value, dict) else enumerate(value))
            for i, pair in enumerate(pairs):
                out += render(inner, stack + [pair], i + 1 == len(pairs))
        elif value:
            out += render(inner, stack + [(None, value)])
    return out


def free_ports(count):
    """Ports below the range that the kernel gives to outgoing connections."""
    ports = []
    candidates = list(range(20000, 32000))
    random.shuffle(candidates)
    for port in candidates:
        with socket.socket() as item:
            try:
                item.bind(("0.0.0.0", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("no free ports")


def read_roles(path):
    """The run line and the template of each role of the deploy file."""
    roles = {}
    role = None
    with open(path) as file:
        for line in file:
            section = re.match(r"\[roles\.([^]]+)\]", line)
            entry = re.match(r'(run|template)\s*=\s*"([^"]*)"', line)
            if section:
                role = roles.setdefault(section.group(1), {})
            elif entry and role is not None:
                role[entry.group(1)] = entry.group(2)
    return roles


class Machine:
    """One edge machine with its roles, one process each."""

    def __init__(self, deployment, index, zone, roles):
        self.deployment = deployment
        self.name = f"edge-{zone}-{index}"
        self.zone = zone
        self.ip = f"127.0.{deployment.net}.{index}"
        self.roles = roles
        self.processes = {}
        self.starts = {role: 0 for role in roles}
        self.data = os.path.join(deployment.folder, self.name + ".data")

    def fields(self):
        d = self.deployment
        return {
            "node_name": self.name, "role": "", "machine_class": "edge",
            "ip": self.ip, "zone": self.zone, "region": "r",
            "zones": {zone: "r" for zone in d.zones},
            "listen": {
                "front": f"{self.ip}:{d.ports['front']}",
                "readiness": f"{self.ip}:{d.ports['readiness']}",
                "control": f"{self.ip}:{d.ports['control']}",
            },
            "port_range": [d.ports["rpc"], d.ports["rpc"]],
            "seeds": [f"{m.ip}:{d.ports['control']}" for m in d.core()[:3]],
            "bootstrap": d.bootstrap, "loss_counts": "control" in self.roles,
            "limits": {"cpu_share": 0.39, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 128},
            "data_dir": self.data if "control" in self.roles else None,
            "discovery": "self_register", "entry": "vip", "heartbeat_ms": 1500,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "config_mode": "highest",
            "control_mode": "heartbeat",
            "cloud_api": {"address": d.cloud, "rate_per_s": 64.0,
                          "duties": [], "duty_per_s": 64.0},
        }

    def write_settings(self, role):
        """Fills in the template; the file changes as a whole."""
        spec = self.deployment.roles[role]
        path = os.path.join(self.deployment.folder, f"{self.name}.{role}.conf")
        with open(os.path.join(ROOT, spec["template"])) as template:
            text = render(template.read(), [(None, self.fields())])
        with open(path + ".new", "w") as settings:
            settings.write(text)
        os.replace(path + ".new", path)
        return path

    def start(self, role):
        spec = self.deployment.roles[role]
        path = self.write_settings(role)
        words = spec["run"].split()
        words = [path if word == "/etc/bamboostile/settings.conf" else word
                 for word in words]
        self.starts[role] += 1
        log = open(os.path.join(self.deployment.folder,
                                f"{self.name}.{role}.log"), "a")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        self.processes[role] = subprocess.Popen(
            words, cwd=ROOT, stdout=log, stderr=log, env=environment)
        log.close()

    def signal(self, role, number):
        process = self.processes.get(role)
        if process and process.poll() is None:
            process.send_signal(number)

    def kill(self, role):
        self.signal(role, signal.SIGKILL)
        if role in self.processes:
            self.processes[role].wait()

    def resident_mb(self, role, key="VmRSS"):
        try:
            with open(f"/proc/{self.processes[role].pid}/status") as status:
                for line in status:
                    if line.startswith(key + ":"):
                        return int(line.split()[1]) / 1024
        except (OSError, KeyError):
            pass
        return 0.0

    def disk_mb(self):
        total = 0
        for name in os.listdir(self.data) if os.path.isdir(self.data) else []:
            try:
                total += os.path.getsize(os.path.join(self.data, name))
            except OSError:
                pass
        return total / 1e6


class Deployment:
    """Three zones; the first machine of each has a disk and runs control.

    `edges` machines more run the entry only.
    """

    def __init__(self, net, cloud, edges=0):
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.net = net
        self.cloud = cloud
        self.zones = ["hall-a", "hall-b", "hall-c"]
        self.bootstrap = True
        self.gone = []
        self.added = 0
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.roles = read_roles(os.path.join(ROOT, "deploy/system.toml"))
        names = ["front", "readiness", "control", "rpc"]
        self.ports = dict(zip(names, free_ports(len(names))))
        self.machines = []
        for i, zone in enumerate(self.zones):
            self.machines.append(Machine(self, i + 1, zone, ["control", "entry"]))
        for i in range(edges):
            zone = self.zones[i % len(self.zones)]
            self.machines.append(Machine(self, i + 51, zone, ["entry"]))

    def core(self):
        return [m for m in self.machines if "control" in m.roles]

    def start(self):
        for machine in self.machines:
            for role in machine.roles:
                machine.start(role)

    def replace(self, machine):
        """The machine is gone for good; an empty one comes at a new address."""
        for role in machine.roles:
            machine.kill(role)
        self.remove(machine)
        successor = self.add(machine.zone, machine.roles)
        return successor

    def remove(self, machine):
        self.machines.remove(machine)
        self.gone.append(machine)
        self.write_all_settings()

    def add(self, zone, roles):
        """Adds a machine with an empty disk at an address of its own."""
        self.bootstrap = False
        self.added += 1
        machine = Machine(self, 100 + self.added, zone, roles)
        self.machines.append(machine)
        self.write_all_settings()
        for role in roles:
            machine.start(role)
        return machine

    def write_all_settings(self):
        for machine in self.machines:
            for role in machine.roles:
                machine.write_settings(role)

    def hang_up(self, but=None):
        """Tells all processes that their settings files have changed.

        `but` has just been started and has read its file.
        """
        for machine in self.machines:
            for role in machine.roles if machine is not but else []:
                machine.signal(role, signal.SIGHUP)

    def stop(self):
        for machine in self.machines + self.gone:
            for role, process in machine.processes.items():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        if not os.environ.get("KEEP_FOLDER"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def control_addresses(self):
        return [(m.ip, self.ports["control"]) for m in self.core()]

    def entry_addresses(self):
        return [(m.ip, self.ports["front"]) for m in self.machines
                if "entry" in m.roles]


def wait_until(check, timeout_s, step_s=0.05):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if check():
            return True
        time.sleep(step_s)
    return False
