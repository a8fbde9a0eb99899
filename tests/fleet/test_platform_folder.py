"""Names of the platform's protocols occur only in the platform folder."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent.parent
PACKAGES = ROOT / "packages"
FOLDER = PACKAGES / "radishd/src/radishd/platform"
# Names of headers, fields and paths that are specific to the platform.
NAMES = re.compile(
    r"x-attempt-id|x-server-signature|x-target-instance|x-not-executed"
    r"|x-instance-id|x-expected-version|x-deadline-ms|x-prompt-prefix"
    r"|pathprefix|gaptargetms|maxattempts|fencingtoken|adapterslots"
    r"|kvcapacity|coldremainingms|hasmore|/-/",
    re.IGNORECASE,
)


def test_platform_names_occur_only_in_the_platform_folder() -> None:
    """Stand-ins are exempt, since they simulate the platform."""
    found = []
    for path in PACKAGES.rglob("*.py"):
        if FOLDER in path.parents or "standins" in path.parts:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if NAMES.search(line):
                found.append(f"{path.relative_to(ROOT)}:{number}: {line}")
    assert not found, "\n".join(found)


def test_the_platform_folder_stays_small() -> None:
    """The folder only translates protocols; decisions belong elsewhere."""
    lines = sum(
        len(path.read_text().splitlines()) for path in FOLDER.glob("*.py")
    )
    assert lines < 1_200, lines
