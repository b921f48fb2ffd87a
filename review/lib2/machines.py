"""What a machine does with a process that uses more memory than it may."""

import threading
import time

MEMORY_MB = 260


class MemoryGuard(threading.Thread):
    """Kills each control process above the limit and starts it again."""

    def __init__(self, deployment, record):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.record = record
        self.kills = {machine.name: 0 for machine in deployment.core()}
        self.most_mb = 0.0
        self.is_stopping = False

    def run(self):
        while not self.is_stopping:
            for machine in self.deployment.core():
                used = machine.resident_mb("control")
                self.most_mb = max(self.most_mb, used)
                if used > MEMORY_MB:
                    self.kills[machine.name] += 1
                    self.record.add("killed, memory over the limit",
                                    machine=machine.name, mb=round(used))
                    machine.kill("control")
                    time.sleep(0.5)
                    if not self.is_stopping:
                        machine.start("control")
            time.sleep(0.01)
