"""Build dist/curranthall, a zip archive that the host's Python runs without unpacking."""

import shutil
import stat
import subprocess
import sys
import tempfile
import zipapp
from pathlib import Path

ROOT = Path(__file__).parent.parent
TARGET = ROOT / "dist" / "curranthall"
# Compiled modules can't be imported from a zip; their packages have pure-Python fallbacks.
COMPILED = ("*.so", "*.pyd")
ORJSON = '''"""The part of orjson that aioprometheus uses, over the standard json."""

import json
from typing import Any

OPT_NON_STR_KEYS = 1
OPT_SORT_KEYS = 2


def dumps(value: Any, default: Any = None, option: int = 0) -> bytes:
    """Write JSON."""
    return json.dumps(value, default=default, sort_keys=True, separators=(",", ":")).encode()


def loads(data: Any) -> Any:
    """Read JSON."""
    return json.loads(data)
'''


def main() -> None:
    """Install the package and its dependencies into a temporary folder and pack it."""
    with tempfile.TemporaryDirectory() as folder:
        pip = [sys.executable, "-m", "pip", "install", "--quiet", "--disable-pip-version-check"]
        subprocess.run([*pip, "--target", folder, str(ROOT)], check=True)
        package_dir = Path(folder)
        for pattern in COMPILED:
            for file in package_dir.rglob(pattern):
                file.unlink()
        shutil.rmtree(package_dir / "orjson", ignore_errors=True)
        (package_dir / "orjson.py").write_text(ORJSON)
        for cache in package_dir.rglob("__pycache__"):
            shutil.rmtree(cache)
        TARGET.parent.mkdir(exist_ok=True)
        python = "/usr/bin/env python3"
        zipapp.create_archive(package_dir, TARGET, python, "curranthall.cli:main", compressed=True)
    TARGET.chmod(TARGET.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size / 1024:.0f} KB")


if __name__ == "__main__":
    main()
