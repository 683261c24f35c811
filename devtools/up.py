"""Start the system of the demo and leave it running for manual use."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

from devtools.callers import bearer_token
from devtools.cluster import KEEPER_ADMIN_PORT, Cluster
from devtools.demo import CALLERS, PLAN, document

__all__ = ["RUN_FOLDER", "main"]

RUN_FOLDER = Path("run")


def main() -> int:
    """Start the system, publish the document of the demo and print the addresses."""
    pid_file = RUN_FOLDER / "pids"
    if pid_file.exists():
        print("up: a system seems to be running already; stop it with ./dev down", file=sys.stderr)
        return 1
    cluster = Cluster(PLAN, RUN_FOLDER)
    settings = cluster.write_control_settings()
    document_path = RUN_FOLDER / "document.yaml"
    document_path.write_text(document(), encoding="utf-8")
    cluster.start()
    pid_file.write_text("\n".join(map(str, cluster.pids())) + "\n", encoding="utf-8")
    time.sleep(2)
    ggwctl = str(Path(sys.executable).parent / "ggwctl")
    for args in (["try", str(document_path)], ["promote"]):
        subprocess.run([ggwctl, *args, "--wait", f"--settings={settings}"], check=True)
    cluster.wait_ready(20)
    caller = next(iter(CALLERS))
    for instance in cluster.instances.values():
        if instance.stage == "production":
            print(
                f"{instance.name:14} {instance.url}  http://{instance.ip}:{KEEPER_ADMIN_PORT}/status"
            )
    print(f"\nexport GGW={next(iter(cluster.instances.values())).url}")
    print(f"export TOKEN={bearer_token(caller)}")
    print(f"./dev run ggwctl status --settings={settings}")
    print("./dev down")
    return 0


if __name__ == "__main__":
    sys.exit(main())
