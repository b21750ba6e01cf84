"""A hosted deployment for the second review's cases: tenants, gateways and administrators beside a `Stage`.

Controllers and gateways are the project's own, as deploy/hosted.toml starts them; `build-2.sh` has put the
libraries of requirements-hosted.txt under target/hosted-2.
"""

import asyncio
import os
import subprocess
import sys

from stage2 import ROOT, Client, Server, free_port

LIBRARIES = os.path.join(ROOT, "target", "hosted-2")


class Gateway:
    """One gateway process, with an address of its own for the state service."""

    def __init__(self, hosted, label):
        self.hosted, self.label = hosted, label
        self.tenants = f"127.0.0.1:{free_port()}"
        self.administration = f"127.0.0.1:{free_port()}"
        self.path = os.path.join(hosted.stage.folder, label + ".toml")
        self.process = None

    def start(self):
        """Starts the process."""
        with open(self.path + ".log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "run.py", "gateway", "--hosted", self.path],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": LIBRARIES},
            )

    async def request(self, address, method, target, value=None, key="", headers=(), timeout=5.0):
        """Returns (status, answer, headers); status 0 without an answer."""
        client = Client(address)
        try:
            return await client.request(
                method, target, value, timeout, [("Authorization", f"Bearer {key}"), *headers]
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, {}, {}
        finally:
            client.close()

    async def user(self, key, method, target, value=None):
        """A tenant's request. Returns (status, answer)."""
        status, answer, _headers = await self.request(self.tenants, method, target, value, key)
        self.hosted.stage.log("user", f"{method} {target} at {self.label}: {status} {answer}")
        return status, answer


class Hosted:
    """Makes a Stage's deployment a hosted one, with `count` gateways."""

    def __init__(self, stage, count=2):
        self.stage = stage
        self.gateways = [Gateway(self, f"gateway-{number}") for number in range(count)]
        self._servers = []

    async def start(self):
        """Starts the controllers and the gateways. Returns whether all became ready."""
        stage = self.stage
        if not os.path.isdir(os.path.join(LIBRARIES, "blake3")):
            return False
        with open(os.path.join(stage.folder, "secret"), "w") as file:
            file.write(os.urandom(32).hex())
        stage.environment = {
            "ROADHEAD_HOSTED": os.path.join(stage.folder, "gateway-0.toml"),
            "PYTHONPATH": LIBRARIES,
        }
        await stage.start(before=self._write_settings)
        for gateway in self.gateways:
            gateway.start()
        if not await stage.ready():
            return False
        self.root = subprocess.run(
            [sys.executable, "run.py", "tenants", "root-key", "--hosted", self.gateways[0].path],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": LIBRARIES},
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()
        for _ in range(100):
            answers = [await g.request(g.tenants, "GET", "/ready") for g in self.gateways]
            if all(answer[0] == 200 for answer in answers):
                return True
            await asyncio.sleep(0.1)
        return False

    async def _write_settings(self):
        limits = self.stage.deployment["state"]
        for gateway in self.gateways:
            state = await Server(self.stage.state.handler(gateway.label)).start()
            self._servers.append(state)
            lines = [
                'secret_file = "secret"',
                "[gateway]",
                f'tenants = "{gateway.tenants}"',
                f'administration = "{gateway.administration}"',
                "[cluster]",
                f'state = "{state.address}"',
                *(f"{name} = {value}" for name, value in limits.items()),
                "[cluster.controllers]",
                *(f'{node.label} = "{node.front}"' for node in self.stage.nodes.values()),
            ]
            with open(gateway.path, "w") as file:
                file.write("\n".join(lines) + "\n")

    async def administer(self, gateway, method, target, value=None, headers=()):
        """An administrator's request. Returns (status, answer, headers)."""
        answer = await gateway.request(
            gateway.administration, method, "/admin/v1" + target, value, self.root, headers
        )
        self.stage.log("administrator", f"{method} {target} at {gateway.label}: {answer[0]}")
        return answer

    async def add_tenant(self, gateway, name, teams):
        """Creates a tenant and a key. Returns the key, or None."""
        status, _answer, _headers = await self.administer(
            gateway, "POST", "/tenants", {"name": name, "teams": [{"name": team} for team in teams]}
        )
        if status != 201:
            return None
        status, answer, _headers = await self.administer(
            gateway, "POST", f"/tenants/{name}/keys", {"scopes": ["read", "submit", "cancel"]}
        )
        return answer["key"] if status == 201 else None

    def stop(self):
        """Ends all processes and stand-ins."""
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.kill()
                gateway.process.wait()
        for server in self._servers:
            server.close()
        self.stage.stop()
